"""Credentials, read from the files that the settings name."""

import attrs

from banyanbank_daemon import _setting_parsers
from banyanbank_daemon import _settings


@attrs.frozen(repr=False)
class Secrets:
    """Credentials of one instance; never shown."""

    operator_token: str = ""
    """Operators' token; empty refuses all operators."""
    announce_token: str = ""
    """Endpoints' announce token; empty refuses all endpoints."""


def read_secrets(settings: _settings.Settings) -> Secrets:
    """Reads the credentials.

    Raises:
        OSError: A file that the settings named has gone since their check.
    """
    operator = settings.operator_token_file
    announce = settings.announce_token_file
    return Secrets(
        "" if operator is None else _setting_parsers.read_secret(operator),
        "" if announce is None else _setting_parsers.read_secret(announce),
    )
