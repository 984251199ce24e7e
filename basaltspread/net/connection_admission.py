"""Whether a client's new connection is served: by descriptors, then by memory.

It closes what is idle to make room, and says which new connection is refused. It must never read from a
connection, nor word an answer.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from typing import TYPE_CHECKING

from basaltspread.net.client_table import ClientTable, CloseReason
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.memory_guard import MemoryGuard
from basaltspread.net.runtime import Runtime

if TYPE_CHECKING:
    from basaltspread.net.clients import Client

log = logging.getLogger("basaltspread")
CLIENT_SHARE = 0.6  # of the descriptors, for clients; a request has one here and at most two at engines
MOST_REFUSED = 16  # connections past the budget that are refused in words; more are closed


class ConnectionAdmission:
    """Asks the budget of descriptors and the ledger of memory for each new connection."""

    def __init__(self, runtime: Runtime, table: ClientTable, memory: MemoryGuard) -> None:
        self._runtime, self._table, self._memory = runtime, table, memory
        self._refused = 0  # connections that are open and refused in words
        self._full_lines = LineLimit()

    def admits(self, client: Client) -> bool:
        """Whether it is served. If not, it is to be refused in words, as an accepted connection may carry a
        request already; where too many are, it has been closed."""
        if not self._has_descriptor(client):
            self._runtime.count("clients_over_budget")
            if self._is_past_refusals():
                client.abort(CloseReason.NO_ROOM)
            return False
        if not self._memory.admits(client):
            self._runtime.count("clients_over_memory")
            if self._refused >= MOST_REFUSED:
                client.abort(CloseReason.NO_MEMORY)
            return False
        return True

    @contextlib.contextmanager
    def counted(self, client: Client) -> Iterator[None]:
        """While it is open; one that is refused counts against those that may be."""
        refused = client.refused
        self._refused += refused
        try:
            yield
        finally:
            self._refused -= refused

    def _has_descriptor(self, client: Client) -> bool:
        """Whether one more connection fits. Engines need descriptors too, or each request taken would fail:
        where clients hold their share, an idle client goes; where links hold the rest, an idle link."""
        budget = self._runtime.descriptors
        most = budget.common * CLIENT_SHARE
        if len(self._table) >= most:
            self._say_full("clients fill %d descriptors", int(most))
            return self._memory.frees_descriptor(client)
        if not budget.is_full():
            return True
        self._say_full("clients and engines fill %d descriptors", budget.used)
        return self._runtime.pool.shed() or self._memory.frees_descriptor(client)

    def _say_full(self, what: str, count: int) -> None:
        if self._full_lines.due():
            log.warning(f"{what}: idle ones make room, or a new client is refused", count)

    def _is_past_refusals(self) -> bool:
        """Whether so many are being refused in words that more are closed at once."""
        budget = self._runtime.descriptors
        over_share = len(self._table) - budget.common * CLIENT_SHARE
        return max(over_share, budget.used - budget.common) >= MOST_REFUSED
