"""Tests of the route table."""

import random
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway


def make_route(name: str, host: str, prefix: str) -> gateway.Route:
    return gateway.Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=gateway.RouteKind.IDEMPOTENT,
        targets=(gateway.Target("service", 1.0),),
        timeout_s=1.0,
        objective_s=0.2,
        max_attempts=2,
        is_public=name == "open",
    )


def make_table(*routes: gateway.Route) -> gateway.RouteTable:
    return gateway.RouteTable(
        gateway.Document(
            number=1,
            routes=routes,
            services={"service": gateway.Service("service", 10)},
            limits=gateway.Limits(),
            accounts={"key": base.AccountId("account")},
        )
    )


class PriorityTest(unittest.TestCase):
    """Priorities of accounts take precedence over those of routes."""

    def test_find_priority(self) -> None:
        route = attrs.evolve(make_route("r", "a", "/"), priority=4)
        document = attrs.evolve(
            make_table(route).document,
            account_priorities={base.AccountId("urgent"): 0},
        )
        table = gateway.RouteTable(document)
        for account, expected in (("urgent", 0), ("other", 4), (None, 4)):
            with self.subTest(account):
                found = table.find_priority(
                    route, account and base.AccountId(account)
                )
                self.assertEqual(found, expected)

    def test_has_several_priorities(self) -> None:
        """Guards against a header that a deployment does not expect."""
        for name, routes, accounts, expected in (
            ("no priority", (0, 0), {"a": None, "b": None}, False),
            ("no keys", (0, 1), {}, True),
            ("unlike routes", (0, 1), {"a": None}, True),
            ("one account precedes", (2, 2), {"a": 1, "b": None}, True),
            ("the same for all", (2, 2), {"a": 1, "b": 1}, False),
            ("accounts hide routes", (0, 1), {"a": 3, "b": 3}, False),
            ("no rollout route", (), {"a": 1, "b": 2}, False),
        ):
            with self.subTest(name):
                rollouts = [
                    attrs.evolve(
                        make_route("r", "a", f"/{n}/"),
                        kind=gateway.RouteKind.ROLLOUT,
                        priority=priority,
                    )
                    for n, priority in enumerate(routes)
                ]
                document = attrs.evolve(
                    make_table(
                        *rollouts,
                        attrs.evolve(make_route("i", "b", "/"), priority=9),
                    ).document,
                    accounts={
                        f"key-{account}": base.AccountId(account)
                        for account in accounts
                    }
                    or None,
                    account_priorities={
                        base.AccountId(account): priority
                        for account, priority in accounts.items()
                        if priority is not None
                    },
                )
                table = gateway.RouteTable(document)
                self.assertIs(table.has_several_priorities, expected)


class CountedPath(str):
    """A path that counts its slices and prefix comparisons."""

    steps = 0

    def __getitem__(self, key: typing.Any) -> str:
        self.steps += 1
        return str.__getitem__(self, key)

    def startswith(self, *args: typing.Any) -> bool:
        self.steps += 1
        return str.startswith(self, *args)


class RankServicesTest(unittest.TestCase):
    """Keys are spread over the services of a route by weight."""

    def test_shares(self) -> None:
        for name, weights, want in (
            ("one target", {"a": 1.0}, {"a": 1.0}),
            ("equal weights", {"a": 1.0, "b": 1.0}, {"a": 0.5, "b": 0.5}),
            ("a tenth", {"a": 9.0, "b": 1.0}, {"a": 0.9, "b": 0.1}),
            ("no weight", {"a": 0.0, "b": 1.0}, {"a": 0.0, "b": 1.0}),
        ):
            with self.subTest(name):
                targets = tuple(
                    gateway.Target(service, weight)
                    for service, weight in weights.items()
                )
                route = attrs.evolve(
                    make_route("r", "a.example", "/x/"), targets=targets
                )
                keys = [f"group-{number}" for number in range(2000)]
                first = [gateway.rank_services(route, key)[0] for key in keys]
                for service, share in want.items():
                    found = first.count(service) / len(keys)
                    self.assertAlmostEqual(found, share, delta=0.04)


class FixedRandom(random.Random):
    """Draws one value again and again.

    Args:
        value: Value to draw.
    """

    def __init__(self, value: float) -> None:
        super().__init__()
        self._value = value

    def random(self) -> float:
        """Returns the value."""
        return self._value


class DrawServiceTest(unittest.TestCase):
    """Requests are drawn by weight; a service without weight gets none."""

    def test_extremes(self) -> None:
        for name, weights, lowest, highest in (
            ("one target", [1.0], "s0", "s0"),
            ("two targets", [1.0, 9.0], "s0", "s1"),
            ("first without weight", [0.0, 1.0], "s1", "s1"),
            ("last without weight", [1.0, 0.0], "s0", "s0"),
            ("all but one without weight", [0.0, 0.3, 0.0], "s1", "s1"),
            ("large weights", [2.0**62, 0.0, 2.0**62], "s0", "s2"),
        ):
            targets = tuple(
                gateway.Target(f"s{number}", weight)
                for number, weight in enumerate(weights)
            )
            route = attrs.evolve(
                make_route("r", "a.example", "/x/"), targets=targets
            )
            for drawn, expected in ((0.0, lowest), (1.0 - 2.0**-53, highest)):
                with self.subTest(name, drawn=drawn):
                    service = gateway.draw_service(route, FixedRandom(drawn))
                    self.assertEqual(service, expected)


class RouteTableTest(unittest.TestCase):
    """The route with the longest matching prefix is found."""

    def test_find(self) -> None:
        table = make_table(
            make_route("short", "a.example", "/x/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("other", "b.example", "/x/"),
        )
        for host, path, name in (
            ("a.example", "/x/1", "short"),
            ("a.example", "/x/y/1", "long"),
            ("a.example", "/x/y", "short"),
            ("A.Example:8080", "/x/1", "short"),
            ("b.example", "/x/y/1", "other"),
            ("c.example", "/x/1", None),
            ("a.example", "/z/", None),
            ("a.example", "/x", None),
        ):
            with self.subTest(host=host, path=path):
                found = table.find(host, path)
                self.assertEqual(None if found is None else found.name, name)

    def test_cost_of_a_lookup(self) -> None:
        count = 10_000
        table = make_table(
            *(
                make_route(f"route-{n}", "a.example", f"/p{n}/")
                for n in range(count)
            )
        )
        for path, name in (("/p9999/1", "route-9999"), ("/q/", None)):
            with self.subTest(path):
                counted_path = CountedPath(path)
                found = table.find("a.example", counted_path)
                self.assertEqual(None if found is None else found.name, name)
                self.assertLessEqual(counted_path.steps, len(str(count)))

    def test_keys(self) -> None:
        table = make_table(
            make_route("keyed", "a.example", "/k/"),
            make_route("open", "a.example", "/o/"),
        )
        self.assertEqual(table.account_of("key"), "account")
        self.assertIsNone(table.account_of("other"))
        self.assertIsNone(table.account_of(None))
        keyed, open_ = table.document.routes
        self.assertTrue(table.needs_key(keyed))
        self.assertFalse(table.needs_key(open_))
