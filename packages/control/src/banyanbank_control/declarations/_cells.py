"""Readers of single values, as people and spreadsheets write them."""

import collections.abc
import enum
import math
import re
import typing

import attrs

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PATH = re.compile(r"(/[A-Za-z0-9._~-]+)+")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_THOUSANDS = re.compile(r"[+-]?\d{1,3}([.,' ]\d{3})+")
_NUMBER = re.compile(r"[+-]?\d+([.,]\d+)?")

Reader = collections.abc.Callable[[str], typing.Any]
"""Turns the text of a cell into a value or raises `CellError`."""


@attrs.frozen
class CellError(Exception):
    """The text of one cell cannot be read."""

    problem: str
    """What is wrong."""
    mend: str
    """What to write instead."""


def read_name(text: str) -> str:
    """Reads an identifier."""
    if _NAME.fullmatch(text):
        return text
    raise CellError(
        f"{text!r} is not a name.",
        "Use 1 to 64 letters, digits, '.', '_' or '-', starting with a"
        " letter or digit.",
    )


def read_path(text: str) -> str:
    """Reads a path prefix."""
    if _PATH.fullmatch(text) and len(text) <= 200:
        return text
    raise CellError(
        f"{text!r} is not a path prefix.",
        "Write it as '/orders' or '/stock/v1', without a '/' at its end.",
    )


def read_account_or_any(text: str) -> str:
    """Reads an account name or `*`."""
    return text if text == "*" else read_name(text)


def read_sha256(text: str) -> str:
    """Reads a hash of a key's secret."""
    lowered = text.lower()
    if _SHA256.fullmatch(lowered):
        return lowered
    raise CellError(
        "The value is not a sha256 hash.",
        "Give the 64 hex digits that `banyanbank keys create` prints, never"
        " the secret itself.",
    )


def read_number(text: str) -> float:
    """Reads a decimal number with a point or comma."""
    if _THOUSANDS.fullmatch(text):
        raise CellError(
            f"{text!r} may be a thousand or a fraction.",
            "Write thousands without separators and fractions with other"
            " than three digits, such as 1000 or 1.5.",
        )
    if not _NUMBER.fullmatch(text):
        raise CellError(f"{text!r} is not a number.", "Write it as 12 or 1.5.")
    value = float(text.replace(",", "."))
    if not math.isfinite(value) or abs(value) > 1e12:
        raise CellError(f"{text!r} is too large.", "Write less than 1e12.")
    return value


def read_integer(text: str) -> int:
    """Reads a whole number; `5.0` counts as 5."""
    value = read_number(text)
    if value != int(value):
        raise CellError(
            f"{text!r} is not a whole number.", "Write a whole number."
        )
    return int(value)


def at_least(reader: Reader, least: float) -> Reader:
    """Returns a reader that also refuses values below a bound."""

    def read(text: str) -> typing.Any:
        value = reader(text)
        if value < least:
            raise CellError(f"{text} is too small.", f"Write {least} or more.")
        return value

    return read


def above_zero(reader: Reader) -> Reader:
    """Returns a reader that also refuses zero and below."""

    def read(text: str) -> typing.Any:
        value = reader(text)
        if value <= 0:
            raise CellError(f"{text} is too small.", "Write more than 0.")
        return value

    return read


def one_of(members: type[enum.Enum]) -> Reader:
    """Returns a reader of an enumeration's values."""

    def read(text: str) -> typing.Any:
        for member in members:
            if member.value == text.lower():
                return member
        known = ", ".join(str(member.value) for member in members)
        raise CellError(f"{text!r} is not known.", f"Write one of: {known}.")

    return read


def many(reader: Reader) -> Reader:
    """Returns a reader of values separated by blanks, sorted, without twins."""

    def read(text: str) -> tuple[str, ...]:
        return tuple(sorted({reader(word) for word in text.split()}))

    return read


def format_value(value: typing.Any) -> str:
    """Returns the text of a value, readable by the reader of its column."""
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
    # "1.500" would look like a thousand; a fourth digit tells them apart.
    if _THOUSANDS.fullmatch(text):
        text += "0"
    return text
