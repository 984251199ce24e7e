"""The README's quick start runs as printed."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_quick_start_runs() -> None:
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(code) == 1
    run = subprocess.run([sys.executable, "-c", code[0]], cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stderr
    assert "Send" in run.stdout and "HoldPlace" in run.stdout


def test_run_time_needs_the_standard_library_alone() -> None:
    code = f"import sys; sys.path.insert(0, {str(ROOT)!r}); import basaltspread.adapter; print(*sys.modules)"
    run = subprocess.run([sys.executable, "-I", "-S", "-c", code], capture_output=True, text=True, check=True)
    names = {name.split(".")[0] for name in run.stdout.split()}
    assert names <= set(sys.stdlib_module_names) | {"basaltspread", "__main__"}
