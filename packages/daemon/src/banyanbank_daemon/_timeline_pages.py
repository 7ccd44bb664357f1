"""A merged time line as text and as one self-contained HTML page."""

import collections
import collections.abc
import datetime
import html

import banyanbank_base as base

MAX_DRAWN_EVENTS = 5_000
"""Events drawn and listed on a page; of more, the latest are."""

MAX_LINKED_REQUESTS = 200
"""Requests whose events are joined by a line."""

WIDTH_PX = 1200
"""Width of the drawing."""

LANE_PX = 46
"""Height of an instance's lane."""

MARGIN_PX = 130
"""Room for the names of the instances."""

COLOURS = (
    "#1b6ca8",
    "#b5432e",
    "#3c7d3f",
    "#8a5a9e",
    "#a87a14",
    "#2f7f86",
    "#6b6b6b",
)
"""Colours of areas, the part of a kind before the dot."""

STYLE = (
    "body{font:14px sans-serif;margin:1.5em;color:#222}"
    "table{border-collapse:collapse}"
    "td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd;"
    "font:12px monospace}"
    "svg{border:1px solid #ccc;background:#fff}"
    "tr:target{background:#ffd}"
)
"""The only style sheet of the page."""


def render_text(events: collections.abc.Sequence[base.Event]) -> str:
    """Returns one line an event, oldest first."""
    width = max((len(event.instance) for event in events), default=0)
    lines = [
        f"{_time(event)} {event.instance:<{width}} {event.kind}{_words(event)}"
        for event in events
    ]
    return "".join(line + "\n" for line in lines)


def render_html(
    events: collections.abc.Sequence[base.Event], title: str
) -> str:
    """Returns a page with a drawing and a table, without scripts.

    Args:
        events: Merged events, oldest first.
        title: What the events are of.
    """
    shown = events[-MAX_DRAWN_EVENTS:]
    note = f"{len(events)} events"
    if len(shown) < len(events):
        note = f"the latest {len(shown)} of {note}"
    colours = _colours(shown)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{STYLE}</style></head>\n"
        f"<body><h1>{html.escape(title)}</h1><p>{note}</p>\n"
        f"{_legend(colours)}{_drawing(shown, colours)}\n{_table(shown)}"
        "</body></html>\n"
    )


def _time(event: base.Event) -> str:
    seconds, micros = divmod(event.time.wall_us, 1_000_000)
    try:
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        text = f"{moment:%Y-%m-%dT%H:%M:%S}.{micros:06}Z"
    except (OverflowError, ValueError, OSError):
        text = f"{event.time.wall_us}us"
    return f"{text}+{event.time.tick}"


def _words(event: base.Event) -> str:
    names = ("request", "sample", "key", "endpoint", "epoch")
    words = [
        f" {name}={value}" for name in names if (value := getattr(event, name))
    ]
    if event.detail:
        words.append(f" {event.detail}")
    text = "".join(words)
    return "".join(char if char.isprintable() else " " for char in text)


def _area(event: base.Event) -> str:
    return event.kind.partition(".")[0]


def _colours(events: collections.abc.Iterable[base.Event]) -> dict[str, str]:
    areas = sorted({_area(event) for event in events})
    return {
        area: COLOURS[number % len(COLOURS)]
        for number, area in enumerate(areas)
    }


def _legend(colours: dict[str, str]) -> str:
    words = " ".join(
        f'<b style="color:{colour}">{html.escape(area)}</b>'
        for area, colour in colours.items()
    )
    return f"<p>{words}</p>\n"


class _Scale:
    """Places events in the drawing."""

    def __init__(self, events: collections.abc.Sequence[base.Event]) -> None:
        self.instances = sorted({event.instance for event in events})
        self._rows = {name: row for row, name in enumerate(self.instances)}
        self._first = min((event.time.wall_us for event in events), default=0)
        last = max((event.time.wall_us for event in events), default=0)
        self._span = max(1, last - self._first)
        self.height = LANE_PX * (len(self.instances) + 1)

    def place(self, event: base.Event) -> tuple[float, float]:
        """Returns the position of an event, in pixels."""
        share = (event.time.wall_us - self._first) / self._span
        x = MARGIN_PX + share * (WIDTH_PX - MARGIN_PX - 20)
        return round(x, 1), self.lane(event.instance)

    def lane(self, instance: base.InstanceId) -> float:
        """Returns the vertical position of an instance, in pixels."""
        return LANE_PX * (self._rows[instance] + 0.75)

    @property
    def span_text(self) -> str:
        """Time between the first and the last event."""
        return f"{self._span / 1_000_000:.3f} s"


def _drawing(
    events: collections.abc.Sequence[base.Event], colours: dict[str, str]
) -> str:
    scale = _Scale(events)
    parts = [
        f'<svg viewBox="0 0 {WIDTH_PX} {scale.height}" width="100%" '
        'role="img" xmlns="http://www.w3.org/2000/svg">'
    ]
    for instance in scale.instances:
        y = scale.lane(instance)
        parts.append(
            f'<text x="8" y="{y + 4}" font-size="12">'
            f"{html.escape(instance)}</text>"
            f'<line x1="{MARGIN_PX}" x2="{WIDTH_PX - 10}" y1="{y}" y2="{y}" '
            'stroke="#ddd"/>'
        )
    parts.extend(_request_lines(events, scale))
    for number, event in enumerate(events):
        x, y = scale.place(event)
        label = f"{_time(event)} {event.kind}{_words(event)}"
        parts.append(
            f'<a href="#e{number}"><circle cx="{x}" cy="{y}" r="4" '
            f'fill="{colours[_area(event)]}"><title>{html.escape(label)}'
            "</title></circle></a>"
        )
    parts.append(
        f'<text x="{WIDTH_PX - 10}" y="{scale.height - 6}" font-size="11" '
        f'text-anchor="end">{scale.span_text}</text></svg>'
    )
    return "".join(parts)


def _request_lines(
    events: collections.abc.Sequence[base.Event], scale: _Scale
) -> collections.abc.Iterator[str]:
    by_request: dict[str, list[base.Event]] = collections.defaultdict(list)
    for event in events:
        if event.request:
            by_request[event.request].append(event)
    for request in list(by_request)[:MAX_LINKED_REQUESTS]:
        points = " ".join(
            f"{x},{y}" for x, y in map(scale.place, by_request[request])
        )
        yield (
            f'<polyline points="{points}" fill="none" stroke="#999" '
            'stroke-width="0.7"/>'
        )


def _table(events: collections.abc.Sequence[base.Event]) -> str:
    rows = "".join(
        f'<tr id="e{number}"><td>{_time(event)}</td>'
        f"<td>{html.escape(event.instance)}</td>"
        f"<td>{html.escape(event.kind)}</td>"
        f"<td>{html.escape(_words(event).strip())}</td></tr>\n"
        for number, event in enumerate(events)
    )
    return (
        "<table><tr><th>time</th><th>instance</th><th>kind</th>"
        f"<th>facts</th></tr>\n{rows}</table>"
    )
