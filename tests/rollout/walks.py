"""Seeded random walks through the states of `simulation.Simulation`."""

from collections.abc import Callable
import random

from tests.rollout import simulation

ACTIONS_PER_WALK = 120

Action = Callable[[simulation.Simulation, random.Random], object]


def _draw_selector(rng: random.Random) -> int:
    return rng.randrange(6)


def _draw_step(rng: random.Random) -> int:
    return rng.randrange(3)


def _draw_rare_flag(rng: random.Random) -> bool:
    return rng.random() < 0.3


def _decide(sim: simulation.Simulation, rng: random.Random) -> None:
    sim.wait(1.0)
    sim.decide(rng.choice((0, 0, 0, 2)))


def _generate(sim: simulation.Simulation, rng: random.Random) -> None:
    for selector in range(simulation.ENGINE_COUNT):
        sim.generate(selector, rng.randint(1, 7))


def _deliver(sim: simulation.Simulation, rng: random.Random) -> None:
    for selector in range(len(sim.messages)):
        sim.deliver(selector, _draw_rare_flag(rng))


ACTIONS: tuple[tuple[float, Action], ...] = (
    (3, lambda sim, r: sim.submit(_draw_selector(r), _draw_step(r))),
    (
        1,
        lambda sim, r: sim.submit_other_content(
            _draw_selector(r), _draw_step(r)
        ),
    ),
    (8, _decide),
    (8, _generate),
    (6, _deliver),
    (2, lambda sim, r: sim.deliver(_draw_selector(r), True)),
    (
        1,
        lambda sim, r: sim.send_incomplete_report(
            _draw_selector(r), r.choice((-1, 1))
        ),
    ),
    (
        2,
        lambda sim, r: sim.record_elsewhere(
            r.randrange(24), _draw_rare_flag(r)
        ),
    ),
    (1, lambda sim, r: sim.lose_message(_draw_selector(r))),
    (
        6,
        lambda sim, r: sim.fetch(
            _draw_selector(r), _draw_step(r), _draw_rare_flag(r)
        ),
    ),
    (2, lambda sim, r: sim.acknowledge(_draw_selector(r), _draw_step(r))),
    (2, lambda sim, r: sim.reject(_draw_selector(r), _draw_step(r))),
    (0.2, lambda sim, r: sim.cancel_step(_draw_selector(r), _draw_step(r))),
    (2, lambda sim, r: sim.publish(_draw_selector(r), _draw_rare_flag(r))),
    (3, lambda sim, r: sim.swap(_draw_selector(r), r.randrange(10))),
    (1, lambda sim, r: sim.crash_engine(_draw_selector(r), _draw_rare_flag(r))),
    (1, lambda sim, r: sim.toggle_reclaim(_draw_selector(r))),
    (1, lambda sim, r: sim.change_leader(_draw_rare_flag(r))),
    (1, lambda sim, r: sim.restart_from_snapshot()),
)


def walk(seed: int) -> simulation.Simulation:
    """Runs random actions, then checks that all submitted steps complete.

    Raises:
        AssertionError: An invariant is violated.
    """
    rng = random.Random(seed)
    sim = simulation.Simulation()
    weights = [weight for weight, _ in ACTIONS]
    for _, action in rng.choices(ACTIONS, weights, k=ACTIONS_PER_WALK):
        action(sim, rng)
    sim.settle(new_leader=seed % 2 == 0)
    return sim


def walk_reopened_slots(seed: int) -> None:
    """Reopens slots whose attempts had failed with tokens of version 0.

    The fetch names a version that was not published to the ledger, so the
    ledger alone cannot detect that those tokens are stale.

    Args:
        seed: Unused; all walks have the same signature.

    Raises:
        AssertionError: The step is never delivered.
    """
    del seed
    sim = simulation.Simulation()
    sim.submit(0, 0)
    sim.publish(0, is_lost=False)
    sim.decide(drop_every=0)
    for selector in range(simulation.ENGINE_COUNT):
        sim.generate(selector, 1)
        sim.crash_engine(selector, is_detected=True)
    for _ in range(4):
        sim.wait(1.0)
        sim.decide(drop_every=0)
        for selector in range(simulation.ENGINE_COUNT):
            sim.generate(selector, 7)
        while sim.messages:
            sim.deliver(0, keep=False)
    sim.publish(0, is_lost=True)
    sim.fetch(0, 0, is_lost=False)
    sim.settle(new_leader=False)
