"""Measures the share of prompt tokens that engines find cached.

    python -m measurements.affinity [SEED]

One run plays the same requests through the real code several times: with
engines that report nothing, and with engines that report their caches promptly,
late, and with losses.
"""

import random
import sys

import attrs
from twisted.internet import defer
from twisted.internet import task

from tests import support
from tests.scenarios import world as world_module

INSTANCES = 5
ENGINES = 5
CACHE_BLOCKS = 128
BEGINNINGS = 64
BEGINNING_CHARS = 4_096
REQUESTS = 600
AT_ONCE = 8
PREFILL_TOKEN_S = 1 / 8_000
POPULARITY = 0.7
"""Exponent by which a beginning's rank lowers its share of requests."""
TOO_MANY = 429
PAUSE_S = 0.1
CHAT = "/v1/chat/completions"


@attrs.frozen
class Variant:
    """How engines report."""

    name: str
    reports: bool = True
    lag_s: float = 0.0
    drop_every: int = 0


VARIANTS = (
    Variant("no reports", reports=False),
    Variant("reports", reports=True),
    Variant("reports 1 s late", lag_s=1.0),
    Variant("reports 1 s late, every third lost", lag_s=1.0, drop_every=3),
)


async def _start(variant: Variant) -> world_module.World:
    world = world_module.World(INSTANCES)
    await world.start()
    answer = await world.apply(world_module.sheet(), x_expect_revision="0")
    assert answer.status == world_module.OK, answer
    await world.create_key("tesfaye")
    for number in range(ENGINES):
        name = f"engine-{number + 1}"
        world.add_engine(name, f"zone-{number % 3 + 1}")
        engine = world.engines[name]
        engine.cache.capacity = CACHE_BLOCKS
        engine.prefill_token_s = PREFILL_TOKEN_S
        engine.faults.report_lag_s = variant.lag_s
        engine.faults.drop_reports_every = variant.drop_every
        world.announcers[name].reports = variant.reports
    await world.until_serving(ENGINES)
    return world


def _documents(rng: random.Random) -> list[dict[str, object]]:
    beginnings = [
        "".join(rng.choices("abcdefgh ", k=BEGINNING_CHARS))
        for _ in range(BEGINNINGS)
    ]
    weights = [1 / rank**POPULARITY for rank in range(1, BEGINNINGS + 1)]
    chosen = rng.choices(beginnings, weights, k=REQUESTS)
    return [
        {
            "model": "coach",
            "max_tokens": 32,
            "messages": [
                {"role": "system", "content": beginning},
                {"role": "user", "content": f"question {number}"},
            ],
        }
        for number, beginning in enumerate(chosen)
    ]


@attrs.frozen
class Outcome:
    """What one variant gave."""

    cached_share: float
    mean_s: float


async def _play(variant: Variant, seed: int) -> Outcome:
    rng = random.Random(seed)
    documents = _documents(rng)
    names = [f"i{rng.randint(1, INSTANCES)}" for _ in documents]
    world = await _start(variant)
    calls = iter(zip(names, documents, strict=True))
    cached = [0, 0]
    seconds: list[float] = []

    async def work() -> None:
        for name, document in calls:
            started_at = world.clock.now()
            answer = await world.call(name, "tesfaye", "POST", CHAT, document)
            while answer.status == TOO_MANY:
                # Shares of the limits are being leased at the start.
                await task.deferLater(world.reactor, PAUSE_S)
                answer = await world.call(
                    name, "tesfaye", "POST", CHAT, document
                )
            assert answer.status == world_module.OK, answer
            seconds.append(world.clock.now() - started_at)
            usage = answer.document["usage"]
            cached[0] += usage["prompt_tokens"]
            cached[1] += usage["prompt_tokens_details"]["cached_tokens"]

    try:
        await defer.gatherResults(
            [defer.ensureDeferred(work()) for _ in range(AT_ONCE)]
        )
    finally:
        await world.stop()
    return Outcome(cached[1] / cached[0], sum(seconds) / len(seconds))


def main() -> None:
    """Prints one line a variant."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for variant in VARIANTS:
        outcome = support.run_async(lambda v=variant: _play(v, seed), 300.0)
        sys.stdout.write(
            f"seed {seed}, {variant.name}: {outcome.cached_share:.3f} of prompt"
            f" tokens cached, mean answer {outcome.mean_s * 1_000:.0f} ms\n"
        )


if __name__ == "__main__":
    main()
