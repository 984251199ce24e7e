"""Draws which troubles come when, from a seed, and cuts a schedule down to the troubles that matter.

It owns the kinds of trouble and how long each lasts. It must never do I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

T = TypeVar("T")


class TroubleKind(Enum):
    """What can go wrong; the part before the colon says with whom."""

    RESTART = "gateway:restart"  # SIGTERM, then a new process
    KILL = "gateway:kill"  # SIGKILL, then a new process
    RELOAD = "gateway:reload"  # SIGHUP; discovery moves
    HAND_OVER = "gateway:hand_over"  # a new process beside the old one, which then gets SIGTERM
    SIGNALS = "gateway:signals"  # a series of them, of which SIGTERM is one; then a new process
    THROTTLED = "gateway:throttled"  # held to a fraction of a core
    HELD_UP = "gateway:held_up"  # stands still for 0.15 s, again and again
    ACCEPT_FAILS = "gateway:accept_fails"
    CONNECT_FAILS = "gateway:connect_fails"
    SOCKET_FAILS = "gateway:socket_fails"
    RECEIVE_FAILS = "gateway:receive_fails"
    SHORT_IO = "gateway:short_io"
    FOLDER_FAILS = "gateway:folder_fails"  # while an operator leaves an engine out
    CLOCK_STEPS = "all:clock_steps"  # every wall clock at once
    DISCOVERY_DOWN = "discovery:down"
    DISCOVERY_SILENT = "discovery:silent"
    DISCOVERY_CROWDED = "discovery:crowded"
    DRAIN = "engine:drain"
    HANG = "engine:hang"  # some processes stand still, their systems go on
    MANY_HANG = "engine:many_hang"  # up to three quarters of one role or both, in one zone or all
    COLD_RESTART = "engine:cold_restart"
    CLOSES_IDLE = "engine:closes_idle"
    TURNS_AWAY = "engine:turns_away"
    ROLE_SILENT = "engine:role_silent"  # four in five of one role: their systems take bytes, they do nothing
    DELAY = "network:delay"
    CUT = "network:cut"  # silent both ways
    RESET = "network:reset"
    FRAGMENT = "network:fragment"
    CROWD = "clients:crowd"  # idle connections
    LOAD = "machine:load"  # busy processes beside
    CLIENTS_LEAVE = "clients:leave"
    CLIENTS_STOP = "clients:stop"
    CLIENTS_FLOOD = "clients:flood"
    CLIENTS_SLOW = "clients:slow"
    PRESSURE = "clients:pressure"  # hundreds that cost memory or time, in a process of their own
    ENDS_EARLY = "engine:ends_early"  # streams end in order without their last events

    @property
    def target(self) -> str:
        """Whom it concerns."""
        return self.value.partition(":")[0]


LASTS: dict[TroubleKind, tuple[float, float]] = {  # s, at the least and at the most
    TroubleKind.RESTART: (4.0, 4.0), TroubleKind.KILL: (1.0, 2.0), TroubleKind.RELOAD: (0.5, 0.5),
    TroubleKind.HAND_OVER: (5.0, 5.0), TroubleKind.HELD_UP: (0.5, 2.0), TroubleKind.ACCEPT_FAILS: (0.05, 0.8),
    TroubleKind.CONNECT_FAILS: (0.1, 0.8), TroubleKind.SOCKET_FAILS: (0.1, 0.6),
    TroubleKind.RECEIVE_FAILS: (0.1, 0.5), TroubleKind.SHORT_IO: (0.5, 2.0),
    TroubleKind.FOLDER_FAILS: (0.3, 2.0), TroubleKind.CLOCK_STEPS: (0.0, 0.0),
    TroubleKind.DISCOVERY_DOWN: (1.0, 8.0), TroubleKind.DISCOVERY_SILENT: (1.0, 5.0),
    TroubleKind.DISCOVERY_CROWDED: (1.0, 4.0), TroubleKind.DRAIN: (3.0, 6.0), TroubleKind.HANG: (1.0, 5.0),
    TroubleKind.MANY_HANG: (0.3, 4.0),
    TroubleKind.COLD_RESTART: (0.5, 2.0), TroubleKind.CLOSES_IDLE: (1.0, 3.0),
    TroubleKind.TURNS_AWAY: (0.5, 2.0), TroubleKind.DELAY: (0.5, 3.0), TroubleKind.CUT: (0.5, 4.0),
    TroubleKind.SIGNALS: (4.0, 4.0), TroubleKind.THROTTLED: (1.0, 3.0), TroubleKind.ROLE_SILENT: (1.0, 5.0),
    TroubleKind.CROWD: (2.0, 5.0), TroubleKind.LOAD: (1.0, 4.0), TroubleKind.RESET: (0.1, 1.0),
    TroubleKind.FRAGMENT: (0.5, 2.0), TroubleKind.CLIENTS_LEAVE: (1.0, 4.0),
    TroubleKind.CLIENTS_STOP: (1.0, 3.0), TroubleKind.CLIENTS_FLOOD: (0.5, 2.0),
    TroubleKind.CLIENTS_SLOW: (1.0, 4.0), TroubleKind.PRESSURE: (1.0, 4.0),
    TroubleKind.ENDS_EARLY: (0.5, 3.0),
}  # fmt: skip
QUIET_START = 3.0  # s before the first trouble: all is learnt by then
GROUP_STEP = (2.0, 5.0)  # s from the start of one group of troubles to that of the next
MOST_TARGETS = 4  # gateways or engines that one trouble concerns


@dataclass(frozen=True)
class Trouble:
    """One trouble: when it begins, in s of the load, how long it lasts, and whom it concerns."""

    kind: TroubleKind
    start: float
    length: float
    targets: tuple[int, ...]  # of gateways or engines
    figure: float  # in [0, 1): what the kind makes of it

    def __str__(self) -> str:
        return f"{self.kind.value} at {self.start:.2f} s for {self.length:.2f} s on {list(self.targets)}"


def draw(seed: int, gateways: int, engines: int, seconds: float, only: Sequence[str] = ()) -> list[Trouble]:
    """Groups of two to four troubles that begin within a second; the next group may come while they last.
    `only` names the kinds to draw from, by the whole value or the part before the colon; none: all."""
    lot = random.Random(seed)
    kinds = [k for k in TroubleKind if not only or k.value in only or k.target in only]
    out, at = list[Trouble](), QUIET_START
    while at < seconds - 2.0:
        out += [_draw_one(lot, kind, at, gateways, engines) for kind in _pick(lot, kinds)]
        at += lot.uniform(*GROUP_STEP)
    return out


def _pick(lot: random.Random, kinds: Sequence[TroubleKind]) -> list[TroubleKind]:
    return lot.sample(list(kinds), min(len(kinds), lot.choice((2, 2, 3, 3, 4))))


def _draw_one(lot: random.Random, kind: TroubleKind, at: float, gateways: int, engines: int) -> Trouble:
    length = lot.uniform(*LASTS[kind])
    most = engines if kind.target in ("engine", "network") else gateways
    targets = tuple(sorted(lot.sample(range(most), min(most, lot.randint(1, MOST_TARGETS)))))
    return Trouble(kind, at + lot.uniform(0.0, 1.0), length, targets, lot.random())


def cut_down(troubles: Sequence[T], still_fails: Callable[[Sequence[T]], bool]) -> list[T]:
    """The fewest troubles found with which the run still fails: leaves out halves, then smaller parts. Each
    step is a whole run, so that only what fails reliably is cut down far."""
    left, parts = list(troubles), 2
    while len(left) > 1:
        size = -(-len(left) // parts)
        for first in range(0, len(left), size):
            fewer = left[:first] + left[first + size :]
            if fewer and still_fails(fewer):
                left, parts = fewer, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(left), 2 * parts)
    return left
