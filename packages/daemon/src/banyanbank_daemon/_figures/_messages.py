"""Figures as one instance has counted them since its start."""

import attrs
import banyanbank_base as base

SERVICE = "service"
"""Kind of work of calls of plain services."""


@attrs.frozen
class TrainerFigures:
    """Fetches of one trainer at one instance."""

    trainer: base.TrainerId
    """The trainer."""
    idle_s: float
    """Seconds in which at least one fetch waited for a whole step."""
    observed_s: float
    """Seconds since the trainer's first fetch here."""
    is_waiting: bool
    """Whether a fetch waits now."""


@attrs.frozen
class AccountFigures:
    """Waits of one client account: for engine slots, or for services."""

    account: base.AccountId
    """The client account."""
    kind: str
    """Value of a `dispatch.WorkKind`, at an engine's owner; `SERVICE` for
    calls of plain services, at their entry."""
    granted: int
    """Requests that got a slot; calls answered."""
    wait_s: float
    """Seconds that they waited, in all."""
    recent_granted: int
    """As `granted`, of the last one to two minutes."""
    recent_wait_s: float
    """As `wait_s`, of the last one to two minutes."""
    longest_s: float
    """Longest wait of the last one to two minutes, seconds."""
    tokens: float
    """Tokens of prompts and answers that its slots served."""


@attrs.frozen
class RefusedFigures:
    """Requests of one client account that its limits kept out here."""

    account: base.AccountId
    """The client account."""
    requests: int
    """Requests refused."""


@attrs.frozen
class EndpointFigures:
    """Time of endpoints of one sort, counted while this instance led."""

    failure_domain: base.FailureDomain
    """Where they run."""
    kind: str
    """Value of a `control.EndpointKind`."""
    supply: str
    """Value of a `control.Supply`."""
    serves: str
    """First model that an engine announced, or name of a service."""
    running: int
    """Endpoints that run now; 0 unless this instance leads."""
    seconds: float
    """Seconds that they ran, added over the endpoints."""


@attrs.frozen
class StepFigures:
    """One open step, told by the leader alone."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    recorded: int
    """Samples recorded."""
    open: int
    """Samples of the submitted groups still to come."""
    oldest_age: int | None
    """Versions by which its oldest sample lags; None before any sample."""
    is_formed: bool
    """Whether its batch is formed."""


@attrs.frozen
class WithheldVersion:
    """A published version that engines do not get yet, told by the leader."""

    model: base.ModelName
    """Model."""
    version: base.WeightVersion
    """Published version."""
    reason: str
    """Why: `asking`, `missing`, `busy` or `failed`."""
    detail: str
    """What the weight store said, for people."""


@attrs.frozen
class InstanceFigures:
    """All figures of one instance."""

    instance: base.InstanceId
    """The instance."""
    is_leader: bool
    """Whether it holds the lease."""
    trainers: tuple[TrainerFigures, ...]
    """By trainer."""
    accounts: tuple[AccountFigures, ...]
    """By account and kind of work."""
    endpoints: tuple[EndpointFigures, ...]
    """By failure domain, kind and supply."""
    steps: tuple[StepFigures, ...]
    """Open steps by trainer and step; empty unless it leads."""
    refused: tuple[RefusedFigures, ...] = ()
    """By account."""
    withheld: tuple[WithheldVersion, ...] = ()
    """By model; empty unless it leads."""


CODEC: base.Codec[InstanceFigures] = base.Codec(InstanceFigures)
