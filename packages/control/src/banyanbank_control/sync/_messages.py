"""Messages between an entry and the leader of control."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_control import config
from banyanbank_control import declarations


class Phase(enum.Enum):
    """What an endpoint has said about its future."""

    SERVING = "serving"
    """It takes work."""
    RECLAIMED = "reclaimed"
    """The platform takes it back: no new work."""
    LEAVING = "leaving"
    """It leaves: no new work."""


class EndpointKind(enum.Enum):
    """What an endpoint is."""

    ENGINE = "engine"
    """A model engine."""
    SERVICE = "service"
    """A replica of a plain service."""


@attrs.frozen
class ServedModel:
    """One model on an engine."""

    model: base.ModelName
    """The model."""
    version: base.WeightVersion
    """Weight version that the engine reports."""


@attrs.frozen
class Announcement:
    """What an endpoint says about itself."""

    endpoint: base.EndpointId
    """The endpoint."""
    incarnation: base.Incarnation
    """Its life; a later one is higher."""
    sequence: int
    """Number of the announcement in that life, rising; wall time in
    milliseconds at the entry when the endpoint gives none."""
    kind: EndpointKind
    """What it is."""
    address: str
    """Its IP number and port, as `10.0.0.1:8000`."""
    failure_domain: base.FailureDomain
    """Where it runs."""
    supply: declarations.Supply = declarations.Supply.SAFE
    """Whether the platform may take it back."""
    models: tuple[ServedModel, ...] = ()
    """Models of an engine."""
    service: str = ""
    """Service of a replica; empty for an engine."""
    slots: int = 1
    """Requests that it runs at once."""
    checks_fencing: bool = False
    """Whether it refuses an order with an old fencing number."""
    phase: Phase = Phase.SERVING
    """What it has said about its future."""
    gone_at: float | None = None
    """Wall time at which it goes, in seconds; None when not known."""


@attrs.frozen
class Heard:
    """An announcement with the time since an entry heard it."""

    announcement: Announcement
    """What was heard."""
    age_s: float
    """Seconds since then; clocks of two processes are never compared."""


@attrs.frozen
class Member:
    """An instance as the leader knows it."""

    instance: base.InstanceId
    """The instance."""
    incarnation: base.Incarnation
    """Its life."""
    address: str
    """Where other instances reach it, as `10.0.0.1:7000`."""
    failure_domain: base.FailureDomain
    """Where it runs."""
    roles: tuple[str, ...] = ()
    """What it does besides being an entry, sorted; `control` for a voter."""
    leaving: bool = False
    """Whether it shuts down gracefully."""


@attrs.frozen
class SoftVersion:
    """Position in the leader's soft state of members and endpoints."""

    epoch: int = 0
    """Epoch of the leader that numbered it."""
    sequence: int = 0
    """Number of the newest change seen."""


@attrs.frozen
class SyncRequest:
    """An entry's poll: what it holds, and what it has heard."""

    number: int
    """Number of the poll in this life of the entry."""
    member: Member
    """The entry."""
    revision: int
    """Revision of the configuration that it holds."""
    soft: SoftVersion
    """Soft state that it holds."""
    heard: tuple[Heard, ...] = ()
    """Announcements that it heard since the last answered poll."""
    in_flight: int = 0
    """Requests that run at the entry."""


@attrs.frozen
class ConfigWhole:
    """The whole configuration."""

    revision: int
    """Its revision."""
    declared: declarations.Declarations
    """Every item, keys included."""


@attrs.frozen
class Restriction:
    """New work that an endpoint must not get; none when all is default."""

    endpoint: base.EndpointId
    """The endpoint."""
    models: tuple[base.ModelName, ...] = ()
    """Models whose weights cannot be used, sorted."""
    is_draining: bool = False
    """Whether it gets no new work at all, before it is given back."""


@attrs.frozen
class SyncReply:
    """The leader's answer, true at a moment after the poll was sent."""

    number: int
    """Number of the poll."""
    epoch: int
    """Control epoch of the leader."""
    revision: int
    """Revision in force."""
    soft: SoftVersion
    """Soft state after this reply."""
    instance: base.InstanceId = base.InstanceId("")  # noqa: RUF009
    """Entry that is answered."""
    incarnation: base.Incarnation = base.Incarnation(0)  # noqa: RUF009
    """Its life: an answer to an earlier one counts for nothing."""
    whole: ConfigWhole | None = None
    """The whole configuration, when the history is too short."""
    deltas: tuple[config.Delta, ...] = ()
    """Changes since the revision that the entry holds."""
    soft_whole: bool = False
    """Whether members and endpoints are all there are, not changes."""
    members: tuple[Member, ...] = ()
    """Members new or changed."""
    members_gone: tuple[base.InstanceId, ...] = ()
    """Members that are gone."""
    endpoints: tuple[Announcement, ...] = ()
    """Endpoints new or changed."""
    endpoints_gone: tuple[base.EndpointId, ...] = ()
    """Endpoints that are gone."""
    restrictions: tuple[Restriction, ...] = ()
    """Restrictions new or changed; all there are when `soft_whole`."""


@attrs.frozen
class SyncRefused:
    """The instance asked is not the leader, or its lease is in doubt."""

    number: int
    """Number of the poll."""
    leader: base.InstanceId | None
    """Leader as far as known."""


SyncMessage = SyncRequest | SyncReply | SyncRefused

SYNC_CODEC: base.Codec[SyncMessage] = base.Codec(
    SyncRequest, SyncReply, SyncRefused
)
"""Bytes of these messages."""
