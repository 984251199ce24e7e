"""How the log is written: plain lines, lines with fields for a terminal, or JSON lines.

It owns the form alone; what is said stands where it is said, and docs/ONCALL.md has every text. It must never
be needed by the platform's `run` line, whose plain lines take nothing but the standard library.
"""

from __future__ import annotations

import logging
import sys


def set_up(form: str) -> None:
    """`form` is plain, console or json; the last two need structlog."""
    handler = logging.StreamHandler(sys.stderr)
    if form == "plain":
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    else:
        import structlog

        shared: list[structlog.typing.Processor] = [
            structlog.stdlib.add_log_level,
            structlog.stdlib.ExtraAdder(allow=("request", "call", "server", "fault")),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
        ]
        last: structlog.typing.Processor = structlog.processors.JSONRenderer()
        if form == "console":
            last = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
        handler.setFormatter(structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last],
        ))  # fmt: skip
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
