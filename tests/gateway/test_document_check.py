"""Tests of the check of configuration documents."""

import random
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_gateway import document_check

Kind = document_check.FindingKind

ENGINE = gateway.EngineShape(slots=4, cache_tokens=1000, models=("m",))
ACCOUNT = base.AccountId("a")

SERVICES = {
    "plain": gateway.Service("plain", 10),
    "engines": gateway.Service("engines", 10, ENGINE, gateway.Scaling(1, 2)),
}
ROUTE = gateway.Route(
    name="r",
    host="a.example",
    prefix="/r/",
    kind=gateway.RouteKind.IDEMPOTENT,
    targets=(gateway.Target("plain", 1.0),),
    timeout_s=2.0,
    objective_s=0.15,
    max_attempts=2,
    is_public=False,
)
JOBS = attrs.evolve(
    ROUTE,
    name="jobs",
    prefix="/jobs/",
    kind=gateway.RouteKind.ROLLOUT,
    targets=(gateway.Target("engines", 1.0),),
    due_s=7.5,
    item_ttl_s=40.0,
)
DOCUMENT = gateway.Document(
    number=7,
    routes=(ROUTE, JOBS),
    services=SERVICES,
    limits=gateway.Limits(),
    accounts={"key-1": ACCOUNT},
)


def change_route(**changes: typing.Any) -> gateway.Document:
    return attrs.evolve(DOCUMENT, routes=(attrs.evolve(ROUTE, **changes), JOBS))


def change_jobs(**changes: typing.Any) -> gateway.Document:
    return attrs.evolve(DOCUMENT, routes=(ROUTE, attrs.evolve(JOBS, **changes)))


def change_service(name: str, **changes: typing.Any) -> gateway.Document:
    changed = attrs.evolve(SERVICES[name], **changes)
    return attrs.evolve(DOCUMENT, services=SERVICES | {name: changed})


def split(*parts: tuple[str, float]) -> tuple[gateway.Target, ...]:
    return tuple(gateway.Target(service, weight) for service, weight in parts)


