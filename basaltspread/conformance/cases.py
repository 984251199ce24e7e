"""What a case is, and the table of all of them.

A case has a name, the clause that it checks, what it needs of the configuration, and a coroutine that raises
if the clause does not hold. It must never pass because nothing happened: each ends in a check of what a peer
saw or a client got.
"""

from __future__ import annotations

import importlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from basaltspread.conformance.world import Needs, Stage

Run = Callable[[Stage], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Case:
    name: str
    clause: str
    run: Run
    needs: Needs = field(default_factory=Needs)
    alone: bool = False  # ends, reloads or upgrades its gateway: it gets one of its own


CASES: dict[str, Case] = {}


def add(name: str, clause: str, run: Run, needs: Needs | None = None, alone: bool = False) -> None:
    """Raises ValueError if a case with this name is there already."""
    if name in CASES:
        raise ValueError(f"{name} is there already")
    CASES[name] = Case(name, clause, run, needs or Needs(), alone)


def case(name: str, clause: str, needs: Needs | None = None, alone: bool = False) -> Callable[[Run], Run]:
    def keep(run: Run) -> Run:
        add(name, clause, run, needs, alone)
        return run

    return keep


def load() -> dict[str, Case]:
    """All cases, in the order of their files."""
    for part in ("messages", "replies", "calls", "recovery"):
        importlib.import_module(f"basaltspread.conformance.cases_{part}")
    return CASES
