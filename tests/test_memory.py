"""The ledger of memory adds up whatever happens, and makes room for those who hold little."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basaltspread.control.memory import (
    LEAST_PART,
    SHARES,
    SMALLEST_PIECE,
    STALLED_AFTER,
    TIGHT_ABOVE,
    Account,
    Level,
    MemoryClass,
    MemoryLedger,
    capacity_for,
)
from basaltspread.net.bodies import PIECE_SIZE, Body
from basaltspread.net.clients import Client
from basaltspread.net.memory_guard import MemoryGuard
from basaltspread.net.partial_events import PartialEvents
from soak.pressure import PressureKind
from soak.pressure_play import PressurePlan, play
from tests.pressure_mutants import MUTANTS

MB = 1024 * 1024
CLASSES = list(MemoryClass)
STEPS = st.lists(
    st.tuples(st.integers(0, 6), st.integers(0, 5), st.sampled_from(CLASSES), st.integers(0, 300_000)),
    max_size=80,
)  # fmt: skip


def apply(ledger: MemoryLedger, step: int, account: Account, cls: MemoryClass, size: int, now: float) -> None:
    if step == 0:
        ledger.charge(account, cls, size, now)
    elif step == 1:
        ledger.force(account, cls, size, now)
    elif step == 2:
        ledger.credit(account, cls, size)
    elif step == 3:
        ledger.hold(account, cls, size, now)
    elif step == 4:
        ledger.keep(account, cls, size, now)
    elif step == 5:
        ledger.arriving(account, size % 2 == 0)
    else:
        ledger.close(account)


@given(STEPS)
def test_what_is_charged_adds_up_after_any_steps(steps: list[tuple[int, int, MemoryClass, int]]) -> None:
    ledger = MemoryLedger(MB)
    accounts = [ledger.open(number) for number in range(6)]
    for now, (step, number, cls, size) in enumerate(steps):
        apply(ledger, step, accounts[number], cls, size, float(now))
        assert list(ledger.breaches()) == []
    for account in accounts:
        ledger.close(account)
    assert (ledger.used, sum(ledger.by_class.values()), list(ledger.breaches())) == (0, 0, [])


@given(STEPS)
def test_no_class_is_charged_past_its_share(steps: list[tuple[int, int, MemoryClass, int]]) -> None:
    ledger = MemoryLedger(MB)
    account = ledger.open("a")
    for _, _, cls, size in steps:
        before = ledger.used
        granted = ledger.charge(account, cls, size, 0.0)
        assert granted == (before + size <= MB * SHARES[cls])
        assert ledger.used == before + (size if granted else 0)


def test_a_ledger_that_was_full_opens_again_and_reads_small_pieces_meanwhile() -> None:
    ledger = MemoryLedger(64 * MB)
    account = ledger.open("a")
    ample = ledger.piece()
    ledger.force(account, MemoryClass.BODY, int(64 * MB * TIGHT_ABOVE) + 1, 0.0)
    assert (ledger.level, ledger.piece()) == (Level.TIGHT, SMALLEST_PIECE)
    ledger.credit(account, MemoryClass.BODY)
    assert (ledger.level, ledger.piece()) == (Level.AMPLE, ample)


def arrivals(*sizes: int) -> tuple[MemoryLedger, list[Account]]:
    """Requests that arrive, the first one last moved."""
    ledger = MemoryLedger(MB)
    accounts = [ledger.open(size) for size in sizes]
    for account, size in reversed(list(zip(accounts, sizes, strict=True))):
        ledger.arriving(account, True)
        ledger.force(account, MemoryClass.BODY, size, 0.0)
    return ledger, accounts


def test_the_largest_that_has_stalled_makes_room_and_nobody_does_before() -> None:
    ledger, (asking, large, small) = arrivals(1_000, 200_000, 50_000)
    assert ledger.stalled(asking, STALLED_AFTER / 2) is None
    assert ledger.stalled(asking, STALLED_AFTER) is large
    ledger.close(large)
    assert ledger.stalled(asking, STALLED_AFTER) is small
    assert ledger.stalled(small, STALLED_AFTER) is asking


def test_one_that_moves_makes_room_only_for_who_holds_far_less() -> None:
    ledger, (small, large) = arrivals(1_000, 200_000)
    assert (ledger.larger(small), ledger.larger(large)) == (large, None)


def test_hundreds_of_large_requests_do_not_keep_a_usual_one_out() -> None:
    ledger, accounts = arrivals(*[200_000] * 200)
    usual = ledger.open("usual")
    ledger.force(usual, MemoryClass.BODY, LEAST_PART, 0.0)
    assert ledger.may_displace(usual)
    assert not ledger.may_displace(accounts[0])


@pytest.mark.parametrize("limit", [32, 48, 64, 192])
def test_what_is_left_for_peers_grows_with_the_limit_and_never_passes_it(limit: int) -> None:
    assert 0 < capacity_for(limit * MB, 22 * MB) < (limit - 22) * MB
    assert capacity_for(limit * MB, limit * MB) == 0


@given(st.lists(st.binary(max_size=3 * PIECE_SIZE), max_size=6))
def test_a_body_is_the_same_in_pieces(parts: list[bytes]) -> None:
    body = Body()
    for part in parts:
        body.append(part)
    pieces = body.pieces()
    assert (b"".join(pieces), body.size) == (b"".join(parts), len(b"".join(parts)))
    assert all(len(piece) == PIECE_SIZE for piece in pieces[:-1])


@pytest.mark.parametrize(
    ("kinds", "memory_mb"),
    [
        ((PressureKind.STOPPED_BODY,), 64),
        ((PressureKind.MANY_FIELDS,), 64),
        ((PressureKind.SLOW_READER,), 64),
        ((PressureKind.STOPPED_BODY, PressureKind.MANY_FIELDS, PressureKind.SLOW_READER), 32),
    ],
    ids=["stopped in a body", "thousands of fields", "slow readers", "all, with the least memory"],
)
def test_clients_that_stop_or_are_slow_made_the_process_pass_its_memory_limit(
    kinds: tuple[PressureKind, ...], memory_mb: int
) -> None:
    """Hundreds of them at once; the system's own high-water mark is held to the limit."""
    result = asyncio.run(play(PressurePlan(kinds, 480, memory_mb, 1024, 4.0)))
    assert result.end is None
    assert result.peak_kb <= memory_mb * 1024
    assert {status for status, _ in result.honest} & {200, 503}, result.honest
    assert result.counters.get("invariant_memory", 0) == 0


class FullMemory:
    """A guard that never has room."""

    def has_room_for_event(self) -> bool:
        return False

    def relieves(self, asking: object) -> bool:
        return False

    async def freed(self, cls: MemoryClass, most: float) -> None:
        await asyncio.sleep(0)

    def adjust(self, client: object, cls: MemoryClass, more: int, now: float) -> None:
        pass

    def wake(self, cls: MemoryClass, count: int) -> None:
        pass


def test_answers_with_half_an_event_waited_for_each_other() -> None:
    """Without room, one reads on at a time: to its event's end, and then the next."""

    async def two_answers() -> bool:
        partial_events = PartialEvents(cast(MemoryGuard, FullMemory()))
        first, second = (partial_events.of(cast(Client, object())) for _ in range(2))
        await first.hold(1_000)
        waiting = asyncio.create_task(second.hold(1_000))
        await asyncio.sleep(0)
        await first.hold(2_000)
        read_on_together = waiting.done()
        await first.hold(0)
        async with asyncio.timeout(10.0):
            await waiting
        return read_on_together

    assert not asyncio.run(two_answers())


def test_each_mutant_fits_the_code() -> None:
    assert [mutant.name for mutant in MUTANTS if not mutant.fits()] == []