class FindingsTest(unittest.TestCase):
    """Guards against doubtful documents that pass, and sound ones that fail."""

    def check(
        self,
        document: gateway.Document,
        domains: int | None,
        expected: list[tuple[document_check.FindingKind, str]],
        declared: document_check.DeclaredNames,
    ) -> None:
        findings = [
            *document_check.find_unmatched(document, declared),
            *document_check.find_contradictions(document, domains),
        ]
        self.assertEqual(
            [(found.kind, found.place.name) for found in findings], expected
        )

    def test_documents(self) -> None:
        public = attrs.evolve(ROUTE, is_public=True)
        public_jobs = attrs.evolve(JOBS, is_public=True)
        for name, document, expected in (
            ("sound", DOCUMENT, []),
            ("0", attrs.evolve(DOCUMENT, number=0), [(Kind.NUMBER_ZERO, "")]),
            (
                "host with a port",
                change_route(host="a.example:80"),
                [(Kind.HOST_NEVER_MATCHES, "r")],
            ),
            (
                "path that is not encoded",
                change_route(prefix="/a b/"),
                [(Kind.PREFIX_NEVER_MATCHES, "r")],
            ),
            (
                "path with a query",
                change_route(prefix="/a?b/"),
                [(Kind.PREFIX_NEVER_MATCHES, "r")],
            ),
            (
                "weight of 0",
                change_route(targets=split(("plain", 1), ("engines", 0))),
                [(Kind.TARGET_WITHOUT_WEIGHT, "r")],
            ),
            (
                "service that no route names",
                change_route(targets=split(("engines", 1))),
                [(Kind.UNUSED_SERVICE, "plain")],
            ),
            (
                "batch jobs at a plain service",
                change_jobs(targets=split(("plain", 1), ("engines", 1))),
                [(Kind.ROLLOUT_WITHOUT_ENGINES, "jobs")],
            ),
            (
                "no keys",
                attrs.evolve(DOCUMENT, accounts={}),
                [(Kind.NO_KEYS, "")],
            ),
            (
                "keys are not used",
                attrs.evolve(DOCUMENT, accounts=None),
                [],
            ),
            (
                "all routes public, and results are read with keys",
                attrs.evolve(DOCUMENT, routes=(public, public_jobs)),
                [],
            ),
            (
                "all routes public",
                attrs.evolve(
                    DOCUMENT,
                    routes=(public,),
                    services={"plain": SERVICES["plain"]},
                ),
                [(Kind.KEYS_WITHOUT_USE, "")],
            ),
            (
                "objective above timeout",
                change_route(objective_s=3.0),
                [(Kind.OBJECTIVE_ABOVE_TIMEOUT, "r")],
            ),
            ("equal", change_route(objective_s=2.0), []),
            (
                "due after items are abandoned",
                change_jobs(item_ttl_s=7.0),
                [(Kind.DUE_ABOVE_ITEM_TTL, "jobs")],
            ),
            (
                "items abandoned at once",
                change_jobs(item_ttl_s=0.0),
                [(Kind.NO_ITEM_TTL, "jobs")],
            ),
            (
                "timeout above due time",
                change_jobs(timeout_s=8.0),
                [(Kind.TIMEOUT_ABOVE_DUE, "jobs")],
            ),
            ("no due time", change_jobs(timeout_s=8.0, due_s=0.0), []),
            ("plain routes have no due time", change_route(due_s=1.0), []),
            (
                "no endpoints permitted",
                change_service("engines", scaling=gateway.Scaling(0, 0)),
                [(Kind.ATTEMPTS_ABOVE_ENDPOINTS, "jobs")],
            ),
            (
                "fewer endpoints permitted than needed",
                change_service("engines", scaling=gateway.Scaling(3, 2)),
                [(Kind.MIN_ABOVE_MAX_ENDPOINTS, "engines")],
            ),
            (
                "cold rate alone",
                change_service("plain", cold_per_s=13.0),
                [(Kind.COLD_RATE_WITHOUT_TIME, "plain")],
            ),
            (
                "cold time alone",
                change_service("plain", cold_start_s=3.0),
                [(Kind.COLD_TIME_WITHOUT_RATE, "plain")],
            ),
            (
                "cold rate and time",
                change_service("plain", cold_start_s=3.0, cold_per_s=13.0),
                [],
            ),
            (
                "fewer connections than slots",
                change_service("engines", max_connections=3),
                [(Kind.CONNECTIONS_BELOW_SLOTS, "engines")],
            ),
            (
                "head may take longer than idleness",
                attrs.evolve(DOCUMENT, limits=gateway.Limits(1, 1, 3.0, 2.0)),
                [(Kind.HEAD_TIMEOUT_ABOVE_IDLE, "")],
            ),
        ):
            with self.subTest(name):
                self.check(
                    document, None, expected, document_check.DeclaredNames()
                )

    def test_endpoints_by_domains(self) -> None:
        """The number of endpoints is known only with that of the domains."""
        expected = [(Kind.ATTEMPTS_ABOVE_ENDPOINTS, "jobs")]
        for attempts, domains, want in (
            (7, None, []),
            (6, 3, []),
            (7, 3, expected),
            (3, 1, expected),
        ):
            with self.subTest(attempts=attempts, domains=domains):
                document = change_jobs(max_attempts=attempts)
                names = document_check.DeclaredNames()
                self.check(document, domains, want, names)

    def test_names_that_decoding_drops(self) -> None:
        declared = document_check.DeclaredNames(
            services=("plain", "engines", "plain"), accounts=("a", "idle")
        )
        expected = [
            (Kind.REPEATED_SERVICE, "plain"),
            (Kind.ACCOUNT_WITHOUT_KEYS, "idle"),
        ]
        self.check(DOCUMENT, None, expected, declared)

    def test_unreachable_routes(self) -> None:
        """Findings on hosts and prefixes agree with the route table."""
        rng = random.Random(4)
        for _ in range(500):
            host = "".join(rng.choices("aB: .", k=3)).lower()
            prefix = f"/{''.join(rng.choices('a ?%', k=2))}/"
            document = change_route(host=host, prefix=prefix)
            table = gateway.RouteTable(document)
            # A request line has no spaces, and its path ends at '?'.
            path = prefix.partition("?")[0].partition(" ")[0]
            is_reached = table.find(host, path) is not None
            found = document_check.find_unmatched(
                document, document_check.DeclaredNames()
            )
            self.assertEqual(not found, is_reached, (host, prefix))

    def test_number_in_force(self) -> None:
        lower = attrs.evolve(DOCUMENT, number=6)
        other = change_route(timeout_s=1.0)
        for name, document, in_force, is_found in (
            ("higher", DOCUMENT, lower, False),
            ("lower", lower, DOCUMENT, True),
            ("the same document", DOCUMENT, DOCUMENT, False),
            ("another document of the same number", other, DOCUMENT, True),
        ):
            with self.subTest(name):
                found = document_check.find_ineffective_number(
                    document, in_force
                )
                self.assertEqual(bool(found), is_found)


