"""Adds the figures of all instances up for operators."""

import collections
import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_daemon._figures import _messages
from banyanbank_daemon._figures import _prices

LOOKUPS = (dispatch.WorkKind.INTERACTIVE.value, _messages.SERVICE)
"""Kinds of work that somebody waits for."""
DIGITS = 3
"""Decimals of seconds and shares."""

WeightOf = collections.abc.Callable[[base.AccountId], float]

Document = dict[str, typing.Any]
F = typing.TypeVar("F")


@attrs.frozen
class Gathered:
    """Figures of all instances that could be asked."""

    instances: tuple[_messages.InstanceFigures, ...]
    """One each."""
    missing: tuple[base.InstanceId, ...]
    """Instances that did not answer; their counts are left out."""


def to_document(
    gathered: Gathered, weight_of: WeightOf, price_of: _prices.PriceOf
) -> Document:
    """Returns the figures of all instances, ready for JSON.

    Args:
        gathered: What the instances told.
        weight_of: Gives an account's weight in fair scheduling.
        price_of: Gives declared prices.
    """
    instances = gathered.instances
    accounts = _add_accounts(instances)
    return {
        "missing": list(gathered.missing),
        "trainers": _trainers(instances),
        "worst_served": _worst_served(accounts),
        "accounts": _account_rows(accounts, weight_of),
        "refused_by_limits": _refused_rows(instances),
        "endpoint_time": _endpoint_rows(instances, price_of),
        "withheld_versions": [
            attrs.asdict(version)
            for one in instances
            for version in one.withheld
        ],
    }


def _trainers(
    instances: tuple[_messages.InstanceFigures, ...],
) -> list[Document]:
    waits = _grouped(
        (item.trainer, item) for one in instances for item in one.trainers
    )
    steps = _grouped(
        (step.trainer, step) for one in instances for step in one.steps
    )
    return [
        _trainer_row(name, waits.get(name, []), steps.get(name, []))
        for name in sorted(waits.keys() | steps.keys())
    ]


def _trainer_row(
    name: base.TrainerId,
    waits: list[_messages.TrainerFigures],
    steps: list[_messages.StepFigures],
) -> Document:
    idle_s = sum(item.idle_s for item in waits)
    observed_s = max((item.observed_s for item in waits), default=0.0)
    current = min(steps, key=lambda item: item.step, default=None)
    return {
        "trainer": name,
        "idle_s": round(idle_s, DIGITS),
        "idle_share": _ratio(idle_s, observed_s),
        "waits_now": any(item.is_waiting for item in waits),
        "step": None if current is None else current.step,
        "samples_whole": 0 if current is None else current.recorded,
        "samples_open": 0 if current is None else current.open,
        "oldest_age_versions": None if current is None else current.oldest_age,
    }


def _add_accounts(
    instances: tuple[_messages.InstanceFigures, ...],
) -> list[_messages.AccountFigures]:
    rows = _grouped(
        ((item.account, item.kind), item)
        for one in instances
        for item in one.accounts
    )
    return [_add_account_rows(rows[key]) for key in sorted(rows)]


def _add_account_rows(
    rows: list[_messages.AccountFigures],
) -> _messages.AccountFigures:
    return _messages.AccountFigures(
        account=rows[0].account,
        kind=rows[0].kind,
        granted=sum(row.granted for row in rows),
        wait_s=sum(row.wait_s for row in rows),
        recent_granted=sum(row.recent_granted for row in rows),
        recent_wait_s=sum(row.recent_wait_s for row in rows),
        longest_s=max(row.longest_s for row in rows),
        tokens=sum(row.tokens for row in rows),
    )


def _worst_served(accounts: list[_messages.AccountFigures]) -> list[Document]:
    """Returns the accounts that now wait longest in the mean, by kind."""
    rows = _grouped(
        (row.kind, row)
        for row in accounts
        if row.kind in LOOKUPS and row.recent_granted
    )
    return [_worst_row(rows[kind]) for kind in sorted(rows)]


def _worst_row(lookups: list[_messages.AccountFigures]) -> Document:
    worst = max(lookups, key=_recent_mean)
    mean = sum(_recent_mean(row) for row in lookups) / len(lookups)
    return {
        "account": worst.account,
        "kind": worst.kind,
        "mean_wait_s": round(_recent_mean(worst), DIGITS),
        "times_mean_of_accounts": _ratio(_recent_mean(worst), mean),
    }


def _account_rows(
    accounts: list[_messages.AccountFigures], weight_of: WeightOf
) -> list[Document]:
    tokens = sum(row.tokens for row in accounts)
    return [
        {
            "account": row.account,
            "kind": row.kind,
            "weight": weight_of(row.account),
            "requests": row.granted,
            "mean_wait_s": _ratio(row.wait_s, row.granted),
            "recent_mean_wait_s": round(_recent_mean(row), DIGITS),
            "recent_longest_s": round(row.longest_s, DIGITS),
            "tokens": round(row.tokens),
            "share": _ratio(row.tokens, tokens),
        }
        for row in accounts
    ]


def _recent_mean(row: _messages.AccountFigures) -> float:
    return row.recent_wait_s / row.recent_granted if row.recent_granted else 0.0


def _refused_rows(
    instances: tuple[_messages.InstanceFigures, ...],
) -> list[Document]:
    rows = _grouped(
        (item.account, item.requests)
        for one in instances
        for item in one.refused
    )
    return [
        {"account": account, "requests": sum(rows[account])}
        for account in sorted(rows)
    ]


def _endpoint_rows(
    instances: tuple[_messages.InstanceFigures, ...], price_of: _prices.PriceOf
) -> list[Document]:
    rows = _grouped(
        ((item.failure_domain, item.supply, item.kind, item.serves), item)
        for one in instances
        for item in one.endpoints
    )
    return [_endpoint_row(rows[key], price_of) for key in sorted(rows)]


def _endpoint_row(
    rows: list[_messages.EndpointFigures], price_of: _prices.PriceOf
) -> Document:
    seconds = sum(row.seconds for row in rows)
    price = price_of(rows[0])
    cost = None if price is None else round(price * seconds / 3_600, DIGITS)
    return {
        "failure_domain": rows[0].failure_domain,
        "supply": rows[0].supply,
        "kind": rows[0].kind,
        "serves": rows[0].serves,
        "running": sum(row.running for row in rows),
        "seconds": round(seconds, DIGITS),
        "price_per_hour": price,
        "cost": cost,
    }


def _grouped(
    pairs: collections.abc.Iterable[tuple[typing.Any, F]],
) -> dict[typing.Any, list[F]]:
    groups: dict[typing.Any, list[F]] = collections.defaultdict(list)
    for key, item in pairs:
        groups[key].append(item)
    return groups


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, DIGITS) if whole else 0.0
