"""The command line as `fire` sees it: one method a command."""

import importlib
import pathlib
import sys
import typing

import fire.decorators

from banyanbank_cli import _client
from banyanbank_cli import _connection
from banyanbank_cli import _groups
from banyanbank_cli import _operator
from banyanbank_cli import _reactor
from banyanbank_cli import _rollouts

OPERATOR_SERVER = "http://127.0.0.1:8702"
"""Operators' interface when none is given."""

ENTRY_SERVER = "http://127.0.0.1:8700"
"""Callers' interface when none is given."""


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
        self._connection = _connection.Connection(
            server or _connection.variable("SERVER") or OPERATOR_SERVER,
            token_file or _connection.variable("TOKEN_FILE"),
            authority_file,
            run,
        )
        callers = _connection.Connection(
            entry or _connection.variable("ENTRY") or ENTRY_SERVER,
            key_file or _connection.variable("KEY_FILE"),
            authority_file,
            run,
        )
        self.keys = _groups.Keys(self._connection)
        self.voters = _groups.Voters(self._connection)
        self.rollout = _groups.Rollout(callers)

    def apply(self, sheet: str, expect_revision: str) -> None:
        """Applies a sheet if the expected revision is in force."""
        revision = _connection.number("expect-revision", expect_revision)
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
            lambda client: _operator.export(
                client, as_text=_connection.flag(text)
            )
        )

    def status(self, json: str = "") -> None:
        """Shows instances, roles, leases, revisions, endpoints and queues."""
        call = _client.Call("GET", "/operator/status")
        self._connection.execute(
            lambda client: _operator.show(
                client, call, as_json=_connection.flag(json)
            )
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
            epoch=_connection.number("epoch", epoch),
            kind=kind,
            instance=instance,
            html=html,
            folders=folders,
            servers=servers,
        )
        self._connection.execute(
            lambda client: events.show_timeline(client, wish, _connection.warn)
        )

    def explain(self, wanted: str, *files: str, json: str = "") -> None:
        """Explains a request, job or item from log files of the processes.

        Args:
            wanted: Id of the request, job, item or endpoint.
            *files: Log files; all processes' together tell most.
            json: `true` for JSON.
        """
        explain = _load("_explain")
        try:
            text = explain.run(wanted, list(files), json.lower() == "true")
        except OSError as exc:
            _connection.warn(str(exc))
            raise SystemExit(1) from exc
        sys.stdout.write(text)

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
