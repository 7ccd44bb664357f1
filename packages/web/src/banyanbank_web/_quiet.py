"""Closes a listener without losing connections that are being made.

The kernel finishes handshakes by itself. A connection that is finished but not
yet accepted when its listener closes is reset, and its caller cannot know that
nothing ran. So new handshakes are kept out first, those under way are accepted,
and only then the listener closes; a caller kept out finds the port refused.
"""

import ctypes
import socket

import loguru

SO_ATTACH_FILTER = 26
FLAGS_OFFSET = 13
SYN = 0x02
SYN_AND_ACK = 0x12
DROP = 0
PASS = 0xFFFF_FFFF
LOAD_BYTE = 0x30
AND = 0x54
JUMP_IF_EQUAL = 0x15
RETURN = 0x06


class _Instruction(ctypes.Structure):
    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("operand", ctypes.c_uint32),
    )


class _Program(ctypes.Structure):
    _fields_ = (
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    )


def keep_new_out(listener: socket.socket) -> None:
    """Drops the first segment of every new handshake at a listening socket.

    Handshakes that have begun go on. Where the kernel does not take the
    filter, nothing changes and a connection may be lost at the close.
    """
    instructions = (_Instruction * 5)(
        _Instruction(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        _Instruction(AND, 0, 0, SYN_AND_ACK),
        _Instruction(JUMP_IF_EQUAL, 0, 1, SYN),
        _Instruction(RETURN, 0, 0, DROP),
        _Instruction(RETURN, 0, 0, PASS),
    )
    program = _Program(len(instructions), instructions)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))
    except OSError as exc:
        loguru.logger.warning("no filter on the listener: {}", exc)
