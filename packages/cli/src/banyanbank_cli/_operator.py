"""Commands of operators, as coroutines over the HTTP client."""

import collections.abc
import json
import pathlib
import typing

import attrs
import banyanbank_base as base
from banyanbank_daemon import timeline
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
        return result.Failure(_unreadable())
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
    servers: tuple[str, ...] = ()
    """Operators' interfaces to ask besides."""


def make_wish(
    html: str, folders: str, servers: str, **fields: typing.Any
) -> TimelineWish:
    """Makes a wish from texts of the command line.

    Args:
        html: File for a page; empty for text.
        folders: Folders to read besides, separated by commas.
        servers: Servers to ask besides, separated by commas.
        **fields: Fields of the query.
    """
    return TimelineWish(
        timeline.EventQuery(**fields),
        pathlib.Path(html) if html else None,
        tuple(pathlib.Path(part) for part in folders.split(",") if part),
        tuple(part for part in servers.split(",") if part),
    )


async def show_timeline(
    client: _client.Client,
    wish: TimelineWish,
    warn: collections.abc.Callable[[str], None],
) -> CommandResult:
    """Merges the time lines of all instances.

    Each server gathers what it can reach; asking one on either side of a
    partition shows both.

    Args:
        client: Any instance.
        wish: What to show.
        warn: Hears which events are missing.
    """
    lists: list[list[base.Event]] = []
    problem: _problems.Problem | None = None
    servers = [client, *(client.at(server) for server in wish.servers)]
    for server in servers:
        gathered = await _fetch_events(server, wish.query)
        if isinstance(gathered, result.Failure):
            problem = gathered.failure()
            warn(str(problem))
            continue
        part = gathered.unwrap()
        lists.append(part.events)
        for name in part.missing:
            warn(f"{server.server} could not get the events of {name}")
    if problem is not None and not lists:
        return result.Failure(problem)
    lists += _read_folders(wish, warn)
    return _timeline_text(wish, timeline.merge_events(lists))


def _read_folders(
    wish: TimelineWish, warn: collections.abc.Callable[[str], None]
) -> list[list[base.Event]]:
    lists = []
    for folder in wish.folders:
        try:
            lists.append(wish.query.choose(timeline.read_files(folder)))
        except OSError as exc:
            warn(f"events of {folder} are missing: {exc}")
    return lists


@attrs.frozen
class _Gathered:
    """What one server has gathered."""

    events: list[base.Event]
    """Events wanted."""
    missing: tuple[str, ...]
    """Instances that the server could not ask."""


async def _fetch_events(
    client: _client.Client, query: timeline.EventQuery
) -> result.Result[_Gathered, _problems.Problem]:
    fields = {
        name: str(value) for name, value in attrs.asdict(query).items() if value
    }
    path = "/operator/timeline" + _client.query({**fields, "scope": "all"})
    answer = await client.send(_client.Call("GET", path))
    if isinstance(answer, result.Failure):
        return answer
    document = answer.unwrap().document()
    if not isinstance(document, dict) or "events" not in document:
        return result.Failure(_unreadable())
    # A server that names nobody has answered for itself only.
    missing = document.get("missing", ["the other instances"])
    try:
        events = [timeline.event_from_document(e) for e in document["events"]]
        names = tuple(str(name) for name in missing)
    except (TypeError, timeline.TimelineError) as exc:
        return result.Failure(_problems.Problem(str(exc)))
    return result.Success(_Gathered(query.choose(events), names))


def _timeline_text(
    wish: TimelineWish, events: list[base.Event]
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
            _problems.Problem(f"{wish.html} cannot be written: {exc}")
        )
    return result.Success(f"{len(events)} events are drawn in {wish.html}\n")


def _unreadable() -> _problems.Problem:
    return _problems.Problem(
        "The server's answer cannot be read; use one release on both sides."
    )
