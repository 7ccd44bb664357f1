"""The command line as `fire` sees it: one method a command."""

import collections.abc
import importlib
import json as _json
import os
import pathlib
import secrets
import sys
import typing

import fire.decorators
from returns import result
from twisted.internet import ssl

from banyanbank_cli import _client
from banyanbank_cli import _operator
from banyanbank_cli import _reactor
from banyanbank_cli import _rollouts

OPERATOR_SERVER = "http://127.0.0.1:8702"
"""Operators' interface when none is given."""

ENTRY_SERVER = "http://127.0.0.1:8700"
"""Callers' interface when none is given."""

EXIT_FAILED = 1
"""Exit code of a command that did not succeed."""

Command = collections.abc.Callable[
    [_client.Client],
    collections.abc.Coroutine[typing.Any, typing.Any, _operator.CommandResult],
]
"""A command over a client."""


SECRET_BYTES = 32
"""Random bytes of a new key."""


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


class Keys:
    """Keys of client accounts."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def create(self, account: str) -> None:
        """Creates a key and shows it; it is never shown again."""
        # Drawn here, so that a resend after a lost answer asks for the same.
        secret = secrets.token_urlsafe(SECRET_BYTES)
        wish = {"account": account, "secret": secret}
        body = _json.dumps(wish).encode()
        call = _client.Call(
            "POST", "/operator/keys", body, _rollouts.JSON_HEADERS
        )
        self._connection.execute(lambda client: _operator.show(client, call))

    def list(self, json: str = "") -> None:
        """Lists the keys, without their secrets."""
        call = _client.Call("GET", "/operator/keys")
        self._connection.execute(
            lambda client: _operator.show(client, call, as_json=_flag(json))
        )

    def withdraw(self, key_id: str) -> None:
        """Withdraws a key; it stops working within seconds."""
        path = f"/operator/keys/{_client.quoted(key_id)}/withdraw"
        call = _client.Call("POST", path, b"{}", _rollouts.JSON_HEADERS)
        self._connection.execute(lambda client: _operator.show(client, call))


class Voters:
    """Voters of the replicated log, changed one at a time."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def add(self, instance: str) -> None:
        """Makes an instance with a data folder a voter, once caught up."""
        self._change(instance, "add")

    def remove(self, instance: str) -> None:
        """Takes an instance out of the voters."""
        self._change(instance, "remove")

    def _change(self, instance: str, verb: str) -> None:
        path = f"/operator/voters/{_client.quoted(instance)}/{verb}"
        call = _client.Call("POST", path, b"{}", _rollouts.JSON_HEADERS)
        self._connection.execute(lambda client: _operator.show(client, call))


