"""Tests that no value in any field escapes a decoder as another error."""

import base64
import collections.abc
import copy
import itertools
import json
import pathlib
import tempfile
import typing
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_node as node
from banyanbank_platform import _announcement
from banyanbank_platform import _batch_job
from banyanbank_platform import _document
from banyanbank_platform import _fields
from banyanbank_platform import _front
from banyanbank_platform import _settings_file

from tests.platform import deployment

HOSTILE_VALUES: tuple[typing.Any, ...] = (
    None,
    True,
    -1,
    0.5,
    10**400,
    float("inf"),
    float("nan"),
    "",
    "abc",
    "\u00b2",
    "\ud800",
    "a\r\nb: c",
    "inf",
    "1e999",
    [],
    [[]],
    [{}],
    {},
    {"a": []},
)
"""Values that replace each field in turn."""

DEEP_JSON = b"[" * 100_000

ROUTE = next(
    route
    for route in _document.DocumentReader()
    .read(json.dumps(deployment.DOCUMENT).encode())
    .routes
    if route.kind is gateway.RouteKind.ROLLOUT
)

JOB = json.loads(deployment.make_job()) | {
    "requests": [
        {
            "id": "item-0",
            "path": "/jobs/x",
            "headers": {"X-Banyanbank-Length-Hint": "20"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 100,
            "group": "g1",
            "scorer": {
                "id": "score-0",
                "host": "host.example",
                "path": "/score/1",
                "body": "",
            },
        }
    ]
}

SETTINGS = {
    "node": "entry-1",
    "ip": "127.0.0.1",
    "zone": "zone-a",
    "listen": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"},
    "internal-ports": [7000, 7001],
    "seeds": ["127.0.0.1:90"],
    "bootstrap": True,
    "data-dir": None,
    "bounds": {"grace-s": 8, "window-s": 5, "lease-ms": 3000, "status-s": 1},
    "cloud": {"address": "127.0.0.1:99", "duties": ["usage_report"]},
    "fault-tolerance": {"machines": 1},
}


def replace_each(source: typing.Any) -> collections.abc.Iterator[typing.Any]:
    """Yields copies of a JSON value with one place replaced in each."""
    yield from HOSTILE_VALUES
    keys: collections.abc.Iterable[typing.Any] = ()
    if isinstance(source, dict):
        keys = source
    elif isinstance(source, list):
        keys = range(len(source))
    for key in keys:
        for value in replace_each(source[key]):
            changed = copy.copy(source)
            changed[key] = value
            yield changed


def encode_each(value: typing.Any) -> collections.abc.Iterator[bytes]:
    """Yields encodings of a JSON value that writers may choose."""
    encoded = json.dumps(value)
    yield encoded.encode()
    yield encoded.encode("utf-16")
    raw = json.dumps(value, ensure_ascii=False)
    yield raw.encode("utf-8", "surrogatepass")


ANNOUNCEMENT = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1000,
}


