"""Handshake of a connection: who is at the other end, and in which life."""

import asyncio
import collections.abc

import attrs
import banyanbank_base as base
import websockets.asyncio.connection
import websockets.exceptions

from banyanbank_mesh import _errors
from banyanbank_mesh import _frames
from banyanbank_mesh import _link
from banyanbank_mesh import _tls

HANDSHAKE_LIMIT_S = 5.0
"""A connection that has not shaken hands by then is closed."""


MAX_NAME_CHARS = 128
"""Longest name of an instance."""


@attrs.frozen
class Identity:
    """Who an instance is, as it says in handshakes."""

    instance: base.InstanceId
    """Name of the instance."""
    incarnation: base.Incarnation
    """Its life; rises from one life to the next."""


def check_certificate(
    conn: websockets.asyncio.connection.Connection,
    instance: str,
    tls: _tls.MeshTls | None,
) -> None:
    """Checks that the peer's certificate names the instance it claims to be.

    Raises:
        HandshakeError: It names another instance, or none.
    """
    if tls is None:
        return
    named = tls.peer_instance(conn.transport.get_extra_info("ssl_object"))
    if named == instance:
        return
    raise _errors.HandshakeError(
        _link.CODE_REFUSED,
        f"The certificate names {named!r}, not {instance!r}.",
    )


async def greet(
    conn: websockets.asyncio.connection.Connection,
    me: Identity,
    target: base.InstanceId,
    lane: _frames.Lane,
    tls: _tls.MeshTls | None,
) -> Identity:
    """Shakes hands as the side that connects.

    Returns:
        Who accepted.

    Raises:
        HandshakeError: The other end is not the target, or refused.
    """
    check_certificate(conn, target, tls)
    hello = _frames.Hello(
        version=_frames.PROTOCOL_VERSION,
        instance=me.instance,
        incarnation=me.incarnation,
        target=target,
        lane=lane,
    )
    await conn.send(_frames.FRAME_CODEC.encode(hello))
    frame = await _receive(conn)
    if not isinstance(frame, _frames.Welcome):
        raise _protocol_error("The first frame is no welcome.")
    if frame.instance != target:
        raise _refused(f"Reached {frame.instance!r} instead of {target!r}.")
    return Identity(target, base.Incarnation(frame.incarnation))


async def accept(
    conn: websockets.asyncio.connection.Connection,
    me: Identity,
    check: collections.abc.Callable[[Identity], None],
    tls: _tls.MeshTls | None,
) -> tuple[Identity, _frames.Lane]:
    """Shakes hands as the side that was connected to.

    Args:
        conn: The new connection.
        me: Who this instance is.
        check: Raises `HandshakeError` when the peer is not acceptable.
        tls: Mutual TLS; None when the listener is plain.

    Returns:
        Who connected, and for what.

    Raises:
        HandshakeError: The connection must not be used.
    """
    frame = await _receive(conn)
    if not isinstance(frame, _frames.Hello):
        raise _protocol_error("The first frame is no hello.")
    if frame.version != _frames.PROTOCOL_VERSION:
        raise _refused(
            f"Protocol {frame.version} is not {_frames.PROTOCOL_VERSION}; "
            "run one release on all instances."
        )
    if not 0 < len(frame.instance) <= MAX_NAME_CHARS:
        raise _refused("The name of the instance is empty or too long.")
    if frame.target != me.instance:
        raise _refused(
            f"This is {me.instance!r}, not {frame.target[:MAX_NAME_CHARS]!r}."
        )
    check_certificate(conn, frame.instance, tls)
    peer = Identity(
        base.InstanceId(frame.instance), base.Incarnation(frame.incarnation)
    )
    check(peer)
    welcome = _frames.Welcome(me.instance, me.incarnation)
    await conn.send(_frames.FRAME_CODEC.encode(welcome))
    return peer, frame.lane


async def _receive(
    conn: websockets.asyncio.connection.Connection,
) -> _frames.Frame:
    try:
        async with asyncio.timeout(HANDSHAKE_LIMIT_S):
            data = await conn.recv()
        return _frames.decode(data)
    except TimeoutError as exc:
        raise _protocol_error("No frame in time.") from exc
    except base.CodecError as exc:
        raise _protocol_error(f"No frame: {exc}") from exc
    except websockets.exceptions.ConnectionClosed as exc:
        raise _refused(f"The peer closed: {exc}") from exc


def _protocol_error(detail: str) -> _errors.HandshakeError:
    return _errors.HandshakeError(_link.CODE_PROTOCOL, detail)


def _refused(detail: str) -> _errors.HandshakeError:
    return _errors.HandshakeError(_link.CODE_REFUSED, detail)
