"""What a router has learnt, as plain values, for the process that takes over from it.

It owns the form of a snapshot and its check. Times in it are spans up to the moment that it was taken, as
another process has another clock. A snapshot of another version, or a malformed one, is refused as a whole:
nothing is changed then. It must never decide anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from basaltspread.control.held_prefixes import HeldPrefixes
from basaltspread.control.load_view import Worker
from basaltspread.control.request_sizes import RequestSizes
from basaltspread.interface import Role
from basaltspread.structures.averages import Rate, Usual
from basaltspread.structures.prefixes import PrefixTable, Runs

VERSION = 3
SAME_START = 2_000_000  # us by which the ages of one start may differ, as a snapshot takes time to arrive
MOST_TEXTS = 5000  # texts and sessions that are handed on


class BadSnapshot(ValueError):
    """A snapshot of another version, or none at all."""


class CapacityFigures(Protocol):
    """What is known of warm workers and of requests' sizes."""

    completed_rate: dict[Role, Rate]
    sizes: RequestSizes
    token_time: float


class Estimates(Protocol):
    """What a router has learnt."""

    fleet: dict[str, Worker]
    held: HeldPrefixes
    near_time: float
    latency: float
    first_at: int
    first_rates: list[Rate]
    read_time: Usual
    first_time: Usual

    @property
    def estimates(self) -> CapacityFigures: ...


def _rates(estimates: Estimates) -> list[Rate]:
    return [*estimates.estimates.completed_rate.values(), *estimates.first_rates]


def _usual_times(estimates: Estimates) -> list[Usual]:
    sizes = estimates.estimates.sizes
    return [estimates.read_time, estimates.first_time, sizes.any_answer_time, *sizes.answer_time]


@dataclass(frozen=True)
class _Health:
    """What was known of one start of a worker."""

    age: int | None  # since its start; None: long ago
    void_for: int
    rest_left: int
    strikes: int


@dataclass(frozen=True)
class _Snapshot:
    rates: list[tuple[float, int]]  # value and for how long it has been counted, -1: not yet
    usuals: list[tuple[int, float, float]]  # count, time, size
    prompts: list[int]
    times: tuple[float, float, float]
    workers: dict[str, _Health]
    table: list[tuple[str, Runs]]  # with ages in place of times


def take(estimates: Estimates, now: int) -> dict[str, Any]:
    """A snapshot that JSON can hold."""
    workers = [
        (w.name, now - w.started if w.started else None, now - w.void_before, w.rest_until - now, w.strikes)
        for w in estimates.fleet.values()
    ]
    table = [
        (key, [(name, (run, now - at)) for name, (run, at) in runs.items()])
        for key, runs in estimates.held.table.newest(MOST_TEXTS)
    ]
    return {
        "version": VERSION,
        "rates": [(rate.at(now), now - rate.since if rate.since >= 0 else -1) for rate in _rates(estimates)],
        "usuals": [(usual.count, usual.time, usual.size) for usual in _usual_times(estimates)],
        "prompts": list(estimates.estimates.sizes.prompts),
        "times": (estimates.estimates.token_time, estimates.near_time, estimates.latency),
        "workers": workers,
        "table": table,
    }


def restore(estimates: Estimates, now: int, told: Mapping[str, Any]) -> None:
    """Start from a snapshot. Raises BadSnapshot, and has then changed nothing."""
    try:
        snapshot = _read(told)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise BadSnapshot(f"malformed: {error!r}") from error
    rates, usuals = _rates(estimates), _usual_times(estimates)
    if (len(snapshot.rates), len(snapshot.usuals)) != (len(rates), len(usuals)):
        raise BadSnapshot("made under other settings")
    for rate, (value, counted_for) in zip(rates, snapshot.rates, strict=True):
        rate.value, rate.when, rate.since = value, now, now - counted_for if counted_for >= 0 else -1
    for usual, (count, time, size) in zip(usuals, snapshot.usuals, strict=True):
        usual.count, usual.time, usual.size = count, time, size
    estimates.estimates.sizes.prompts.extend(snapshot.prompts)
    estimates.estimates.token_time, estimates.near_time, estimates.latency = snapshot.times
    estimates.first_at = now
    for worker in estimates.fleet.values():
        known = snapshot.workers.get(worker.name)
        if known is not None and _same_start(known, worker, now):
            worker.void_before, worker.rest_until = now - known.void_for, now + known.rest_left
            worker.strikes = known.strikes
    table = [(key, {n: (run, now - age) for n, (run, age) in runs.items()}) for key, runs in snapshot.table]
    estimates.held.table = PrefixTable(estimates.held.table.most, table)


def _same_start(known: _Health, worker: Worker, now: int) -> bool:
    if known.age is None or not worker.started:
        return known.age is None and not worker.started
    return abs(now - worker.started - known.age) <= SAME_START


def _read(told: Mapping[str, Any]) -> _Snapshot:
    if told["version"] != VERSION:
        raise ValueError(f"version {told['version']!r}, not {VERSION}")
    token, near, latency = (float(time) for time in told["times"])
    return _Snapshot(
        rates=[(float(value), int(counted_for)) for value, counted_for in told["rates"]],
        usuals=[(int(count), float(time), float(size)) for count, time, size in told["usuals"]],
        prompts=[max(1, int(tokens)) for tokens in told["prompts"]],
        times=(token, near, latency),
        workers={
            str(name): _Health(None if age is None else int(age), int(void), int(rest), int(strikes))
            for name, age, void, rest, strikes in told["workers"]
        },
        table=[
            (str(k), {str(n): (int(run), int(age)) for n, (run, age) in runs}) for k, runs in told["table"]
        ],
    )
