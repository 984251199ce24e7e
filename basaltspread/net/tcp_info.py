"""What the system knows of a TCP connection that has not been read from it: see tcp(7), TCP_INFO.

Without that (another system, or a socket of another kind) the answers are those of a connection just opened.
"""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
from typing import Any

CLOSED_BY_PEER = frozenset((6, 7, 8, 9, 11))  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
_LAST_DATA_SENT = struct.Struct("<I")
_LAST_DATA_SENT_AT = 44  # bytes into tcp_info
_SIZE = 48
_COUNT = struct.Struct("i")


def closed_by_peer(connection: Any) -> bool:
    """Whether the other side has closed the connection, however much of what it sent is unread."""
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in CLOSED_BY_PEER
    except (OSError, AttributeError):
        return False


def age(connection: Any) -> float:
    """How long ago a connection was opened on which nothing has been sent from here, in s, to 4 ms or so:
    until then the system says that the last data was sent at its opening."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE)
        return float(_LAST_DATA_SENT.unpack_from(info, _LAST_DATA_SENT_AT)[0]) / 1000
    except (OSError, AttributeError, struct.error, TypeError):
        return 0.0


def unread(connection: Any) -> int:
    """Bytes that have come on a connection and wait in the system to be read."""
    with contextlib.suppress(OSError, AttributeError, TypeError, ValueError):
        return int(_COUNT.unpack(fcntl.ioctl(connection, termios.FIONREAD, bytes(_COUNT.size)))[0])
    return 0


def unacknowledged(connection: Any) -> int | None:
    """Bytes written to a connection that the other side's system has not acknowledged; None where this
    system does not tell."""
    with contextlib.suppress(OSError, AttributeError, TypeError, ValueError):
        return int(_COUNT.unpack(fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(_COUNT.size)))[0])
    return None
