"""What an error of a system call says, and of whom: the one table for sockets, connections and accepting.

A fault of this machine is not one of the other side: it costs no attempt and is blamed on nobody. It must
never decide what is done about one.
"""

from __future__ import annotations

import errno
from enum import Enum


class FaultScope(Enum):
    """Whose fault an error is, and for how long it may be expected to last."""

    LOCAL_MOMENTARY = "this machine, for a moment"
    LOCAL_LASTING = "this process, until it gives something up"
    CONNECTION = "one connection that broke before it was accepted"
    REMOTE = "the other side, or the way to it"


_LOCAL_MOMENTARY = frozenset((
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE,
    errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES,
))  # fmt: skip
# accept(2) hands on what has already gone wrong on the connection that it would have returned.
_NEW_CONNECTION = frozenset((
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
    errno.EOPNOTSUPP, errno.ENETDOWN, errno.ENETUNREACH, errno.ECONNRESET, errno.ETIMEDOUT,
))  # fmt: skip


def of_connect(error: Exception) -> FaultScope:
    """For an error of socket(2) or connect(2)."""
    code = error.errno if isinstance(error, OSError) else None
    if code == errno.EMFILE:
        return FaultScope.LOCAL_LASTING
    return FaultScope.LOCAL_MOMENTARY if code in _LOCAL_MOMENTARY else FaultScope.REMOTE


def of_accept(error: OSError) -> FaultScope:
    """For an error of accept(2)."""
    if error.errno in _NEW_CONNECTION:
        return FaultScope.CONNECTION
    return FaultScope.LOCAL_LASTING if error.errno == errno.EMFILE else FaultScope.LOCAL_MOMENTARY
