"""Where commands go, and how their arguments are read."""

import collections.abc
import os
import pathlib
import sys
import typing

from returns import result
from twisted.internet import ssl

from banyanbank_cli import _client
from banyanbank_cli import _operator
from banyanbank_cli import _reactor

EXIT_FAILED = 1
"""Exit code of a command that did not succeed."""

Command = collections.abc.Callable[
    [_client.Client],
    collections.abc.Coroutine[typing.Any, typing.Any, _operator.CommandResult],
]
"""A command over a client."""


class UsageError(Exception):
    """The command line itself is wrong; the message says what to write."""


class Connection:
    """Where commands go and with which secret.

    Args:
        server: Base URL with an IP number.
        secret_file: File with the bearer token; empty for none.
        authority_file: CA of the server's certificate; empty for the system's.
        run: Runs coroutines.
    """

    def __init__(
        self,
        server: str,
        secret_file: str,
        authority_file: str,
        run: _reactor.Runner,
    ) -> None:
        self._server = server
        self._secret_file = secret_file
        self._authority_file = authority_file
        self._run = run

    def execute(self, command: Command) -> None:
        """Runs a command, prints its text, and exits if it failed."""
        token = read_text(self._secret_file).strip()
        authority = None
        if self._authority_file:
            pem = read_text(self._authority_file)
            authority = ssl.Certificate.loadPEM(pem.encode())

        async def main() -> _operator.CommandResult:
            from twisted.internet import reactor

            client = _client.Client(reactor, self._server, token, authority)
            return await command(client)

        ending = self._run(main)
        if isinstance(ending, result.Failure):
            warn(str(ending.failure()))
            raise SystemExit(EXIT_FAILED)
        sys.stdout.write(ending.unwrap())


def read_text(path: str) -> str:
    """Returns the text of a file that the command line names.

    Args:
        path: The file; empty for none, which gives an empty text.

    Raises:
        UsageError: The file cannot be read.
    """
    if not path:
        return ""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise UsageError(f"{path} cannot be read: {exc}") from exc


def warn(text: str) -> None:
    """Writes a line to standard error."""
    sys.stderr.write(text + "\n")


def variable(name: str) -> str:
    """Returns a variable of the environment; empty when it is not set."""
    return os.environ.get(f"BANYANBANK_{name}", "")


def flag(text: str) -> bool:
    """Returns whether a flag was given."""
    return text.lower() in ("true", "1", "yes")


def number(name: str, text: str) -> int:
    """Returns a whole number that a flag gives.

    Raises:
        UsageError: It is none.
    """
    if text.isascii() and text.isdigit() and len(text) <= 15:
        return int(text)
    raise UsageError(f"--{name} takes a whole number, not {text[:40]!r}.")
