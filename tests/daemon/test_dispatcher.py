"""Tests of how a request goes on when its engine is lost."""

import json
import random
import typing
import unittest

import attrs
import banyanbank_base as base
from banyanbank_daemon import _dispatcher
from banyanbank_daemon import _jobs
import banyanbank_dispatch as dispatch
from returns import result
from twisted.internet import defer
from twisted.internet import task

LIMIT = 4
PROMPT = "x" * 24
PROMPT_TOKENS = 7
CUT = _jobs.JobFailed(
    base.RefusalReason.ENDPOINT_FAILED.value,
    base.Outcome.MAY_HAVE_RUN.value,
    "cut",
    is_cut=True,
    engine_ms=30,
)
BROKEN = attrs.evolve(CUT, detail="broken", is_cut=False)
REFUSED = _jobs.JobFailed(
    base.RefusalReason.NO_ENDPOINT.value, base.Outcome.NOT_RUN.value, "refused"
)
WITHDRAWN = attrs.evolve(
    REFUSED, reason=base.RefusalReason.KEY_WITHDRAWN.value, detail="withdrawn"
)
WHOLE = "whole"


@attrs.frozen
class Try:
    """What one engine makes of its call: tokens, then an end."""

    tokens: int
    end: _jobs.JobFailed | str
    version: int = 1
    delta: dict[str, str] = attrs.field(factory=dict)
    finish: str | None = None


class ScriptedEngines:
    """A fleet whose engines make letters, each going on from its prompt."""

    def __init__(self, tries: list[Try]) -> None:
        self.tries = list(tries)
        self.bodies: list[dict[str, typing.Any]] = []
        self.counted: list[_jobs.JobEnded] = []

    def engine_candidates(self, model: object) -> list[dispatch.Candidate]:
        domain = base.FailureDomain("zone-1")
        return [
            dispatch.Candidate(base.EndpointId(name), domain, 8)
            for name in "abcde"
        ]

    def runner_of(self, endpoint: object) -> "ScriptedEngines":
        return self

    def note_load(self, endpoint: object, ended: object) -> None:
        """Takes no loads."""

    def count_job(self, account: object, ended: _jobs.JobEnded) -> None:
        self.counted.append(ended)

    async def run(
        self, job: _jobs.ModelJob, sink: _jobs.JobSink
    ) -> _jobs.JobResult:
        call = json.loads(job.body)
        self.bodies.append(call)
        one = self.tries.pop(0)
        made = _made(call)
        try:
            for position in range(made, made + one.tokens):
                await sink.emit(_event(one, chr(ord("a") + position)))
        except _jobs.SinkClosed:
            return result.Failure(attrs.evolve(CUT, detail="reader gone"))
        if isinstance(one.end, _jobs.JobFailed):
            return result.Failure(one.end)
        prompt = PROMPT_TOKENS + made
        stretch = _jobs.VersionCount(one.version, one.tokens)
        return result.Success(
            _jobs.JobEnded(prompt, one.tokens, 0, 50, (stretch,))
        )


def _event(one: Try, text: str) -> _jobs.JobChunk:
    choice = {
        "index": 0,
        "delta": {"content": text, **one.delta},
        "finish_reason": one.finish,
    }
    event = {
        "id": f"id-{one.version}",
        "choices": [choice],
        "tokens": 1,
        "weight_version": one.version,
    }
    return _jobs.JobChunk.of(event)


