"""Looks: calls that ask owners for their engines' cache contents and load.

Engines' reports are sent only to their owners. An entry that compares engines
calls their owners, at most twice a second for prompts with the same first
block.
"""

import collections
import heapq
import typing
import zlib

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer

from banyanbank_daemon import _background
from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _owned
from banyanbank_daemon._jobs import _queues

LOOK_METHOD = "engine.look"
REPORT_METHOD = "engine.report"
REPORT_TIMEOUT_S = 1.0
LOOK_S = 0.02
"""Timeout of a call to an owner."""
MIN_LOOK_INTERVAL_S = 0.5
LOOK_TTL_S = 60.0
"""Age of the last look from which a long prompt waits for a new one."""
MIN_LONG_PROMPT_BLOCKS = 4
"""Blocks from which a prompt counts as long: computing them takes far longer
than a look."""
MAX_ENGINES = 16
"""Engines that are looked up for one prompt."""
MAX_REMEMBERED_PROMPTS = 1_024
"""First blocks whose last look is remembered."""


@attrs.frozen
class LookRequest:
    """Requests the state of some of an owner's engines."""

    endpoints: tuple[str, ...]
    """Ids of the engines."""
    blocks: tuple[str, ...]
    """Leading blocks of one prompt."""


@attrs.frozen
class EngineLook:
    """State of one engine, as its owner knows it."""

    endpoint: str
    """Id of the engine."""
    held: int | None
    """Leading blocks in its cache; None if no cache event was received."""
    load: _messages.QueueLoad | None
    """Load of its queue; None before its first request."""


@attrs.frozen
class LookReply:
    """An owner's reply to a `LookRequest`."""

    engines: tuple[EngineLook, ...]
    """One for each engine of the request."""


LOOK_CODEC: base.Codec[LookRequest] = base.Codec(LookRequest)
LOOK_REPLY_CODEC: base.Codec[LookReply] = base.Codec(LookReply)
REPORT_CODEC: base.Codec[_owned.EngineReport] = base.Codec(_owned.EngineReport)


class OwnerDirectory(typing.Protocol):
    """Maps engines to the instances that own them."""

    @property
    def instance(self) -> base.InstanceId:
        """This instance."""
        ...

    def owner_of(self, endpoint: base.EndpointId) -> base.InstanceId | None:
        """Returns the instance that runs an engine's queue."""
        ...

    def url_of(self, endpoint: str) -> str | None:
        """Returns an endpoint's base URL; None if it is unknown."""
        ...


