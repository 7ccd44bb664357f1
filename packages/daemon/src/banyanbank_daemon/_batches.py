"""Hands out batches: the leader reads, any instance passes them on."""

import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_mesh as mesh
import banyanbank_rollout as rollout
from returns import result
from twisted.internet import task

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _rollout_plane

METHOD = "rollout.fetch"
POLL_S = 0.02
RETRY_S = 0.1
COMMIT_S = 5.0
GRACE_S = 5.0
MILLISECONDS = 1_000
LENGTH_BYTES = 4


@attrs.frozen
class FetchRequest:
    """A trainer's wish for the batch of a step."""

    trainer: base.TrainerId
    """Trainer that asks."""
    step: int
    """Training step."""
    newest_version: int
    """Newest version that the trainer knows it has published; 0 unstated."""
    wait_ms: int
    """Milliseconds to wait for the batch."""


@attrs.frozen
class FetchDone:
    """The whole batch was written."""


@attrs.frozen
class FetchPending:
    """The step is not whole yet."""

    missing: int
    """Samples still to come."""


@attrs.frozen
class FetchRefused:
    """There is no batch to hand out."""

    reason: str
    """Value of a `base.RefusalReason`."""
    detail: str
    """What happened."""

    def to_refusal(self) -> base.Refusal:
        """Returns the refusal that a trainer is shown."""
        return base.Refusal(
            base.RefusalReason(self.reason), base.Outcome.NOT_RUN, self.detail
        )


FetchEnd = FetchDone | FetchPending | FetchRefused
REQUEST_CODEC: base.Codec[FetchRequest] = base.Codec(FetchRequest)
END_CODEC: base.Codec[FetchEnd] = base.Codec(
    FetchDone, FetchPending, FetchRefused
)


class BatchSink(typing.Protocol):
    """Takes the JSON of a batch in pieces."""

    async def write(self, data: bytes) -> None:
        """Takes a piece; waits while the reader is slow."""
        ...


