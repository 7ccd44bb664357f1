"""Tests of reading the settings file."""

import json
import pathlib
import tempfile
import typing
import unittest

import banyanbank_gateway as gateway
import banyanbank_node as node
from banyanbank_platform import _settings_file

SETTINGS: dict[str, typing.Any] = {
    "node": "store-1",
    "zone": "zone-a",
    "ip": "10.1.0.7",
    "listen": {"control": "10.1.0.7:8405"},
    "internal-ports": [7660, 7675],
    "seeds": ["10.1.0.11:8407", "10.2.0.46:8407"],
    "bootstrap": True,
    "data-dir": "/data",
    "bounds": {"grace-s": 8, "status-s": 100, "window-s": 5},
    "fault-tolerance": {"machines": 2},
    "cloud": {"address": "10.200.0.60:8408", "duties": ["usage_report"]},
}


def read(changes: dict[str, typing.Any]) -> _settings_file.SettingsFile:
    """Reads the settings with some fields changed; None removes a field."""
    fields = {
        name: value
        for name, value in (SETTINGS | changes).items()
        if value is not None
    }
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "boot.json")
        path.write_text(json.dumps(fields))
        return _settings_file.read_settings_file(path)


class SettingsFileTest(unittest.TestCase):
    """Decoding of the settings file."""

    def test_settings(self) -> None:
        settings_file = read({"a-field-of-a-later-release": 1})
        store = settings_file.store()
        self.assertEqual(store.node.mesh, node.Address("10.1.0.7", 7660))
        self.assertEqual(store.node.seeds, ("10.1.0.11:7660", "10.2.0.46:7660"))
        self.assertEqual(store.voters_wanted, 5)
        self.assertEqual(store.node.shutdown_timeout_s, 7.0)
        self.assertEqual(store.node.job_retention_s, 130.0)
        self.assertTrue(store.may_form)
        self.assertEqual(store.handover_rules, node.HandoverRules(3.0, True))
        self.assertEqual(settings_file.usage_address, "10.200.0.60:8408")

    def test_optional_fields(self) -> None:
        for name, changes, get_value, expected in (
            (
                "fencing tokens not checked",
                {"bounds": {"enforce-fencing": False, "lease-ms": 4500}},
                lambda b: b.store().handover_rules,
                node.HandoverRules(4.5, False),
            ),
            ("no cloud", {"cloud": None}, lambda b: b.usage_address, None),
            (
                "another duty",
                {"cloud": {"address": "x", "duties": ["autoscale"]}},
                lambda b: b.usage_address,
                None,
            ),
            (
                "no cloud to order from",
                {"cloud": None},
                lambda b: b.scaling_address,
                None,
            ),
            (
                "orders of endpoints",
                {"cloud": {"address": "x", "duties": ["autoscale"]}},
                lambda b: b.scaling_address,
                "x",
            ),
            (
                "usage reports only",
                {"cloud": {"address": "x", "duties": ["usage_report"]}},
                lambda b: b.scaling_address,
                None,
            ),
            (
                "zones",
                {"zones": {"zone-a": "north"}},
                lambda b: b.store().regions,
                {"zone-a": "north"},
            ),
            ("no zones", {}, lambda b: b.store().regions, {}),
            ("zones null", {"zones": None}, lambda b: b.store().regions, {}),
            ("zones empty", {"zones": {}}, lambda b: b.store().regions, {}),
            ("later start", {"bootstrap": False}, lambda b: b.may_form, False),
            (
                "not a bool",
                {"bootstrap": "yes"},
                lambda b: b.may_form,
                False,
            ),
            (
                "no fault tolerance",
                {"fault-tolerance": {}},
                lambda b: b.max_failed_stores,
                1,
            ),
        ):
            with self.subTest(name):
                self.assertEqual(get_value(read(changes)), expected)

    def test_unusable_settings(self) -> None:
        for name, changes, expected_text in (
            ("no name", {"node": None}, "node"),
            ("no address", {"ip": None}, "ip"),
            ("no ports", {"internal-ports": []}, "IndexError"),
            ("port is not a number", {"seeds": ["10.1.0.11:x"]}, "ValueError"),
            ("zones without regions", {"zones": ["zone-a"]}, "list"),
            ("zones a list", {"zones": ["a"]}, "'zones' must be a table"),
            ("zones an empty list", {"zones": []}, "'zones' must be a table"),
            ("zones false", {"zones": False}, "'zones' must be a table"),
            ("zones zero", {"zones": 0}, "'zones' must be a table"),
            ("zones an empty text", {"zones": ""}, "'zones' must be a table"),
            ("zones a text", {"zones": "a"}, "maps failure domains to regions"),
            ("bad bound", {"bounds": {"grace-s": "soon"}}, "soon"),
        ):
            with self.subTest(name):
                with self.assertRaises(
                    _settings_file.SettingsFileError
                ) as raised:
                    read(changes)
                self.assertIn(expected_text, str(raised.exception))

    def test_missing_setting_of_a_role(self) -> None:
        with self.assertRaisesRegex(
            _settings_file.SettingsFileError, "data-dir"
        ):
            read({"data-dir": ""}).store()
        with self.assertRaisesRegex(_settings_file.SettingsFileError, "front"):
            read({}).entry()