class LookServer:
    """Serves reports and looks of the engines that this instance owns.

    Args:
        clock: Clock by which reports expire.
        directory: Registered engines.
        queues: Queues of the engines that this instance owns.
    """

    def __init__(
        self,
        clock: base.Clock,
        directory: OwnerDirectory,
        queues: _queues.EngineQueues,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._queues = queues

    def record_report(self, report: _owned.EngineReport) -> None:
        """Records an engine's report; ignores unknown engines."""
        endpoint = report.cache.endpoint_id
        if self._directory.url_of(endpoint) is not None:
            granted = self._queues.granted(endpoint)
            self._queues.owned.record_report(report, granted, self._clock.now())

    def look_up(self, req: LookRequest) -> LookReply:
        """Returns the cache and load state of the requested engines."""
        caches, now = self._queues.owned.caches, self._clock.now()
        return LookReply(
            tuple(
                EngineLook(
                    endpoint,
                    caches.held(base.EndpointId(endpoint), req.blocks, now),
                    self._queues.load_of_engine(endpoint),
                )
                for endpoint in req.endpoints
            )
        )

    async def serve_report(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles one call of `REPORT_METHOD`."""
        del sender
        self.record_report(REPORT_CODEC.decode(data))
        return b""

    async def serve_look(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles one call of `LOOK_METHOD`."""
        del sender
        return LOOK_REPLY_CODEC.encode(self.look_up(LOOK_CODEC.decode(data)))


FindCandidates = typing.Callable[
    [base.ModelName], typing.Sequence[dispatch.Candidate]
]
ApplyLook = typing.Callable[[EngineLook, tuple[str, ...], float], None]
"""Receives a look, its request's blocks and the time of the request."""


class EngineLooks:
    """Forwards engines' reports to their owners and calls owners for looks.

    Args:
        clock: Clock of the deadlines.
        transport: Mesh of this instance.
        directory: Maps engines to their owners.
        server: Serves the engines that this instance owns.
        candidates: Returns the engines in service that have a model loaded.
        apply_look: Receives each look.
    """

    def __init__(
        self,
        clock: base.Clock,
        transport: mesh.Mesh,
        directory: OwnerDirectory,
        server: LookServer,
        candidates: FindCandidates,
        apply_look: ApplyLook,
    ) -> None:
        self._clock = clock
        self._mesh = transport
        self._directory = directory
        self._server = server
        self._candidates = candidates
        self._apply_look = apply_look
        self._last_looks: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def pass_on(self, report: _owned.EngineReport) -> None:
        """Sends an engine's report to its owner, best effort.

        A lost report shows as a gap in the sequence of cache events.
        """
        owner = self._directory.owner_of(report.cache.endpoint_id)
        if owner == self._directory.instance:
            self._server.record_report(report)
        elif owner is not None:
            deadline = self._clock.now() + REPORT_TIMEOUT_S
            data = REPORT_CODEC.encode(report)
            self._mesh.call(owner, REPORT_METHOD, data, deadline)

    async def note_prompt(
        self, model: base.ModelName, blocks: tuple[str, ...]
    ) -> None:
        """Requests looks at the engines that a prompt may be routed to.

        Waits for the replies only if the prompt is long and the last look for
        its first block is stale; otherwise they benefit later requests.
        """
        if not blocks:
            return
        now = self._clock.now()
        age_s = now - self._last_looks.get(blocks[0], -LOOK_TTL_S)
        if age_s < MIN_LOOK_INTERVAL_S:
            return
        self._record_look(blocks[0], now)
        pending_looks = [
            _background.start(
                self._fetch_looks(owner, req),
                "look up engines at their owner",
            )
            for owner, req in self._requests_by_owner(model, blocks)
        ]
        if age_s >= LOOK_TTL_S and len(blocks) >= MIN_LONG_PROMPT_BLOCKS:
            await defer.DeferredList(pending_looks)

    def _requests_by_owner(
        self, model: base.ModelName, blocks: tuple[str, ...]
    ) -> list[tuple[base.InstanceId, LookRequest]]:
        def rank(candidate: dispatch.Candidate) -> int:
            return zlib.crc32(f"{blocks[0]}/{candidate.endpoint_id}".encode())

        by_owner = collections.defaultdict[base.InstanceId, list[str]](list)
        # Hashing selects the same engines for a first block at every entry.
        engines = heapq.nsmallest(
            MAX_ENGINES, self._candidates(model), key=rank
        )
        for candidate in engines:
            owner = self._directory.owner_of(candidate.endpoint_id)
            if owner is not None:
                by_owner[owner].append(candidate.endpoint_id)
        return [
            (owner, LookRequest(tuple(endpoints), blocks))
            for owner, endpoints in by_owner.items()
        ]

    def _record_look(self, first_block: str, now: float) -> None:
        self._last_looks[first_block] = now
        self._last_looks.move_to_end(first_block)
        if len(self._last_looks) > MAX_REMEMBERED_PROMPTS:
            self._last_looks.popitem(last=False)

    async def _fetch_looks(
        self, owner: base.InstanceId, req: LookRequest
    ) -> None:
        asked_at = self._clock.now()
        reply = await self._request_looks(owner, req)
        for look in () if reply is None else reply.engines:
            self._apply_look(look, req.blocks, asked_at)

    async def _request_looks(
        self, owner: base.InstanceId, req: LookRequest
    ) -> LookReply | None:
        if owner == self._directory.instance:
            return self._server.look_up(req)
        called = await self._mesh.call(
            owner,
            LOOK_METHOD,
            LOOK_CODEC.encode(req),
            self._clock.now() + LOOK_S,
        )
        if isinstance(called, result.Failure):
            return None
        return LOOK_REPLY_CODEC.decode(called.unwrap())
