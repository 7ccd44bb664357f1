"""Figures of a run, the clairvoyant bound, table and plot."""

import collections
import collections.abc
import itertools
import pathlib
import random
import statistics
import typing

import matplotlib.figure

from banyanbank_bench import _cluster
from banyanbank_bench import _rollouts
from banyanbank_bench import _trainer

SHUFFLES = 100

Figures = dict[str, typing.Any]
_Lengths = list[list[int]]


def quantile(values: collections.abc.Iterable[float], share: float) -> float:
    """Returns a quantile; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def idle_bound(cluster: _cluster.Cluster) -> float:
    """Returns a lower bound of the trainers' total idle seconds.

    No policy beats the longest sample of each step run alone, and none
    finishes all work faster than all engines with full batches, taking the
    trainers' work one after another from the least.
    """
    shape, spec = cluster.workload, cluster.workload.engine
    alone, work = 0.0, []
    for trainer in cluster.rollouts.trainers:
        steps = iter(trainer.lengths)
        for session in trainer.sessions:
            lengths = list(itertools.islice(steps, session.steps))
            alone += _alone_s(cluster, lengths)
        work.append(sum(sum(map(sum, groups)) for groups in trainer.lengths))
    if shape.sessions:
        return alone
    peak = spec.peak_tokens_per_s() * len(shape.engine_domains)
    spans, done = 0.0, 0.0
    for tokens in sorted(work):
        done += tokens / peak
        spans += done + shape.train_s
    return max(alone, spans - len(work) * shape.steps * shape.train_s)


def _alone_s(
    cluster: _cluster.Cluster, lengths: collections.abc.Sequence[_Lengths]
) -> float:
    """Returns the idle time of a session whose samples run alone."""
    shape, spec = cluster.workload, cluster.workload.engine
    prompt = _rollouts.PROMPT_TOKENS / spec.prefill_tokens_per_s
    handed_out: list[float] = []
    for number, groups in enumerate(lengths):
        longest = max(max(group) for group in groups)
        asked = number - cluster.policy.steps_ahead
        earliest = handed_out[asked] if asked >= 0 else 0.0
        earliest += longest * spec.token_s(1) + prompt
        if handed_out:
            earliest = max(earliest, handed_out[-1] + shape.train_s)
        handed_out.append(earliest)
    return handed_out[-1] - (len(lengths) - 1) * shape.train_s


def summarise(cluster: _cluster.Cluster) -> Figures:
    """Returns the figures of a finished run."""
    trainers = cluster.rollouts.trainers
    idle = sum(trainer.idle_s for trainer in trainers)
    steps = sum(trainer.steps for trainer in trainers)
    span = idle + steps * cluster.workload.train_s
    warm = idle - sum(trainer.first_idle_s for trainer in trainers)
    bound = idle_bound(cluster)
    ages = cluster.rollouts.staleness
    delivered = sum(cluster.tokens.values())
    sessions = sum(len(trainer.sessions) for trainer in trainers)
    end = max(trainer.finished_at for trainer in trainers)
    end = max(end, cluster.workload.day_s)
    cost = cluster.fleet.cost(end)
    lookups = sum(map(len, cluster.lookups.values()))
    return {
        "idle_share": idle / span,
        "idle_s_per_step": idle / steps,
        "first_idle_s": (idle - warm) / sessions,
        "warm_idle_s_per_step": warm / (steps - sessions),
        "idle_bound_share": bound / (bound + span - idle),
        "idle_over_bound": idle / bound,
        **{f"age_{n}": ages.count(n) / len(ages) for n in range(3)},
        **_lookup_figures(cluster),
        "worst_trainer_share": _worst_share(trainers),
        "rollout_wait_ratio": _worst_ratio(cluster.waits),
        "cost_per_1000_samples": 1000 * cost / len(ages),
        "cost_per_1000_lookups": 1000 * cost / lookups,
        "cost_per_hour": cost * 3600 / end,
        "reclaimable_share": cluster.tokens[True] / delivered,
        "reclaimed": cluster.fleet.reclaimed,
        "wasted_share": cluster.wasted_tokens / delivered,
        "refused": cluster.refused,
    }


def _lookup_figures(cluster: _cluster.Cluster) -> Figures:
    pairs = [pair for of_one in cluster.lookups.values() for pair in of_one]
    waits = {a: [w for w, _ in p] for a, p in cluster.lookups.items()}
    slowest = {
        account: quantile((latency for _, latency in of_one), 0.99)
        for account, of_one in cluster.lookups.items()
    }
    worst = max(slowest, key=lambda account: slowest[account])
    latencies = [latency for _, latency in cluster.lookups[worst]]
    return {
        "lookup_p50_s": quantile((latency for _, latency in pairs), 0.5),
        "lookup_p99_s": quantile((latency for _, latency in pairs), 0.99),
        "wait_mean_s": statistics.fmean(wait for wait, _ in pairs),
        "wait_p99_s": quantile((wait for wait, _ in pairs), 0.99),
        "worst_account_p50_s": quantile(latencies, 0.5),
        "worst_account_p99_s": slowest[worst],
        "worst_wait_ratio": _worst_ratio(waits),
        "chance_wait_ratio": _ratio_at_random(waits),
        "waits": waits,
    }


def _worst_ratio(waits: dict[str, list[float]]) -> float:
    """Returns the worst account's mean wait over the mean of accounts."""
    means = [statistics.fmean(values) for values in waits.values()]
    return max(means) / statistics.fmean(means)


