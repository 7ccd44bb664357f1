"""Messages between an entry and the control leader."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_control import config
from banyanbank_control import declarations


class Phase(enum.Enum):
    """Whether an endpoint accepts new work, and if not, why."""

    SERVING = "serving"
    """Accepts new work."""
    RECLAIMED = "reclaimed"
    """Being reclaimed by the platform; accepts no new work."""
    LEAVING = "leaving"
    """Shutting down; accepts no new work."""


class EndpointKind(enum.Enum):
    """What runs at an endpoint."""

    ENGINE = "engine"
    """A model engine."""
    SERVICE = "service"
    """A replica of a plain service."""


@attrs.frozen
class ServedModel:
    """A model that an engine serves."""

    model: base.ModelName
    """Name of the model."""
    version: base.WeightVersion
    """Weight version reported by the engine."""


@attrs.frozen
class Announcement:
    """State that an endpoint announces."""

    endpoint: base.EndpointId
    """ID of the endpoint."""
    incarnation: base.Incarnation
    """Incarnation of the endpoint; a later one is higher."""
    sequence: int
    """Number of the announcement, increasing within the incarnation; the
    entry's wall-clock time in milliseconds if the endpoint sends none."""
    kind: EndpointKind
    """Whether it is an engine or a replica of a service."""
    address: str
    """IP address and port, as `10.0.0.1:8000`."""
    failure_domain: base.FailureDomain
    """Failure domain in which the endpoint runs."""
    supply: declarations.Supply = declarations.Supply.SAFE
    """Whether the platform may reclaim the endpoint."""
    models: tuple[ServedModel, ...] = ()
    """Models that an engine serves."""
    service: str = ""
    """Service of a replica; empty for an engine."""
    slots: int = 1
    """Maximum number of concurrent requests."""
    checks_fencing: bool = False
    """Whether the endpoint rejects orders with a stale fencing token."""
    phase: Phase = Phase.SERVING
    """Whether the endpoint accepts new work."""
    gone_at: float | None = None
    """Wall-clock time of the endpoint's end in seconds; None if unknown."""


@attrs.frozen
class Heard:
    """An announcement with the time since an entry received it."""

    announcement: Announcement
    """The announcement received."""
    age_s: float
    """Time since its receipt, in seconds; a duration, since clocks of two
    processes are never compared."""


@attrs.frozen
class Member:
    """State of an instance, as sent with its polls."""

    instance: base.InstanceId
    """ID of the instance."""
    incarnation: base.Incarnation
    """Incarnation of the instance; a later one is higher."""
    address: str
    """Address for other instances, as `10.0.0.1:7000`."""
    failure_domain: base.FailureDomain
    """Failure domain in which the instance runs."""
    roles: tuple[str, ...] = ()
    """Roles other than entry, sorted; `control` for a voter."""
    leaving: bool = False
    """Whether the instance is shutting down gracefully."""


@attrs.frozen
class SoftVersion:
    """Version of the leader's soft state."""

    epoch: int = 0
    """Epoch of the leader that numbered the changes."""
    sequence: int = 0
    """Number of the latest change included."""


@attrs.frozen
class SyncRequest:
    """An entry's poll: the state that it holds, and new announcements."""

    number: int
    """Number of the poll, counted within the incarnation of the entry."""
    member: Member
    """The entry that polls."""
    revision: int
    """Revision of the configuration that the entry holds."""
    soft: SoftVersion
    """Version of the soft state that the entry holds."""
    heard: tuple[Heard, ...] = ()
    """Announcements received since the last answered poll, without renewals
    that are not due to be forwarded."""
    in_flight: int = 0
    """Number of requests in flight at the entry."""


@attrs.frozen
class ConfigWhole:
    """The complete configuration."""

    revision: int
    """Revision of the configuration."""
    declared: declarations.Declarations
    """All items, including keys."""


@attrs.frozen
class Restriction:
    """New work that must not go to an endpoint; none if all is default."""

    endpoint: base.EndpointId
    """ID of the endpoint."""
    models: tuple[base.ModelName, ...] = ()
    """Models whose weights cannot be used, sorted."""
    is_draining: bool = False
    """Whether the endpoint gets no new work at all before it is stopped."""


@attrs.frozen
class SyncReply:
    """The leader's reply, true at a moment after the poll was sent."""

    number: int
    """Number of the poll."""
    epoch: int
    """Control epoch of the leader."""
    revision: int
    """Revision of the committed configuration."""
    soft: SoftVersion
    """Version of the soft state after this reply."""
    instance: base.InstanceId = base.InstanceId("")  # noqa: RUF009
    """Entry that sent the poll."""
    incarnation: base.Incarnation = base.Incarnation(0)  # noqa: RUF009
    """Incarnation of the entry, which ignores replies to an earlier one."""
    whole: ConfigWhole | None = None
    """The complete configuration, if the history is too short for deltas."""
    deltas: tuple[config.Delta, ...] = ()
    """Changes since the revision that the entry holds."""
    soft_whole: bool = False
    """Whether soft state is listed completely, rather than its changes."""
    members: tuple[Member, ...] = ()
    """New or changed members; all of them if `soft_whole`."""
    members_gone: tuple[base.InstanceId, ...] = ()
    """Members removed."""
    endpoints: tuple[Announcement, ...] = ()
    """New or changed endpoints; all of them if `soft_whole`."""
    endpoints_gone: tuple[base.EndpointId, ...] = ()
    """Endpoints removed."""
    restrictions: tuple[Restriction, ...] = ()
    """New or changed restrictions; all of them if `soft_whole`."""


@attrs.frozen
class SyncRefused:
    """Refusal by an instance that is not the leader or holds no valid lease."""

    number: int
    """Number of the poll."""
    leader: base.InstanceId | None
    """Presumed leader; None if unknown."""


SyncMessage = SyncRequest | SyncReply | SyncRefused

SYNC_CODEC: base.Codec[SyncMessage] = base.Codec(
    SyncRequest, SyncReply, SyncRefused
)
"""Codec of the sync messages."""
