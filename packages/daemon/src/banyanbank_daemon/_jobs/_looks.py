"""Looks at engines: what their owners know of a prompt's blocks and of load.

Reports of engines go to their owners alone. An entry asks the owners of the
engines that it compares, at most twice a second for one beginning of a prompt.
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
"""Longest wait for an owner's answer, in seconds."""
MIN_LOOK_INTERVAL_S = 0.5
LOOK_TTL_S = 60.0
"""Seconds since the last look after which a long prompt waits for a new one."""
MIN_LONG_PROMPT_BLOCKS = 4
"""Blocks from which on a prompt is long: computing them takes far longer than
asking."""
MAX_ENGINES = 16
"""Engines looked at for one prompt."""
MAX_REMEMBERED_PROMPTS = 1_024
"""Beginnings of prompts whose last look is remembered."""


@attrs.frozen
class LookRequest:
    """Asks an owner about some of its engines."""

    endpoints: tuple[str, ...]
    """Engines asked about."""
    blocks: tuple[str, ...]
    """Blocks of one prompt, from its beginning."""


@attrs.frozen
class EngineLook:
    """What an owner knows of one engine."""

    endpoint: str
    """The engine."""
    held: int | None
    """Blocks, from the beginning, that it holds; None when it tells nothing."""
    load: _messages.QueueLoad | None
    """Load of its queue; None before it had a request."""


@attrs.frozen
class LookReply:
    """An owner's answer."""

    engines: tuple[EngineLook, ...]
    """One an engine asked about."""


LOOK_CODEC: base.Codec[LookRequest] = base.Codec(LookRequest)
LOOK_REPLY_CODEC: base.Codec[LookReply] = base.Codec(LookReply)
REPORT_CODEC: base.Codec[_owned.EngineReport] = base.Codec(_owned.EngineReport)


class OwnerDirectory(typing.Protocol):
    """Knows the owners of engines."""

    @property
    def instance(self) -> base.InstanceId:
        """This instance."""
        ...

    def owner_of(self, endpoint: base.EndpointId) -> base.InstanceId | None:
        """Returns the instance that holds an engine's queue."""
        ...

    def url_of(self, endpoint: str) -> str | None:
        """Returns an endpoint's base URL; None once it is gone."""
        ...


class LookServer:
    """Answers for the engines that this instance owns.

    Args:
        clock: Clock of deadlines.
        owners: Engines that are known.
        queues: Queues of the engines owned here.
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
        """Takes in the report of an engine; unknown ones are ignored."""
        endpoint = report.cache.endpoint_id
        if self._directory.url_of(endpoint) is not None:
            granted = self._queues.granted(endpoint)
            self._queues.owned.record_report(report, granted, self._clock.now())

    def look_up(self, req: LookRequest) -> LookReply:
        """Returns what is known of some engines."""
        caches, now = self._queues.owned.caches, self._clock.now()
        return LookReply(
            tuple(
                EngineLook(
                    endpoint,
                    caches.held(base.EndpointId(endpoint), req.blocks, now),
                    self._queues.load_of(endpoint),
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
"""Takes a look, the blocks asked about, and when that was."""


class EngineLooks:
    """Passes reports on to owners and asks them.

    Args:
        clock: Clock of deadlines.
        transport: Mesh of this instance.
        owners: Knows the owners.
        server: Answers for the engines owned here.
        candidates: Returns the engines in service that hold a model.
        learn: Takes what was learned.
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
        """Gives an engine's report to its owner; a lost one shows as a gap."""
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
        """Looks at the engines that a prompt may go to.

        Waits for the answers where the prompt is long and its beginning has
        not been looked at for long; otherwise they serve the next request.
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
                self._look_at_owner(owner, req), "look at engines"
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
        # The same engines for the same beginning, at every entry.
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

    async def _look_at_owner(
        self, owner: base.InstanceId, req: LookRequest
    ) -> None:
        asked_at = self._clock.now()
        reply = await self._call_owner(owner, req)
        for look in () if reply is None else reply.engines:
            self._apply_look(look, req.blocks, asked_at)

    async def _call_owner(
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
