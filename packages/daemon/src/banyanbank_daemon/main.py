"""Entry point of `banyanbankd`."""

import importlib
import os
import sys
import textwrap
import typing

import fire
import fire.core
import fire.decorators
from returns import result

from banyanbank_daemon import _settings

EXIT_SETTINGS = 2
"""Exit code when the settings are not usable."""


def main() -> None:
    """Runs the program."""
    arguments = sys.argv[1:]
    if "--help" in arguments or "-h" in arguments:
        sys.stdout.write(_help_text())
        return
    flags = _read_flags(arguments)
    check = flags.pop("check", "False") == "True"
    settings = _settings.read_settings(flags, os.environ)
    if isinstance(settings, result.Failure):
        sys.stderr.write(f"{settings.failure()}\n")
        raise SystemExit(EXIT_SETTINGS)
    if check:
        sys.stdout.write("The settings are usable.\n")
        return
    _run(settings.unwrap())


def _read_flags(arguments: list[str]) -> dict[str, str]:
    read: dict[str, str] = {}

    def banyanbankd(**flags: str) -> None:
        read.update(flags)

    # Texts stay texts: an instance may be named 1e3.
    fire.decorators.SetParseFn(str)(banyanbankd)
    # Help is printed: the usual way starts a pager, a process of its own.
    fire.core.Display = _display
    fire.Fire(banyanbankd, command=arguments, name="banyanbankd")
    return read


def _display(lines: list[str], out: typing.TextIO) -> None:
    out.write("\n".join(lines) + "\n")


def _run(settings: _settings.Settings) -> None:
    import banyanbank_mesh as mesh

    # The reactor is installed before anything imports the default one.
    mesh.install_reactor()

    app = importlib.import_module("banyanbank_daemon._app")
    app.run(settings)


def _help_text() -> str:
    lines = [
        "banyanbankd: runs one instance until it is told to stop.",
        "",
        "Every flag is an environment variable too: --mesh-port is",
        "BANYANBANK_MESH_PORT. --check only checks the settings.",
        "",
    ]
    for name, text in _settings.flag_help().items():
        lines.append(f"  --{name.replace('_', '-')}")
        lines.append(textwrap.indent(text, "      "))
    return "\n".join(lines) + "\n"
