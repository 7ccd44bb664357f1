"""Deadlines that callers ask for."""

import banyanbank_base as base
import banyanbank_web as web
from returns import result

HEADER = "x-deadline-ms"
MILLISECONDS = 1_000
DEFAULT_S = 120.0
LONGEST_S = 3_600.0


def read_deadline(
    exchange: web.Exchange, now: float
) -> result.Result[float, base.Refusal]:
    """Returns the monotonic deadline of a request.

    Args:
        exchange: The request; its header gives milliseconds from now.
        now: Monotonic seconds.
    """
    text = exchange.header(HEADER)
    if not text:
        return result.Success(now + DEFAULT_S)
    if not (text.isascii() and text.isdigit()) or len(text) > len("9999999"):
        return result.Failure(
            base.Refusal(
                base.RefusalReason.BAD_REQUEST,
                base.Outcome.NOT_RUN,
                f"Header {HEADER} must be whole milliseconds.",
            )
        )
    seconds = int(text) / MILLISECONDS
    return result.Success(now + min(seconds, LONGEST_S))
