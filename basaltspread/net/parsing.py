"""The platform's wording of requests, lists and load reports, read into the core's types.

It must never do I/O, nor decide anything but that something is malformed.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from basaltspread.adapter import REPORT_NAMES
from basaltspread.config import split_address
from basaltspread.net.links import BODY_LIMIT, Headers, load_json

MOST_TOKENS = 10_000_000
SAFE_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}\Z")
# Of each of these a request holds one at most: two readers that take different ones see different requests.
SINGLE_HEADERS = frozenset((
    b"content-length", b"transfer-encoding", b"x-correlation-id", b"x-service-class", b"x-account",
    b"x-session-key", b"x-time-left-ms", b"x-facts", b"x-repeat",
))  # fmt: skip
SOCKET_REPORT_NAMES = {"inflight": "inflight", "queue": "queue", "util": "utilisation", **REPORT_NAMES}


class NoRoom(ValueError):
    """Discovery turned a call away."""


class BadRequest(Exception):
    """A request that gets its own 4xx and never reaches the core."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


def parse_report(text: str) -> dict[str, float]:
    """A load report, `TEXT name=value, ...` or JSON, in the module's names; what is odd is left out."""
    pairs: list[tuple[str, Any]]
    text = text.strip()
    if text.startswith(("JSON", "{")):
        try:
            loaded = load_json(text.removeprefix("JSON"))
        except ValueError:
            return {}
        pairs = list(loaded.items()) if isinstance(loaded, dict) else []
    else:
        parts = (part.partition("=") for part in text.removeprefix("TEXT").split(","))
        pairs = [(name.strip(), value) for name, _, value in parts]
    report: dict[str, float] = {}
    for name, value in pairs:
        try:
            figure = float(value)
        except (TypeError, ValueError):
            continue
        if name in SOCKET_REPORT_NAMES and math.isfinite(figure):
            report[SOCKET_REPORT_NAMES[name]] = figure
    return report


def parse_facts(text: str) -> dict[str, str]:
    return {k.strip(): v.strip() for k, eq, v in (part.partition("=") for part in text.split(",")) if eq}


def _count(name: str, text: str, most: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) > most:
        raise BadRequest(400, f"{name} is not a whole number in range")
    return int(text)


def check_head(headers: Headers) -> None:
    """Refuses a head that two readers may take in different ways, before a byte of the body is read."""
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise BadRequest(400, "both Content-Length and Transfer-Encoding")
    for name in SINGLE_HEADERS.intersection(names):
        if names.count(name) > 1:
            raise BadRequest(400, f"{name.decode()} is given twice")
    if int(dict(headers).get(b"content-length", b"0")) > BODY_LIMIT:
        raise BadRequest(413, f"the body is over {BODY_LIMIT} bytes")


def arrival_from(headers: Mapping[str, str], settings: api.Settings) -> api.Arrival:
    """A client's request in the module's terms; `headers` by lower-case name. Raises BadRequest."""
    rid = headers.get("x-correlation-id", "")
    if not SAFE_ID.match(rid):
        raise BadRequest(400, "X-Correlation-Id is missing or not a plain id")
    classes = {c.name: i for i, c in enumerate(settings.classes)}
    cls = classes.get(headers.get("x-service-class", ""))
    if cls is None:
        raise BadRequest(400, "X-Service-Class is missing or unknown")
    tenants = {t.name: i for i, t in enumerate(settings.tenants)}
    tenant = tenants.get(headers.get("x-account", ""), None if tenants else 0)
    if tenant is None:
        raise BadRequest(400, "X-Account is missing or unknown")
    left = settings.classes[cls].deadline
    if "x-time-left-ms" in headers:
        left = _count("X-Time-Left-Ms", headers["x-time-left-ms"], 86_400_000) * core.MS
    facts = parse_facts(headers.get("x-facts", ""))
    tokens = {
        name: _count(f"X-Facts {name}", facts.get(name, "0"), MOST_TOKENS)
        for name in ("prompt_len", "prefix_len", "max_out")
    }
    repeat = headers.get("x-repeat", "")
    return api.Arrival(
        request=rid, session=headers.get("x-session-key", ""), prefix=facts.get("prefix", ""),
        prefix_tokens=tokens["prefix_len"], prompt_tokens=tokens["prompt_len"], max_tokens=tokens["max_out"],
        request_class=cls, tenant=tenant, time_left=left, hint=0, is_retry=repeat == "1",
        is_resumed=repeat == "again",
    )  # fmt: skip


def parse_list(raw: Any, platform: api.Settings, kind: api.ListKind | None = None) -> core.ListTold:
    """Discovery's list; raises ValueError on what is not one. `startedAtMs` becomes microseconds here."""
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("not a list of instances")
    version = raw.get("generation")
    if isinstance(version, bool) or not isinstance(version, int):
        raise ValueError(f"generation {version!r} is not a whole number")
    kinds = {k.name: i for i, k in enumerate(platform.kinds)}
    zones = {z: i for i, z in enumerate(platform.zones)}
    entries = []
    for item in raw["instances"]:
        if not isinstance(item, dict) or not isinstance(item.get("instanceId"), str):
            raise ValueError("an instance without instanceId")
        state = api.WorkerState(item.get("lifecycle"))
        address = item.get("hostPort") or ""
        if state is not api.WorkerState.REMOVED:
            split_address("hostPort", address)
        try:
            entry = api.WorkerEntry(
                item["instanceId"], state, int(item.get("cell") or 0),
                zones.get(str(item.get("zone")), len(zones)),
                kinds.get(str(item.get("machineType")), len(kinds)),
                float(1.0 if item.get("weight") is None else item["weight"]),
                int(item.get("startedAtMs") or 0) * core.MS,
            )  # fmt: skip
        except (TypeError, OverflowError) as error:
            raise ValueError(f"instance {item['instanceId']!r}: {error}") from error
        entries.append(core.Listed(entry, str(address)))
    kind = kind or (api.ListKind.FULL if raw.get("reset") is True else api.ListKind.DELTA)
    return core.ListTold(kind, version, tuple(entries))