class BatchReader:
    """Reads batches from the ledger of the leader.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        plane: The ledger.
        node: The log here.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        plane: _rollout_plane.RolloutPlane,
        node: consensus.LogNode,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._plane = plane
        self._node = node

    async def read(self, req: FetchRequest, sink: BatchSink) -> FetchEnd:
        """Waits for a batch, commits its hand-out and writes it."""
        give_up_at = self._clock.now() + req.wait_ms / MILLISECONDS
        while not self._is_formed(req) and self._clock.now() < give_up_at:
            if not self._node.lease_held():
                return _not_leader()
            await task.deferLater(self._reactor, POLL_S)
        command = rollout.FetchBatch(
            req.trainer, req.step, base.WeightVersion(req.newest_version)
        )
        reply = await self._plane.propose_rollout(
            command, self._clock.now() + COMMIT_S
        )
        match reply:
            case rollout.BatchFetched():
                return await self._write(reply, sink)
            case rollout.BatchPending(missing=missing):
                return FetchPending(missing)
            case rollout.LedgerRefused(detail=detail):
                return FetchRefused(base.RefusalReason.NOT_FOUND.value, detail)
        return _not_leader()

    def _is_formed(self, req: FetchRequest) -> bool:
        step = self._plane.ledger.tables.steps.get((req.trainer, req.step))
        return step is None or step.batch is not None

    async def _write(
        self, batch: rollout.BatchFetched, sink: BatchSink
    ) -> FetchEnd:
        # Bodies are taken from one ledger value, so that an acknowledgement
        # under way cannot cut the answer.
        ledger = self._plane.ledger
        head = {
            "batch_id": batch.batch_id,
            "newest_version": batch.newest_version,
        }
        await sink.write(json.dumps(head)[:-1].encode() + b', "samples": [')
        separator = b""
        for entry in batch.entries:
            body = ledger.body(entry.slot)
            if body is None or body.data is None:
                raise LostBodyError(f"No body for sample {entry.slot}.")
            await sink.write(separator + _sample_json(entry, body.data))
            separator = b", "
        await sink.write(b"]}")
        return FetchDone()


class LostBodyError(Exception):
    """The ledger names a sample whose body is not here."""


def _sample_json(entry: rollout.BatchEntry, data: bytes) -> bytes:
    document = {
        "group": entry.slot.group,
        "index": entry.slot.index,
        "attempt_id": entry.attempt_id,
        "text": data.decode("utf-8", "replace"),
        "tokens": entry.token_count,
        "weight_versions": [
            {"version": stretch.version, "tokens": stretch.token_count}
            for stretch in entry.stretches
        ],
        "grade": entry.grade,
        "engine": entry.engine,
    }
    return json.dumps(document).encode()


def _not_leader() -> FetchRefused:
    return FetchRefused(
        base.RefusalReason.NO_LEADER.value,
        "No leader could hand the batch out; fetch again.",
    )


class BatchServer:
    """Serves peers' fetches at the leader.

    Args:
        reader: Reads the batches here.
    """

    def __init__(self, reader: BatchReader) -> None:
        self._reader = reader

    async def serve(
        self,
        sender: base.InstanceId,
        data: bytes,
        writer: mesh.StreamWriter,
    ) -> None:
        """Handles one stream of `METHOD`."""
        del sender
        sink = _FramedSink(writer)
        ended = await self._reader.read(REQUEST_CODEC.decode(data), sink)
        # An empty frame marks the end of the JSON; the end message follows.
        await writer.write(_frame(b"") + END_CODEC.encode(ended))


class _FramedSink:
    def __init__(self, writer: mesh.StreamWriter) -> None:
        self._writer = writer

    async def write(self, data: bytes) -> None:
        await self._writer.write(_frame(data))


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class BatchClient:
    """Fetches batches, wherever the leader is.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        transport: Mesh of this instance.
        instance: This instance.
        plane: Knows the leader.
        reader: Reads here; None on an instance that is no voter.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        instance: base.InstanceId,
        plane: _control_plane.ControlPlane,
        reader: BatchReader | None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = transport
        self._instance = instance
        self._plane = plane
        self._reader = reader

    async def fetch(
        self, req: FetchRequest, sink: BatchSink, deadline: float
    ) -> FetchEnd:
        """Fetches a batch; asks again only while nothing was written.

        Args:
            req: What is wanted.
            sink: Takes the JSON of the batch.
            deadline: When to give up, on the monotonic clock.
        """
        watched = _WatchedSink(sink)
        wait_until = self._clock.now() + req.wait_ms / MILLISECONDS
        while True:
            ended = await self._try(req, watched, deadline)
            is_final = not isinstance(ended, FetchRefused) or (
                ended.reason != base.RefusalReason.NO_LEADER.value
            )
            if is_final or watched.has_written:
                return ended
            if self._clock.now() >= max(wait_until, deadline - GRACE_S):
                return ended
            await task.deferLater(self._reactor, RETRY_S)
            left_ms = int((wait_until - self._clock.now()) * MILLISECONDS)
            req = attrs.evolve(req, wait_ms=max(0, left_ms))

    async def _try(
        self, req: FetchRequest, sink: "_WatchedSink", deadline: float
    ) -> FetchEnd:
        target = self._plane.next_target()
        if target == self._instance:
            if self._reader is None:
                return _not_leader()
            return await self._reader.read(req, sink)
        limit = self._clock.now() + req.wait_ms / MILLISECONDS + GRACE_S
        stream = self._mesh.open_stream(
            target, METHOD, REQUEST_CODEC.encode(req), max(limit, deadline)
        )
        try:
            ended = await _relay(_FrameReader(stream), sink)
        finally:
            stream.cancel()
        if ended is None:
            self._plane.note_unreachable(target)
            return _not_leader()
        return ended


async def _relay(frames: "_FrameReader", sink: BatchSink) -> FetchEnd | None:
    """Passes a batch on; None when the stream broke."""
    while True:
        frame = await frames.next()
        if frame is None:
            return None
        if not frame:
            return await frames.end()
        await sink.write(frame)


class _WatchedSink:
    def __init__(self, sink: BatchSink) -> None:
        self._sink = sink
        self.has_written = False

    async def write(self, data: bytes) -> None:
        self.has_written = True
        await self._sink.write(data)


class _FrameReader:
    """Cuts a mesh stream into frames, then the end message."""

    def __init__(self, stream: mesh.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def next(self) -> bytes | None:
        while True:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            end = LENGTH_BYTES + length
            is_known = len(self._buffer) >= LENGTH_BYTES
            if is_known and len(self._buffer) >= end:
                frame = bytes(self._buffer[LENGTH_BYTES:end])
                del self._buffer[:end]
                return frame
            if not await self._fill():
                return None

    async def end(self) -> FetchEnd:
        while await self._fill():
            pass
        try:
            return END_CODEC.decode(bytes(self._buffer))
        except base.CodecError:
            return _not_leader()

    async def _fill(self) -> bool:
        received = await self._stream.read()
        if isinstance(received, result.Failure):
            self._buffer.clear()
            return False
        data = received.unwrap()
        if data is None:
            return False
        self._buffer += data
        return True
