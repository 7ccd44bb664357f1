"""The command that merges and draws the time line of all instances."""

import collections.abc
import pathlib
import typing

import attrs
import banyanbank_base as base
from banyanbank_daemon import timeline
from returns import result

from banyanbank_cli import _client
from banyanbank_cli import _operator
from banyanbank_cli import _problems

GATHER_S = 60.0
"""Seconds that a server may take to gather the events of all."""


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
) -> _operator.CommandResult:
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
    answer = await client.send(_client.Call("GET", path, wait_s=GATHER_S))
    if isinstance(answer, result.Failure):
        return answer
    document = answer.unwrap().document()
    if not isinstance(document, dict) or "events" not in document:
        return result.Failure(_operator.unreadable())
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
) -> _operator.CommandResult:
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
