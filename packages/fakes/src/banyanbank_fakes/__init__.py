"""Stand-ins for the outside systems, met through their published protocols.

Each stand-in serves real HTTP on loopback, records what truly happened, and
can be told to misbehave. They exist for the demo, the tests and experiments.
"""

from banyanbank_fakes._announcer import Announcer
from banyanbank_fakes._caller import Answer
from banyanbank_fakes._caller import Caller
from banyanbank_fakes._engine import EngineRun
from banyanbank_fakes._engine import FakeEngine
from banyanbank_fakes._engine import text_of
from banyanbank_fakes._faults import Faults
from banyanbank_fakes._platform import FakePlatform
from banyanbank_fakes._prefix_cache import blocks_of
from banyanbank_fakes._server import FakeServer
from banyanbank_fakes._service import FakeService
from banyanbank_fakes._service import ServiceRun
from banyanbank_fakes._weight_store import FakeWeightStore

__all__ = [
    "Announcer",
    "Answer",
    "Caller",
    "EngineRun",
    "FakeEngine",
    "FakePlatform",
    "FakeServer",
    "FakeService",
    "FakeWeightStore",
    "Faults",
    "ServiceRun",
    "blocks_of",
    "text_of",
]
