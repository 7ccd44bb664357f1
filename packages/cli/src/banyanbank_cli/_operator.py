"""Commands of operators, as coroutines over the HTTP client."""

import collections.abc
import json
import pathlib
import typing

import attrs
from banyanbank_daemon import timeline
from returns import result

from banyanbank_cli import _client
from banyanbank_cli import _tables

CommandResult = result.Result[str, _client.Problem]
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
            _client.Problem(f"{sheet} cannot be read: {exc}", outcome="not run")
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
        return result.Failure(_unreadable())
    changes = document.get("changes") or []
    lines = [f"  {_tables.render(change).rstrip()}" for change in changes]
    revision = document.get("revision")
    if dry_run:
        head = f"{len(changes)} changes against revision {revision}"
    else:
        head = f"revision {revision} is accepted, {len(changes)} changes"
    return result.Success("\n".join([head, *lines]) + "\n")


async def export(client: _client.Client, *, as_text: bool) -> CommandResult:
    """Returns the configuration in force as a sheet, or as text."""
    answer = await client.send(_client.Call("GET", "/operator/config"))
    name = "text" if as_text else "sheet"

    def read(reply: _client.Reply) -> CommandResult:
        document = reply.document()
        if not isinstance(document, dict) or name not in document:
            return result.Failure(_unreadable())
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
            return result.Failure(_unreadable())
        if as_json:
            return result.Success(json.dumps(document, indent=2) + "\n")
        return result.Success(_tables.render(document))

    return answer.bind(read)


@attrs.frozen
class TimelineWish:
    """What a time line is to show, and where."""

    query: timeline.EventQuery
    """Events wanted."""
    html: pathlib.Path | None
    """File for a page; None for text."""
    folders: tuple[pathlib.Path, ...] = ()
    """Folders of time line files to read besides."""


def make_wish(html: str, folders: str, **fields: typing.Any) -> TimelineWish:
    """Makes a wish from texts of the command line.

    Args:
        html: File for a page; empty for text.
        folders: Folders to read besides, separated by commas.
        **fields: Fields of the query.
    """
    return TimelineWish(
        timeline.EventQuery(**fields),
        pathlib.Path(html) if html else None,
        tuple(pathlib.Path(part) for part in folders.split(",") if part),
    )


async def show_timeline(
    client: _client.Client,
    wish: TimelineWish,
    warn: collections.abc.Callable[[str], None],
) -> CommandResult:
    """Merges the time lines of all instances.

    Args:
        client: Any instance.
        wish: What to show.
        warn: Hears which instances' events are missing.
    """
    answer = await client.send(_client.Call("GET", "/operator/status"))
    if isinstance(answer, result.Failure):
        return answer
    lists = []
    for name, server in _servers(answer.unwrap().document()):
        events = await _fetch_events(client.at(server), wish.query)
        if isinstance(events, result.Failure):
            warn(f"events of {name} are missing: {events.failure()}")
        else:
            lists.append(events.unwrap())
    for folder in wish.folders:
        try:
            found = timeline.read_files(folder)
        except OSError as exc:
            warn(f"events of {folder} are missing: {exc}")
            continue
        lists.append(wish.query.choose(found))
    return _timeline_text(wish, timeline.merge_events(lists))


def _servers(document: typing.Any) -> list[tuple[str, str]]:
    instances = document.get("instances") if isinstance(document, dict) else []
    return [
        (str(row.get("instance")), str(row["operator_url"]))
        for row in instances or []
        if isinstance(row, dict) and row.get("operator_url")
    ]


async def _fetch_events(
    client: _client.Client, query: timeline.EventQuery
) -> result.Result[list[typing.Any], _client.Problem]:
    fields = {
        name: str(value) for name, value in attrs.asdict(query).items() if value
    }
    path = "/operator/timeline" + _client.query(fields)
    answer = await client.send(_client.Call("GET", path))
    if isinstance(answer, result.Failure):
        return answer
    document = answer.unwrap().document()
    rows = document.get("events") if isinstance(document, dict) else document
    if not isinstance(rows, list):
        return result.Failure(_unreadable())
    try:
        events = [timeline.event_from_document(row) for row in rows]
    except timeline.TimelineError as exc:
        return result.Failure(_client.Problem(str(exc)))
    return result.Success(query.choose(events))


def _timeline_text(
    wish: TimelineWish, events: list[typing.Any]
) -> CommandResult:
    if wish.html is None:
        return result.Success(timeline.render_text(events))
    chosen = [
        f"{name} {value}"
        for name, value in attrs.asdict(wish.query).items()
        if value
    ]
    title = "Time line of " + (", ".join(chosen) or "all events")
    try:
        page = timeline.render_html(events, title)
        wish.html.write_text(page, encoding="utf-8")
    except OSError as exc:
        return result.Failure(
            _client.Problem(f"{wish.html} cannot be written: {exc}")
        )
    return result.Success(f"{len(events)} events are drawn in {wish.html}\n")


def _unreadable() -> _client.Problem:
    return _client.Problem(
        "The server's answer cannot be read; use one release on both sides."
    )
