"""Every pair of failures, together and twice, over one small workload.

The seed can be set by hand: `PAIRS_SEED=7 python -m unittest
tests.scenarios.test_pairs`; `PAIRS=isolated` plays the pairs with that word.
"""

import concurrent.futures
import itertools
import multiprocessing
import os
import typing
import unittest

from twisted.internet import defer

from tests import support
from tests.scenarios import failures
from tests.scenarios import pairs

SEED = int(os.environ.get("PAIRS_SEED", "1"))
WORD = os.environ.get("PAIRS", "")
PROCESSES = 4
AT_ONCE = 4
"""Cases under way in a process; they spend most time waiting."""
CASE_LIMIT_S = 180.0
LIMIT_S = 900.0

Pair = tuple[str, str]


class PairsTest(unittest.TestCase):
    """No pair of failures breaks a promise."""

    def test_all_pairs(self) -> None:
        names = list(failures.FAILURES)
        wanted = [
            pair
            for pair in itertools.combinations_with_replacement(names, 2)
            if WORD in " ".join(pair)
        ]
        parts = [wanted[first::PROCESSES] for first in range(PROCESSES)]
        with concurrent.futures.ProcessPoolExecutor(
            PROCESSES, multiprocessing.get_context("spawn")
        ) as pool:
            found = list(pool.map(_play_part, parts))
        broken = list(itertools.chain.from_iterable(found))
        self.assertEqual(broken, [], "\n".join(broken))


def _play_part(part: list[Pair]) -> list[str]:
    """Plays some pairs in a process of its own; returns what was broken."""
    broken: list[str] = []

    async def main() -> None:
        waiting = iter(part)
        workers = [
            defer.ensureDeferred(_work(waiting, broken)) for _ in range(AT_ONCE)
        ]
        for worker in workers:
            await worker

    support.run_async(main, LIMIT_S)
    return broken


async def _work(waiting: typing.Iterator[Pair], broken: list[str]) -> None:
    from twisted.internet import reactor

    for pair in waiting:
        playing = defer.ensureDeferred(pairs.Case(pair, SEED).play())
        playing.addTimeout(CASE_LIMIT_S, reactor)
        try:
            found = await playing
        except Exception as exc:  # An act that fails ends its case only.
            found = [repr(exc)]
        broken.extend(f"{pair}, seed {SEED}: {text}" for text in found)
