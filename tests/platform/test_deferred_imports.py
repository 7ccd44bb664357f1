"""Tests of modules that are imported after the start of a process."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from banyanbank_platform import _deferred_imports

START = """
import sys
from banyanbank_platform import _deferred_imports
_deferred_imports.install()
import banyanbank_platform._main
import banyanbank_mesh
banyanbank_mesh.install_reactor()
import banyanbank_platform._processes
import banyanbank_platform._warm_up
"""

NOT_AT_THE_START = (
    "banyanbank_consensus",
    "banyanbank_jobs._ledger",
    "banyanbank_node._store",
    "fire",
    "hyperlink",
    "loguru._logger",
    "multiprocessing",
    "ruamel",
    "sismic",
    "twisted.web._template_util",
    "urllib.response",
    "xml",
)
"""Modules that no start of an entry may import, by whatever way."""


class StartTest(unittest.TestCase):
    """An entry starts without modules that serve no request.

    Guards against an import that makes the start of every entry longer.
    """

    def _run(self, script: str) -> list[str]:
        done = subprocess.run(
            [sys.executable, "-c", START + script],
            capture_output=True,
            check=True,
        )
        return done.stdout.decode().split()

    def test_modules_that_are_not_imported(self) -> None:
        loaded = self._run(
            "print(*(n for n, m in sys.modules.items() if not isinstance("
            "m, _deferred_imports._DeferredModule)))"
        )
        for name in (*NOT_AT_THE_START, *_deferred_imports.DEFERRED):
            with self.subTest(name):
                self.assertNotIn(name, loaded)

    def test_preparations_leave_nothing_deferred(self) -> None:
        """Guards against a deferred module that cannot be imported."""
        left = self._run(
            "import banyanbank_base as base\n"
            "for prepare in _deferred_imports.preparations(): prepare()\n"
            "for prepare in base.codec_preparations(): prepare()\n"
            "print(*(n for n, m in sys.modules.items() if isinstance("
            "m, _deferred_imports._DeferredModule)))\n"
            "print(*(n for n in _deferred_imports.DEFERRED"
            " if n not in sys.modules))\n"
            "print(*_deferred_imports.preparations())\n"
            "print(*base.codec_preparations())\n"
        )
        self.assertEqual(left, [])


class DeferredModuleTest(unittest.TestCase):
    """A deferred module behaves like any other from its first use on."""

    def _run(self, script: str, **modules: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            for name, source in modules.items():
                pathlib.Path(folder, f"{name}.py").write_text(source)
            head = (
                "import sys\n"
                f"sys.path.append({folder!r})\n"
                "import banyanbank_platform._deferred_imports as deferred\n"
                f"deferred.DEFERRED = frozenset({sorted(modules)!r})\n"
                "deferred.install()\n"
            )
            done = subprocess.run(
                [sys.executable, "-c", head + script],
                capture_output=True,
                check=False,
            )
        self.assertEqual(done.stderr.decode(), "")
        return done.stdout.decode().strip()

    def test_use(self) -> None:
        loud = "print('executed')\nvalue = 7\n"
        for name, script, expected in (
            ("no use", "import a", ""),
            ("second import", "import a\nimport a as b", ""),
            ("attribute", "import a\nprint(a.value)", "executed\n7"),
            ("name", "from a import value\nprint(value)", "executed\n7"),
            ("used twice", "import a\na.value\na.value", "executed"),
            (
                "spec",
                "import a\na.value\nprint(type(a.__loader__).__name__,"
                " a.__spec__.loader is a.__loader__)",
                "executed\nSourceFileLoader True",
            ),
            (
                "prepared",
                "import a\nfor step in deferred.preparations(): step()\n"
                "print(type(a).__name__)",
                "executed\nmodule",
            ),
        ):
            with self.subTest(name):
                self.assertEqual(self._run(script, a=loud), expected)

    def test_failed_import_is_tried_again(self) -> None:
        script = (
            "import a\n"
            "for _ in range(2):\n"
            "    try: a.value\n"
            "    except OSError as exc: print(exc)\n"
        )
        self.assertEqual(self._run(script, a="raise OSError('x')"), "x\nx")

    def test_circular_import(self) -> None:
        printed = self._run(
            "import a\nprint(a.value)",
            a="import b\nname = 'a'\nvalue = b.f()\n",
            b="import a\ndef f(): return a.name\n",
        )
        self.assertEqual(printed, "a")


if __name__ == "__main__":
    unittest.main()
