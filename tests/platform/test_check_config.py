"""Tests of the command that checks a configuration."""

import copy
import io
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import typing
import unittest
import unittest.mock

import attrs
import banyanbank_gateway as gateway
from banyanbank_gateway import document_check
from banyanbank_platform import _check_command
from banyanbank_platform import _check_texts
from banyanbank_platform import _document
from banyanbank_platform import _document_errors

from tests import support
from tests.platform import deployment
from tests.platform import test_decoders

FUZZ_STEPS = 1_500
CHECK_SCRIPT = (
    pathlib.Path(__file__).parents[2] / "platform" / "check_config.py"
)

Path = tuple[str | int, ...]


def make_source(*changes: tuple[Path, typing.Any]) -> dict[str, typing.Any]:
    """Returns a document with some values replaced."""
    source = copy.deepcopy(deployment.DOCUMENT)
    # Sound with regard to its limits, too.
    source["routes"][2]["timeout-ms"] = 5000
    for path, value in changes:
        replace(source, path, value)
    return source


def replace(source: typing.Any, path: Path, value: typing.Any) -> None:
    for key in path[:-1]:
        source = source[key]
    source[path[-1]] = value


def list_paths(value: typing.Any, path: Path = ()) -> list[Path]:
    """Returns the paths of all values within a value."""
    items: typing.Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    paths = [path] if path else []
    for key, part in items:
        paths += list_paths(part, (*path, key))
    return paths


def is_rejected(content: bytes) -> bool:
    try:
        _document.DocumentReader().read(content)
    except gateway.InvalidDocumentError:
        return True
    return False


