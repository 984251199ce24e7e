"""Judges whether an engine in slow start was overloaded, from the log of all that arrived at it.

The rule, as the operators' pages state it: a cold engine falls when more than N + 2 * sqrt(N) + 2 requests of
mean work arrive within any window of the length that the settings name, N being what the settings allow it
then. Rejected work counts. The rule is broken when over two thirds of that work came from gateways that had
been told of the start. The judge reads logs alone; it never looks into a gateway.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import sqrt

SMALL_ALLOWANCE = 30.0  # N under which the page allows for more chance,
ROOTS_OF_SMALL = 3  # so many roots of N, and requests
TOLD_SHARE = 2 / 3  # share of the work in the window above which the rule is broken


@dataclass(frozen=True)
class EngineArrival:
    """One request as it reached an engine, whether or not the engine accepted it."""

    at: int  # microseconds
    work: float  # in requests of mean work
    told: bool  # whether the sender had been told of this start of the engine
    request: str = ""
    gateway: int = 0


@dataclass(frozen=True)
class Window:
    """All that arrived in one window, and what the engine could take in it."""

    start: int
    work: float
    told_work: float
    allowed: float  # N, in requests of mean work
    arrivals: tuple[EngineArrival, ...]

    @property
    def limit(self) -> float:
        """Work above which the engine falls."""
        return overload_limit(self.allowed)

    @property
    def fills(self) -> float:
        """Share of the limit that was used."""
        return self.work / self.limit

    @property
    def breaks_rule(self) -> bool:
        return self.work > self.limit and self.told_work > TOLD_SHARE * self.work

    @property
    def breaches_page(self) -> bool:
        return self.work > page_limit(self.allowed) and self.told_work > TOLD_SHARE * self.work


def overload_limit(allowed: float) -> float:
    """What an engine survives in a window in which the settings allow it `allowed` mean requests, as this
    project has it: more is a warning."""
    return allowed + 2 * sqrt(allowed) + 2


def page_limit(allowed: float) -> float:
    """The same as the operators' page has it: more is a breach."""
    roots = ROOTS_OF_SMALL if allowed < SMALL_ALLOWANCE else 2
    return allowed + roots * sqrt(allowed) + roots


def windows(
    arrivals: Sequence[EngineArrival], allowed_at: Callable[[int], float], length: int
) -> list[Window]:
    """Every window that begins with an arrival: any other holds no more than one of these.

    N is taken at the window's start, where a warming engine can do least.
    """
    ordered = sorted(arrivals, key=lambda arrival: arrival.at)
    found: list[Window] = []
    end = 0
    for first, opening in enumerate(ordered):
        while end < len(ordered) and ordered[end].at < opening.at + length:
            end += 1
        inside = tuple(ordered[first:end])
        work = sum(arrival.work for arrival in inside)
        told_work = sum(arrival.work for arrival in inside if arrival.told)
        found.append(Window(opening.at, work, told_work, allowed_at(opening.at), inside))
    return found


def worst_breach(
    arrivals: Sequence[EngineArrival], allowed_at: Callable[[int], float], length: int
) -> Window | None:
    """The fullest window that breaks the rule, if one does."""
    broken = [window for window in windows(arrivals, allowed_at, length) if window.breaks_rule]
    return max(broken, key=lambda window: window.fills, default=None)
