"""What all calls of operators share: admission and commits."""

import hmac
import typing

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _control_plane
from banyanbank_daemon._entry import _admission

OK = 200
COMMIT_S = 10.0
OPERATOR = "operator"


class Desk:
    """Admits operators and commits what they ask for.

    Args:
        clock: Clock that deadlines are told on.
        token: Operator credential; empty refuses everybody.
        plane: Way to the replicated log.
    """

    def __init__(
        self,
        clock: base.Clock,
        token: str,
        plane: _control_plane.ControlPlane,
    ) -> None:
        self._clock = clock
        self._token = token
        self._plane = plane

    def admits(self, exchange: web.Exchange) -> bool:
        """Tells whether the operator credential came; refuses otherwise."""
        secret = _admission.bearer_secret(exchange) or ""
        is_known = bool(self._token) and hmac.compare_digest(
            secret.encode(), self._token.encode()
        )
        if not is_known:
            exchange.refuse(
                base.Refusal(
                    base.RefusalReason.UNAUTHENTICATED,
                    base.Outcome.NOT_RUN,
                    "The operator credential is missing or wrong.",
                )
            )
        return is_known

    async def commit(
        self,
        exchange: web.Exchange,
        command: control.Command,
        extra: dict[str, typing.Any],
    ) -> None:
        """Commits a change and answers with its revision.

        Args:
            exchange: The request.
            command: What to commit.
            extra: Further fields of the answer.
        """
        deadline = self._clock.now() + COMMIT_S
        proposed = await self._plane.propose(command, deadline)
        if isinstance(proposed, result.Failure):
            exchange.refuse(_uncommitted(proposed.failure()))
            return
        match proposed.unwrap():
            case control.ConfigAccepted(revision=revision):
                exchange.respond_json(OK, {"revision": revision, **extra})
            case control.RevisionConflict() as conflict:
                exchange.refuse(
                    base.Refusal(
                        base.RefusalReason.CONFLICT,
                        base.Outcome.NOT_RUN,
                        conflict.detail,
                    )
                )
            case control.Rejected(detail=detail):
                exchange.refuse(bad(detail))


def request_id_of(exchange: web.Exchange) -> base.RequestId:
    """Returns the operator's request id; the same at each resend."""
    return base.RequestId(
        exchange.header("x-request-id") or exchange.request_id
    )


def bad(detail: str) -> base.Refusal:
    """Returns the refusal of a request that cannot be carried out."""
    return base.Refusal(
        base.RefusalReason.BAD_REQUEST, base.Outcome.NOT_RUN, detail
    )


def _uncommitted(error: _control_plane.PlaneError) -> base.Refusal:
    outcome = base.Outcome.NOT_RUN
    if error.maybe_committed:
        outcome = base.Outcome.MAY_HAVE_RUN
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        outcome,
        f"The change was not confirmed: {error.detail} Send it again with the"
        " same X-Request-Id.",
        retry_after=1.0,
    )
