"""Parsers of single settings: text to a typed value, or what is wrong."""

import ipaddress
import pathlib
import re
import urllib.parse

import attrs
import banyanbank_base as base

MAX_PORT = 65535
"""Largest TCP port."""

MAX_VOTERS = 7
"""Most instances that may be set aside for control."""

MAX_TEXT_CHARS = 64 * 1024
"""Longest text of one setting."""

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""Names of instances and failure domains."""


class BadValueError(Exception):
    """A text is no value of its setting.

    Args:
        message: What is wrong.
        mend: What to do.
    """

    def __init__(self, message: str, mend: str) -> None:
        super().__init__(message)
        self.message = message
        self.mend = mend


@attrs.frozen
class Voter:
    """One member of the initial voter set."""

    instance: base.InstanceId
    """Name of the voter."""
    host: str
    """IP number of its mesh listener."""
    port: int
    """TCP port of its mesh listener."""


def shown(text: str) -> str:
    """Returns a text as errors show it: quoted, and cut when long."""
    return repr(text if len(text) <= 40 else text[:40] + "…")


def parse_name(text: str) -> str:
    """Reads a name of an instance or failure domain."""
    if NAME_PATTERN.fullmatch(text):
        return text
    raise BadValueError(
        f"{shown(text)} is no name.",
        "Use 1 to 63 letters, digits, dots, dashes or underscores.",
    )


def parse_host(text: str) -> str:
    """Reads an IP number."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as exc:
        raise BadValueError(
            f"{shown(text)} is no IP number.",
            "Names are not looked up; give a number such as 10.0.0.5.",
        ) from exc


def parse_port(text: str) -> int:
    """Reads a TCP port to listen at; 0 lets the system choose."""
    return _parse_int(text, 0, MAX_PORT, "TCP port")


def parse_size(text: str) -> int:
    """Reads a number of bytes."""
    return _parse_int(text, 1, 1 << 40, "number of bytes")


def parse_seconds(text: str) -> float:
    """Reads a number of seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if 0 < seconds <= 86_400:
        return seconds
    raise BadValueError(
        f"{shown(text)} is no number of seconds.",
        "Give a number above 0 and up to 86400.",
    )


def parse_path(text: str) -> pathlib.Path:
    """Reads a path."""
    if not text or "\0" in text:
        raise BadValueError(f"{shown(text)} is no path.", "Give a path.")
    return pathlib.Path(text)


def parse_secret_file(text: str) -> pathlib.Path:
    """Reads the path of a file that holds a secret, and checks the file."""
    path = parse_file(text)
    if path.stat().st_mode & 0o004:
        raise BadValueError(
            f"{shown(text)} can be read by every user.",
            "Take the right away, for instance with chmod o-r.",
        )
    if not read_secret(path):
        raise BadValueError(
            f"{shown(text)} holds no secret.", "Write one into it."
        )
    return path


def parse_file(text: str) -> pathlib.Path:
    """Reads the path of a file that must be readable."""
    path = parse_path(text)
    try:
        with path.open("rb") as file:
            file.read(1)
    except (OSError, ValueError) as exc:
        raise BadValueError(
            f"{shown(text)} cannot be read: {exc.__class__.__name__}.",
            "Give a file that this process may read.",
        ) from exc
    return path


def parse_url(text: str) -> str:
    """Reads the base URL of a platform service."""
    mend = "Give http:// or https://, an IP number, and a port if needed."
    try:
        parts = urllib.parse.urlsplit(text)
        host = parts.hostname or ""
        ipaddress.ip_address(host)
        usable = parts.scheme in ("http", "https") and parts.port != 0
    except ValueError:
        usable = False
    if not usable:
        raise BadValueError(f"{shown(text)} is no usable URL.", mend)
    if parts.username or parts.password:
        raise BadValueError(
            "The URL holds a secret.", "Secrets come only from files."
        )
    return text.rstrip("/")


def parse_voters(text: str) -> tuple[Voter, ...]:
    """Reads the initial voter set, as `id=host:port,…`."""
    voters = tuple(_parse_voter(part) for part in text.split(",") if part)
    if not 1 <= len(voters) <= MAX_VOTERS:
        raise BadValueError(
            f"{len(voters)} voters are given.",
            f"Give 1 to {MAX_VOTERS}, better 3 or 5.",
        )
    if len({voter.instance for voter in voters}) < len(voters):
        raise BadValueError("A voter is named twice.", "Give each voter once.")
    if len({(voter.host, voter.port) for voter in voters}) < len(voters):
        raise BadValueError(
            "Two voters share an address.", "Give each voter its own."
        )
    return voters


def _parse_voter(text: str) -> Voter:
    name, equals, address = text.strip().partition("=")
    host, colon, port = address.rpartition(":")
    if not equals or not colon:
        raise BadValueError(
            f"{shown(text)} is no voter.",
            "Write id=host:port, separated by commas.",
        )
    return Voter(
        base.InstanceId(parse_name(name)),
        parse_host(host.strip("[]")),
        _parse_int(port, 1, MAX_PORT, "TCP port"),
    )


def _parse_int(text: str, low: int, high: int, what: str) -> int:
    digits = text.isascii() and text.isdigit() and len(text) <= 20
    if digits and low <= int(text) <= high:
        return int(text)
    raise BadValueError(
        f"{shown(text)} is no {what}.", f"Give a whole number {low} to {high}."
    )


def read_secret(path: pathlib.Path) -> str:
    """Reads the secret that a file holds, without white space around it.

    Raises:
        OSError: The file cannot be read.
    """
    return path.read_text(encoding="utf-8", errors="replace").strip()
