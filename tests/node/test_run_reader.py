"""Tests of reading the answers to item runs."""

import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs
from banyanbank_node import _ports
from banyanbank_node import _run_reader
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from tests.jobs import samples

VERSION_FIELD = b"version"


@attrs.define
class FakeResponse:
    """Answer of an engine whose chunks are all there."""

    version: int | None
    """Weight version in its headers."""
    chunks: list[bytes]
    """Chunks of its body."""
    signature: str = "s"
    """Signature in its headers."""
    status: int = 200
    """HTTP status."""

    async def next_chunk(self) -> result.Result[bytes, web.UpstreamError]:
        """Returns the next chunk; empty bytes mark the end."""
        return result.Success(self.chunks.pop(0) if self.chunks else b"")

    def cancel(self) -> None:
        """Does nothing."""


def _read_headers(resp: FakeResponse) -> _ports.ResponseHeaders:
    return _ports.ResponseHeaders("i1", False, resp.signature, resp.version)


class RunReaderTest(unittest.TestCase):
    """How runs end and what they leave in the text."""

    def setUp(self) -> None:
        self.reported: list[int] = []
        ignore = types.SimpleNamespace(
            items=types.SimpleNamespace(record=lambda *rest: None),
            observe=lambda *rest: None,
            observe_version=lambda *rest: None,
            record_reported_version=lambda target, model, version: (
                self.reported.append(version)
            ),
        )
        self.reader = _run_reader.RunReader(
            base.ManualClock(10.0),
            _as_any(
                types.SimpleNamespace(
                    read_response_headers=_read_headers,
                    weight_version_field=VERSION_FIELD,
                )
            ),
            _as_any(ignore),
            jobs.EngineHealth(),
            _as_any(ignore),
            _as_any(ignore),
            _as_any(ignore),
        )

    def read(
        self,
        resp: FakeResponse,
        versions: set[int],
        is_single_version: bool,
        tokens: int = 100,
    ) -> tuple[_run_reader.RunEndKind, jobs.ItemText]:
        """Reads an answer to a run that continues a text of one event."""
        job = samples.make_job(
            "j",
            attrs.evolve(samples.make_item("i1"), tokens=tokens),
            model="m",
            is_single_version=is_single_version,
        )
        item = jobs.ItemProgress(job, job.items[0])
        if versions:
            item.text = jobs.ItemText.resume(1, ["a"], versions)
        target = types.SimpleNamespace(endpoint=base.EndpointId("e"))
        run = _run_reader.Run(item, _as_any(target), 10.0, 10.0)
        read = defer.ensureDeferred(self.reader.read(run, _as_any(resp)))
        return _as_any(read).result.kind, item.text

    def test_versions_of_a_text(self) -> None:
        """Guards against several versions in a single-version text."""
        second, third = b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"
        changed = b"version: 5\n" + third
        ended = _run_reader.RunEndKind.GENERATED
        other = _run_reader.RunEndKind.OTHER_VERSION
        for name, version, chunks, is_single, end, pieces, versions in (
            ("same version", 4, [second, third], True, ended, 3, {4}),
            ("other version", 5, [second, third], True, other, 1, {4}),
            ("changes", 4, [second, changed], True, other, 2, {4}),
            ("changes at once", 4, [second + changed], True, other, 2, {4}),
            ("other one, may mix", 5, [second], False, ended, 2, {4, 5}),
            ("changes, may mix", 4, [second, changed], False, ended, 3, {4, 5}),
        ):
            with self.subTest(name):
                self.setUp()
                resp = FakeResponse(version, chunks.copy())
                kind, text = self.read(resp, {4}, is_single)
                self.assertEqual(kind, end)
                self.assertEqual(len(text.pieces), pieces)
                self.assertEqual(text.versions, versions)
                self.assertEqual(self.reported, [5] if end is other else [])

    def test_end_of_a_text(self) -> None:
        """Guards against ends that only look like the end of the text."""
        first = b"id: 1\ndata: a\n\n"
        ended = _run_reader.RunEndKind.GENERATED
        lost = _run_reader.RunEndKind.LOST
        for name, versions, resp, end in (
            ("whole", set(), FakeResponse(4, [first]), ended),
            ("unsigned", set(), FakeResponse(4, [first], ""), lost),
            ("empty", set(), FakeResponse(4, []), lost),
            ("nothing to add", {4}, FakeResponse(None, []), ended),
            ("nothing to add, with version", {4}, FakeResponse(4, []), ended),
            ("cut event", {4}, FakeResponse(4, [b"id: 2"]), lost),
            ("nothing to add, unsigned", {4}, FakeResponse(None, [], ""), lost),
        ):
            with self.subTest(name):
                kind, _ = self.read(resp, versions, is_single_version=False)
                self.assertEqual(kind, end)

    def test_text_without_end(self) -> None:
        """Guards against a text that no engine can complete any more."""
        ended = _run_reader.RunEndKind.GENERATED
        lost = _run_reader.RunEndKind.LOST
        for name, tokens, count, want in (
            ("an event a token", 100, 100, (ended, 100)),
            ("over the tokens", 100, 100_000, (lost, 0)),
            ("tokens not stated", 0, jobs.MAX_TEXT_EVENTS, (ended, None)),
            ("no tokens, over", 0, jobs.MAX_TEXT_EVENTS + 1, (lost, 0)),
        ):
            with self.subTest(name):
                events = b"".join(
                    b"id: %d\ndata: a\n\n" % number
                    for number in range(2, count + 1)
                )
                resp = FakeResponse(4, [events])
                kind, text = self.read(resp, {4}, False, tokens)
                self.assertEqual(kind, want[0])
                self.assertEqual(
                    len(text.pieces), count if want[1] is None else want[1]
                )


def _as_any(value: object) -> typing.Any:
    return value


if __name__ == "__main__":
    unittest.main()
