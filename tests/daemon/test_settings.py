"""Tests of the settings of an instance."""

import contextlib
import io
import pathlib
import tempfile
import unittest
import unittest.mock

import attrs
from banyanbank_daemon import _settings
from banyanbank_daemon import main
import hypothesis
from hypothesis import strategies
from returns import result

VOTERS = "e1=127.0.0.1:9001,e2=127.0.0.2:9001,e3=127.0.0.3:9001"
GOOD = {
    "instance_id": "e4",
    "failure_domain": "addis-1",
    "voters": VOTERS,
}


class SettingsCase(unittest.TestCase):
    """Base of cases with a scratch folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def file(self, name: str, text: str, mode: int = 0o600) -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text)
        path.chmod(mode)
        return str(path)

    def problems(self, **flags: str) -> dict[str, str]:
        """Returns the messages by flag for good flags with changes."""
        read = _settings.read_settings({**GOOD, **flags}, {})
        if isinstance(read, result.Success):
            return {}
        return {
            problem.name: str(problem) for problem in read.failure().problems
        }


class ReadSettingsTest(SettingsCase):
    """Values are typed; all that is wrong is told at once."""

    def test_defaults_and_types(self) -> None:
        settings = _settings.read_settings(GOOD, {}).unwrap()
        self.assertEqual(settings.caller_port, 8700)
        self.assertEqual(settings.reachable_host, "127.0.0.1")
        self.assertEqual([v.port for v in settings.voters], [9001] * 3)
        self.assertFalse(settings.is_voter)

    def test_flag_goes_before_variable(self) -> None:
        environment = {
            "BANYANBANK_MESH_PORT": "1000",
            "BANYANBANK_LOG_LEVEL": "DEBUG",
            "BANYANBANK_TOKEN_FILE": "of the command line",
            "HOME": "/",
        }
        flags = {**GOOD, "mesh_port": "2000"}
        settings = _settings.read_settings(flags, environment).unwrap()
        self.assertEqual(settings.mesh_port, 2000)
        self.assertEqual(settings.log_level, "DEBUG")

    def test_all_problems_at_once(self) -> None:
        read = _settings.read_settings(
            {
                "mesh_port": "x",
                "listen_host": "localhost",
                "operator_token": "",
            },
            {"BANYANBANK_NOPE": "1"},
        )
        names = [problem.name for problem in read.failure().problems]
        self.assertEqual(
            names,
            [
                "operator-token",
                "BANYANBANK_NOPE",
                "instance-id",
                "failure-domain",
                "listen-host",
                "mesh-port",
                "voters",
            ],
        )

    def test_bad_values(self) -> None:
        cases = (
            ("instance_id", "a b"),
            ("instance_id", ""),
            ("caller_port", "65536"),
            ("caller_port", "-1"),
            ("caller_port", "٣"),
            ("voters", ""),
            ("voters", "e1=127.0.0.1"),
            ("voters", "e1=127.0.0.1:9,e1=127.0.0.2:9"),
            ("voters", "e1=127.0.0.1:9,e2=127.0.0.1:9"),
            ("voters", ",".join(f"e{i}=10.0.0.{i}:1" for i in range(1, 9))),
            ("log_format", "xml"),
            ("log_level", "LOUD"),
            ("drain_limit_s", "nan"),
            ("drain_limit_s", "0"),
            ("orders_url", "http://orders.example/"),
            ("orders_url", "http://user:pw@10.0.0.1/"),
            ("orders_url", "ftp://10.0.0.1/"),
            ("max_body_bytes", "0"),
            ("operator_token_file", "/nowhere/at/all"),
            ("data_dir", ""),
            ("timeline_dir", "x\0y"),
        )
        for name, text in cases:
            with self.subTest(name=name, text=text):
                problems = self.problems(**{name: text})
                self.assertEqual(list(problems), [name.replace("_", "-")])

    def test_checked_together(self) -> None:
        readable = self.file("cert.pem", "x")
        cases = (
            ("data-dir", {"instance_id": "e1"}),
            ("advertised-host", {"listen_host": "0.0.0.0"}),
            ("mesh-port", {"mesh_port": "8700"}),
            (
                "caller-tls-certificate-file",
                {"caller_tls_certificate_file": readable},
            ),
            (
                "mesh-tls-certificate-file",
                {"mesh_tls_certificate_file": readable},
            ),
        )
        for name, flags in cases:
            with self.subTest(name=name):
                self.assertEqual(list(self.problems(**flags)), [name])

    def test_secret_files(self) -> None:
        cases = (
            ("open", "secret-value", 0o604, "chmod"),
            ("empty", " \n", 0o600, "no secret"),
        )
        for name, text, mode, words in cases:
            with self.subTest(name=name):
                path = self.file(name, text, mode)
                problems = self.problems(operator_token_file=path)
                self.assertIn(words, problems["operator-token-file"])
                self.assertNotIn("secret-value", str(problems))

    def test_good_secret_file(self) -> None:
        path = self.file("token", "secret-value\n")
        self.assertEqual(self.problems(operator_token_file=path), {})


class FuzzTest(unittest.TestCase):
    """Any text gives settings or problems, never a crash."""

    @hypothesis.settings(derandomize=True, max_examples=300, database=None)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(_settings.flag_names())
            | strategies.text(max_size=20),
            strategies.text(max_size=60)
            | strategies.sampled_from(["1", "127.0.0.1", VOTERS, "e1=[::1]:1"]),
            max_size=8,
        )
    )
    def test_any_text(self, flags: dict[str, str]) -> None:
        flags.pop("data_dir", None)
        read = _settings.read_settings({**GOOD, **flags}, {})
        if isinstance(read, result.Failure):
            self.assertTrue(read.failure().problems)
            self.assertTrue(str(read.failure()))
        else:
            attrs.validate(read.unwrap())

    def test_long_text(self) -> None:
        read = _settings.read_settings({**GOOD, "voters": "x" * 10**6}, {})
        self.assertLess(len(str(read.failure())), 1000)


class MainTest(SettingsCase):
    """`banyanbankd --check` tells what is wrong and starts nothing."""

    def run_main(self, *arguments: str) -> tuple[int, str, str]:
        """Returns exit code, standard output and standard error."""
        out = io.StringIO()
        err = io.StringIO()
        code = 0
        with (
            unittest.mock.patch("sys.argv", ["banyanbankd", *arguments]),
            unittest.mock.patch.dict("os.environ", {}, clear=True),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                main.main()
            except SystemExit as exc:
                code = int(exc.code or 0)
        return code, out.getvalue(), err.getvalue()

    def test_usable(self) -> None:
        code, out, _ = self.run_main(
            "--check",
            "--instance-id=1e3",
            "--failure-domain=addis-1",
            f"--voters={VOTERS}",
        )
        self.assertEqual((code, out), (0, "The settings are usable.\n"))

    def test_unusable(self) -> None:
        code, _, err = self.run_main("--check", "--mesh-port=x")
        self.assertEqual(code, 2)
        for name in ("--mesh-port", "--instance-id", "--voters"):
            self.assertIn(name, err)

    def test_help_describes_every_flag(self) -> None:
        _, out, _ = self.run_main("--help")
        texts = _settings.flag_help()
        self.assertEqual(tuple(texts), _settings.flag_names())
        for name, text in texts.items():
            self.assertIn(f"--{name.replace('_', '-')}\n      {text}\n", out)
