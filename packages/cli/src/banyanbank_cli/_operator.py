"""Commands of operators, as coroutines over the HTTP client."""

import json
import pathlib
import typing

from returns import result

from banyanbank_cli import _client
from banyanbank_cli import _problems
from banyanbank_cli import _tables

CommandResult = result.Result[str, _problems.Problem]
"""Text to print, or why the command did not succeed."""


async def apply_sheet(
    client: _client.Client,
    sheet: pathlib.Path,
    expect_revision: int | None,
    *,
    dry_run: bool,
) -> CommandResult:
    """Applies a sheet, or tells what applying it would change.

    Args:
        client: The server.
        sheet: File to apply.
        expect_revision: Revision that must be in force; None for any, which
            only a dry run may be given.
        dry_run: Whether nothing is to be changed.
    """
    try:
        body = sheet.read_bytes()
    except OSError as exc:
        return result.Failure(
            _problems.Problem(
                f"{sheet} cannot be read: {exc}", outcome="not run"
            )
        )
    headers = [("X-Sheet-Name", _header_text(sheet.name))]
    if expect_revision is not None:
        headers.append(("X-Expect-Revision", str(expect_revision)))
    if dry_run:
        headers.append(("X-Dry-Run", "1"))
    call = _client.Call("POST", "/operator/apply", body, tuple(headers))
    answer = await client.send(call)
    return answer.bind(lambda reply: _changes_text(reply, dry_run))


def _header_text(text: str) -> str:
    # Headers are ASCII; the name is only shown in errors.
    return text.encode("ascii", "replace").decode("ascii")


def _changes_text(reply: _client.Reply, dry_run: bool) -> CommandResult:
    document = reply.document()
    if not isinstance(document, dict):
        return result.Failure(unreadable())
    changes = document.get("changes") or []
    lines = [f"  {_change_line(change)}" for change in changes]
    revision = document.get("revision")
    if dry_run:
        head = f"{len(changes)} changes against revision {revision}"
    else:
        head = f"revision {revision} is accepted, {len(changes)} changes"
    return result.Success("\n".join([head, *lines]) + "\n")


def _change_line(change: typing.Any) -> str:
    if isinstance(change, dict) and "change" in change and "item" in change:
        return f"{change['change']} {change['item']}"
    return _tables.render(change).rstrip()


async def export(client: _client.Client, *, as_text: bool) -> CommandResult:
    """Returns the configuration in force as a sheet, or as text."""
    answer = await client.send(_client.Call("GET", "/operator/config"))
    name = "text" if as_text else "sheet"

    def read(reply: _client.Reply) -> CommandResult:
        document = reply.document()
        if not isinstance(document, dict) or name not in document:
            return result.Failure(unreadable())
        return result.Success(str(document[name]))

    return answer.bind(read)


async def show(
    client: _client.Client, call: _client.Call, *, as_json: bool = False
) -> CommandResult:
    """Sends a request and returns its answer as readable text."""
    answer = await client.send(call)

    def read(reply: _client.Reply) -> CommandResult:
        document = reply.document()
        if document is None:
            return result.Failure(unreadable())
        if as_json:
            return result.Success(json.dumps(document, indent=2) + "\n")
        return result.Success(_tables.render(document))

    return answer.bind(read)


def unreadable() -> _problems.Problem:
    return _problems.Problem(
        "The server's answer cannot be read; use one release on both sides."
    )
