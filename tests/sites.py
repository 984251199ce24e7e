"""The deployments in deploy/sites as a gateway's settings, in the platform's form."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from tests.standins import ROOT

SITES = sorted((ROOT / "deploy" / "sites").glob("*/site.toml"))
MS = 1000


def settings_of(path: Path) -> dict[str, Any]:
    """In the words of the wire file beside it: the names that a site may choose are read from there."""
    site = tomllib.loads(path.read_text())
    wire = json.loads((path.parent / "wire.json").read_text())
    words = wire["init"]["rename"]
    classes, fams = site["class"], site["fam"]["class"]

    def word(name: str) -> str:
        return str(words.get(name, name))

    return {
        word("zones"): site["net"]["zones"], "balancers": 1, "me": 0, "zone": 0,
        word("discovery"): site["discovery"]["mode"], word("tick"): site["day"]["tick_ms"] * MS,
        word("kinds"): [kind["name"] for kind in site["tier"][0]["kind"]],
        "weights": site["tier"][0]["weights"], "over_share_worth": site["load"]["over_share_worth"],
        "classes": [
            {"name": c["name"], "effect": c["effect"], word("group"): c.get("group", "all"),
             word("aim"): c["aim_ms"] * MS, "deadline": c["deadline_ms"] * MS, word("worth"): c["worth"],
             word("late_worth"): c["late_worth"], word("stream"): c["stream"],
             "window": c.get("window_ms", 5000) * MS}
            for c in classes
        ],
        word("tenants"): [
            {"name": t["name"], "share": t["share"], word("quota_per_s"): 100.0 * t["share"]}
            for t in site["tenant"]
        ],
        "limits": {
            "max_attempts": site["allow"]["max_attempts"], "cancel": site["allow"]["cancel"],
            "probes": site["allow"]["probes"], word("second_copies"): site["allow"]["second_copies"],
            "retry_after": site["allow"]["retry_after"],
            "max_retry_after": site["clients"]["max_retry_after_ms"] * MS,
            "connect_timeout": site["tier"][0]["conn"]["connect_timeout_ms"] * MS,
            word("conn_idle"): site["tier"][0]["conn"]["idle_s"] * 1000 * MS,
        },
        "rules": {
            "answer_slack": 8 * MS, word("fall_multiple"): site["rules"]["fall_multiple"],
            "fall": site["rules"]["fall_ms"] * MS, word("drain_grace"): site["rules"]["drain_grace_ms"] * MS,
            word("cold_from"): 0.26, word("cold"): 14_000 * MS,
        },
        word("family_info"): {
            word("kind_role"): site["fam"]["role"], word("ahead"): site["fam"]["ahead"],
            "release": site["fam"]["release_ms"] * MS, "resume": site["fam"]["resume"],
            "writers_read": site["fam"]["writers_read"],
            "token_aim": [f["token_ms"] * 1000.0 for f in fams],
            "aim_us_per_1000_prompt_tokens": [f["aim_ms_per_k"] * 1000.0 for f in fams],
        },
    }  # fmt: skip
