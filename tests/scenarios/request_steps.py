"""Steps about callers' requests."""

import base64

import banyanbank_fakes as fakes
import behave
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from tests import support
from tests.scenarios import common_steps  # noqa: F401

OK = 200
LOST = (error.ConnectionLost, error.ConnectionDone, client.ResponseFailed)
PEOPLE = {"nobody": "", "a guess": "guessed-key"}
CHAT = "/v1/chat/completions"
KEY_HEADERS = {"authorization", "cookie", "proxy-authorization", "x-api-key"}


def completion(text, tokens=120):
    return {
        "model": "coach",
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    }


@behave.when("{who} asks {method} {path} at instance {name}")
def when_asks(context, who, method, path, name):
    async def play():
        document = {} if method == "POST" else None
        context.answer = await context.world.call(
            name, PEOPLE.get(who, who), method, path, document
        )

    support.run_async(play)


@behave.then("the answer is {status:d} with outcome not run")
def then_not_run(context, status):
    assert context.answer.status == status, context.answer
    assert context.answer.document["outcome"] == "not run"


@behave.then("the answer is {status:d}")
def then_status(context, status):
    assert context.answer.status == status, context.answer


@behave.then("nothing ran")
def then_nothing_ran(context):
    assert not context.world.runs("/"), context.world.runs("/")
    assert not any(e.runs for e in context.world.engines.values())


@behave.when("tesfaye sends its key in every place that a request has")
def when_key_everywhere(context):
    world = context.world
    secret = world.secrets["tesfaye"]
    quoted = base64.b64encode(secret.encode()).decode()
    paired = base64.b64encode(f"user:{secret}".encode()).decode()

    async def play():
        lookups = [
            ("/lookup/1", {"proxy_authorization": f"Basic {paired}"}),
            (f"/lookup/1?api_key={secret}&x=1", {}),
            (f"/lookup/1?x={secret}", {}),
            ("/lookup/1", {"cookie": f"key={secret}"}),
            ("/lookup/1", {"x_api_key": secret}),
            ("/lookup/1", {"proxy_authorization": f"Basic {quoted}"}),
            ("/lookup/1", {"user_agent": f"caller/{secret}"}),
            (f"/lookup/{secret}", {}),
        ]
        for path, headers in lookups:
            await world.call("i1", "tesfaye", "GET", path, **headers)
        for text in (secret, f"my key is {quoted}"):
            await world.call("i1", "tesfaye", "POST", "/lookup/1", {"t": text})
            await world.call("i1", "tesfaye", "POST", CHAT, completion(text))
        await world.call("i1", "tesfaye", "POST", CHAT, completion("hello"))

    support.run_async(play)


@behave.then("no endpoint saw the key")
def then_no_key(context):
    world = context.world
    secret = world.secrets["tesfaye"]
    quoted = base64.b64encode(secret.encode()).decode().rstrip("=")
    seen = [repr(run) for run in world.runs("/")]
    seen += [repr(r) for e in world.engines.values() for r in e.runs]
    assert seen
    # Such headers could hold a key in a form that nobody looks for.
    for run in world.runs("/"):
        assert not KEY_HEADERS & run.headers.keys(), run.headers
    for text in seen:
        assert secret not in text, text
        assert quoted not in text, text


@behave.given("the engines cross their answers")
def given_crossed(context):
    for engine in context.world.engines.values():
        engine.faults.cross_answers = True


@behave.when("two callers ask for completions at once")
def when_two_ask(context):
    world = context.world

    async def play():
        asked = [("tesfaye", "fold one"), ("rheintal", "label two")] * 3
        running = [
            defer.ensureDeferred(
                world.call("i1", who, "POST", CHAT, completion(text))
            )
            for who, text in asked
        ]
        context.results = [
            (text, await one)
            for (_who, text), one in zip(asked, running, strict=True)
        ]

    support.run_async(play)


@behave.then("nobody got an answer that was not its own")
def then_own_answers(context):
    refused = 0
    for text, answer in context.results:
        if answer.status != OK:
            assert answer.document["outcome"] == "may have run", answer
            refused += 1
            continue
        got = answer.document["choices"][0]["message"]["content"]
        tokens = answer.document["usage"]["completion_tokens"]
        own = "".join(
            fakes.text_of(text, start, min(8, tokens - start))
            for start in range(0, tokens, 8)
        )
        assert got == own, (text, got, own)
    assert refused, "no answer was crossed"


@behave.given("the engines drop connections in mid-body")
def given_dropped(context):
    for engine in context.world.engines.values():
        engine.faults.drop_after_bytes = 300