class DecodersTest(unittest.TestCase):
    """Callers and operators get an error that names the field.

    What is accepted can be stored and sent on.
    """

    def check_each(
        self,
        source: typing.Any,
        decode: collections.abc.Callable[[bytes], object],
        error: type[Exception],
        encode: collections.abc.Callable[[typing.Any], bytes] | None = None,
    ) -> None:
        contents = itertools.chain.from_iterable(
            map(encode_each, replace_each(source))
        )
        for content in contents:
            try:
                decoded = decode(content)
                if encode is not None:
                    encode(decoded)
            except error as exc:
                self.assertTrue(str(exc))
            except Exception as exc:
                self.fail(f"{content[:300]!r} raised {exc!r}")
        with self.assertRaises(error):
            decode(DEEP_JSON)

    def test_batch_jobs(self) -> None:
        self.check_each(
            JOB,
            lambda content: _batch_job.read_job(
                "job-1", content, ROUTE, base.AccountId("a"), 0.0, 0
            ),
            _fields.FieldError,
            lambda job: jobs.COMMAND_CODEC.encode(jobs.AcceptJob(job)),
        )

    def test_fields_of_removals(self) -> None:
        """Guards against a field that is lost with another, invalid one."""
        for body, born_ms, sequence in (
            ({"born": 1_000, "sequence": 4}, 1_000, 4),
            ({"born": 1_000, "sequence": "4"}, 1_000, None),
            ({"born": None, "sequence": 4}, None, 4),
            ({"born": -1}, None, None),
            ({}, None, None),
        ):
            with self.subTest(body=body):
                read = _announcement.read_withdrawal(
                    "e1", json.dumps(body).encode()
                )
                self.assertEqual(
                    (read.born_ms, read.sequence), (born_ms, sequence)
                )

    def test_control_paths(self) -> None:
        """Guards against an item that is an order to its engine."""
        for path, is_valid in (
            ("/jobs/x", True),
            ("/jobs/-/order", True),
            ("/-x/order", True),
            ("/-/order", False),
            ("/-/report?x=1", False),
            ("/%2D/order", False),
            ("/%2d%2Forder", False),
            ("%2F-/order", False),
        ):
            for place in ("item", "scorer"):
                with self.subTest(path, place=place):
                    job = copy.deepcopy(JOB)
                    (spec,) = job["requests"]
                    changed = spec if place == "item" else spec["scorer"]
                    changed["path"] = path
                    try:
                        _batch_job.read_job(
                            "job-1",
                            json.dumps(job).encode(),
                            ROUTE,
                            base.AccountId("a"),
                            0.0,
                            0,
                        )
                    except _fields.FieldError:
                        self.assertFalse(is_valid)
                    else:
                        self.assertTrue(is_valid)

    def test_announcements(self) -> None:
        """Guards against an entry that stops all readers of the directory."""
        self.check_each(
            ANNOUNCEMENT,
            lambda content: _announcement.read_announcement("e1", content),
            _fields.FieldError,
            base.Codec(gateway.Announcement).encode,
        )

    def test_removals(self) -> None:
        self.check_each(
            {"born": 1_000, "sequence": 4},
            lambda content: _announcement.read_withdrawal("e1", content),
            _fields.FieldError,
            base.Codec(node.Withdrawal).encode,
        )

    def test_addresses(self) -> None:
        for address, is_valid in (
            ("10.0.0.1:80", True),
            ("10.0.0.1:65535", True),
            ("10.0.0.1:65536", False),
            ("10.0.0.1:0", False),
            ("10.0.0.1: 80", False),
            ("10.0.0.1:+80", False),
            ("10.0.0.1:8_0", False),
            ("10.0.0.1:\u0668\u0660", False),
            ("10.0.0.1:" + "9" * 5000, False),
            ("0.0.0.0:80", False),
            ("::1:80", False),
            ("host.example:80", False),
        ):
            with self.subTest(address[:40]):
                content = json.dumps(ANNOUNCEMENT | {"address": address})
                try:
                    _announcement.read_announcement("e1", content.encode())
                except _fields.FieldError:
                    self.assertFalse(is_valid)
                else:
                    self.assertTrue(is_valid)

    def test_documents(self) -> None:
        self.check_each(
            deployment.DOCUMENT,
            lambda content: _document.DocumentReader().read(content),
            gateway.InvalidDocumentError,
        )

    def test_settings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "boot.json")

            def decode(content: bytes) -> object:
                path.write_bytes(content)
                return _settings_file.read_settings_file(path)

            self.check_each(SETTINGS, decode, _settings_file.SettingsFileError)

    def test_numbers_in_headers(self) -> None:
        cases = (
            ("decimal", "12", 12),
            ("superscript digit", "\u00b2", 0),
            ("digits of another script", "\u0663", 0),
            ("sign", "-1", 0),
            ("empty", "", 0),
            ("more digits than an integer may have", "9" * 5000, 0),
        )
        for name, value, expected in cases:
            with self.subTest(name):
                self.assertEqual(_front._parse_integer(value), expected)


if __name__ == "__main__":
    unittest.main()
