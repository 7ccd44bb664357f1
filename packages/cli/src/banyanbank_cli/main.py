"""Entry point of the command line."""

import sys
import typing

import fire
import fire.core
import fire.decorators

from banyanbank_cli import _commands
from banyanbank_cli import _connection
from banyanbank_cli import _groups
from banyanbank_cli import _reactor


def main(
    run: _reactor.Runner = _reactor.run, arguments: list[str] | None = None
) -> None:
    """Runs one command.

    Args:
        run: Runs coroutines.
        arguments: The command line; None for that of the process.
    """
    # Help is printed: the usual way starts a pager, a process of its own.
    fire.core.Display = _display
    _commands.keep_texts(
        _commands.Banyanbank,
        _groups.Keys,
        _groups.Rollout,
        _groups.Voters,
    )

    def banyanbank(
        *,
        server: str = "",
        token_file: str = "",
        entry: str = "",
        key_file: str = "",
        authority_file: str = "",
    ) -> _commands.Banyanbank:
        """Operates banyanbank.

        Args:
            server: Operators' interface of any instance, or BANYANBANK_SERVER.
            token_file: Operators' token, or BANYANBANK_TOKEN_FILE.
            entry: Callers' interface, for rollouts, or BANYANBANK_ENTRY.
            key_file: A caller's key, or BANYANBANK_KEY_FILE.
            authority_file: CA of the server's certificate, PEM.
        """
        return _commands.Banyanbank(
            run, server, token_file, entry, key_file, authority_file
        )

    fire.decorators.SetParseFn(str)(banyanbank)
    words = sys.argv[1:] if arguments is None else arguments
    if words in (["--help"], ["-h"]):
        words = []  # Without a command, all commands are listed.
    try:
        fire.Fire(
            banyanbank,
            command=words,
            name="banyanbank",
        )
    except _connection.UsageError as exc:
        _connection.warn(f"error: {exc}")
        raise SystemExit(_connection.EXIT_FAILED) from exc


def _display(lines: list[str], out: typing.TextIO) -> None:
    out.write("\n".join(lines) + "\n")
