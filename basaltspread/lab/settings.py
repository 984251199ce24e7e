"""Settings of a small deployment, for the laboratory and the tests."""

from __future__ import annotations

from dataclasses import replace

from basaltspread import interface as api

MS = 1000
SECOND = 1_000_000


def settings(
    effect: api.Effect = api.Effect.SAFE,
    scope: api.KeyScope = api.KeyScope.ALL,
    fields: tuple[str, ...] = ("memory_share",),
    **changes: object,
) -> api.Settings:
    """Of a deployment with one class; `changes` are by the names of api.Settings."""
    base = api.Settings(
        router=0,
        routers=2,
        zone=0,
        zones=("a", "b"),
        kinds=(api.WorkerKind("r", api.Role.READER, 100_000), api.WorkerKind("w", api.Role.WRITER, 100_000)),
        classes=(
            api.RequestClass("c", effect, scope, 5 * SECOND, SECOND, 0, 5 * SECOND, 60 * MS, 1.0, 0.2, True),
        ),
        tenants=(),
        over_share_worth=0.1,
        limits=api.Limits(5, True, False, False, True, SECOND, 250 * MS),
        rules=api.RuleFigures(16 * MS, SECOND, 2.5, SECOND, 0.25, 13 * SECOND, 500 * MS, 10 * SECOND),
        places_ahead=True,
        resumable=False,
        writers_read=False,
        list_must_be_asked=False,
        weights_mean_size=False,
        report_fields=fields,
        tick=4 * MS,
    )
    return replace(base, **changes)  # type: ignore[arg-type]
