"""Tests of the command that evacuates and readmits failure domains."""

import contextlib
import io
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import typing
import unittest
import unittest.mock

from banyanbank_platform import _zone_command

from tests import support
from tests.platform import deployment

ZONE_SCRIPT = pathlib.Path(__file__).parents[2] / "platform" / "zones.py"


def run_command(*arguments: str) -> tuple[int, list[str]]:
    """Returns the exit code and the lines of the output."""
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output):
            code = _zone_command.main(arguments, output)
    except SystemExit as exc:
        code = int(exc.code or 0)
    return code, output.getvalue().splitlines()


async def run_in_thread(*arguments: str) -> tuple[int, list[str]]:
    """Runs the command, which blocks, beside stores in this thread."""
    done: list[tuple[int, list[str]]] = []
    thread = threading.Thread(
        target=lambda: done.append(run_command(*arguments))
    )
    thread.start()
    await support.until(lambda: not thread.is_alive())
    return done[0]


class StandIn:
    """Store that gives the same answer to each call; empty for none."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self.requests: list[bytes] = []
        self._socket = socket.create_server(("127.0.0.1", 0))
        port = self._socket.getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._socket.accept()
                with conn:
                    self.requests.append(conn.recv(65_536))
                    conn.sendall(self._answer)

    def __enter__(self) -> "StandIn":
        return self

    def __exit__(self, *_: object) -> None:
        # Wakes the thread, which close() alone would leave in accept().
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join()


def make_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status} x\r\ncontent-length: {len(body)}\r\n{headers}"
    return head.encode() + b"\r\n" + body


class CallsTest(unittest.TestCase):
    """Orders are sent as the protocol states, and answers read."""

    def test_answers(self) -> None:
        """Guards against results that the store did not give."""
        reason = b"No zone 'zone-x'\n is known."
        away = f"location: http://127.0.0.1:1/\r\nx: {'y' * 9000}\r\n"
        for name, answer, code, expected in (
            ("acknowledged", make_answer(200), 0, "acknowledged: "),
            (
                "refused",
                make_answer(404, reason),
                1,
                "refused: evacuate zone/x: No zone 'zone-x' is known.",
            ),
            ("not taken", make_answer(503), 1, "not in effect: "),
            ("open", make_answer(504), 3, "not known: "),
            ("no answer", b"", 3, "not known: "),
            ("redirect", make_answer(302, b"", away), 3, "not known: "),
            ("other protocol", b"220 ready\r\n", 3, "not known: "),
            ("body cut off", make_answer(400, b"x")[:-1], 1, "refused: "),
        ):
            with self.subTest(name), StandIn(answer) as store:
                result, lines = run_command(
                    *("evacuate", "zone/x", "--store", store.url),
                    *("--limit-s", "1.2"),
                )
                self.assertEqual(result, code, lines)
                self.assertTrue(lines[-1].startswith(expected), lines)
                sent = store.requests[0]
                self.assertTrue(
                    sent.startswith(b"POST /-/evacuate/zone%2Fx HTTP/1.1\r\n"),
                    sent,
                )
                self.assertTrue(sent.endswith(b"\r\n\r\n"), sent)

    def test_next_store(self) -> None:
        """An order whose answer is lost goes to the next store."""
        with StandIn(b"") as first, StandIn(make_answer(200)) as second:
            code, lines = run_command(
                *("readmit", "zone-a", "--store", first.url),
                *("--store", "http://127.0.0.1:1", "--store", second.url),
            )
        self.assertEqual(code, 0, lines)
        self.assertIn("the order may take effect", lines[0])
        self.assertIn("not reached", lines[1])
        self.assertEqual(lines[-1], "acknowledged: readmit zone-a")
        for store in (first, second):
            (sent,) = store.requests
            self.assertIn(b"DELETE /-/evacuate/zone-a HTTP/1.1", sent)

    def test_store_that_does_not_answer(self) -> None:
        """Guards against a frozen store that holds up the command."""
        with (
            socket.create_server(("127.0.0.1", 0)) as frozen,
            StandIn(make_answer(200)) as store,
        ):
            port = frozen.getsockname()[1]
            code, lines = run_command(
                *("evacuate", "zone-a", "--store", f"http://127.0.0.1:{port}"),
                *("--store", store.url),
            )
        self.assertEqual(code, 0, lines)
        self.assertIn("no answer (timed out)", lines[0])

    def test_interruption(self) -> None:
        """Guards against code 1, which promises that nothing took effect."""
        for exc in (KeyboardInterrupt, MemoryError):
            with (
                self.subTest(exc),
                unittest.mock.patch.object(
                    _zone_command, "_call_store", side_effect=exc
                ),
            ):
                code, _ = run_command(
                    *("evacuate", "zone-a", "--store", "http://127.0.0.1:1")
                )
                self.assertEqual(code, 3)


class UsageTest(unittest.TestCase):
    """Wrong usage is told apart from a refusal by a store."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = pathlib.Path(folder.name, "boot.json")

    def test_wrong_usage(self) -> None:
        valid = ("evacuate", "zone-a", "--store", "http://127.0.0.1:1")
        for name, arguments in (
            ("no verb", ()),
            ("unknown verb", ("drain", *valid[1:])),
            ("no zone", ("evacuate",)),
            ("no store", valid[:2]),
            ("no scheme", (*valid[:3], "127.0.0.1:1")),
            ("other scheme", (*valid[:3], "https://127.0.0.1:1")),
            ("no port", (*valid[:3], "http://127.0.0.1")),
            ("port that is no number", (*valid[:3], "http://127.0.0.1:x")),
            ("path", (*valid[:3], "http://127.0.0.1:1/-/config")),
            ("password", (*valid[:3], "http://u:p@127.0.0.1:1")),
            ("no limit", (*valid, "--limit-s", "0")),
            ("endless limit", (*valid, "--limit-s", "inf")),
            ("limit that is no number", (*valid, "--limit-s", "x")),
        ):
            with (
                self.subTest(name),
                unittest.mock.patch.dict("os.environ", clear=True),
            ):
                code, lines = run_command(*arguments)
                self.assertEqual(code, 2, lines)

    def test_seeds(self) -> None:
        """Without stores among the arguments, the seeds are asked."""
        with StandIn(make_answer(200)) as store:
            seed = store.url.removeprefix("http://")
            for name, content, expected in (
                ("seeds", json.dumps({"seeds": ["127.0.0.1:1", seed]}), 0),
                ("no seeds", json.dumps({"seeds": []}), 2),
                ("other settings", json.dumps({}), 2),
                ("no port", json.dumps({"seeds": ["127.0.0.1"]}), 2),
                ("no JSON", "{", 2),
                ("no file", None, 2),
            ):
                self.settings.unlink(missing_ok=True)
                if content is not None:
                    self.settings.write_text(content)
                environment = {"BANYANBANK_BOOT": str(self.settings)}
                with (
                    self.subTest(name),
                    unittest.mock.patch.dict("os.environ", environment),
                ):
                    code, lines = run_command("evacuate", "zone-a")
                    self.assertEqual(code, expected, lines)

    def test_program(self) -> None:
        """The program runs without the modules of instances."""
        for name, arguments, code in (
            ("wrong usage", ("evacuate",), 2),
            (
                "no store reached",
                (
                    *("evacuate", "z", "--store", "http://127.0.0.1:1"),
                    *("--limit-s", "0.5"),
                ),
                1,
            ),
        ):
            with self.subTest(name):
                done = subprocess.run(
                    [
                        sys.executable,
                        *("-X", "importtime", str(ZONE_SCRIPT)),
                        *arguments,
                    ],
                    capture_output=True,
                    check=False,
                )
                self.assertEqual(done.returncode, code, done.stderr)
                self.assertNotIn(b"banyanbank_node", done.stderr)


class StoresTest(unittest.TestCase):
    """Stores of a deployment take the orders."""

    def test_orders(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            port = system.control_port
            stores: list[typing.Any] = ["--store", f"http://127.0.1.9:{port}"]
            for number in (1, 2, 3):
                stores += ["--store", f"http://127.0.1.{number}:{port}"]
            for name, order, zone, code, evacuated in (
                ("evacuate", "evacuate", "zone-a", 0, {"zone-a"}),
                ("repetition", "evacuate", "zone-a", 0, {"zone-a"}),
                ("readmit", "readmit", "zone-a", 0, set()),
                ("unknown zone", "evacuate", "zone-x", 1, set()),
                ("malformed zone", "evacuate", "zone a", 1, set()),
            ):
                with self.subTest(name):
                    result, lines = await run_in_thread(order, zone, *stores)
                    self.assertEqual(result, code, lines)
                    self.assertEqual(
                        set(system.entry.sync.evacuations.domains), evacuated
                    )

        deployment.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
