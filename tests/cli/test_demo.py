"""The demo plays to its end."""

import pathlib
import tempfile
import threading
import unittest

from banyanbank_cli import _demo
from banyanbank_cli import _demo_world

from tests import support


class DemoTest(unittest.TestCase):
    """The whole path in one process, over real HTTP."""

    def test_plays(self) -> None:
        from twisted.internet import reactor

        lines: list[str] = []
        metrics: list[str] = []

        async def play() -> None:
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder)
                world = _demo_world.DemoWorld(reactor, path)
                try:
                    await _demo.Demo(world, lines.append).play()
                    shown = await world.operator().call("GET", "/metrics")
                    metrics.append(shown.body.decode())
                finally:
                    await world.stop()

        support.run_async(play)
        self.assertIn("16 graded samples", "\n".join(lines))
        for name in ("waiting", "running"):
            gauge = f'banyanbank_engine_{name}{{endpoint="engine-1"}}'
            self.assertIn(gauge, metrics[0])
        # Looking an IP number up as a name would have started threads.
        self.assertEqual(threading.active_count(), 1)
