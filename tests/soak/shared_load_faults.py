"""Evacuations of failure domains, and servers that return cold."""

import collections.abc
import random

from tests import support
from tests.soak import arrivals
from tests.soak import documents
from tests.soak import faults
from tests.soak import servers
from tests.soak import world

ORDER_S = 40.0
"""Seconds for which an operator repeats an order; it outlasts the faults."""
HELD_S = (8.0, 11.0)
"""Least and most seconds from an acknowledgement to the withdrawal. A lost call
is over by then: a store is suspended for 4 s and cut off for 6 s at most."""
LOST_CALL_S = 12.0
"""Seconds after an unanswered withdrawal until the next order for the domain.
Orders have no identity, so that one which arrives late readmits it again."""
DOMAINS = ("zone-1", "zone-2")
DOMAIN_SHARE = 0.4
"""Share of the cold returns that concern a whole failure domain."""


async def _evacuate(trouble: faults.Faults) -> str:
    """Orders an evacuation and withdraws it; servers are cold afterwards."""
    there = trouble.there
    rng = _spawn_rng(trouble)
    domain = rng.choice(DOMAINS)
    if there.records.ordered.get(domain, 0.0) > there.reactor.seconds():
        return "not now"
    there.records.ordered[domain] = float("inf")
    await _order(trouble, rng, "POST", domain)
    acknowledged_at = there.reactor.seconds()
    await support.next_turn(rng.uniform(*HELD_S))
    withdrawn_at = there.reactor.seconds()
    there.records.evacuations.append(
        arrivals.Evacuation(domain, acknowledged_at, withdrawn_at)
    )
    if rng.random() < 0.5:
        for span in _chill(there, _find_servers(there, domain)):
            # The readmission by itself has all of the domain count as cold.
            span.news.append((withdrawn_at, withdrawn_at))
    is_clear = await _order(trouble, rng, "DELETE", domain)
    there.records.ordered[domain] = there.reactor.seconds() + (
        0.0 if is_clear else LOST_CALL_S
    )
    return domain


async def _order(
    trouble: faults.Faults, rng: random.Random, method: str, domain: str
) -> bool:
    """Sends an order to any store until it is acknowledged.

    Returns:
        Whether no call of it may still arrive.
    """
    there = trouble.there
    is_clear = True
    until = there.reactor.seconds() + ORDER_S
    while there.reactor.seconds() < until:
        store = rng.choice(there.stores)
        reply = await trouble.work.call_store(
            method, store, f"evacuate/{domain}"
        )
        status = None if reply is None else reply.status
        if status == 200:
            there.records.record_acknowledgement()
            return is_clear
        trouble.work.promises.check(
            status in (None, 503, 504),
            f"{store.name} answered {status} to {method} for {domain}",
        )
        is_clear = is_clear and status == 503
        await support.next_turn(rng.uniform(0.05, 0.3))
    trouble.work.promises.check(
        False, f"{method} for {domain} was not acknowledged in {ORDER_S} s"
    )
    return False


async def _return_cold(trouble: faults.Faults) -> str:
    """Servers become cold, most of them by a new start."""
    there = trouble.there
    rng = _spawn_rng(trouble)
    names = _find_servers(there, rng.choice(DOMAINS))
    if rng.random() >= DOMAIN_SHARE:
        everyone = list(there.farm.servers)
        names = rng.sample(everyone, rng.randint(1, len(everyone)))
    for name in names:
        if rng.random() < 0.7:
            there.farm.servers[name].born += 1
            there.farm.servers[name].reset()
    _chill(there, names)
    for name in names:
        while await _check_health(trouble, name):
            await support.next_turn(0.5)
    return ",".join(names)


def _spawn_rng(trouble: faults.Faults) -> random.Random:
    """Returns a source of choices that do not depend on the times of others."""
    return random.Random(trouble.rng.random())


async def _check_health(trouble: faults.Faults, name: str) -> int:
    """Returns for how long a server says that it stays cold."""
    url = f"http://{trouble.there.farm.servers[name].address}/health"
    reply = await trouble.work.call("GET", url)
    return 0 if reply is None else int(reply.headers["x-banyanbank-cold-ms"])


def _find_servers(there: world.World, domain: str) -> list[str]:
    return [
        name for name in there.farm.servers if servers.zone_of(name) == domain
    ]


def _chill(
    there: world.World, names: collections.abc.Iterable[str]
) -> list[arrivals.ColdSpan]:
    now = there.reactor.seconds()
    spans = []
    for name in names:
        there.farm.servers[name].cold_until = now + documents.COLD_S
        spans.append(arrivals.ColdSpan(name, now, now + documents.COLD_S))
    there.records.cold += spans
    return spans


KINDS: dict[str, faults.Inject] = {
    name: faults.ALL_KINDS[name]
    for name in (
        "kill",
        "kill all stores",
        "wipe",
        "pause",
        "jump clock",
        "isolate",
        "cut one way",
        "silence",
        "black out",
    )
} | {"evacuation": _evacuate, "cold return": _return_cold}
"""What changes where requests may go, beside faults that change the leader or
keep processes from hearing of it."""
