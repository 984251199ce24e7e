"""How a benchmark shows what it measured: a table for people, `--json FILE` for machines."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any


def show(title: str, rows: Sequence[dict[str, Any]]) -> None:
    """The columns are those of the first row."""
    print(f"\n{title}")
    if not rows:
        return
    names = list(rows[0])
    cells = [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(name), *(len(row[i]) for row in cells)) for i, name in enumerate(names)]
    print("  ".join(name.ljust(width) for name, width in zip(names, widths, strict=True)))
    for row in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)))


def _cell(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def keep(path: str | None, results: dict[str, Any]) -> None:
    if path:
        Path(path).write_text(json.dumps(results, indent=2) + "\n", "utf-8")
