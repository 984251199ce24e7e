"""The command line: one command `basaltspread`, a module for each group. It parses, calls and prints; it
holds no logic, and what a command needs is imported when it is called.

Exit codes: 0 all is well; 1 faults were found (in a file, in a case); 2 the command was used wrongly or could
not begin.
"""

from __future__ import annotations

import importlib

import click

from basaltspread import __version__

# Each command's module and name, loaded when it is asked for: `run` has no use for the conformance suite.
COMMANDS = {
    "run": ("gateway", "run"),
    "sidecar": ("gateway", "sidecar"),
    "config": ("config", "config"),
    "conformance": ("conformance", "conformance"),
    "ask": ("ask", "ask"),
}


class _Lazy(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name]
        found: click.Command = getattr(importlib.import_module(f"basaltspread.cli.{module}"), name)
        return found


@click.group(cls=_Lazy, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """A gateway for language-model services with readers and writers, and a sidecar for tool calls."""
