"""Parsers and formatter of single cells, tolerant of spreadsheet formats.

The messages and hints for malformed items get into replies to configuration
commands. These replies are part of the replicated state, so their texts must
not differ between builds.
"""

import collections.abc
import enum
import math
import re
import typing

import attrs

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PATH_PATTERN = re.compile(r"(/[A-Za-z0-9._~-]+)+")
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_GROUPED_DIGITS_PATTERN = re.compile(r"[+-]?\d{1,3}([.,' ]\d{3})+")
_NUMBER_PATTERN = re.compile(r"[+-]?\d+([.,]\d+)?")

CellParser = collections.abc.Callable[[str], typing.Any]
"""Converts the text of a cell to a value, or raises `CellError`."""


@attrs.frozen
class CellError(Exception):
    """The text of a cell is invalid."""

    message: str
    """What is wrong, with the value found unless it may be a secret."""
    hint: str
    """How to correct the cell."""


def parse_name(text: str) -> str:
    """Parses an identifier of 1 to 64 characters."""
    if _NAME_PATTERN.fullmatch(text):
        return text
    raise CellError(
        f"{text!r} is not a name.",
        "Use 1 to 64 letters, digits, '.', '_' or '-', starting with a"
        " letter or digit.",
    )


def parse_path(text: str) -> str:
    """Parses a path prefix of at most 200 characters."""
    if _PATH_PATTERN.fullmatch(text) and len(text) <= 200:
        return text
    raise CellError(
        f"{text!r} is not a path prefix.",
        "Write it as '/orders' or '/stock/v1', without a '/' at its end.",
    )


def parse_account_or_any(text: str) -> str:
    """Parses an account name or `*`."""
    return text if text == "*" else parse_name(text)


def parse_sha256(text: str) -> str:
    """Parses the SHA-256 hash of a key's secret, in either letter case."""
    digest = text.lower()
    if _SHA256_PATTERN.fullmatch(digest):
        return digest
    raise CellError(
        "The value is not a sha256 hash.",
        "Give the 64 hex digits that `banyanbank keys create` prints, never"
        " the secret itself.",
    )


def parse_number(text: str) -> float:
    """Parses a number whose decimal separator is a point or a comma.

    Rejects numbers such as `1.000`, whose separator may also mark thousands.
    """
    if _GROUPED_DIGITS_PATTERN.fullmatch(text):
        raise CellError(
            f"{text!r} is ambiguous: its separator may mark thousands or"
            " decimals.",
            "Write thousands without separators, and decimals with other than"
            " three digits, such as 1000 or 1.5.",
        )
    if not _NUMBER_PATTERN.fullmatch(text):
        raise CellError(f"{text!r} is not a number.", "Write it as 12 or 1.5.")
    value = float(text.replace(",", "."))
    if not math.isfinite(value) or abs(value) > 1e12:
        raise CellError(f"{text!r} is too large.", "Write less than 1e12.")
    return value


def parse_integer(text: str) -> int:
    """Parses an integer; accepts `5.0` as 5."""
    value = parse_number(text)
    if value != int(value):
        raise CellError(
            f"{text!r} is not a whole number.", "Write a whole number."
        )
    return int(value)


def require_minimum(parser: CellParser, minimum: float) -> CellParser:
    """Wraps a parser to reject values below a minimum."""

    def parse(text: str) -> typing.Any:
        value = parser(text)
        if value < minimum:
            raise CellError(
                f"{text} is too small.", f"Write {minimum} or more."
            )
        return value

    return parse


def require_positive(parser: CellParser) -> CellParser:
    """Wraps a parser to reject zero and negative values."""

    def parse(text: str) -> typing.Any:
        value = parser(text)
        if value <= 0:
            raise CellError(f"{text} is too small.", "Write more than 0.")
        return value

    return parse


def make_enum_parser(members: type[enum.Enum]) -> CellParser:
    """Returns a parser of an enumeration's values, in either letter case."""

    def parse(text: str) -> typing.Any:
        for member in members:
            if member.value == text.lower():
                return member
        allowed = ", ".join(str(member.value) for member in members)
        raise CellError(
            f"{text!r} is not an allowed value.", f"Write one of: {allowed}."
        )

    return parse


def make_list_parser(parser: CellParser) -> CellParser:
    """Returns a parser of a whitespace-separated list of values.

    The values come out sorted and without duplicates.
    """

    def parse(text: str) -> tuple[str, ...]:
        return tuple(sorted({parser(word) for word in text.split()}))

    return parse


def format_value(value: typing.Any) -> str:
    """Returns the text of a value, which the parser of its column accepts."""
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return " ".join(value)
    if isinstance(value, float):
        return _format_number(value)
    return str(value)


def _format_number(value: float) -> str:
    if not math.isfinite(value):
        return str(value)
    if value == int(value):
        return str(int(value))
    text = f"{value:.12f}".rstrip("0")
    # "1.500" would be rejected as ambiguous; a fourth decimal avoids that.
    if _GROUPED_DIGITS_PATTERN.fullmatch(text):
        text += "0"
    return text