@behave.given("service {name} drops connections in mid-body")
def given_service_dropped(context, name):
    context.world.services[name].faults.drop_after_bytes = 300


@behave.given("the engines end their answers early")
def given_early_ends(context):
    for engine in context.world.engines.values():
        engine.faults.omit_end_mark = True


@behave.when("tesfaye looks something up")
def when_lookup(context):
    async def play():
        try:
            answer = await context.world.call(
                "i1", "tesfaye", "GET", "/lookup/1"
            )
        except LOST:
            return
        context.whole += answer.status == OK

    support.run_async(play)


@behave.when("tesfaye asks for a completion")
def when_completion(context):
    world = context.world
    context.whole = 0

    async def play():
        for is_stream in (False, True):
            document = completion("a long fold") | {"stream": is_stream}
            try:
                answer = await world.call(
                    "i1", "tesfaye", "POST", CHAT, document
                )
            except LOST:
                continue
            context.whole += answer.status == OK

    support.run_async(play)


@behave.then("no answer looked whole")
def then_not_whole(context):
    assert context.whole == 0


@behave.given("service {name} is down but still announced")
def given_down(context, name):
    support.run_async(context.world.services[name].stop)


@behave.given("service {name} loses its answers")
def given_lost_answers(context, name):
    context.world.services[name].faults.drop_before_answer = True


@behave.when("service {name} answers again")
def when_answers_again(context, name):
    context.world.services[name].faults.drop_before_answer = False


@behave.when("rheintal books {key} at instance {name}")
def when_books(context, key, name):
    async def play():
        context.answer = await context.world.call(
            name,
            "rheintal",
            "POST",
            "/refill/boxes",
            {"boxes": 2},
            idempotency_key=key,
            x_deadline_ms="20000",
        )

    support.run_async(play)


@behave.when("rheintal books {key} at a live instance")
def when_books_anywhere(context, key):
    when_books(context, key, context.world.up()[0].identity.name)


@behave.then("the answer says not run")
def then_says_not_run(context):
    assert context.answer.document["outcome"] == "not run", context.answer


@behave.then("the booking ran once")
def then_once(context):
    assert len(context.world.runs("/refill")) == 1


@behave.then("no later answer says not run")
def then_never_not_run(context):
    for answer in context.world.answers:
        assert answer.document.get("outcome") == "may have run", answer


@behave.then("every answer is the same")
def then_equal(context):
    assert len({answer.body for answer in context.world.answers}) == 1
    assert all(answer.status == OK for answer in context.world.answers)


@behave.when("engine {name} leaves")
def when_leaves(context, name):
    support.run_async(context.world.announcers[name].leave)


@behave.when("every instance has heard of it")
def when_heard(context):
    async def play():
        serving = len(context.world.announcers) - 1
        await context.world.until_serving(serving)
        context.runs_before = {
            name: len(engine.runs)
            for name, engine in context.world.engines.items()
        }

    support.run_async(play)


@behave.when("tesfaye asks for {count:d} completions")
def when_many(context, count):
    async def play():
        for number in range(count):
            answer = await context.world.call(
                f"i{number % 3 + 1}",
                "tesfaye",
                "POST",
                CHAT,
                completion(f"fold {number}", 8),
            )
            assert answer.status == OK, answer

    support.run_async(play)


@behave.then("{name} ran nothing more")
def then_idle(context, name):
    runs = len(context.world.engines[name].runs)
    assert runs == context.runs_before[name]


@behave.when("tesfaye asks for completions at every instance")
def when_every_instance(context):
    world = context.world

    async def play():
        context.running = [
            defer.ensureDeferred(
                world.call(
                    name, "tesfaye", "POST", CHAT, completion(f"{n} {name}")
                )
            )
            for name in world.sites
            for n in range(4)
        ]
        await support.until(
            lambda: sum(e.running for e in world.engines.values()) > 2
        )

    support.run_async(play)


@behave.when("instance {name} is told to shut down while they run")
def when_drained(context, name):
    instance = context.world.sites[name].instance

    async def play():
        await instance.drain()
        context.results = [await one for one in context.running]

    support.run_async(play)


@behave.then("every completion was answered whole")
def then_all_whole(context):
    for answer in context.results:
        assert answer.status == OK, answer
        assert answer.document["choices"][0]["finish_reason"] == "stop"


@behave.then("instance {name} has stopped")
def then_stopped(context, name):
    instance = context.world.sites[name].instance
    assert instance.control.node.status().phase == "stopped"