class Rollout:
    """Rollouts, as a trainer asks for them."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def submit(
        self,
        trainer: str,
        step: str,
        group: str,
        prompt: str = "",
        prompt_file: str = "",
        max_tokens: str = "0",
    ) -> None:
        """Submits one group of samples."""
        text = prompt
        if prompt_file:
            text = read_text(prompt_file)
        call = _rollouts.submit_call(
            trainer,
            _number("step", step),
            _number("group", group),
            text,
            _number("max-tokens", max_tokens),
        )
        self._connection.execute(lambda client: _operator.show(client, call))

    def fetch(
        self, trainer: str, step: str, wait_s: str = "30", output: str = ""
    ) -> None:
        """Fetches the batch of a step, waiting until it is whole."""
        self._connection.execute(
            lambda client: _rollouts.fetch(
                client,
                trainer,
                _number("step", step),
                _number("wait-s", wait_s),
                pathlib.Path(output) if output else None,
            )
        )

    def acknowledge(self, trainer: str, batch: str) -> None:
        """Acknowledges a batch; it is not handed out again."""
        call = _rollouts.acknowledge_call(trainer, batch)
        self._connection.execute(lambda client: _operator.show(client, call))


class Banyanbank:
    """Operates banyanbank; each command takes --help.

    Flags of all commands: --server URL (operators' interface of any instance,
    or BANYANBANK_SERVER), --token-file FILE (operators' token, or
    BANYANBANK_TOKEN_FILE), --entry URL (callers' interface, for rollouts, or
    BANYANBANK_ENTRY), --key-file FILE (a caller's key, or
    BANYANBANK_KEY_FILE), --authority-file FILE (CA of the server, PEM).

    Args:
        run: Runs coroutines.
        server: Operators' interface of any instance; also BANYANBANK_SERVER.
        token_file: File with the operators' token; also BANYANBANK_TOKEN_FILE.
        entry: Callers' interface, for rollouts; also BANYANBANK_ENTRY.
        key_file: File with a caller's key; also BANYANBANK_KEY_FILE.
        authority_file: CA of the server's certificate, PEM.
    """

    def __init__(
        self,
        run: _reactor.Runner,
        server: str = "",
        token_file: str = "",
        entry: str = "",
        key_file: str = "",
        authority_file: str = "",
    ) -> None:
        self._connection = Connection(
            server or _variable("SERVER") or OPERATOR_SERVER,
            token_file or _variable("TOKEN_FILE"),
            authority_file,
            run,
        )
        callers = Connection(
            entry or _variable("ENTRY") or ENTRY_SERVER,
            key_file or _variable("KEY_FILE"),
            authority_file,
            run,
        )
        self.keys = Keys(self._connection)
        self.voters = Voters(self._connection)
        self.rollout = Rollout(callers)

    def apply(self, sheet: str, expect_revision: str) -> None:
        """Applies a sheet if the expected revision is in force."""
        revision = _number("expect-revision", expect_revision)
        self._connection.execute(
            lambda client: _operator.apply_sheet(
                client, pathlib.Path(sheet), revision, dry_run=False
            )
        )

    def diff(self, sheet: str) -> None:
        """Shows what applying a sheet would change; changes nothing."""
        self._connection.execute(
            lambda client: _operator.apply_sheet(
                client, pathlib.Path(sheet), None, dry_run=True
            )
        )

    def export(self, text: str = "") -> None:
        """Prints what is in force, as a sheet or with --text as text."""
        self._connection.execute(
            lambda client: _operator.export(client, as_text=_flag(text))
        )

    def status(self, json: str = "") -> None:
        """Shows instances, roles, leases, revisions, endpoints and queues."""
        call = _client.Call("GET", "/operator/status")
        self._connection.execute(
            lambda client: _operator.show(client, call, as_json=_flag(json))
        )

    def drain(self, instance: str) -> None:
        """Has an instance finish what runs and take no new work."""
        path = f"/operator/drain/{_client.quoted(instance)}"
        call = _client.Call("POST", path, b"{}", _rollouts.JSON_HEADERS)
        self._connection.execute(lambda client: _operator.show(client, call))

    def timeline(
        self,
        request: str = "",
        sample: str = "",
        key: str = "",
        endpoint: str = "",
        epoch: str = "0",
        kind: str = "",
        instance: str = "",
        html: str = "",
        folders: str = "",
        servers: str = "",
    ) -> None:
        """Merges the time lines of all instances; --html FILE draws them.

        --servers asks further instances, such as those beyond a partition;
        --folders reads files of instances that are gone.
        """
        events = _load("_events")
        wish = events.make_wish(
            request=request,
            sample=sample,
            key=key,
            endpoint=endpoint,
            epoch=_number("epoch", epoch),
            kind=kind,
            instance=instance,
            html=html,
            folders=folders,
            servers=servers,
        )
        self._connection.execute(
            lambda client: events.show_timeline(client, wish, warn)
        )

    def demo(self) -> None:
        """Shows rollouts and lookups from end to end in one process."""
        _load("_demo").run_demo()


def keep_texts(*classes: type) -> None:
    """Has `fire` hand over arguments as they were typed."""
    for cls in classes:
        for function in vars(cls).values():
            if callable(function):
                fire.decorators.SetParseFn(str)(function)


def _load(name: str) -> typing.Any:
    # Commands that need the daemon's packages import them when they are
    # called, so that the others start in half the time.
    return importlib.import_module(f"banyanbank_cli.{name}")


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


def _variable(name: str) -> str:
    return os.environ.get(f"BANYANBANK_{name}", "")


def _flag(text: str) -> bool:
    return text.lower() in ("true", "1", "yes")


def _number(name: str, text: str) -> int:
    if text.isascii() and text.isdigit() and len(text) <= 15:
        return int(text)
    raise UsageError(f"--{name} takes a whole number, not {text[:40]!r}.")
