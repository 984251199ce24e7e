"""The types that everything here is told in, and what a start imports to have them."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import field, replace

from basaltspread import interface as api
from basaltspread.records import record

# Each costs a start, and with it a restart under load, some milliseconds; none serves a platform gateway.
LEFT_OUT = {"click", "hdrh", "hypothesis", "structlog", "tempfile", "tomllib", "urllib.request"}


@record
class Spot:
    name: str
    at: tuple[int, ...] = ()
    more: dict[str, int] = field(default_factory=dict)


@record
class Twin:
    name: str
    at: tuple[int, ...] = ()
    more: dict[str, int] = field(default_factory=dict)


def test_records_are_equal_by_value_and_type() -> None:
    assert Spot("a", (1,)) == Spot("a", at=(1,))
    assert Spot("a") != Spot("b")
    other: object = Twin("a")
    assert Spot("a") != other
    assert Spot("a").more is not Spot("a").more
    assert replace(Spot("a"), at=(2,)) == Spot("a", (2,))
    assert repr(Spot("a")) == "Spot(name='a', at=(), more={})"


def test_records_stand_in_sets_and_patterns_and_have_no_room_for_more() -> None:
    listed = api.WorkerEntry("r1", api.WorkerState.UP, 0, 0, 0, 1.0, 0)
    assert {listed, replace(listed)} == {listed}
    match listed:
        case api.WorkerEntry(name, state):
            assert (name, state) == ("r1", api.WorkerState.UP)
    assert not hasattr(listed, "__dict__")


def test_a_start_imports_only_what_it_uses() -> None:
    code = "import sys, basaltspread.__main__; print(*sys.modules)"
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert LEFT_OUT.isdisjoint(ran.stdout.split())
    assert "basaltspread.rules" in ran.stdout.split()
