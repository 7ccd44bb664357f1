"""What this instance knows of endpoints, their owners and their load."""

import collections
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_dispatch as dispatch
import banyanbank_rollout as rollout

from banyanbank_daemon import _jobs

DEFAULT_TOKENS_PER_S = 1_000.0
QUICK_ENGINES = 4
"""Engines of a model from which on one is kept quick for lookups."""
QUICK_DIVISOR = 2
RESERVE_DIVISOR = 12
LOOK_S = 0.05
"""Seconds for which one look at the endpoints serves all requests."""


@attrs.frozen
class LoadReport:
    """Load of one engine's queue, as its owner told with an answer."""

    tokens: float
    """Tokens waiting and running."""
    requests: int
    """Requests waiting and running."""
    tokens_per_s: float
    """Rate of the engine."""
    token_s: float
    """Seconds between tokens of one stream; 0 when unknown."""
    heard_at: float
    """Monotonic seconds."""


NO_REPORT = LoadReport(0.0, 0, DEFAULT_TOKENS_PER_S, 0.0, 0.0)


@attrs.frozen
class EngineSlots:
    """Streams of one engine."""

    slots: int
    """Requests that it runs at once."""
    reserve: int
    """Of these, those that rollout work never takes."""


class Directory:
    """Endpoints and members, as learned from the leader and heard here.

    Args:
        instance: This instance.
        clock: Clock of deadlines.
        entry: Holds what was learned.
    """

    def __init__(
        self,
        instance: base.InstanceId,
        clock: base.Clock,
        entry: control.EntrySync,
    ) -> None:
        self.instance = instance
        self._clock = clock
        self._entry = entry
        self._serving: tuple[control.Announcement, ...] = ()
        self._known: dict[str, control.Announcement] = {}
        self._look_until = clock.now()

    def serving(self) -> tuple[control.Announcement, ...]:
        """Returns the endpoints that may get new work."""
        self._look()
        return self._serving

    def known(self) -> tuple[control.Announcement, ...]:
        """Returns every endpoint, those that leave included."""
        self._look()
        return tuple(self._known.values())

    def note_change(self) -> None:
        """Makes the next look see endpoints that came or left just now."""
        self._look_until = self._clock.now()

    def _look(self) -> None:
        now = self._clock.now()
        if now < self._look_until:
            return
        self._look_until = now + LOOK_S
        self._serving = self._entry.serving(now)
        known = self._entry.endpoints.all(include_reported=True)
        self._known = {one.endpoint: one for one in known}

    def in_service(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> bool:
        """Tells whether an engine's weights for a model can be used."""
        return self._entry.endpoints.in_service(endpoint, model)

    def members(self) -> tuple[control.Member, ...]:
        """Returns every member, those that leave included."""
        return self._entry.members.all()

    def url_of(self, endpoint: str) -> str | None:
        """Returns an endpoint's base URL; None once it is gone."""
        announcement = self._find(endpoint)
        if announcement is None:
            return None
        return f"http://{announcement.address}"

    def slots_of(self, endpoint: str) -> EngineSlots:
        """Returns the streams of an engine, and those kept for lookups.

        One engine of a model with several keeps half of its streams, so that
        its time between tokens stays short; routers find lookups answered
        soonest there.
        """
        announcement = self._find(endpoint)
        if announcement is None:
            return EngineSlots(1, 0)
        slots = announcement.slots
        if self._is_quick(announcement):
            return EngineSlots(slots, slots // QUICK_DIVISOR)
        reserve = max(1, slots // RESERVE_DIVISOR) if slots > 1 else 0
        return EngineSlots(slots, reserve)

    def _is_quick(self, announcement: control.Announcement) -> bool:
        for served in announcement.models:
            engines = [
                other.endpoint
                for other in self.serving()
                if any(one.model == served.model for one in other.models)
            ]
            is_first = min(engines, default="") == announcement.endpoint
            if len(engines) >= QUICK_ENGINES and is_first:
                return True
        return False

    def owner_of(self, endpoint: base.EndpointId) -> base.InstanceId | None:
        """Returns the instance that holds an engine's queue."""
        live = [
            member.instance for member in self.members() if not member.leaving
        ]
        return dispatch.rendezvous_owner(endpoint, live or [self.instance])

    def _find(self, endpoint: str) -> control.Announcement | None:
        self._look()
        return self._known.get(endpoint)


class Fleet:
    """Endpoints as candidates for requests, and the ways to them.

    Args:
        clock: Clock of load reports.
        directory: Endpoints and members.
        local_runner: Runs jobs on the engines owned here.
        remote_runner: Makes the way to a peer's engines.
    """

    def __init__(
        self,
        clock: base.Clock,
        directory: Directory,
        local_runner: _jobs.JobRunner,
        remote_runner: typing.Callable[[base.InstanceId], _jobs.JobRunner],
    ) -> None:
        self._clock = clock
        self._local_runner = local_runner
        self._remote_runner = remote_runner
        self._loads: dict[base.EndpointId, LoadReport] = {}
        self._known: frozenset[base.EndpointId] = frozenset()
        self._unserved: collections.Counter[base.ModelName] = (
            collections.Counter()
        )
        self.directory = directory
        self.serving = directory.serving
        self.url_of = directory.url_of

    def engine_candidates(
        self, model: base.ModelName
    ) -> list[dispatch.Candidate]:
        """Returns the engines in service that hold a model.

        Where none is left, those with whole weights of an older version do.
        """
        holders = [
            self._candidate(announcement, model)
            for announcement in self.serving()
            if any(served.model == model for served in announcement.models)
        ]
        usable = [
            holder
            for holder in holders
            if self.directory.in_service(holder.endpoint_id, model)
        ]
        return usable or [holder for holder in holders if holder.version]

    def note_unserved(self, model: base.ModelName) -> None:
        """Notes a request that found no endpoint of its model."""
        self._unserved[model] += 1

    def take_unserved(self) -> tuple[control.UnservedModel, ...]:
        """Returns such requests since the last call, for the leader."""
        taken = tuple(
            control.UnservedModel(model, count)
            for model, count in sorted(self._unserved.items())
        )
        self._unserved.clear()
        return taken

    def service_candidates(self, service: str) -> list[dispatch.Candidate]:
        """Returns the replicas of a plain service that are in service."""
        return [
            self._candidate(announcement, None)
            for announcement in self.serving()
            if announcement.service == service
        ]

    def models(self) -> set[base.ModelName]:
        """Returns the models that some engine in service holds."""
        return {
            served.model
            for announcement in self.serving()
            for served in announcement.models
        }

    def engine_views(self) -> list[rollout.EngineView]:
        """Returns the engines as the sample scheduler sees them."""
        serving = {announcement.endpoint for announcement in self.serving()}
        return [
            _engine_view(
                announcement,
                self.directory.slots_of(announcement.endpoint),
                announcement.endpoint in serving,
            )
            for announcement in self.directory.known()
            if announcement.kind is control.EndpointKind.ENGINE
        ]

    def runner_of(self, endpoint: base.EndpointId) -> _jobs.JobRunner | None:
        """Returns the way to an engine's owner."""
        owner = self.directory.owner_of(endpoint)
        if owner is None:
            return None
        if owner == self.directory.instance:
            return self._local_runner
        return self._remote_runner(owner)

    def note_load(
        self, endpoint: base.EndpointId, ended: _jobs.JobEnded
    ) -> None:
        """Takes in the load that an owner told with an answer."""
        if ended.load is not None:
            self.note_queue(endpoint, ended.load)

    def note_queue(
        self, endpoint: base.EndpointId, load: _jobs.QueueLoad
    ) -> None:
        """Takes in the load of an engine's queue, told by its owner now."""
        self._loads[endpoint] = LoadReport(
            tokens=load.tokens,
            requests=load.requests,
            tokens_per_s=load.tokens_per_s or DEFAULT_TOKENS_PER_S,
            token_s=load.token_s,
            heard_at=self._clock.now(),
        )

    def forget_gone(self) -> frozenset[base.EndpointId]:
        """Drops what is kept of endpoints that are gone; returns them."""
        known = frozenset(one.endpoint for one in self.directory.known())
        gone = self._known - known
        self._known = known
        for endpoint in gone:
            self._loads.pop(endpoint, None)
        return gone

    def _candidate(
        self,
        announcement: control.Announcement,
        model: base.ModelName | None,
    ) -> dispatch.Candidate:
        versions = [
            served.version
            for served in announcement.models
            if served.model == model
        ]
        load = self._loads.get(announcement.endpoint, NO_REPORT)
        return dispatch.Candidate(
            endpoint_id=announcement.endpoint,
            failure_domain=announcement.failure_domain,
            slots=announcement.slots,
            load_tokens=load.tokens,
            reported_at=load.heard_at,
            tokens_per_s=load.tokens_per_s,
            requests=load.requests,
            token_s=load.token_s,
            version=versions[0] if versions else base.WeightVersion(0),
            reclaimable=announcement.supply is control.Supply.RECLAIMABLE,
        )


def _engine_view(
    announcement: control.Announcement, streams: EngineSlots, is_serving: bool
) -> rollout.EngineView:
    return rollout.EngineView(
        endpoint=announcement.endpoint,
        models=tuple(served.model for served in announcement.models),
        versions=tuple(served.version for served in announcement.models),
        slots=streams.slots - streams.reserve if is_serving else 0,
    )
