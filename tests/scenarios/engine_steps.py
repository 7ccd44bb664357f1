"""Steps about engines that die, and about what they have cached."""

import json
import unittest.mock

from banyanbank_daemon._jobs import _looks
import banyanbank_fakes as fakes
import behave

from tests import support
from tests.scenarios import request_steps

OK = 200
PLAIN = "/v1/completions"
PATIENCE_S = 20.0
"""Longer than owners take to answer, on however busy a machine."""
REPORTED = 0.9
"""Confidence that only an engine's own report gives."""
LONG_SEED = 2
"""Makes the stand-in's answer as long as is allowed."""
LONG_TOKENS = 120
CRASH_TOKENS = 72
"""More than half, so that the engine that goes on never has so many."""


@behave.given("engine {name} serves version {version:d}")
def given_version(context, name, version):
    context.world.engines[name].weight_version = version


@behave.when("an engine dies in the middle of tesfaye's {mode} {shape} answer")
def when_engine_dies(context, mode, shape):
    for engine in context.world.engines.values():
        engine.crash_after_tokens = CRASH_TOKENS
    document = request_steps.completion("a long fold", LONG_TOKENS) | {
        "seed": LONG_SEED
    }
    if shape == "plain":
        document["prompt"] = document.pop("messages")[0]["content"]
    document["stream"] = mode == "streamed"
    path = PLAIN if shape == "plain" else request_steps.CHAT

    async def play():
        answer = await context.world.call(
            "i1", "tesfaye", "POST", path, document
        )
        assert answer.status == OK, answer
        read = _read_stream if mode == "streamed" else _read_whole
        context.got, context.told, context.usage = read(answer)

    support.run_async(play)


def _text(choice):
    inner = choice.get("delta") or choice.get("message") or {}
    return choice.get("text") or inner.get("content") or ""


def _read_whole(answer):
    document = answer.document
    told = [(s["version"], s["tokens"]) for s in document["weight_versions"]]
    return _text(document["choices"][0]), told, document["usage"]


def _read_stream(answer):
    *blocks, last = answer.body.decode().removesuffix("\n\n").split("\n\n")
    assert last == "data: [DONE]", last
    events = [json.loads(block.removeprefix("data: ")) for block in blocks]
    told = []
    for event in events:
        version, tokens = event.get("weight_version"), event.get("tokens")
        if told and told[-1][0] == version:
            tokens += told.pop()[1]
        if tokens:
            told.append((version, tokens))
    [usage] = [event["usage"] for event in events if "usage" in event]
    reasons = [c["finish_reason"] for e in events for c in e["choices"]]
    assert reasons.count(None) == len(reasons) - 1, reasons
    text = "".join(_text(c) for e in events for c in e["choices"])
    return text, told, usage


@behave.then("the caller got the whole answer once")
def then_whole_once(context):
    prompt = "a long fold"
    assert context.got == fakes.text_of(prompt, 0, LONG_TOKENS), context.got
    assert context.usage["completion_tokens"] == LONG_TOKENS
    assert context.usage["prompt_tokens"] == max(1, len(prompt) // 4)


@behave.then("the answer names the versions that the engines used")
def then_engine_versions(context):
    engines = context.world.engines.values()
    runs = sorted(
        (run for engine in engines for run in engine.runs),
        key=lambda run: run.finished,
    )
    assert [run.finished for run in runs] == [False, True], runs
    [(last_version, last_tokens)] = runs[1].versions.items()
    [(first_version, first_tokens)] = runs[0].versions.items()
    carried = LONG_TOKENS - last_tokens
    assert 0 < carried <= first_tokens, runs
    expected = [(first_version, carried), (last_version, last_tokens)]
    assert context.told == expected, (context.told, expected)


@behave.when("tesfaye sends prompts with {count:d} long beginnings to {name}")
def when_long_beginnings(context, count, name):
    context.beginnings = [
        f"{number} " + "a long beginning " * 200 for number in range(count)
    ]
    _ask_with_beginnings(context, name)
    runs = [run for e in context.world.engines.values() for run in e.runs]
    context.asked_before = {run.request_id for run in runs}


def _ask_with_beginnings(context, name):
    # On a busy machine owners may answer later than a prompt waits for them.
    with unittest.mock.patch.object(_looks, "LOOK_S", PATIENCE_S):
        _ask_in_turn(context, name)


def _ask_in_turn(context, name):
    async def play():
        for number, beginning in enumerate(context.beginnings):
            document = request_steps.completion(
                f"{beginning} at {name}: {number}", 8
            )
            answer = await context.world.call(
                name, "tesfaye", "POST", request_steps.CHAT, document
            )
            assert answer.status == OK, answer

    support.run_async(play)


@behave.when("the engines have reported their caches")
def when_reported(context):
    world = context.world
    texts = ["user: " + beginning for beginning in context.beginnings]

    def is_known(text):
        # More than what the owner expects of the prompts that it granted.
        return any(
            i.dispatch.queues.owned.caches.confidence(
                name, fakes.blocks_of(text)[0], world.clock.now()
            )
            > REPORTED
            for i in world.up()
            for name in world.engines
        )

    async def play():
        await support.until(lambda: all(map(is_known, texts)))

    support.run_async(play)


@behave.when("tesfaye sends prompts with the same beginnings to i2 and i3")
def when_same_beginnings(context):
    for name in ("i2", "i3"):
        _ask_with_beginnings(context, name)


@behave.then("every later request found its beginning cached")
def then_cached(context):
    runs = [run for e in context.world.engines.values() for run in e.runs]
    later = [r for r in runs if r.request_id not in context.asked_before]
    assert len(later) == 2 * len(context.beginnings)
    least = len(context.beginnings[0]) // 512 * 128
    for run in later:
        assert run.cached_tokens >= least, (run.request_id, run.cached_tokens)
