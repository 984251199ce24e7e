"""One bounded soak, judged by the rules whose verdict does not hang on how busy the machine is."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from soak.judge import TIMELESS
from tests.standins import ROOT

SEED, PROCESSES, SECONDS = 17, 6, 8


def test_a_bounded_soak_breaks_none_of_its_rules(tmp_path: Path) -> None:
    report = tmp_path / "soak.json"
    command = [sys.executable, "-m", "soak", "--seed", str(SEED), "--processes", str(PROCESSES)]
    command += ["--seconds", str(SECONDS), "--json", str(report)]
    ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert ran.returncode in (0, 1), ran.stderr
    (result,) = json.loads(report.read_text())
    assert result["statuses"].get("200", 0) > 0, ran.stdout
    assert not TIMELESS.intersection(result["violations"]), ran.stdout
