"""How much of one turn of the event loop a connection may use before others get theirs."""

from __future__ import annotations

import asyncio

PARSED_AT_ONCE = 32  # events of the HTTP parser: about a millisecond


class TurnBudget:
    """What one connection may do before it gives way. Whoever waits for bytes gives way without it."""

    __slots__ = ("_left", "cut_short")

    def __init__(self) -> None:
        self._left = PARSED_AT_ONCE
        self.cut_short = 0  # turns that ended with work left

    async def spend(self, units: int = 1) -> None:
        """One more step is done; at the end of the budget, all that is due elsewhere goes first."""
        self._left -= units
        if self._left <= 0:
            self._left = PARSED_AT_ONCE
            self.cut_short += 1
            await asyncio.sleep(0)

    async def give_way(self) -> None:
        """A whole request is done: the next one's turn comes after the others'."""
        await self.spend(self._left)