class MeshHostsTest(unittest.TestCase):
    """Mesh addresses in the environment, as used behind a relay."""

    def test_hosts(self) -> None:
        for name, value, host in (
            ("not set", None, None),
            ("empty", "", None),
            ("IP address", "10.9.0.1", "10.9.0.1"),
        ):
            with self.subTest(name):
                environment = (
                    {}
                    if value is None
                    else {_settings_file.MESH_LISTEN_HOST_VARIABLE: value}
                )
                settings_file = _settings_file.with_mesh_hosts(
                    read({}), environment
                )
                self.assertEqual(settings_file.common.mesh_listen_host, host)
                self.assertIsNone(settings_file.common.mesh_source_host)

    def test_host_name_is_rejected(self) -> None:
        with self.assertRaisesRegex(
            _settings_file.SettingsFileError,
            _settings_file.MESH_SOURCE_HOST_VARIABLE,
        ):
            _settings_file.with_mesh_hosts(
                read({}), {_settings_file.MESH_SOURCE_HOST_VARIABLE: "store-1"}
            )


class SecondAttemptsTest(unittest.TestCase):
    """Limits on second attempts in the environment."""

    def test_values(self) -> None:
        """Guards against second attempts where operators set none."""
        for name, share, room, expected in (
            ("not set", None, None, (0.0, 0.25)),
            ("empty", "", "", (0.0, 0.25)),
            ("off", "0", None, (0.0, 0.25)),
            ("set", "0.05", "0.5", (0.05, 0.5)),
            ("largest", "0.5", "1", (0.5, 1.0)),
        ):
            with self.subTest(name):
                rules = read_second_attempts(share, room)
                self.assertEqual((rules.share, rules.room), expected)

    def test_bad_values(self) -> None:
        """Guards against a process that starts with limits nobody set."""
        share_name = _settings_file.SECOND_ATTEMPT_SHARE_VARIABLE
        room_name = _settings_file.SECOND_ATTEMPT_ROOM_VARIABLE
        for share, room, expected in (
            ("5%", None, share_name),
            ("0.6", None, share_name),
            ("-0.1", None, share_name),
            ("nan", None, share_name),
            ("inf", None, share_name),
            ("0.1", "0", room_name),
            ("0.1", "1.1", room_name),
            ("0.1", "nan", room_name),
            (None, "much", room_name),
        ):
            with (
                self.subTest(share=share, room=room),
                self.assertRaisesRegex(
                    _settings_file.SettingsFileError, expected
                ),
            ):
                read_second_attempts(share, room)


def read_second_attempts(
    share: str | None, room: str | None
) -> gateway.SecondAttemptRules:
    """Returns the limits that the environment sets."""
    environment = {
        name: value
        for name, value in (
            (_settings_file.SECOND_ATTEMPT_SHARE_VARIABLE, share),
            (_settings_file.SECOND_ATTEMPT_ROOM_VARIABLE, room),
        )
        if value is not None
    }
    settings_file = _settings_file.with_second_attempts(read({}), environment)
    return settings_file.common.second_attempts
