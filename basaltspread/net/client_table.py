"""Which clients' connections are open, which of them are idle or stuck, and why one is closed from this side.

It must never read from a connection or write to it.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from basaltspread.net.clients import Client

FIRST_BYTES_UNDER_WAY = 0.25  # s after a connection's opening


class CloseReason(Enum):
    """Why a client's connection is closed from this side; counted as `clients_closed_REASON`."""

    CLIENT_LEFT = "client_left"
    SAID_NOTHING = "said_nothing"
    RESTED = "rested"
    LET_GO = "let_go"
    LAST_ANSWER = "last_answer"
    BAD_REQUEST = "bad_request"
    TOO_SLOW = "too_slow"
    STREAM_BROKEN = "stream_broken"
    HANDED_ON = "handed_on"
    MADE_ROOM = "made_room"
    NO_ROOM = "no_room"
    NO_MEMORY = "no_memory"
    GATEWAY_FAULT = "gateway_fault"


class ClientTable:
    """The clients' connections that are open, and which idle one makes room first: one that was opened and
    said nothing, then the one that rests longest; one just opened only after these, as its first bytes may be
    under way. Every step costs the same however many there are."""

    def __init__(self) -> None:
        self._open: dict[Client, None] = {}
        self._silent: dict[Client, float] = {}  # since when; the longest first, as in the next
        self._resting: dict[Client, float] = {}
        self._stuck: dict[Client, float] = {}  # their answers wait for them, since when

    def __len__(self) -> int:
        return len(self._open)

    def opened(self, client: Client, now: float) -> None:
        self._open[client] = None
        self._silent[client] = now

    def rests(self, client: Client, now: float) -> None:
        self.busy(client)
        if client in self._open:
            self._resting[client] = now

    def busy(self, client: Client) -> None:
        self._silent.pop(client, None)
        self._resting.pop(client, None)

    def waits(self, client: Client, now: float) -> None:
        """It does not take what is written to it."""
        self._stuck.pop(client, None)
        self._stuck[client] = now

    def reads_on(self, client: Client) -> None:
        self._stuck.pop(client, None)

    def stuck_longest(self, before: float) -> Client | None:
        """The one that takes nothing for the longest time, if that began before this time."""
        client, since = next(iter(self._stuck.items()), (None, before))
        return client if since < before else None

    def left(self, client: Client) -> None:
        self.busy(client)
        self.reads_on(client)
        self._open.pop(client, None)

    @staticmethod
    def make_room(client: Client) -> None:
        """Closes an idle one."""
        client.abort(CloseReason.MADE_ROOM)

    def idle_for(self, seconds: float, now: float) -> Client | None:
        """One that has said nothing, or has rested, for so long."""
        for row in (self._silent, self._resting):
            client, since = next(iter(row.items()), (None, now))
            if client is not None and now - since >= seconds:
                return client
        return None

    def idlest(self, now: float) -> Client | None:
        """The one to make room, if one is idle."""
        opened = next(iter(self._silent.values()), now)
        silent, resting = next(iter(self._silent), None), next(iter(self._resting), None)
        return silent if now - opened >= FIRST_BYTES_UNDER_WAY or resting is None else resting