class ErrorsTest(unittest.TestCase):
    """All errors are found, and only what a store rejects is one."""

    def test_all_errors(self) -> None:
        """Guards against a check that stops at the first error."""
        plain, jobs = ("routes", 0), ("routes", 2)
        engines, tenants = ("services", 1), ("tenants",)
        split = [{"service": "x", "weight": "1"}, 7]
        for name, changes, expected in (
            ("none", [], []),
            (
                "several of a route",
                [
                    ((*plain, "timeout-ms"), 0),
                    ((*plain, "path-prefix"), "a"),
                    ((*plain, "type"), "x"),
                    ((*plain, "service"), "x"),
                    ((*plain, "max-attempts"), -1),
                ],
                [
                    ("route 'plain'", "'type' must be"),
                    ("route 'plain'", "'path-prefix' must begin"),
                    ("route 'plain'", "'timeout-ms' is 0"),
                    ("route 'plain'", "unknown service 'x'"),
                    ("route 'plain'", "'max-attempts' must lie"),
                ],
            ),
            (
                "several of a split",
                [((*jobs, "traffic-split"), split)],
                [
                    ("route 'jobs', traffic-split[1]", "must be a JSON object"),
                    ("route 'jobs', traffic-split[0]", "unknown service 'x'"),
                    ("route 'jobs', traffic-split[0]", "'weight' must be"),
                ],
            ),
            (
                "several of an engine",
                [
                    ((*engines, "engine", "slots"), None),
                    ((*engines, "engine", "models"), [{}]),
                    ((*engines, "scaling"), 1),
                    ((*engines, "cold-per-s"), "x"),
                ],
                [
                    ("service 'engines', engine", "'slots' must be"),
                    ("service 'engines', engine.models[0]", "'name' must be"),
                    ("service 'engines'", "The scaling must be"),
                    ("service 'engines'", "'cold-per-s' must be"),
                ],
            ),
            (
                "entries of all kinds",
                [
                    (("version",), -1),
                    (("limits",), {"idle-timeout-ms": "x"}),
                    ((*plain, "name"), ""),
                    (("services", 0, "max-connections"), "x"),
                    ((*tenants, 0, "priority"), "x"),
                ],
                [
                    ("configuration", "'version' must be"),
                    ("configuration, limits", "'idle-timeout-ms' must be"),
                    ("service 'plain'", "'max-connections' must be"),
                    ("routes[0]", "'name' must be"),
                    ("account 'account-1'", "'priority' must be"),
                ],
            ),
            (
                "keys",
                [
                    ((*tenants, 0, "api-keys"), ["a", 5, {}]),
                    ((*tenants, 1, "api-keys"), ["a", "b"]),
                ],
                [
                    ("account 'account-1', api-keys[1]", "must be a string"),
                    ("account 'account-1', api-keys[2]", "must be a string"),
                    ("account 'account-2', api-keys[0]", "share a key"),
                ],
            ),
            (
                "the same host and prefix in other letters",
                [
                    (("routes", 1, "host"), "HOST.example"),
                    (("routes", 1, "path-prefix"), "/plain/"),
                    (("routes", 3, "path-prefix"), "/plain/"),
                ],
                [
                    ("route 'once'", "also those of route 'plain'"),
                    ("route 'scorer'", "also those of route 'plain'"),
                ],
            ),
            (
                "lists that are none",
                [
                    (("services",), None),
                    (("routes", 1), 5),
                    (("tenants",), 1),
                ],
                [
                    ("configuration", "'services' must be a list"),
                    ("routes[1]", "must be a JSON object"),
                    ("configuration", "'tenants' must be a list"),
                ],
            ),
        ):
            with self.subTest(name):
                content = json.dumps(make_source(*changes)).encode()
                errors = _document_errors.collect_errors(content)
                self.assertEqual(len(errors), len(expected), errors)
                for error, (place, message) in zip(
                    errors, expected, strict=True
                ):
                    self.assertEqual(error.place, place)
                    self.assertIn(message, error.message)
                self.assertEqual(is_rejected(content), bool(expected))

    def test_same_verdict_as_a_store(self) -> None:
        """Guards against a check that accepts or rejects on its own."""
        rng = random.Random(7)
        paths = list_paths(make_source())
        rejected_count = 0
        for _ in range(FUZZ_STEPS):
            # A path within a part comes before that part.
            chosen = sorted(rng.sample(paths, 3), key=len, reverse=True)
            source = make_source(
                *(
                    (path, rng.choice(test_decoders.HOSTILE_VALUES))
                    for path in chosen
                )
            )
            content = json.dumps(source).encode()
            errors = _document_errors.collect_errors(content)
            self.assertEqual(bool(errors), is_rejected(content), source)
            rejected_count += bool(errors)
        self.assertGreater(rejected_count, FUZZ_STEPS // 2)
        self.assertLess(rejected_count, FUZZ_STEPS)

    def test_content_that_is_too_long(self) -> None:
        content = b" " * (_document.MAX_CONTENT_BYTES + 1)
        (error,) = _document_errors.find_errors(content)
        self.assertIn("longer", error.message)

    def test_each_entry_read_once(self) -> None:
        """Guards against a cost that grows with the square of the routes."""
        routes = [
            make_source()["routes"][0] | {"path-prefix": f"/{n}/", "type": 0}
            for n in range(2_000)
        ]
        content = json.dumps(make_source((("routes",), routes))).encode()
        with unittest.mock.patch.object(
            _document, "read_route", wraps=_document.read_route
        ) as read_route:
            errors = _document_errors.find_errors(content)
        self.assertEqual(len(errors), len(routes))
        # Once to find the error and once more after its repair.
        self.assertLessEqual(read_route.call_count, 2 * len(routes) + 1)


class TextsTest(unittest.TestCase):
    """Guards against a finding or a field that the command cannot name."""

    def test_findings(self) -> None:
        for kind in document_check.FindingKind:
            with self.subTest(kind):
                text = _check_texts.describe_finding(
                    document_check.Finding(
                        kind, document_check.DOCUMENT_PLACE, "x", (2.0, 0.15)
                    )
                )
                self.assertNotRegex(text, "[{}]")

    def test_fields(self) -> None:
        for kind, decoded_class, prefix in (
            (document_check.PlaceKind.ROUTE, gateway.Route, ""),
            (document_check.PlaceKind.SERVICE, gateway.Service, ""),
            (document_check.PlaceKind.SERVICE, gateway.EngineShape, "engine."),
            (document_check.PlaceKind.SERVICE, gateway.Scaling, "scaling."),
            (document_check.PlaceKind.LIMITS, gateway.Limits, ""),
        ):
            for field in attrs.fields(decoded_class):
                with self.subTest(kind, field=field.name):
                    self.assertIn(
                        prefix + field.name, _check_texts.FIELD_NAMES[kind]
                    )


class CommandTest(unittest.TestCase):
    """Exit codes and output of the command."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, source: typing.Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(source))
        return str(path)

    def check(self, *arguments: str) -> tuple[int, list[str]]:
        output = io.StringIO()
        code = _check_command.main(arguments, output)
        return code, output.getvalue().splitlines()

    def test_exit_codes(self) -> None:
        sound = self.write("sound", make_source())
        objective = ("routes", 0, "target-latency-ms")
        doubtful = self.write("doubtful", make_source((objective, 5000)))
        invalid = self.write("invalid", make_source((("version",), None)))
        newer = self.write("newer", make_source((("version",), 4)))
        absent = str(self.folder / "absent")
        for name, arguments, expected_code in (
            ("sound", (sound,), 0),
            ("changes alone", (newer, "--in-force", sound), 0),
            ("in force already", (sound, "--in-force", sound), 0),
            ("older than in force", (sound, "--in-force", newer), 1),
            ("warnings", (doubtful,), 1),
            ("errors", (invalid,), 2),
            ("no file", (absent,), 2),
            ("no file in force", (sound, "--in-force", absent), 2),
            ("invalid one in force", (sound, "--in-force", invalid), 2),
            (
                "no store",
                (sound, "--in-force", "http://127.0.0.1:1"),
                2,
            ),
            ("no port", (sound, "--in-force", "http://a:b"), 2),
        ):
            with self.subTest(name):
                code, lines = self.check(*arguments)
                self.assertEqual(code, expected_code, lines)

    def test_output(self) -> None:
        former = self.write("former", make_source())
        latter = self.write(
            "latter",
            make_source(
                (("version",), 4),
                (("routes", 0, "timeout-ms"), 100),
                (
                    ("routes", 1, "traffic-split"),
                    [
                        {"service": "plain", "weight": 9},
                        {"service": "engines", "weight": 1},
                    ],
                ),
                (("services", 0, "cold-per-s"), 2.5),
                (("tenants", 1, "api-keys"), ["a-key-of-20-letters!"]),
            ),
        )
        code, lines = self.check(latter, "--in-force", former)
        self.assertEqual(code, 1)
        self.assertEqual(
            lines,
            [
                "warning: route 'plain' ('host.example/plain/'):"
                " 'target-latency-ms' (200) is above 'timeout-ms' (100); lower"
                " the first or raise the second.",
                "warning: service 'plain': 'cold-per-s' (2.5) has no"
                " 'cold-start-s' beside it; state both or none.",
                "change: configuration: version 3 -> 4",
                "change: route 'plain' ('host.example/plain/'): timeout-ms"
                " 2000 -> 100",
                "change: route 'once' ('host.example/once/'): service 'plain'"
                " (weight 1) -> 'plain' (weight 9), 'engines' (weight 1)",
                "change: service 'plain': cold-per-s 0 -> 2.5",
                "change: key 'k... (5 characters)': removed (account"
                " 'account-2')",
                "change: key 'a-ke... (20 characters)': added (account"
                " 'account-2')",
                "0 error(s), 2 warning(s), 6 change(s)",
            ],
        )

    def test_output_of_errors(self) -> None:
        """Guards against a report that seems to list all warnings."""
        changes = (("version",), "x"), (("routes", 0, "service"), "x")
        code, lines = self.check(self.write("invalid", make_source(*changes)))
        self.assertEqual(code, 2)
        self.assertEqual(
            lines,
            [
                "error: configuration: 'version' must be a non-negative"
                " integer.",
                "error: route 'plain': It names an unknown service 'x'; add the"
                " service or correct the name.",
                "2 error(s); warnings and changes are listed once there are"
                " none",
            ],
        )

    def test_store(self) -> None:
        """The version in force is read from a running store."""
        path = self.write("next", make_source((("version",), 9)))

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            store = f"http://127.0.1.1:{system.control_port}"
            checks: list[tuple[int, list[str]]] = []
            # The command blocks, and the store runs in this thread.
            thread = threading.Thread(
                target=lambda: checks.append(
                    self.check(path, "--in-force", store)
                )
            )
            thread.start()
            await support.until(lambda: not thread.is_alive())
            ((code, lines),) = checks
            self.assertEqual(code, 0, lines)
            self.assertIn("change: configuration: version 3 -> 9", lines)

        deployment.run_scenario(scenario)

    def test_program(self) -> None:
        """The program runs without the modules of instances."""
        path = self.write("sound", make_source())
        done = subprocess.run(
            [sys.executable, "-X", "importtime", CHECK_SCRIPT, path],
            capture_output=True,
            check=True,
        )
        self.assertEqual(
            done.stdout, b"0 error(s), 0 warning(s), 0 change(s)\n"
        )
        self.assertNotIn(b"banyanbank_node", done.stderr)

    def test_instances_do_not_load_the_check(self) -> None:
        """Guards against a longer start of entries."""
        done = subprocess.run(
            [
                sys.executable,
                *("-X", "importtime"),
                *("-c", "import banyanbank_platform._processes"),
            ],
            capture_output=True,
            check=True,
        )
        self.assertIn(b"banyanbank_platform._document", done.stderr)
        for name in (
            b"document_check",
            b"_check_",
            b"_document_errors",
            b"_zone_command",
        ):
            self.assertNotIn(name, done.stderr)


if __name__ == "__main__":
    unittest.main()
