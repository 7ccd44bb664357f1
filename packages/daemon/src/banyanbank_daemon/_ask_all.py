"""Asks all other instances at once."""

import collections.abc
import typing

import banyanbank_base as base
from twisted.internet import defer

T = typing.TypeVar("T")


async def ask_all(
    me: base.InstanceId,
    peers: collections.abc.Iterable[base.InstanceId],
    ask: collections.abc.Callable[
        [base.InstanceId],
        collections.abc.Coroutine[typing.Any, typing.Any, T],
    ],
) -> dict[base.InstanceId, T]:
    """Returns the answer of each instance, in the order of `peers`.

    Args:
        me: This instance, which is left out.
        peers: Instances to ask.
        ask: Asks one; raises nothing.
    """
    asked = [peer for peer in peers if peer != me]
    answers = await defer.gatherResults(
        [defer.ensureDeferred(ask(peer)) for peer in asked]
    )
    return dict(zip(asked, answers, strict=True))