class ChangesTest(unittest.TestCase):
    """Guards against differences that are not listed, and keys that are."""

    def test_changes(self) -> None:
        added = attrs.evolve(ROUTE, name="new", prefix="/new/")
        two_keys = {"key-1": ACCOUNT, "key-2-0123456789": ACCOUNT}
        for name, after, expected in (
            ("none", DOCUMENT, []),
            ("order", attrs.evolve(DOCUMENT, routes=(JOBS, ROUTE)), []),
            (
                "number",
                attrs.evolve(DOCUMENT, number=8),
                [("changed", "", "number", 7, 8)],
            ),
            (
                "route added",
                attrs.evolve(DOCUMENT, routes=(ROUTE, JOBS, added)),
                [("added", "new", "targets", None, ROUTE.targets)],
            ),
            (
                "route removed",
                attrs.evolve(DOCUMENT, routes=(JOBS,)),
                [("removed", "r", "targets", ROUTE.targets, None)],
            ),
            (
                "route at another prefix",
                change_route(prefix="/s/"),
                [("changed", "r", "prefix", "/r/", "/s/")],
            ),
            (
                "route of another name",
                change_route(name="s"),
                [("changed", "s", "name", "r", "s")],
            ),
            (
                "route of another service",
                change_route(targets=split(("engines", 1.0))),
                [
                    (
                        "changed",
                        "r",
                        "targets",
                        ROUTE.targets,
                        split(("engines", 1.0)),
                    )
                ],
            ),
            (
                "service added",
                attrs.evolve(
                    DOCUMENT, services=SERVICES | {"x": SERVICES["plain"]}
                ),
                [("added", "x", "", None, None)],
            ),
            (
                "service removed",
                attrs.evolve(DOCUMENT, services={"plain": SERVICES["plain"]}),
                [("removed", "engines", "", None, None)],
            ),
            (
                "nested field",
                change_service("engines", scaling=gateway.Scaling(1, 3)),
                [("changed", "engines", "scaling.max_endpoints", 2, 3)],
            ),
            (
                "whole nested part",
                change_service("engines", engine=None),
                [("changed", "engines", "engine", ENGINE, None)],
            ),
            (
                "limits",
                attrs.evolve(DOCUMENT, limits=gateway.Limits(1)),
                [("changed", "", "max_header_bytes", 16384, 1)],
            ),
            (
                "priority",
                attrs.evolve(DOCUMENT, account_priorities={ACCOUNT: 2}),
                [("changed", "a", "priority", None, 2)],
            ),
            (
                "key added",
                attrs.evolve(DOCUMENT, accounts=two_keys),
                [("added", "key-... (16 characters)", "account", None, "a")],
            ),
            (
                "key of another account",
                attrs.evolve(DOCUMENT, accounts={"key-1": "b"}),
                [
                    ("removed", "a", "", None, None),
                    ("added", "b", "", None, None),
                    (
                        "changed",
                        "k... (5 characters)",
                        "account",
                        "a",
                        "b",
                    ),
                ],
            ),
            (
                "keys are no longer used",
                attrs.evolve(DOCUMENT, accounts=None),
                [
                    ("changed", "", "accounts", True, False),
                    ("removed", "a", "", None, None),
                    ("removed", "k... (5 characters)", "account", "a", None),
                ],
            ),
        ):
            with self.subTest(name):
                changes = [
                    (
                        change.kind.value,
                        change.place.name,
                        change.field,
                        change.before,
                        change.after,
                    )
                    for change in document_check.list_changes(DOCUMENT, after)
                ]
                self.assertEqual(changes, expected)


if __name__ == "__main__":
    unittest.main()
