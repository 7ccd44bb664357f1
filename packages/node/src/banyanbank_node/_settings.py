"""Settings of the processes, checked by whoever reads them."""

import pathlib

import attrs
import banyanbank_base as base

from banyanbank_node import _outward_term


@attrs.frozen
class Address:
    """Where to listen, or whom to reach."""

    host: str
    """IP number."""
    port: int
    """TCP port."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class NodeSettings:
    """What every process must know before it can ask others."""

    name: str
    """Name of the machine, as the platform knows it."""
    domain: base.FailureDomain
    """Failure domain of the machine."""
    mesh: Address
    """Where other processes reach this one."""
    seeds: tuple[base.InstanceId, ...]
    """Stores to ask first, as `ip:port` of their mesh."""
    window_s: float
    """Length of a usage window in seconds."""
    stop_limit_s: float
    """Seconds after which a graceful shutdown gives up waiting."""
    keep_jobs_s: float
    """Seconds for which results can be read after a job's submission."""
    mesh_listen_host: str | None = None
    """IP number to listen at for other processes, where it is not the one that
    they dial; None for that one."""
    mesh_source_host: str | None = None
    """IP number to dial other processes from; None lets the system choose."""


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    node: NodeSettings
    """What every process must know."""
    front: Address
    """Where callers reach it."""
    ready: Address
    """Where the balancer asks whether it takes requests."""


@attrs.frozen
class StoreSettings:
    """Settings of a store."""

    node: NodeSettings
    """What every process must know."""
    control: Address
    """Where operators and endpoints reach it."""
    data_dir: pathlib.Path
    """Folder of the log."""
    may_form: bool
    """Whether the system starts for the first time."""
    losses: int = 1
    """Stores that may be lost at once."""
    turn_rules: _outward_term.TurnRules = attrs.Factory(_outward_term.TurnRules)
    """What engines and the platform ask of leaders that follow each other."""

    @property
    def voters_wanted(self) -> int:
        """Number of voters; odd, so that one half of a split has a quorum."""
        return 2 * self.losses + 1
