"""Tests of processes that receive a new configuration document."""

import json
import pathlib
import tempfile
import unittest

import attrs
import banyanbank_gateway as gateway
from banyanbank_platform import _document
from banyanbank_platform import _processes
from banyanbank_platform import _settings_file

from tests import support
from tests.platform import deployment


class LimitsTest(unittest.TestCase):
    """The front listener applies the limits of the current document."""

    def test_limits_of_a_document(self) -> None:
        from twisted.internet import reactor

        process = _processes.EntryProcess(_load_settings(), reactor)
        for limits, idle_s, body_bytes in (
            ({"idle-timeout-ms": 40_000, "max-body-bytes": 50}, 40.0, 50),
            ({"idle-timeout-ms": 500, "max-body-bytes": 7_000}, 0.5, 7_000),
            ({}, 15.0, 32 * 1024 * 1024),
        ):
            with self.subTest(limits=limits):
                document = _read(deployment.DOCUMENT | {"limits": limits})
                process.entry.sync.on_document(document)
                site = process.front.site
                channel = site.buildProtocol(None)
                self.assertEqual(channel.timeOut, idle_s)
                self.assertEqual(site.limits.max_body_bytes, body_bytes)
                self.assertEqual(
                    attrs.asdict(site.limits)["idle_timeout_s"], idle_s
                )


class ReloadTest(unittest.TestCase):
    """A reload of the settings changes the seeds alone.

    Guards against a configuration that is lost or older after SIGHUP.
    """

    def test_configuration_stays_in_force(self) -> None:
        from twisted.internet import reactor

        process = _processes.EntryProcess(_load_settings(), reactor)
        table = gateway.RouteTable(_read(deployment.DOCUMENT))
        process.entry.sync.table = table
        other = json.dumps(_make_settings("127.0.1.1:80")).encode()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "boot.json")
            for name, content, reloads in (
                ("unreadable settings", b"{", False),
                ("missing settings", None, False),
                ("other settings", other, True),
            ):
                with self.subTest(name):
                    path.unlink(missing_ok=True)
                    if content is not None:
                        path.write_bytes(content)
                    runner = _processes.Runner(
                        process,
                        path,
                        _settings_file.read_stamp(path),
                        reactor,
                    )
                    seeds = process.node.client._seeds
                    runner._reload()
                    self.assertEqual(
                        process.node.client._seeds != seeds, reloads
                    )
                    self.assertIs(process.entry.sync.table, table)
                    self.assertTrue(process.entry.is_ready)


def _read(source: dict[str, object]) -> gateway.Document:
    return _document.DocumentReader().read(json.dumps(source).encode())


def _make_settings(*seeds: str) -> dict[str, object]:
    ports = support.free_ports(3)
    return {
        "node": "entry-1",
        "zone": "zone-a",
        "ip": "127.0.2.9",
        "listen": {
            "front": f"127.0.2.9:{ports[0]}",
            "ready": f"127.0.2.9:{ports[1]}",
        },
        "internal-ports": [ports[2], ports[2]],
        "seeds": list(seeds),
    }


def _load_settings() -> _settings_file.SettingsFile:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "boot.json")
        path.write_text(json.dumps(_make_settings()))
        return _settings_file.read_settings_file(path)
