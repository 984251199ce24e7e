"""`basaltspread run` and `basaltspread sidecar`."""

from __future__ import annotations

import sys

import click

LOG = click.option(
    "--log", type=click.Choice(["plain", "console", "json"]), default="plain", show_default=True,
    help="Form of the log: lines as ONCALL has them, coloured with fields, or one JSON object a line.",
)  # fmt: skip


@click.command()
@LOG
def run(log: str) -> None:
    """Run a gateway of the platform (RELAY_* variables)."""
    from basaltspread.__main__ import start

    sys.exit(start(None, log))


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@LOG
def sidecar(file: str, log: str) -> None:
    """Run the sidecar that an operator's FILE describes."""
    from basaltspread.__main__ import start

    sys.exit(start(file, log))
