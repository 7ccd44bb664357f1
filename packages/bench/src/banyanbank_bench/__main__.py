"""Command line of the experiments: `python -m banyanbank_bench`."""

import json
import pathlib

import attrs
import fire

from banyanbank_bench import _cluster
from banyanbank_bench import _report
from banyanbank_bench import _workload


def measure(workload: str, policy: str, seed: int) -> _report.Figures:
    """Runs one policy and returns its figures.

    The unloaded latency of lookups comes from a second run of the same
    policy and seed without trainers' work.
    """
    shape = _workload.WORKLOADS[workload]
    cluster = _cluster.Cluster(shape, _workload.POLICIES[policy], seed)
    cluster.run()
    figures = _report.summarise(cluster)
    quiet = attrs.evolve(shape, groups=1, group_size=1)
    unloaded = _cluster.Cluster(quiet, _workload.POLICIES[policy], seed)
    unloaded.run()
    base_p99 = _report.summarise(unloaded)["lookup_p99_s"]
    figures["lookup_p99_over_unloaded"] = figures["lookup_p99_s"] / base_p99
    return {"workload": workload, "policy": policy, "seed": seed} | figures


class Bench:
    """Experiments over dispatch decisions under a simulated clock."""

    def run(
        self, workload: str = "tesfaye", policy: str = "quick_24", seed: int = 1
    ) -> None:
        """Runs one policy and prints its figures as JSON."""
        figures = measure(workload, policy, seed)
        del figures["waits"]
        print(json.dumps(figures, indent=2))

    def compare(
        self,
        workload: str = "tesfaye",
        policies: str = "",
        seeds: int = 3,
        out: str = "",
    ) -> None:
        """Runs policies side by side and prints the means over seeds.

        Args:
            workload: Which workload.
            policies: Names between commas; all when empty.
            seeds: How many seeds, from 1.
            out: Folder for `<workload>.json` and `<workload>.svg`; none when
                empty.
        """
        chosen = policies.split(",") if isinstance(policies, str) else policies
        names = [name for name in chosen if name] or list(_workload.POLICIES)
        rows = [
            measure(workload, name, seed)
            for name in names
            for seed in range(1, seeds + 1)
        ]
        means = {name: _report.mean(rows, name) for name in names}
        print(_report.table(means))
        for row in rows:
            del row["waits"]
        if out:
            folder = pathlib.Path(out)
            folder.mkdir(parents=True, exist_ok=True)
            data = {"means": means, "runs": rows}
            text = json.dumps(data, indent=1) + "\n"
            (folder / f"{workload}.json").write_text(text, encoding="utf-8")
            _report.plot(means, folder / f"{workload}.svg")


if __name__ == "__main__":
    fire.Fire(Bench)
