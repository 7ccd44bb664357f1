"""Tests of which answers a caller gets."""

import random
import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _forwarder
from banyanbank_node import _ports
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from tests.gateway import samples

REQUEST = "r-1"


@attrs.frozen
class Reply:
    """What an endpoint answers."""

    request_id: str
    """Request that it names."""
    status: int = 200
    """HTTP status."""
    has_not_run: bool = False
    """Whether it says that it did not run the request."""
    headers: tuple[tuple[str, str], ...] = ()
    """Headers."""

    async def read_all(
        self, max_bytes: int
    ) -> result.Result[bytes, web.UpstreamError]:
        """Returns the body."""
        del max_bytes
        return result.Success(b"body")

    def cancel(self) -> None:
        """Ends the exchange."""


def forward(
    kind: gateway.RouteKind, *replies: Reply
) -> tuple[_forwarder.Answer | base.Refusal, int]:
    """Returns what a caller gets, and how many endpoints were asked."""
    clock = base.ManualClock(10.0)
    left = list(replies)

    async def send(req: object) -> result.Result[Reply, web.UpstreamError]:
        del req
        return result.Success(left.pop(0))

    def marks(reply: Reply) -> _ports.AnswerMarks:
        return _ports.AnswerMarks(
            reply.request_id, reply.has_not_run, "signature", None
        )

    endpoints = [samples.make_said(f"e{number}") for number in range(3)]
    forwarder = _forwarder.Forwarder(
        clock,
        _any(types.SimpleNamespace(send=send)),
        _any(types.SimpleNamespace(forward=lambda *rest: None, marks=marks)),
        gateway.EndpointPicker(base.FailureDomain("z"), random.Random(1)),
        lambda service: endpoints,
        random.Random(1),
        _any(types.SimpleNamespace(write=lambda event, **fields: None)),
        _any(
            types.SimpleNamespace(
                requests=types.SimpleNamespace(record=lambda *rest: None)
            )
        ),
    )
    req = _ports.CallerRequest(
        REQUEST, "POST", "host", "/p/", "/p/", (), b"", None, 20.0
    )
    sending = _forwarder.Forwarding(req, _make_route(kind), None, 20.0)
    got: list[typing.Any] = []
    defer.ensureDeferred(forwarder.send(sending)).addBoth(got.append)
    return got[0], len(sending.tried)


def _make_route(kind: gateway.RouteKind) -> gateway.Route:
    return gateway.Route(
        name="route",
        host="host",
        prefix="/p/",
        kind=kind,
        targets=(gateway.Target("app", 1.0),),
        timeout_s=5.0,
        objective_s=0.2,
        max_attempts=2,
        is_public=True,
    )


def _any(value: object) -> typing.Any:
    return value


class AnswerTest(unittest.TestCase):
    """No caller gets an answer that may be another one's."""

    def test_answers(self) -> None:
        own, other, none = Reply(REQUEST), Reply("r-0"), Reply("")
        full = Reply(REQUEST, 503, has_not_run=True)
        repeatable = gateway.RouteKind.IDEMPOTENT
        once = gateway.RouteKind.NON_IDEMPOTENT
        ran, not_run = base.Outcome.MAY_HAVE_RUN, base.Outcome.NOT_RUN
        for name, kind, replies, want, asked in (
            ("its own", repeatable, [own], 200, 1),
            ("another's, then its own", repeatable, [other, own], 200, 2),
            ("nobody's, then its own", repeatable, [none, own], 200, 2),
            ("another's, may run once", once, [other], ran, 1),
            ("nobody's, may run once", once, [none], ran, 1),
            ("full, then its own", once, [full, own], 200, 2),
            ("all full", once, [full, full], not_run, 2),
            ("a failure without an id", once, [Reply("", 500)], 500, 1),
            (
                "refused before its id was read",
                once,
                [Reply("", 400, has_not_run=True), own],
                200,
                2,
            ),
        ):
            with self.subTest(name):
                got, tried = forward(kind, *replies)
                told: object = (
                    got.outcome if isinstance(got, base.Refusal) else got.status
                )
                self.assertEqual(told, want)
                self.assertEqual(tried, asked)


if __name__ == "__main__":
    unittest.main()
