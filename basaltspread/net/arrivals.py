"""Requests of which the first bytes are here, and which are not taken yet: what the end of a process has to
know of, as each may still begin.

It tells the core how many there are while the process stops; until then a request costs no input for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from basaltspread import core
from basaltspread.core import guards

if TYPE_CHECKING:
    from basaltspread.net.clients import Client
    from basaltspread.net.runtime import Runtime


class Arrivals:
    """The clients in the middle of a request."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._clients: set[Client] = set()
        runtime.on_terminate.append(self._tell)

    def __len__(self) -> int:
        return len(self._clients)

    def begins(self, client: Client) -> None:
        """The first bytes of a request are here."""
        self._clients.add(client)
        self._changed()

    def ends(self, client: Client) -> None:
        """It has been taken, or never will be. May be said twice."""
        if client in self._clients:
            self._clients.remove(client)
            self._changed()

    def may_finish(self) -> bool:
        """Whether a request of which bytes are still missing may be begun once it is whole."""
        return guards.may_finish_arrival(self._runtime.state, self._runtime.clock.now()) is None

    def _changed(self) -> None:
        if self._runtime.state.stopping:
            self._tell()

    def _tell(self) -> None:
        self._runtime.feed(core.Arriving(len(self._clients)))
