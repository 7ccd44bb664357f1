"""Typed access to what endpoints send."""

import typing

import attrs

MAX_NAME_CHARS = 128


class EndpointFieldError(ValueError):
    """A field of an endpoint's message is missing or malformed."""


@attrs.frozen
class Fields:
    """The fields of a JSON object."""

    document: dict[str, typing.Any]
    """The object."""

    @classmethod
    def of(cls, document: typing.Any) -> "Fields":
        """Takes a JSON value that must be an object."""
        if not isinstance(document, dict):
            raise EndpointFieldError("The body must be a JSON object.")
        return cls(document)

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a text; without a default it must be there and not empty."""
        value = self.document.get(name, default)
        if not isinstance(value, str) or (not value and default is None):
            raise EndpointFieldError(f"Field {name} must be a text.")
        if len(value) > MAX_NAME_CHARS:
            raise EndpointFieldError(f"Field {name} is too long.")
        return value

    def number(self, name: str, default: int | None = None) -> int:
        """Returns a number of at least 0, cut to a whole one."""
        value = self.document.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise EndpointFieldError(f"Field {name} must be a number.")
        if not 0 <= value < 2**62:
            raise EndpointFieldError(f"Field {name} is out of its range.")
        return int(value)
