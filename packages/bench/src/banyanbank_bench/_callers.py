"""Client accounts that call for lookups."""

import random
import typing

import banyanbank_dispatch as dispatch

from banyanbank_bench import _workload

if typing.TYPE_CHECKING:
    from banyanbank_bench import _cluster

PROMPT_TOKENS = 300
ESTIMATE_TOKENS = 70.0


class Callers:
    """All accounts, by their shares of the lookups."""

    def __init__(self, cluster: "_cluster.Cluster", seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(f"{seed} load")

    def start(self) -> None:
        """Waits for the next lookup."""
        sim, shape = self._cluster.sim, self._cluster.workload
        rate = shape.lookups_per_s * shape.lookup_factor(sim.now)
        sim.after(self._rng.expovariate(rate), self._lookup)

    def _lookup(self) -> None:
        shares = self._cluster.workload.account_shares
        (number,) = self._rng.choices(range(len(shares)), shares)
        tokens = _workload.lookup_tokens(self._rng)
        job = self._cluster.new_job(
            f"a{number}",
            dispatch.WorkKind.INTERACTIVE,
            PROMPT_TOKENS,
            tokens,
            ESTIMATE_TOKENS,
        )
        self._cluster.submit(job)
        self.start()
