"""Tests of what a store answers to polls that it passes on."""

import types
import typing
import unittest
import zlib

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _messages
from banyanbank_node import _store_calls
from banyanbank_node import _store_client
from returns import result
from twisted.internet import defer
from twisted.internet import task

ENTRY, STORE, LEADER = (base.InstanceId(f"127.0.1.{n}:7000") for n in (1, 2, 3))
ANSWER = b"answer of the leader"
HELD = 7
"""Number of the document that the store has applied."""

NO_LEADER: result.Result[bytes, _store_client.StoreCallError] = result.Failure(
    _store_client.StoreCallError(True, "silent")
)


class _FakeClient:
    """Fake client of the store; the leader answers as a test sets it."""

    def __init__(self) -> None:
        self.leader_answer = NO_LEADER
        self.handlers: dict[str, _store_client.LocalHandler] = {}
        self.calls: list[tuple[str, bytes, bool]] = []

    def set_local_handler(
        self, method: str, handler: _store_client.LocalHandler
    ) -> None:
        self.handlers[method] = handler

    async def call_raw(
        self,
        method: str,
        data: bytes,
        *rest: float,
        is_relayed: bool = False,
    ) -> result.Result[bytes, _store_client.StoreCallError]:
        del rest
        self.calls.append((method, data, is_relayed))
        return self.leader_answer


def _ignore(*_: typing.Any) -> None:
    """Ignores a registration."""


class RelayTest(unittest.TestCase):
    """A store that does not lead passes polls on to the leader."""

    def setUp(self) -> None:
        self.client = _FakeClient()
        nothing: typing.Any = types.SimpleNamespace
        clock = base.ManualClock(100.0)
        _store_calls.StoreCalls(
            task.Clock(),
            clock,
            nothing(instance=STORE, on_call=_ignore, on_message=_ignore),
            typing.cast(typing.Any, self.client),
            nothing(
                node=nothing(is_leader=False, leader=LEADER),
                ledger=nothing(
                    document_number=HELD, document=b"document of the store"
                ),
            ),
            gateway.Directory(),
            nothing(),
            gateway.SyncedClock(clock),
            nothing(),
            base.FailureDomain("zone"),
            nothing(),
            nothing(),
            nothing(),
        )

    def relay(self, held_by_entry: int) -> tuple[_messages.RelayedSync, bytes]:
        """Passes a poll on; returns the answer, and the poll as encoded."""
        poll = _messages.CODEC.encode(
            _messages.SyncRequest(
                entry="entry",
                document_number=held_by_entry,
                directory_of="",
                directory_revision=0,
                usage=(),
            )
        )
        answering = defer.ensureDeferred(
            typing.cast(
                typing.Any, self.client.handlers[_messages.RELAY_SYNC](poll)
            )
        )
        answer = _messages.CODEC.decode(
            typing.cast(typing.Any, answering).result
        )
        return _messages.CODEC.decode(answer.payload), poll

    def test_answers(self) -> None:
        """Guards against answers that carry the document twice."""
        answered = result.Success(ANSWER)
        document = b"document of the store"
        for name, leader_answer, held_by_entry, expected in (
            ("leader answers, older entry", answered, 6, (ANSWER, None)),
            ("leader answers, newest entry", answered, HELD, (ANSWER, None)),
            ("no leader, older entry", NO_LEADER, 6, (None, document)),
            ("no leader, newest entry", NO_LEADER, HELD, (None, None)),
            ("no leader, newer entry", NO_LEADER, 8, (None, None)),
        ):
            with self.subTest(name):
                self.setUp()
                self.client.leader_answer = leader_answer
                relayed, _ = self.relay(held_by_entry)
                self.assertEqual(
                    (
                        relayed.answer,
                        relayed.document and zlib.decompress(relayed.document),
                    ),
                    expected,
                )

    def test_poll_is_passed_on_as_another_instance_s(self) -> None:
        """Guards against polls that make a store avoid its leader."""
        _, poll = self.relay(HELD)
        self.assertEqual(self.client.calls, [(_messages.SYNC, poll, True)])


if __name__ == "__main__":
    unittest.main()
