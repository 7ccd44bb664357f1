"""Tests of liveness and readiness."""

import math
import unittest

from banyanbank_daemon import _health

from tests import support
from tests.scenarios import world as world_module

ALL = _health.Scope.ALL
OPEN = _health.Scope.OPEN
STALE = _health.Unready.CONFIGURATION_STALE
GRACE_S = _health.STALE_GRACE_S


class ReadinessTest(unittest.TestCase):
    """A lost leader counts for keyed routes alone, and not at once."""

    def test_cases(self) -> None:
        for name, scope, is_draining, fresh_until, expected in (
            ("fresh", ALL, False, 10.1, None),
            ("leader changes", ALL, False, 10.0 - GRACE_S, None),
            ("leader is lost", ALL, False, 9.9 - GRACE_S, STALE),
            ("leader is lost, open", OPEN, False, 0.0, None),
            ("start", ALL, False, -math.inf, _health.Unready.STARTING),
            ("start, open", OPEN, False, -math.inf, _health.Unready.STARTING),
            ("drain", ALL, True, 10.1, _health.Unready.DRAINING),
            ("drain, open", OPEN, True, 0.0, _health.Unready.DRAINING),
        ):
            with self.subTest(name):
                ready = _health.Readiness.of(
                    scope, is_draining, fresh_until, 10.0
                )
                self.assertEqual(ready.reason, expected)


class ServedTest(unittest.TestCase):
    """The checks need no key; an isolated instance is alive and not ready."""

    def test_isolated(self) -> None:
        async def play() -> None:
            world = world_module.World(3)
            try:
                await world.start()
                await self.play(world)
            finally:
                await world.stop()

        support.run_async(play)

    async def play(self, world: world_module.World) -> None:
        self.assertEqual(await self.ask(world, "/readyz"), (200, None))
        status, _ = await self.ask(world, "/readyz?scope=none")
        self.assertEqual(status, 400)
        world.isolate("i3")
        while (await self.ask(world, "/readyz"))[0] == 200:
            await support.next_turn(0.05)
        told = await self.ask(world, "/readyz")
        self.assertEqual(told, (503, STALE.value))
        self.assertEqual(
            await self.ask(world, "/readyz?scope=open"), (200, None)
        )
        instance = world.sites["i3"].instance
        assert instance is not None
        instance.is_draining = True
        told = await self.ask(world, "/readyz?scope=open")
        self.assertEqual(told, (503, "draining"))
        self.assertEqual(await self.ask(world, "/healthz"), (200, None))
        instance.is_draining = False

    async def ask(
        self, world: world_module.World, path: str
    ) -> tuple[int, str | None]:
        answer = await world.caller("i3", "").call("GET", path)
        return answer.status, answer.document.get("reason")
