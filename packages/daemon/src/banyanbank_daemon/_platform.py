"""Clients of the platform: endpoint orders and usage reports."""

import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result

CALL_S = 10.0
MAX_ANSWER_BYTES = 256 * 1024
OK = 200
REFUSED_STATUS = frozenset({400, 403, 409, 422})

Guard = typing.Callable[[], bool]


@attrs.frozen
class PlatformError:
    """The platform gave no usable answer; the message is sent again."""

    detail: str
    """What happened."""


class PlatformClient:
    """Sends orders and reports, each under its idempotency key.

    Args:
        clock: Clock that deadlines are told on.
        upstream: HTTP client.
        guard: Tells whether the lease is held; asked before each body.
    """

    def __init__(
        self, clock: base.Clock, upstream: web.Upstream, guard: Guard
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._guard = guard

    async def send_order(
        self, url: str, effect: control.SendOrder
    ) -> result.Result[control.OrderResult, PlatformError]:
        """Sends an order; equal at each sending but for the token."""
        order = effect.order
        request = order.request
        document = {
            "number": order.number,
            "idempotency_key": order.idempotency_key,
            "fencing_token": effect.fencing_token,
            "action": request.action.value,
            "model": request.model,
            "failure_domain": request.failure_domain,
            "supply": request.supply.value,
            "count": request.count,
            "price_ceiling": request.price_ceiling,
            "endpoint": request.endpoint,
        }
        answered = await self._post(url, document)
        return answered.map(
            lambda answer: control.OrderResult(
                number=order.number,
                accepted=answer.get("accepted") is True,
                endpoints=tuple(
                    str(name) for name in answer.get("endpoints", ())
                ),
                detail=str(answer.get("error", ""))[:200],
            )
        )

    async def send_report(
        self, url: str, effect: control.SendReport
    ) -> result.Result[None, PlatformError]:
        """Sends the frozen figures of a window."""
        report = effect.report
        document = {
            "window": report.window,
            "start": report.start,
            "end": report.end,
            "interrupted": report.interrupted,
            "idempotency_key": report.idempotency_key,
            "fencing_token": effect.fencing_token,
            "rows": [
                {"account": row.account, **attrs.asdict(row.figures)}
                for row in report.rows
            ],
        }
        answered = await self._post(url, document)
        return answered.bind(_check_accepted)

    async def send_swap(
        self, url: str, document: dict[str, typing.Any]
    ) -> result.Result[None, PlatformError]:
        """Orders an engine to load a weight version."""
        answered = await self._post(f"{url}/engine/load", document)
        return answered.bind(_check_loaded)

    async def _post(
        self, url: str, document: dict[str, typing.Any]
    ) -> result.Result[dict[str, typing.Any], PlatformError]:
        sent = await self._upstream.send(
            web.UpstreamRequest(
                method="POST",
                url=url,
                headers=(("content-type", "application/json"),),
                body=json.dumps(document).encode(),
                deadline=self._clock.now() + CALL_S,
                is_repeatable=False,
                guard=self._guard,
            )
        )
        if isinstance(sent, result.Failure):
            return result.Failure(PlatformError(sent.failure().detail))
        response = sent.unwrap()
        body = await response.read_all(MAX_ANSWER_BYTES)
        if isinstance(body, result.Failure):
            return result.Failure(PlatformError(body.failure().detail))
        return _read_answer(response.status, body.unwrap())


def _read_answer(
    status: int, body: bytes
) -> result.Result[dict[str, typing.Any], PlatformError]:
    if status != OK and status not in REFUSED_STATUS:
        return result.Failure(PlatformError(f"The platform answered {status}."))
    try:
        answer = json.loads(body)
    except ValueError:
        answer = None
    if not isinstance(answer, dict):
        return result.Failure(PlatformError("The answer is no JSON object."))
    if status != OK:
        answer["accepted"] = False
    return result.Success(answer)


def _check_accepted(
    answer: dict[str, typing.Any],
) -> result.Result[None, PlatformError]:
    if answer.get("accepted") is True:
        return result.Success(None)
    return result.Failure(PlatformError(f"Refused: {answer.get('error')}"))


def _check_loaded(
    answer: dict[str, typing.Any],
) -> result.Result[None, PlatformError]:
    if answer.get("accepted") is False:
        return result.Failure(PlatformError(f"Refused: {answer.get('error')}"))
    return result.Success(None)
