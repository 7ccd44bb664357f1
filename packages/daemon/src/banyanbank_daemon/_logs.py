"""Logs by loguru: JSON or readable lines, without secrets."""

import collections.abc
import json
import logging
import re
import traceback
import typing

import loguru
from twisted import logger as twisted_logger
import zope.interface

REDACTED = "[redacted]"
"""Stands where a secret was."""

MIN_SECRET_CHARS = 6
"""Shorter texts are not taken as secrets: they would match everywhere."""

MAX_LINE_CHARS = 16 * 1024
"""Longer log lines are cut."""

CREDENTIAL_PATTERN = re.compile(
    r"""(?ix)
    (?P<name>
        \b(?:proxy-)?authorization \W{1,4} (?:b['"])? (?:\w+\ +)?
        | \bbearer\ +
        | \b(?:x-api-key|api[_-]?key|token|secret|password|passwd)
          ['"]? \s* [=:] \s* (?:b?['"])?
    )
    (?P<secret> [^\s'"&,;)}\]]+ )
    """
)
"""Credentials by the name that stands before them."""

PRIVATE_KEY_PATTERN = re.compile(
    r"-----BEGIN [A-Z ]*PRIVATE KEY-----"
    r".*?(-----END [A-Z ]*PRIVATE KEY-----|$)",
    re.DOTALL,
)
"""Private keys in PEM."""


class Redactor:
    """Takes secrets out of texts.

    Known secrets are replaced wherever they stand; others are found by the
    names that stand before them.
    """

    def __init__(self) -> None:
        self._known: set[str] = set()

    def add(self, secret: str) -> None:
        """Learns a secret of this process, such as the operators' token."""
        if len(secret) >= MIN_SECRET_CHARS:
            self._known.add(secret)

    def redact(self, text: str) -> str:
        """Returns the text without secrets."""
        for secret in self._known:
            text = text.replace(secret, REDACTED)
        text = PRIVATE_KEY_PATTERN.sub(REDACTED, text)
        return CREDENTIAL_PATTERN.sub(_hide, text)


def _hide(match: re.Match[str]) -> str:
    return match["name"] + REDACTED


class LineSink:
    """Writes log records as lines.

    Args:
        stream: Where lines go; written to without a thread.
        log_format: `json` or `readable`.
        instance: Name of this instance, in every JSON line.
        redactor: Takes secrets out of every line.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        log_format: str,
        instance: str,
        redactor: Redactor,
    ) -> None:
        self._stream = stream
        self._json = log_format == "json"
        self._instance = instance
        self._redactor = redactor

    def __call__(self, message: "loguru.Message") -> None:
        """Writes one record."""
        line = self._render(message.record)
        self._stream.write(line + "\n")
        self._stream.flush()

    def _render(self, record: "loguru.Record") -> str:
        text = self._clean(record["message"])
        fields = {
            name: self._clean(str(value))
            for name, value in record["extra"].items()
        }
        trace = self._clean(_trace(record))
        time = record["time"].isoformat(timespec="milliseconds")
        if self._json:
            line = {
                "time": time,
                "level": record["level"].name,
                "instance": self._instance,
                "message": text,
                **{f"field_{name}": value for name, value in fields.items()},
            }
            if trace:
                line["trace"] = trace
            return json.dumps(line, ensure_ascii=False)
        words = [time, f"{record['level'].name:<7}", _one_line(text)]
        words += [f"{name}={_one_line(fields[name])}" for name in fields]
        return " ".join(words) + (f"\n{trace.rstrip()}" if trace else "")

    def _clean(self, text: str) -> str:
        return self._redactor.redact(text)[:MAX_LINE_CHARS]


def _trace(record: "loguru.Record") -> str:
    error = record["exception"]
    if error is None or error.type is None:
        return ""
    return "".join(
        traceback.format_exception(error.type, error.value, error.traceback)
    )


def _one_line(text: str) -> str:
    # A text of a caller must not be able to forge a line of its own.
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in text
    )


class _StandardHandler(logging.Handler):
    """Hands records of the standard logging module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        level = record.levelname
        known = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
        options = loguru.logger.opt(exception=record.exc_info)
        options.log(
            level if level in known else "INFO",
            "{}: {}",
            record.name,
            record.getMessage(),
        )


@zope.interface.implementer(twisted_logger.ILogObserver)
def _observe_twisted(event: dict[str, typing.Any]) -> None:
    level = event.get("log_level", twisted_logger.LogLevel.info)
    names = {"warn": "WARNING", "error": "ERROR", "critical": "ERROR"}
    failure = event.get("log_failure")
    error = None if failure is None else failure.value
    text = twisted_logger.formatEvent(event)
    # Twisted tells of every connection at its level of information.
    options = loguru.logger.opt(exception=error)
    options.log(names.get(level.name, "DEBUG"), "{}", text)


def configure(
    stream: typing.TextIO,
    log_format: str,
    log_level: str,
    instance: str,
    redactor: Redactor,
) -> collections.abc.Callable[[], None]:
    """Sends all logs of the process to one stream.

    Logs of loguru, Twisted and the standard library come together.

    Args:
        stream: Where lines go.
        log_format: `json` or `readable`.
        log_level: Least severe level that is written.
        instance: Name of this instance.
        redactor: Takes secrets out of every line.

    Returns:
        Call it to undo the configuration.
    """
    loguru.logger.remove()
    # Values of variables in traces could be secrets, hence no diagnosis.
    sink = loguru.logger.add(
        LineSink(stream, log_format, instance, redactor),
        level=log_level,
        format="{message}",
        backtrace=False,
        diagnose=False,
        catch=True,
    )
    handler = _StandardHandler()
    root = logging.getLogger()
    root.addHandler(handler)
    publisher = twisted_logger.globalLogPublisher
    publisher.addObserver(_observe_twisted)

    def undo() -> None:
        publisher.removeObserver(_observe_twisted)
        root.removeHandler(handler)
        loguru.logger.remove(sink)

    return undo