def _ratio_at_random(waits: dict[str, list[float]]) -> float:
    """Returns the worst ratio of accounts that fare alike but for chance.

    The waits are dealt anew to the accounts, as many as each has.
    """
    rng = random.Random("waits at random")
    pool = list(itertools.chain.from_iterable(waits.values()))
    ratios = []
    for _ in range(SHUFFLES):
        rng.shuffle(pool)
        rest = iter(pool)
        dealt = {
            account: list(itertools.islice(rest, len(values)))
            for account, values in waits.items()
        }
        ratios.append(_worst_ratio(dealt))
    return statistics.fmean(ratios)


def _worst_share(trainers: list[_trainer.Trainer]) -> float:
    """Returns the least trainer's tokens a second over an equal share."""
    rates = [
        sum(sum(map(sum, groups)) for groups in trainer.lengths)
        / trainer.finished_at
        for trainer in trainers
    ]
    return min(rates) / statistics.fmean(rates)


def mean(rows: list[Figures], policy: str) -> Figures:
    """Returns the means over the seeds of one policy."""
    mine = [row for row in rows if row["policy"] == policy]
    skipped = (str, dict)
    names = [k for k, v in mine[0].items() if not isinstance(v, skipped)]
    names.remove("seed")
    pooled: dict[str, list[float]] = collections.defaultdict(list)
    for row in mine:
        for account, waits in row["waits"].items():
            pooled[account] += waits
    means = {n: statistics.fmean(row[n] for row in mine) for n in names}
    return means | {
        "pooled_wait_ratio": _worst_ratio(pooled),
        "pooled_chance_ratio": _ratio_at_random(pooled),
    }


def table(means: dict[str, Figures]) -> str:
    """Returns figures as text, a column a policy."""
    lines = [" " * 25 + "".join(f"{name:>15}" for name in means)]
    for figure in next(iter(means.values())):
        cells = "".join(f"{row[figure]:15.3f}" for row in means.values())
        lines.append(f"{figure:25}{cells}")
    return "\n".join(lines)


def plot(means: dict[str, Figures], path: pathlib.Path) -> None:
    """Draws the main figures as bars."""
    names = (
        "idle_share",
        "lookup_p99_over_unloaded",
        "worst_wait_ratio",
        "cost_per_1000_samples",
    )
    figure = matplotlib.figure.Figure(figsize=(14, 4), layout="constrained")
    for axes, name in zip(figure.subplots(1, len(names)), names, strict=True):
        axes.bar(list(means), [row[name] for row in means.values()])
        axes.set_title(name.replace("_", " "))
        axes.tick_params(axis="x", rotation=45)
    figure.savefig(path, metadata={"Date": None})
