"""One bounded soak, judged by the rules whose verdict does not hang on how busy the machine is."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from soak.judge import TIMELESS
from soak.thin_fleet import Plan, ThinFleet
from tests.standins import ROOT

SHAPES = {
    "few engines, any trouble": ("--seed", "17", "--processes", "6", "--seconds", "8"),
    "hundreds of engines, silent roles, signals, throttled processes": (
        "--seed", "402", "--processes", "3", "--seconds", "8", "--clients", "6", "--engines", "400",
        "--troubles", "engine:role_silent,gateway:signals,gateway:throttled",
    ),
    "engines that hang by the role and wake up": (
        "--seed", "505", "--processes", "4", "--seconds", "8", "--clients", "8",
        "--troubles", "engine:many_hang,engine:hang,gateway:signals,clients:crowd",
    ),
    "clients that cost memory, streams that end early, less memory": (
        "--seed", "9001", "--processes", "4", "--seconds", "8",
        "--troubles", "clients:pressure,engine:ends_early",
    ),
}  # fmt: skip


@pytest.mark.parametrize("shape", SHAPES.values(), ids=list(SHAPES))
def test_a_bounded_soak_breaks_none_of_its_rules(shape: tuple[str, ...], tmp_path: Path) -> None:
    report = tmp_path / "soak.json"
    command = [sys.executable, "-m", "soak", *shape, "--json", str(report)]
    ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert ran.returncode in (0, 1), ran.stderr
    (result,) = json.loads(report.read_text())
    assert result["statuses"].get("200", 0) > 0, ran.stdout
    assert not TIMELESS.intersection(result["violations"]), ran.stdout


def test_thin_gateways_of_real_processes_use_engines_that_start_cold() -> None:
    """Some gateways with little traffic each, most killed as most engines start anew. What is served of that
    hangs on the machine; that cold engines are used does not."""
    plan = Plan(seed=5, gateways=12, engines=8, rate=24.0, load=0.5, seconds=9.0)
    played = asyncio.run(ThinFleet(plan).play())
    assert played["requests"] > 0
    assert played["cold_reads"] > 0
    assert played["cold_writes"] > 0
