"""What the leader does besides keeping the log: rollouts, usage, orders."""

from banyanbank_daemon._leader._grader import ServiceGrader
from banyanbank_daemon._leader._loop import Duty
from banyanbank_daemon._leader._loop import LeaderLoop
from banyanbank_daemon._leader._rollouts import RolloutDriver

__all__ = ["Duty", "LeaderLoop", "RolloutDriver", "ServiceGrader"]
