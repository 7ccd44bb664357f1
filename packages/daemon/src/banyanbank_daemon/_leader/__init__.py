"""What the leader does besides keeping the log: rollouts, usage, orders."""

from banyanbank_daemon._leader._attempts import Attempt
from banyanbank_daemon._leader._attempts import AttemptSink
from banyanbank_daemon._leader._rollouts import RolloutDriver

__all__ = ["Attempt", "AttemptSink", "RolloutDriver"]
