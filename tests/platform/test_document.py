"""Tests of decoding configuration documents."""

import json
import typing
import unittest

import banyanbank_gateway as gateway
from banyanbank_platform import _document

ROUTES = 10_000
ACCOUNTS = 1_000


class CountingPrefix(str):
    """Path prefix that counts comparisons."""

    comparisons = 0

    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        CountingPrefix.comparisons += 1
        return str.__eq__(self, other)


def make_route(number: int, **changes: typing.Any) -> dict[str, typing.Any]:
    """Returns a route as an operator writes it."""
    return {
        "name": f"route-{number}",
        "host": "a.example",
        "path-prefix": f"/p{number}/",
        "type": "idempotent",
        "timeout-ms": 2000,
        "service": "app",
    } | changes


def make_source(
    routes: list[dict[str, typing.Any]], number: int = 7
) -> dict[str, typing.Any]:
    """Returns a configuration document with the given routes."""
    return {
        "version": number,
        "routes": routes,
        "services": [{"name": "app"}, {"name": "other"}],
        "tenants": [
            {"name": f"account-{n}", "api-keys": [f"key-{n}"]}
            for n in range(ACCOUNTS)
        ],
    }


def read(
    reader: _document.DocumentReader, source: dict[str, typing.Any]
) -> gateway.Document:
    """Encodes a configuration document and reads it."""
    return reader.read(json.dumps(source).encode())


class ReadCostTest(unittest.TestCase):
    """Cost of reading the largest configuration."""

    def test_comparisons_grow_with_the_routes(self) -> None:
        CountingPrefix.comparisons = 0
        route_keys = [("a", CountingPrefix(f"/{n}/")) for n in range(ROUTES)]
        self.assertIsNone(_document.find_duplicate(route_keys))
        # A set compares only keys with equal hashes.
        self.assertLess(CountingPrefix.comparisons, ROUTES)

    def test_routes_read_again(self) -> None:
        reader = _document.DocumentReader()
        routes = [make_route(n) for n in range(ROUTES)]
        read(reader, make_source(routes))
        self.assertEqual(reader.read_route_count, ROUTES)
        changed = [*routes[:-1], make_route(ROUTES - 1, service="other")]
        for name, now, expected_reads in (
            ("nothing changed", routes, 0),
            ("one moved", changed, 1),
            ("one added", [*changed, make_route(ROUTES)], 1),
            ("one removed", changed[1:], 0),
            ("a flag for a number", [make_route(0, public=1)], 1),
            ("a number for a flag", [make_route(0, public=True)], 1),
        ):
            with self.subTest(name):
                before = reader.read_route_count
                document = read(reader, make_source(now))
                self.assertEqual(
                    reader.read_route_count - before, expected_reads
                )
                document_read_afresh = read(
                    _document.DocumentReader(), make_source(now)
                )
                self.assertEqual(document, document_read_afresh)


class InvalidDocumentTest(unittest.TestCase):
    """Invalid documents are rejected by a reader with a valid one.

    Guards against reuse of routes that are valid only in the earlier document.
    """

    def test_invalid(self) -> None:
        valid_source = make_source([make_route(0), make_route(1)])
        for name, changes, expected_message in (
            (
                "two routes with one host and prefix",
                {"routes": [make_route(0), make_route(1, **_path_prefix(0))]},
                "share host 'a.example' and prefix '/p0/'",
            ),
            (
                "the same route twice",
                {"routes": [make_route(0), make_route(0)]},
                "share host",
            ),
            (
                "a removed service",
                {"services": [{"name": "other"}]},
                "Route 'route-0': .* unknown service 'app'",
            ),
            (
                "timeout of 0",
                {"routes": [make_route(0, **{"timeout-ms": 0})]},
                "Route 'route-0': 'timeout-ms' is 0",
            ),
            (
                "a service with a field of another type",
                {"services": [{"name": "app", "max-connections": "x"}]},
                "Service 'app': 'max-connections' must be",
            ),
            (
                "weights of 0",
                {"routes": [make_route(0, **_traffic_split(0, 0))]},
                "weights add up to 0",
            ),
            (
                "an unknown service beside weights",
                {
                    "routes": [
                        make_route(0, service="none", **_traffic_split(1, 1))
                    ]
                },
                "unknown service 'none'",
            ),
            (
                "a service of another type beside weights",
                {"routes": [make_route(0, service=7, **_traffic_split(1, 1))]},
                "'service' must be a non-empty string",
            ),
            (
                "weights of another type",
                {"routes": [make_route(0, **{"traffic-split": {}})]},
                "'traffic-split' must be a list",
            ),
            (
                "an unknown service with a weight of 0",
                {
                    "routes": [
                        make_route(
                            0,
                            **{
                                "traffic-split": [
                                    {"service": "app", "weight": 1},
                                    {"service": "none", "weight": 0},
                                ]
                            },
                        )
                    ]
                },
                "unknown service 'none'",
            ),
            (
                "one host in two spellings",
                {"routes": [make_route(0), make_route(0, host="A.Example")]},
                "share host",
            ),
            (
                "a number that JSON does not have",
                {"limits": {"a-later-field": float("nan")}},
                "NaN",
            ),
            (
                "a shared key",
                {
                    "tenants": [
                        {"name": "x", "api-keys": ["k"]},
                        {"name": "y", "api-keys": ["k"]},
                    ]
                },
                "share a key",
            ),
            (
                "a priority of an account that is no number",
                {"tenants": [{"name": "x", "priority": "1"}]},
                "'priority' must be a number",
            ),
            (
                "a negative priority of an account",
                {"tenants": [{"name": "x", "priority": -1}]},
                "'priority' must lie between 0",
            ),
        ):
            reader = _document.DocumentReader()
            read(reader, valid_source)
            with (
                self.subTest(name),
                self.assertRaisesRegex(
                    gateway.InvalidDocumentError, expected_message
                ),
            ):
                read(reader, valid_source | changes)
            with self.subTest(f"valid document after {name}"):
                self.assertEqual(len(read(reader, valid_source).routes), 2)

    def test_every_cut(self) -> None:
        """A document that is cut anywhere cannot be read in full."""
        source = make_source([make_route(0), make_route(1)])
        source["tenants"] = source["tenants"][:2]
        content = json.dumps(source).encode()
        for length in range(len(content)):
            with self.assertRaises(gateway.InvalidDocumentError):
                _document.DocumentReader().read(content[:length])
        with self.assertRaises(gateway.InvalidDocumentError):
            _document.DocumentReader().read(content + b"}")

    def test_optional_fields(self) -> None:
        """A field without a value is absent."""
        for name, changes, expected in (
            ("no weights", {"traffic-split": None}, ["app"]),
            ("an empty list of weights", {"traffic-split": []}, ["app"]),
            (
                "no service",
                {"service": None, **_traffic_split(1)},
                ["app"],
            ),
            (
                "a known service beside weights",
                {"service": "other", **_traffic_split(1)},
                ["app"],
            ),
        ):
            with self.subTest(name):
                document = read(
                    _document.DocumentReader(),
                    make_source([make_route(0, **changes)]),
                )
                (route,) = document.routes
                self.assertEqual(
                    [target.service for target in route.targets], expected
                )


def _path_prefix(number: int) -> dict[str, typing.Any]:
    return {"path-prefix": f"/p{number}/"}


def _traffic_split(*weights: float) -> dict[str, typing.Any]:
    parts = [{"service": "app", "weight": weight} for weight in weights]
    return {"traffic-split": parts}


if __name__ == "__main__":
    unittest.main()