class Reader:
    """Takes a stream; may go away after some events."""

    def __init__(self, leaves_after: int) -> None:
        self.events: list[dict[str, typing.Any]] = []
        self._leaves_after = leaves_after

    async def emit(self, chunk: _jobs.JobChunk) -> None:
        if len(self.events) >= self._leaves_after:
            raise _jobs.SinkClosed
        self.events.append(json.loads(chunk.data))

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Never calls back; the reader is found gone when it is written to."""

    @property
    def text(self) -> str:
        choices = [c for e in self.events for c in e["choices"]]
        return "".join(c["delta"].get("content", "") for c in choices)


def _made(call: dict[str, typing.Any]) -> int:
    if not call.get("continue_final_message"):
        return 0
    return len(call["messages"][-1]["content"])


class ContinuationTest(unittest.TestCase):
    """A stream goes on where it was cut, or ends with the error it had."""

    def play(
        self,
        tries: list[Try],
        leaves_after: int = 99,
        kind: dispatch.WorkKind = dispatch.WorkKind.INTERACTIVE,
        **options: object,
    ) -> tuple[_jobs.JobResult, ScriptedEngines, Reader]:
        clock = task.Clock()
        engines, reader = ScriptedEngines(tries), Reader(leaves_after)
        rng = random.Random(1)
        dispatcher = _dispatcher.Dispatcher(
            clock,
            base.ManualClock(0.0),
            engines,
            dispatch.Router(base.FailureDomain("zone-1"), rng),
            dispatch.RetryPolicy(rng),
            engines,
            lambda _blocks, _candidates: defer.succeed(None),
        )
        call = {"messages": [{"role": "user", "content": PROMPT}]}
        req = _dispatcher.ModelRequest(
            request_id="r",
            account=base.AccountId("tesfaye"),
            key_id=base.KeyId("k"),
            revision=1,
            kind=kind,
            model=base.ModelName("coach"),
            path="/v1/chat/completions",
            body=json.dumps({**call, "max_tokens": LIMIT, **options}).encode(),
            weight=1.0,
            cost_tokens=10,
            blocks=(),
            deadline=60.0,
        )
        running = defer.ensureDeferred(dispatcher.run(req, reader))
        clock.pump([1.0] * 8)
        ends: list[_jobs.JobResult] = []
        running.addCallback(ends.append)
        return ends[0], engines, reader

    def test_goes_on(self) -> None:
        role = {"role": "assistant"}
        last = {"finish": "stop"}
        table: list[tuple[str, list[Try], str, tuple[tuple[int, int], ...]]] = [
            ("undisturbed", [Try(4, WHOLE)], "abcd", ((1, 4),)),
            ("cut", [Try(1, CUT), Try(3, WHOLE, 2)], "abcd", ((1, 1), (2, 3))),
            ("cut early", [Try(0, CUT), Try(4, WHOLE, 2)], "abcd", ((2, 4),)),
            (
                "cut twice, refused between",
                [Try(1, CUT), Try(0, REFUSED), Try(1, CUT), Try(2, WHOLE, 2)],
                "abcd",
                ((1, 2), (2, 2)),
            ),
            (
                "a sick engine between",
                [Try(1, CUT), Try(0, BROKEN), Try(3, WHOLE, 2)],
                "abcd",
                ((1, 1), (2, 3)),
            ),
            (
                "role told twice",
                [Try(2, CUT, 1, role), Try(2, WHOLE, 2, role)],
                "abcd",
                ((1, 2), (2, 2)),
            ),
            ("cut after its limit", [Try(4, CUT)], "abcd", ((1, 4),)),
            ("cut after its end", [Try(1, CUT, **last)], "a", ((1, 1),)),
        ]
        for name, tries, text, stretches in table:
            with self.subTest(name):
                ended, engines, reader = self.play(tries)
                self.assertEqual(reader.text, text)
                told = ended.unwrap()
                self.assertEqual(engines.counted, [told])
                self.assertEqual(told.completion_tokens, len(text))
                self.assertEqual(told.prompt_tokens, PROMPT_TOKENS)
                counts = tuple((s.version, s.tokens) for s in told.stretches)
                self.assertEqual(counts, stretches)
                made = [_made(body) for body in engines.bodies]
                limits = [body["max_tokens"] for body in engines.bodies]
                self.assertEqual(limits, [LIMIT - count for count in made])
                self.assertEqual(len({e["id"] for e in reader.events}), 1)
                roles = [c for e in reader.events for c in e["choices"]]
                told_late = [c for c in roles[2:] if "role" in c["delta"]]
                self.assertEqual(told_late, [])

    def test_ends(self) -> None:
        tools = {"tools": [{"type": "function"}]}
        table: list[tuple[str, list[Try], dict[str, typing.Any], str]] = [
            ("breaks the protocol", [Try(1, BROKEN)], {}, "broken"),
            ("more state than text", [Try(1, CUT)], tools, "cut"),
            (
                "left to the scheduler",
                [Try(1, CUT)],
                {"kind": dispatch.WorkKind.ROLLOUT},
                "cut",
            ),
            ("key withdrawn", [Try(1, CUT), Try(0, WITHDRAWN)], {}, "cut"),
            (
                "no engine is left",
                [Try(1, CUT)] + [Try(0, REFUSED)] * 3,
                {},
                "cut",
            ),
            (
                "lost before output",
                [Try(0, BROKEN)] + [Try(0, REFUSED)] * 3,
                {},
                "broken",
            ),
            ("reader gone", [Try(2, CUT)], {"leaves_after": 1}, "reader gone"),
        ]
        for name, tries, more, detail in table:
            with self.subTest(name):
                ended, engines, _reader = self.play(tries, **more)
                self.assertEqual(ended.failure().detail, detail)
                outcome = base.Outcome.MAY_HAVE_RUN.value
                self.assertEqual(ended.failure().outcome, outcome)
                self.assertEqual(engines.counted, [])
                self.assertEqual(engines.tries, [])

    def test_malformed_events_count_for_nothing(self) -> None:
        table = [
            '{"choices": [1], "tokens": 1}',
            '{"choices": 1, "tokens": 1}',
            '{"choices": [{"delta": 3}], "tokens": 1}',
            '{"choices": [{"text": 5}], "tokens": 1}',
            '{"choices": [], "tokens": "x"}',
        ]
        for data in table:
            with self.subTest(data):
                partial = _jobs.PartialAnswer(b"{}")
                with self.assertRaises(_jobs.EventStreamError):
                    partial.take(_jobs.JobChunk.of(json.loads(data)))
                self.assertEqual((partial.tokens, partial.has_new), (0, False))
