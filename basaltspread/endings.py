"""How the use of a connection can end, what that says of what was sent on it, and how a tool call can fail.

It owns these types and the one table from each to the next, for the core and for all that decides below it.
It must never know what was sent, nor hold any state.
"""

from __future__ import annotations

from enum import Enum

from basaltspread.interface import Outcome


class Ending(Enum):
    """Every way in which a connection's use can end."""

    SERVED = "stream to its last chunk"
    READ = "prompt read"
    SERVER_ERROR = "500"
    STRANGE_STATUS = "a status the protocol does not name"
    MALFORMED = "an answer that is not HTTP"
    TOO_LARGE = "an answer over the limit for its kind"
    TURNED_AWAY = "turned away unprocessed"
    STATE_GONE = "no state to fetch"
    REFUSED = "connection refused"
    CONNECT_TIMED_OUT = "connection did not come up"
    NO_DESCRIPTOR = "out of descriptors"
    LOCAL_FAULT = "this machine could not connect"
    BROKE_UNSENT = "broke before the last byte was written"
    WITHDRAWN = "drained before the first byte"
    RESET = "reset after the last byte"
    CUT_SHORT = "ended before its last chunk"
    INCOMPLETE = "ended in order without its final event"
    STALLED = "the stream fell silent"
    TIMED_OUT = "nothing came in time"
    CANCELLED = "called back by the module"
    CALLED_BACK_UNSENT = "called back before its first byte"
    HANDED_ON = "handed on to the process that follows, connections and all"
    CALLED_OFF = "the tool server called it off"
    MOVED = "ended so that the client asks another gateway for the rest"
    CLIENT_LEFT = "the client went away"
    CLIENT_SLOW = "the client stopped reading"
    NOT_SENT = "never sent: over, or out of attempts"
    GATEWAY_FAULT = "an unexpected exception in the gateway"


OUTCOMES: dict[Ending, Outcome] = {
    Ending.SERVED: Outcome.SERVED,
    Ending.READ: Outcome.READ,
    Ending.SERVER_ERROR: Outcome.ERROR,
    Ending.STRANGE_STATUS: Outcome.ERROR,
    Ending.MALFORMED: Outcome.ERROR,
    Ending.TOO_LARGE: Outcome.ERROR,
    Ending.TURNED_AWAY: Outcome.FULL,
    Ending.STATE_GONE: Outcome.FULL,
    Ending.REFUSED: Outcome.CONNECT_FAILED,
    Ending.CONNECT_TIMED_OUT: Outcome.CONNECT_FAILED,
    Ending.NO_DESCRIPTOR: Outcome.NOT_SENT,
    Ending.LOCAL_FAULT: Outcome.NOT_SENT,
    Ending.BROKE_UNSENT: Outcome.CONNECT_FAILED,
    Ending.WITHDRAWN: Outcome.CONNECT_FAILED,
    Ending.RESET: Outcome.RESET,
    Ending.CUT_SHORT: Outcome.RESET,
    Ending.INCOMPLETE: Outcome.RESET,
    Ending.STALLED: Outcome.TIMEOUT,
    Ending.TIMED_OUT: Outcome.TIMEOUT,
    Ending.CANCELLED: Outcome.CANCELLED,
    Ending.CALLED_BACK_UNSENT: Outcome.NOT_SENT,
    Ending.HANDED_ON: Outcome.CANCELLED,
    Ending.CALLED_OFF: Outcome.ERROR,
    Ending.MOVED: Outcome.CANCELLED,
    Ending.CLIENT_LEFT: Outcome.CANCELLED,
    Ending.CLIENT_SLOW: Outcome.CANCELLED,
    Ending.NOT_SENT: Outcome.NOT_SENT,
    Ending.GATEWAY_FAULT: Outcome.ERROR,
}
# The endings after which the other side has certainly not acted on what was sent.
NEVER_RAN = frozenset(
    e for e, o in OUTCOMES.items() if o in (Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.NOT_SENT)
)


# The endings that show that the other side could not be reached, or that nothing came from it. Those that
# this side chose (a call back, a client that left, a fault of its own) say nothing of the other.
UNREACHED = frozenset((
    Ending.REFUSED, Ending.CONNECT_TIMED_OUT, Ending.BROKE_UNSENT, Ending.RESET, Ending.CUT_SHORT,
    Ending.STALLED, Ending.TIMED_OUT,
))  # fmt: skip

# The endings by which this side closes the connection while the other may still be at work on the request; it
# learns of that a moment later.
CLOSED_HERE = frozenset((Ending.MALFORMED, Ending.TOO_LARGE, Ending.STALLED))

# The endings that show that the engine's process had the request: it has said something itself.
ANSWERED = frozenset((
    Ending.SERVED, Ending.READ, Ending.SERVER_ERROR, Ending.STRANGE_STATUS, Ending.MALFORMED,
    Ending.TOO_LARGE, Ending.TURNED_AWAY, Ending.STATE_GONE, Ending.CUT_SHORT, Ending.INCOMPLETE,
    Ending.STALLED,
))  # fmt: skip

# The endings of an ordinary day, which are counted but not logged.
QUIET = frozenset((
    Ending.SERVED, Ending.READ, Ending.TURNED_AWAY, Ending.CLIENT_LEFT, Ending.NOT_SENT, Ending.MOVED,
    Ending.HANDED_ON,
))  # fmt: skip


class ToolFault(Enum):
    """Every way in which a tool call can fail, in the core's terms; a front words them on its wire."""

    PARSE = "not JSON that can be read in one way only"
    INVALID = "not a valid call"
    UNKNOWN_METHOD = "no such method"
    PARAMS = "parameters that the method does not take"
    NO_ROUTE = "no server for this tool"
    TOO_MANY = "too many open calls"
    NOT_PERMITTED = "an unsafe tool is called only in a request of an unsafe class that is not resumed"
    UNAVAILABLE = "the tool server could not be reached; the call was not made"
    DEADLINE = "no reply in time"
    SERVER_FAULT = "the tool server failed"
    OVERLOADED = "too many calls wait for the tool servers; the call was not made"
    OUTCOME_UNKNOWN = "outcome unknown: the call may have been made"


# What a tool call's connection says of the call, by the same outcomes as an engine's. An unsafe call that may
# have run has no known outcome; all others get the fault named here.
TOOL_FAULTS: dict[Outcome, ToolFault] = {
    Outcome.CONNECT_FAILED: ToolFault.UNAVAILABLE,
    Outcome.FULL: ToolFault.UNAVAILABLE,
    Outcome.NOT_SENT: ToolFault.UNAVAILABLE,
    Outcome.TIMEOUT: ToolFault.DEADLINE,
    Outcome.RESET: ToolFault.SERVER_FAULT,
    Outcome.ERROR: ToolFault.SERVER_FAULT,
    Outcome.CANCELLED: ToolFault.SERVER_FAULT,
}
