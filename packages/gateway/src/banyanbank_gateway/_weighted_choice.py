"""Orders endpoints of unequal speed by weighted random choice."""

import collections.abc
import itertools
import random
import typing

import attrs

TIME_POWER = 2.0
"""Weights fall with this power of the expected time. With 2, an endpoint that
is 2.5 times slower gets a sixth of the requests of another; where speeds are
0.7 to 1.7, the fastest endpoint gets 1.3 times its share by speed."""

LOAD_POWER = 6.0
"""Weights fall with this power of one plus the own requests per slot: at six
slots one request reduces the weight by 2.5, and four reduce it by 21."""

T = typing.TypeVar("T")


@attrs.frozen
class Option(typing.Generic[T]):
    """An endpoint to choose."""

    target: T
    """The endpoint."""
    time_factor: float
    """Expected time relative to others."""
    load: float
    """Own requests in flight per slot."""
    preference: tuple[bool, ...] = ()
    """Sort key among options of the same weight; False goes first."""

    @property
    def weight(self) -> float:
        """Relative probability to be drawn."""
        slowdown = float(self.time_factor**TIME_POWER)
        return 1.0 / (slowdown * float((1.0 + self.load) ** LOAD_POWER))


def draw_order(
    options: collections.abc.Iterable[Option[T]], rng: random.Random
) -> list[T]:
    """Returns all targets in the order of repeated weighted draws.

    Addresses 65 entries whose figures are 0.5 s old: drawing spreads their
    requests, where the best choice by the same figures would send them all to
    one endpoint. Options of the same weight are drawn as a group; within it
    the preference decides.
    """
    groups = [
        _sort_group(list(group), rng)
        for _, group in itertools.groupby(
            sorted(options, key=lambda one: one.weight),
            key=lambda one: one.weight,
        )
    ]
    order: list[T] = []
    while groups:
        weights = [len(group) * group[0].weight for group in groups]
        (group,) = rng.choices(groups, weights)
        order.append(group.pop(0).target)
        if not group:
            groups.remove(group)
    return order


def _sort_group(group: list[Option[T]], rng: random.Random) -> list[Option[T]]:
    return sorted(group, key=lambda one: (one.preference, rng.random()))
