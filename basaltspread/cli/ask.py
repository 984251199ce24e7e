"""`basaltspread ask`."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Sequence

    from basaltspread.client import Answer, ClientError, Gateway, Policy
    from basaltspread.client.aio import Attempt

EXIT_FAILED, EXIT_USAGE, EXIT_UNKNOWN = 1, 2, 3


@click.command()
@click.argument("prompt")
@click.option("--gateway", "gateways", multiple=True, metavar="HOST:PORT", help="May come again.")
@click.option(
    "--gateways-file", type=click.Path(exists=True, dir_okay=False), help="One HOST:PORT [ZONE] a line."
)
@click.option("--settings", type=click.Path(exists=True, dir_okay=False), help="A file with [client].")
@click.option("--class", "request_class", default="ask", show_default=True, help="The request's class.")
@click.option("--unsafe", is_flag=True, help="It must not run twice: an order.")
@click.option("--account", default="", help="The tenant.")
@click.option("--session", default="", help="The conversation.")
@click.option("--timeout", default=8.0, show_default=True, help="Seconds to the first token, over all tries.")
@click.option("--explain", is_flag=True, help="Say what happened: tries, gateways, waits.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object at the end, and nothing else.")
def ask(
    prompt: str, gateways: tuple[str, ...], gateways_file: str | None, settings: str | None,
    as_json: bool, explain: bool, **options: Any,
) -> None:  # fmt: skip
    """Send PROMPT to a gateway and show the answer as it comes.

    Exits with 1 if there was no answer, with 2 if the words are wrong, and with 3 if an unsafe request may
    have run all the same.
    """
    from basaltspread.client import Policy
    from basaltspread.client.discovery import from_text

    policy = Policy()
    if settings is not None:
        from basaltspread.config import load_client

        told, faults = load_client(settings)
        for fault in faults:
            click.echo(f"{settings}: {fault}", err=True)
        if told is None:
            sys.exit(EXIT_USAGE)
        policy = told.policy
        gateways = gateways or tuple(f"{g.address} {g.zone}" for g in told.gateways)
        options["account"] = options["account"] or told.account
    try:
        text = "\n".join(gateways)
        if gateways_file is not None:
            with open(gateways_file, encoding="utf-8") as file:
                text += "\n" + file.read()
        listed = from_text(text)
    except (OSError, ValueError) as error:
        click.echo(f"basaltspread ask: gateways: {error}", err=True)
        sys.exit(EXIT_USAGE)
    sys.exit(asyncio.run(_ask(prompt, listed, policy, as_json, explain, options)))


async def _ask(
    prompt: str, gateways: Sequence[Gateway], policy: Policy, as_json: bool, explain: bool,
    options: dict[str, Any],
) -> int:  # fmt: skip
    from basaltspread import client as library

    account = options.pop("account")
    answer: Answer | None = None
    parts: list[str] = []
    error: ClientError | None = None
    async with library.Client(gateways, policy, account=account) as client:
        try:
            answer = await client.ask([{"role": "user", "content": prompt}], **options)
            async for part in answer:
                parts.append(part)
                if not as_json:
                    click.echo(part, nl=False)
        except library.ClientError as found:
            error = found
    if parts and not as_json:
        click.echo()
    attempts: Sequence[Attempt] = answer.attempts if answer is not None else ()
    if error is not None:
        attempts = error.attempts or attempts
    if as_json:
        click.echo(json.dumps(_report("".join(parts), attempts, error)))
    else:
        if error is not None:
            click.echo(f"{type(error).__name__}: {error.why}", err=True)
            click.echo(f"correlation ids: {' '.join(error.ids) or 'none; nothing was sent'}", err=True)
        if explain:
            _explain(attempts, error)
    if error is None:
        return 0
    return EXIT_UNKNOWN if isinstance(error, library.OutcomeUnknown) else EXIT_FAILED


def _report(text: str, attempts: Sequence[Attempt], error: ClientError | None) -> dict[str, Any]:
    return {
        "text": text,
        "error": None if error is None else {
            "kind": type(error).__name__, "why": error.why, "ids": error.ids,
            "retry_after": getattr(error, "retry_after", None),
        },
        "tries": [
            {"gateway": a.gateway, "correlation": a.correlation, "repeat": a.repeat,
             "began": round(a.began, 4), "ended": round(a.ended, 4), "how": a.how}
            for a in attempts
        ],
    }  # fmt: skip


def _explain(attempts: Sequence[Attempt], error: ClientError | None) -> None:
    for number, a in enumerate(attempts, 1):
        mark = {"": "", "1": ", marked as a repeat", "again": ", for the rest of the answer"}[a.repeat]
        when = f"from {a.began:.3f} to {a.ended:.3f} s"
        click.echo(f"try {number}: {a.gateway} {when}{mark}: {a.how} [{a.correlation}]", err=True)
    advice = getattr(error, "retry_after", None)
    if advice:
        click.echo(f"advice: come back in {advice:.1f} s", err=True)
