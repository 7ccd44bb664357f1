"""Which headers and query parameters pass to an endpoint and back.

Requests pass by an allow-list, so that a caller's key cannot reach an endpoint
in a header nobody thought of.
"""

import base64
import urllib.parse

REQUEST_HEADERS = frozenset(
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
"""Request headers that may pass to an endpoint."""

HOP_HEADERS = frozenset(
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
        "x-request-id",
    }
)
"""Answer headers that belong to one connection, or that are set anew."""

KEY_PARAMETERS = frozenset(
    {"access_token", "api-key", "api_key", "apikey", "key", "token"}
)
"""Query parameters that callers use for keys."""


def pass_request_headers(
    items: list[tuple[str, str]], secret: str
) -> list[tuple[str, str]]:
    """Returns the request headers that an endpoint may see.

    Args:
        items: Headers as received, names in lower case.
        secret: The caller's key; a header that holds it is dropped. Empty
            when none came.
    """
    return [
        (name, value)
        for name, value in items
        if name in REQUEST_HEADERS and not holds_secret(value.encode(), secret)
    ]


def pass_query(query: str, secret: str) -> str:
    """Returns a query string without what carries a key."""
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in pairs
        if name.lower() not in KEY_PARAMETERS
        and not holds_secret(f"{name}={value}".encode(), secret)
    ]
    if len(kept) == len(pairs):
        return query
    return urllib.parse.urlencode(kept)


def pass_answer_headers(
    items: tuple[tuple[str, str], ...],
) -> list[tuple[bytes, bytes]]:
    """Returns the answer headers that a caller may see."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in items
        if name not in HOP_HEADERS
    ]


def holds_secret(data: bytes, secret: str) -> bool:
    """Tells whether bytes hold a key, plain, quoted or in base64."""
    if not secret:
        return False
    plain = secret.encode()
    if plain in data or base64.b64encode(plain).rstrip(b"=") in data:
        return True
    return b"%" in data and plain in urllib.parse.unquote_to_bytes(data)
