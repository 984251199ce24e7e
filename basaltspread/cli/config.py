"""`basaltspread config write` and `basaltspread config check`."""

from __future__ import annotations

import argparse
import json
import sys

import click


@click.group()
def config() -> None:
    """Write or check a sidecar's file."""


@config.command()
@click.option("--application", required=True, help="Its name, also in the registry.")
@click.option("--listen", default="127.0.0.1:8080", show_default=True, help="Where its clients connect.")
@click.option("--management", default="127.0.0.1:9800", show_default=True, help="Where operators call.")
@click.option("--registry", default="127.0.0.1:8761", show_default=True, help="Eureka's address.")
@click.option("--engines", default="MODEL-ENGINES", show_default=True, help="The engines' application there.")
@click.option("--tools", default="127.0.0.1:9000", show_default=True, help="The tool server's address.")
@click.option("--tool", multiple=True, metavar="NAME=EFFECT", help="A tool, safe or unsafe; may come again.")
@click.option(
    "--class", "request_class", multiple=True, metavar="NAME=EFFECT", help="A class; may come again."
)
def write(**options: object) -> None:
    """Print a file for one application."""
    from basaltspread.config import EXIT_USAGE, ConfigError, write_sidecar

    try:
        click.echo(write_sidecar(argparse.Namespace(**options)), nl=False)
    except ConfigError as error:
        click.echo(f"basaltspread config: {error}", err=True)
        sys.exit(EXIT_USAGE)


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print faults as one JSON array.")
def check(files: tuple[str, ...], as_json: bool) -> None:
    """Say what is wrong with FILES, and what to write instead."""
    from basaltspread import config as configuration

    found = [(file, fault) for file in files for fault in configuration.check(file)]
    if as_json:
        rows = [{"file": f, "key": e.key, "fault": e.fault, "remedy": e.remedy} for f, e in found]
        click.echo(json.dumps(rows, indent=2))
    else:
        for file, fault in found:
            click.echo(f"{file}: {fault}", err=True)
        for file in files:
            if all(file != other for other, _ in found):
                click.echo(f"{file}: ok")
    sys.exit(configuration.EXIT_FAULTS if found else 0)
