"""An asyncio event loop in virtual time: it never waits, and its clock moves by what is waited for or by what
a test says that work costs. The same run gives the same result on any machine."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _NoWait(selectors.SelectSelector):
    """Nothing is ever ready; a wait moves the clock."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        self.loop.passed += max(0.0, timeout or 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """`passed` is the time since its start in seconds; whoever does work adds what that takes."""

    def __init__(self) -> None:
        self.passed = 0.0
        selector = _NoWait()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.passed

    def now_us(self) -> int:
        return round(self.passed * 1_000_000)


def run(loop: VirtualLoop, work: Coroutine[Any, Any, None]) -> None:
    """Runs it to its end."""
    try:
        loop.run_until_complete(work)
    finally:
        loop.close()
