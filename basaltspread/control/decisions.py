"""What the dispatcher (dispatch.py) decides, as values for the reducer to turn into effects.

It owns these types alone, apart from the dispatcher so that a gateway without tools loads nothing of it.
"""

from __future__ import annotations

from typing import Any

from basaltspread.control.routes import Server
from basaltspread.endings import ToolFault
from basaltspread.records import record

Key = tuple[str, str]  # request, call


@record
class Start:
    """Write this call to this server now; on a connection of its own if it may be written but once."""

    key: Key
    number: int
    server: Server
    once: bool
    time_left: int


@record
class Stop:
    """Give this try up; with `tell`, its server is told that nobody waits for it any more."""

    key: Key
    number: int
    server: Server
    tell: bool


@record
class Settle:
    """The job is over: its reply is there, or this fault takes its place."""

    key: Key
    fault: ToolFault | None


@record
class WakeAt:
    at: int
    token: tuple[Any, ...]


@record
class Trial:
    """Ask this server whether it answers."""

    server: Server


@record
class Note:
    counter: str


@record
class Tell:
    text: str


Decision = Start | Stop | Settle | WakeAt | Trial | Note | Tell
