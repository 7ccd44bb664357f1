"""Request deadlines from the `x-deadline-ms` header."""

import banyanbank_base as base
import banyanbank_web as web
from returns import result

DEADLINE_HEADER = "x-deadline-ms"
MILLISECONDS_PER_S = 1_000
DEFAULT_TIMEOUT_S = 120.0
MAX_TIMEOUT_S = 3_600.0


def read_deadline(
    exchange: web.Exchange, now: float
) -> result.Result[float, base.Refusal]:
    """Returns the deadline of a request on the monotonic clock.

    Without the header, the default timeout applies.

    Args:
        exchange: The request; the header holds milliseconds from now.
        now: Current monotonic time in seconds.
    """
    text = exchange.header(DEADLINE_HEADER)
    if not text:
        return result.Success(now + DEFAULT_TIMEOUT_S)
    if not (text.isascii() and text.isdigit()) or len(text) > len("9999999"):
        return result.Failure(
            base.Refusal(
                base.RefusalReason.BAD_REQUEST,
                base.Outcome.NOT_RUN,
                f"Header {DEADLINE_HEADER} must be an integer of milliseconds"
                " with at most 7 digits.",
            )
        )
    seconds = int(text) / MILLISECONDS_PER_S
    return result.Success(now + min(seconds, MAX_TIMEOUT_S))
