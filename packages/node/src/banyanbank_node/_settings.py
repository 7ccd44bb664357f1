"""Settings of the processes; the code that reads them validates them."""

import pathlib

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _action_guard


@attrs.frozen
class Address:
    """Address to listen on or to connect to."""

    host: str
    """IP address."""
    port: int
    """TCP port."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class NodeSettings:
    """Settings that every process needs before it contacts others."""

    name: str
    """Name of the machine on the platform."""
    domain: base.FailureDomain
    """Failure domain of the machine."""
    mesh: Address
    """Address that other processes connect to."""
    seeds: tuple[base.InstanceId, ...]
    """Stores to contact first, as `ip:port` of their mesh."""
    window_s: float
    """Length of a usage window in seconds."""
    shutdown_timeout_s: float
    """Time limit of a graceful shutdown in seconds."""
    job_retention_s: float
    """Retention of results in seconds, from the submission of a job."""
    mesh_listen_host: str | None = None
    """IP address to listen on for the mesh, if it differs from the address that
    others connect to; None for the same."""
    mesh_source_host: str | None = None
    """Source IP address of mesh connections; None lets the system choose."""
    second_attempts: gateway.SecondAttemptRules = attrs.Factory(
        gateway.SecondAttemptRules
    )
    """Limits on second attempts; none are made unless set."""


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    node: NodeSettings
    """Settings common to all processes."""
    front: Address
    """Address that callers connect to."""
    ready: Address
    """Address of the readiness check of the load balancer."""


@attrs.frozen
class StoreSettings:
    """Settings of a store."""

    node: NodeSettings
    """Settings common to all processes."""
    control: Address
    """Address that operators and endpoints connect to."""
    data_dir: pathlib.Path
    """Directory of the replicated log."""
    may_form: bool
    """Whether to form a new log; for the first start of the system."""
    max_failed_stores: int = 1
    """Number of simultaneous store failures to tolerate."""
    handover_rules: _action_guard.HandoverRules = attrs.Factory(
        _action_guard.HandoverRules
    )
    """Requirements of engines and the platform for a change of leader."""
    regions: dict[base.FailureDomain, str] = attrs.Factory(dict)
    """Region of each failure domain of the deployment; empty if unknown."""

    @property
    def voters_wanted(self) -> int:
        """Number of voters; odd, so that one side of a split has a quorum."""
        return 2 * self.max_failed_stores + 1
