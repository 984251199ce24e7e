"""What the dispatcher (dispatch.py) decides, as values for the reducer to turn into effects.

It owns these types alone, apart from the dispatcher so that a gateway without tools loads nothing of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from basaltspread.control.routes import Server
from basaltspread.endings import ToolFault

Key = tuple[str, str]  # request, call


@dataclass(frozen=True, slots=True)
class Start:
    """Write this call to this server now; on a connection of its own if it may be written but once."""

    key: Key
    number: int
    server: Server
    once: bool
    time_left: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Give this try up; with `tell`, its server is told that nobody waits for it any more."""

    key: Key
    number: int
    server: Server
    tell: bool


@dataclass(frozen=True, slots=True)
class Settle:
    """The job is over: its reply is there, or this fault takes its place."""

    key: Key
    fault: ToolFault | None


@dataclass(frozen=True, slots=True)
class WakeAt:
    at: int
    token: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Trial:
    """Ask this server whether it answers."""

    server: Server


@dataclass(frozen=True, slots=True)
class Note:
    counter: str


@dataclass(frozen=True, slots=True)
class Tell:
    text: str


Decision = Start | Stop | Settle | WakeAt | Trial | Note | Tell
