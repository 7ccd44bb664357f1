"""Filters for forwarded headers and query parameters.

Request headers are filtered by an allow-list, so that a caller's key cannot
reach an endpoint in an unforeseen header.
"""

import base64
import urllib.parse

FORWARDED_REQUEST_HEADERS = frozenset(
    {
        "accept",
        "accept-encoding",
        "accept-language",
        "content-encoding",
        "content-language",
        "content-type",
        "if-match",
        "if-modified-since",
        "if-none-match",
        "if-unmodified-since",
        "range",
        "traceparent",
        "tracestate",
        "user-agent",
    }
)
"""Request headers that are forwarded to an endpoint."""

DROPPED_RESPONSE_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-execution-outcome",
        "x-request-id",
    }
)
"""Response headers that are hop-by-hop, set anew for the caller, or a promise
that only this system may make."""

KEY_QUERY_PARAMETERS = frozenset(
    {"access_token", "api-key", "api_key", "apikey", "key", "token"}
)
"""Query parameters in which callers commonly send an API key."""


def filter_request_headers(
    items: list[tuple[str, str]], secret: str
) -> list[tuple[str, str]]:
    """Returns the request headers to forward to an endpoint.

    Args:
        items: Headers as received, names in lower case.
        secret: The caller's API key; a header that contains it is dropped.
            Empty when the request has none.
    """
    return [
        (name, value)
        for name, value in items
        if name in FORWARDED_REQUEST_HEADERS
        and not contains_secret(value.encode(), secret)
    ]


def filter_query(query: str, secret: str) -> str:
    """Returns a query string without parameters that may hold a key."""
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in pairs
        if name.lower() not in KEY_QUERY_PARAMETERS
        and not contains_secret(f"{name}={value}".encode(), secret)
    ]
    if len(kept) == len(pairs):
        return query
    return urllib.parse.urlencode(kept)


def filter_response_headers(
    items: tuple[tuple[str, str], ...],
) -> list[tuple[bytes, bytes]]:
    """Returns the response headers to forward to a caller."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in items
        if name not in DROPPED_RESPONSE_HEADERS
    ]


def contains_secret(data: bytes, secret: str) -> bool:
    """Returns whether bytes contain a key, plain, URL-quoted or in base64."""
    if not secret:
        return False
    plain = secret.encode()
    if plain in data or base64.b64encode(plain).rstrip(b"=") in data:
        return True
    return b"%" in data and plain in urllib.parse.unquote_to_bytes(data)
