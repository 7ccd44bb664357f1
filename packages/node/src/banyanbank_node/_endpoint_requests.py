"""Composes the requests that endpoints receive.

Callers and the items of batch jobs bring headers along. Which of them reach an
endpoint is decided here only, for all kinds of requests.
"""

import collections.abc
import re

import attrs
import banyanbank_gateway as gateway
import banyanbank_web as web

from banyanbank_node import _event_log
from banyanbank_node import _ports

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers, which are not forwarded."""

_FRAMING = frozenset({"content-length", "expect"})
"""Further headers that the HTTP client sets for its own connection."""

MIN_KEY_LENGTH = 8
"""Length in characters below which a key may occur in an unrelated value."""

_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A token of RFC 9110."""

_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
"""Field content of RFC 9110; a line break would begin another header."""

HeaderItems = tuple[tuple[str, str], ...]


@attrs.frozen
class ComposedHeaders:
    """Headers of a request to an endpoint, and what was left out."""

    headers: HeaderItems
    """Headers to send."""
    dropped: tuple[str, ...]
    """Names of the received headers that are not sent, as received."""


@attrs.frozen
class RequestComposer:
    """Decides which received headers an endpoint gets.

    A received header is dropped if this system states it, if it concerns only
    one connection, if it is not valid in HTTP, or if it contains a key of the
    client account.
    """

    wire: _ports.WireProtocol
    """Names the headers that only this system may state."""
    find_table: collections.abc.Callable[[], gateway.RouteTable | None]
    """Returns the configuration in force, whose keys no endpoint may see."""
    events: _event_log.EventLog
    """Event log of the process."""

    def compose(
        self, target: gateway.Announcement, req: _ports.EndpointRequest
    ) -> web.UpstreamRequest:
        """Returns the request as it is sent, and logs what it leaves out."""
        composed = compose_headers(
            req.received,
            req.stated,
            self.wire.reserved_headers,
            self._find_keys(req),
        )
        unexpected = [
            name
            for name in composed.dropped
            if _canonicalize(name) not in req.routine
        ]
        if unexpected:
            self.events.write(
                "request.headers_dropped",
                request=req.request_id,
                account=req.account,
                endpoint=target.endpoint,
                names=sorted(unexpected),
            )
        return web.UpstreamRequest(
            method=req.method,
            url=f"http://{target.address}{req.uri}",
            headers=composed.headers,
            body=req.body,
            deadline=req.deadline,
            is_repeatable=req.is_repeatable,
            guard=req.guard,
        )

    def _find_keys(
        self, req: _ports.EndpointRequest
    ) -> collections.abc.Collection[str]:
        table = self.find_table()
        if table is None or not req.account or not req.received:
            return ()
        return table.keys_of(req.account)


def compose_headers(
    received: HeaderItems,
    stated: tuple[tuple[str, str | None], ...],
    reserved: frozenset[str],
    keys: collections.abc.Collection[str],
) -> ComposedHeaders:
    """Returns the headers of a request to an endpoint.

    Names are compared without regard to case, and with an underscore taken for
    a hyphen, since many servers make no difference (RFC 3875, 4.1.18).

    Args:
        received: Headers of a caller or of an item.
        stated: Headers that this system states; each replaces all that were
            received under its name, and a value of None only removes these.
        reserved: Further names that are removed, in lower case.
        keys: Secrets that no value may contain.
    """
    options = _read_connection_options(received)
    removed = {_canonicalize(name) for name, _ in stated}
    removed |= reserved | HOP_BY_HOP | _FRAMING | options
    secrets = [key for key in keys if len(key) >= MIN_KEY_LENGTH]
    kept: list[tuple[str, str]] = []
    dropped: list[str] = []
    for name, value in received:
        if (
            _canonicalize(name) in removed
            or not _NAME.fullmatch(name)
            or not _VALUE.fullmatch(value)
            or any(secret in value for secret in secrets)
        ):
            dropped.append(name)
        else:
            kept.append((name, value))
    kept.extend((name, value) for name, value in stated if value is not None)
    return ComposedHeaders(tuple(kept), tuple(dropped))


def _read_connection_options(received: HeaderItems) -> frozenset[str]:
    """Returns the names that `Connection` declares to be hop-by-hop."""
    return frozenset(
        _canonicalize(option.strip())
        for name, value in received
        if _canonicalize(name) == "connection"
        for option in value.split(",")
    )


def _canonicalize(name: str) -> str:
    return name.lower().replace("_", "-")
