"""Wire JSON on standard input to events, actions to wire JSON on standard output. Translates only."""

from __future__ import annotations

import base64
import binascii
import json
import sys
import traceback
from collections.abc import Callable
from functools import partial
from typing import IO, Any

from basaltspread import interface as api
from basaltspread.rules import Router

ROLES = {"read": api.Role.READER, "write": api.Role.WRITER, "both": api.Role.MIXED}
OUTCOMES = {
    "served": api.Outcome.SERVED,
    "server_error": api.Outcome.ERROR,
    "turned_away": api.Outcome.FULL,
    "no_answer": api.Outcome.TIMEOUT,
    "no_connection": api.Outcome.CONNECT_FAILED,
    "connection_lost": api.Outcome.RESET,
    "called_off": api.Outcome.CANCELLED,
    "not_sent": api.Outcome.NOT_SENT,
    "ready_to_answer": api.Outcome.READ,
}
REPORT_NAMES = {
    "rif": "inflight", "q": "queue", "busy": "utilisation", "lat_ms": "latency_ms", "rate": "rate",
    "fail_rate": "error_rate", "x0": "memory_share", "x1": "prompt_k_waiting",
}  # fmt: skip
INT, NUM, STR, BOOL, OPT_INT, OPT_STR, OBJ = "int", "num", "str", "bool", "int?", "str?", "obj?"
FIELDS: dict[str, tuple[str, ...]] = {
    "start": (INT, INT, "conf"),
    "killed": (INT,),
    "ledger": (INT, "list"),
    "endpoints": (INT, STR, OPT_INT, OPT_INT),
    "job_in": (INT, STR, "num?", OPT_INT, "num?", OPT_STR, "num?", INT, OPT_INT, INT, OPT_INT, OPT_STR),
    "headers": (INT, STR, STR, INT, INT),
    "answer_ahead": (INT, STR, INT, "num?", STR, OPT_INT),
    "closed_attempt": (INT, STR, INT, STR, STR, INT, BOOL, OPT_INT, OBJ),
    "withdrawn": (INT, STR),
    "wakeup": (INT, INT),
    "checked": (INT, STR, STR, INT, OBJ),
    "memo": (INT, INT, STR),
}


class BadLine(Exception):
    """The host sent something that the wire does not allow."""


def _fits(kind: str, value: Any) -> bool:
    if kind.endswith("?"):
        return value is None or _fits(kind[:-1], value)
    if kind == BOOL:
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if kind == INT:
        return isinstance(value, int)
    if kind == NUM:
        return isinstance(value, (int, float))
    if kind == STR:
        return isinstance(value, str)
    if kind == "list":
        return isinstance(value, list)
    return isinstance(value, dict)


def _checked(message: Any) -> list[Any]:
    """The message with its absent trailing values filled in, or BadLine."""
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise BadLine("a message is not an array with a name")
    if message[0] not in FIELDS:
        raise BadLine(f"unknown message {message[0]!r}")
    kinds = FIELDS[message[0]]
    values = message[1 : 1 + len(kinds)]
    values += [None] * (len(kinds) - len(values))
    for kind, value in zip(kinds, values, strict=True):
        if not _fits(kind, value):
            raise BadLine(f"{message[0]}: {value!r} where {kind} is due")
    return [message[0], *values]


def settings_from(conf: dict[str, Any]) -> api.Settings:
    """Start settings as the wire gives them, in the module's terms."""
    specifics: dict[str, Any] = conf.get("specifics") or {}
    limits: dict[str, Any] = conf.get("limits") or {}
    rules: dict[str, Any] = conf.get("rules") or {}
    telemetry: dict[str, Any] = conf.get("telemetry") or {}
    names: list[Any] = conf.get("machine_types") or []
    roles: list[Any] = specifics.get("role_by_kind") or []
    memory: list[Any] = specifics.get("kind_memory_tokens") or []
    per_1000: list[Any] = specifics.get("aim_us_per_1000_prompt_tokens") or []
    token_aim: list[Any] = specifics.get("token_aim") or []

    def at(values: list[Any], index: int, default: Any) -> Any:
        return values[index] if index < len(values) else default

    def figure(value: Any) -> int:
        return int(value or 0)

    return api.Settings(
        router=figure(conf.get("me")),
        routers=figure(conf.get("balancers")),
        zone=figure(conf.get("zone")),
        zones=tuple(str(z) for z in conf.get("azs") or []),
        kinds=tuple(
            api.WorkerKind(str(name), ROLES[at(roles, i, "both")], figure(at(memory, i, 0)))
            for i, name in enumerate(names)
        ),
        classes=tuple(
            api.RequestClass(
                name=str(c.get("name")),
                effect=api.Effect(c.get("effect")),
                key_scope=api.KeyScope(c.get("key_scope") or "all"),
                key_window=figure(c.get("window")),
                aim=figure(c.get("promise")),
                aim_per_1000=figure(at(per_1000, i, 0)),
                deadline=figure(c.get("deadline")),
                token_aim=figure(at(token_aim, i, 0)),
                worth=float(c.get("points") or 0),
                late_worth=float(c.get("late_value") or 0),
                streaming=bool(c.get("streaming")),
            )
            for i, c in enumerate(conf.get("classes") or [])
        ),
        tenants=tuple(
            api.Tenant(str(t.get("name")), float(t.get("quota_rps") or 0), float(t.get("share") or 0))
            for t in conf.get("orgs") or []
        ),
        over_share_worth=float(conf.get("over_share_worth") or 0),
        limits=api.Limits(
            max_attempts=figure(limits.get("max_attempts")),
            cancel=bool(limits.get("cancel")),
            probes=bool(limits.get("probes")),
            duplicates=bool(limits.get("may_duplicate")),
            retry_after=bool(limits.get("retry_after")),
            max_retry_after=figure(limits.get("max_retry_after")),
            connect_timeout=figure(limits.get("connect_timeout")),
            peers=bool(limits.get("may_tell")),
        ),
        rules=api.RuleFigures(
            answer_slack=figure(rules.get("answer_slack")),
            drain_grace=figure(rules.get("stop_sending_within")),
            cold_multiple=float(rules.get("tip_multiple") or 0),
            cold_window=figure(rules.get("fall")),
            cold_start_share=float(rules.get("start_capacity") or 0),
            warm_within=figure(rules.get("warm_within")),
            release_within=figure(specifics.get("release")),
            list_age=figure(rules.get("ask_within")),
        ),
        places_ahead=bool(specifics.get("early_pairing")),
        resumable=bool(specifics.get("resume")),
        writers_read=bool(specifics.get("writers_read")),
        list_must_be_asked=conf.get("registry_mode") == "ask",
        weights_mean_size=conf.get("weights") in ("nominal", "rough"),
        report_fields=tuple(REPORT_NAMES.get(str(f), str(f)) for f in telemetry.get("fields") or []),
        tick=figure(conf.get("round")),
        probe_price=float((conf.get("prices") or {}).get("probe") or 0),
        peer_price=float((conf.get("prices") or {}).get("peer") or 0),
    )


def _entry(values: Any) -> api.WorkerEntry:
    if not isinstance(values, list) or len(values) < 4 or not isinstance(values[3], str):
        raise BadLine("a list entry is not an array of seven values")
    state, cell, started, name, kind, zone, share = (values + [None] * 7)[:7]
    numbers = (cell, started, kind, zone)
    if not all(_fits(OPT_INT, n) for n in numbers) or not _fits("num?", share):
        raise BadLine("a list entry holds a value of the wrong type")
    try:
        parsed = api.WorkerState(state)
    except ValueError as error:
        raise BadLine(f"unknown worker state {state!r}") from error
    return api.WorkerEntry(
        name, parsed, cell or 0, zone or 0, kind or 0, 1.0 if share is None else float(share), started or 0
    )


def _report(usage: Any) -> dict[str, float]:
    if not usage:
        return {}
    return {REPORT_NAMES[k]: float(v) for k, v in usage.items() if k in REPORT_NAMES and _fits(NUM, v)}


def _outcome(word: str) -> api.Outcome:
    if word not in OUTCOMES:
        raise BadLine(f"unknown outcome {word!r}")
    return OUTCOMES[word]


def _event(message: list[Any], sheets: dict[int, tuple[api.WorkerEntry, ...]]) -> api.Event:
    name, _, *v = message
    if name == "endpoints":
        try:
            kind = api.ListKind(v[0])
        except ValueError as error:
            raise BadLine(f"unknown list kind {v[0]!r}") from error
        if kind is api.ListKind.FAILED:
            return api.WorkerList(kind, v[1] or 0, ())
        if v[2] not in sheets:
            raise BadLine(f"list number {v[2]!r} was never declared")
        return api.WorkerList(kind, v[1] or 0, sheets[v[2]])
    if name == "job_in":
        rid, shared, hint, most, session, prompt, grade, bits, left, party, prefix = v
        bits = bits or 0
        return api.Arrival(
            request=rid, session=session or "", prefix=prefix or "", prefix_tokens=int(shared or 0),
            prompt_tokens=int(prompt or 0), max_tokens=int(most or 0), request_class=grade,
            tenant=party or 0, time_left=left, hint=(hint or 0) if bits & 1 else 0,
            is_retry=bool(bits & 2), is_resumed=bool(bits & 16),
        )  # fmt: skip
    if name == "headers":
        return api.FirstToken(v[0], v[2], v[1], v[3])
    if name == "answer_ahead":
        return api.PlaceAnswer(v[0], v[1], v[3], v[4] == 1)
    if name == "closed_attempt":
        rid, shot, worker, code, taken, ended, info, usage = v
        return api.AttemptEnded(rid, shot, worker, _outcome(code), taken, ended, info or 0, _report(usage))
    if name == "withdrawn":
        return api.ClientGone(v[0])
    if name == "wakeup":
        return api.TimerFired(v[0])
    if name == "checked":
        return api.ProbeEnded(v[0], _outcome(v[1]), v[2], _report(v[3]))
    try:
        return api.PeerMessage(v[0], base64.b64decode(v[1], validate=True))
    except binascii.Error as error:
        raise BadLine("a peer message is not base64") from error


def _order(router: int, action: api.Action) -> list[Any] | None:
    match action:
        case (
            api.LongRead() | api.PeerEstimates()
        ):  # what routers tell each other of the fleet is no part of this wire
            return None
        case api.Send(request, worker, timeout):
            return ["dispatch", router, request, timeout, worker]
        case api.HoldPlace(request, worker):
            return ["book_seat", router, request, worker]
        case api.Release(request):
            return ["free_state", router, request]
        case api.Cancel(request, attempt):
            return ["undo_send", router, request, attempt]
        case api.Refuse(request, retry_after, _):
            return ["not_now", router, request, retry_after]
        case api.Fail(request, _):
            return ["abort", router, request]
        case api.Move(request):
            return ["shift", router, request]
        case api.SetTimer(delay, timer):
            return ["defer", router, delay, timer]
        case api.Probe(worker):
            return ["touch", router, worker]
        case api.WatchList(on):
            return ["stream_changes", router, on]
        case api.FetchList():
            return ["lookup", router]
        case api.Log(text):
            return ["emit", router, text]


class Host:
    """Hosts one Router per instance number; they share nothing but the decoded lists."""

    def __init__(self, make: Callable[[api.Settings, int], Router] = Router) -> None:
        self._make = make
        self._routers: dict[int, Router | None] = {}
        self._sheets: dict[int, tuple[api.WorkerEntry, ...]] = {}

    def answer(self, line: str) -> str:
        """The reply to one batch line; raises BadLine before anything is handled."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise BadLine(f"not JSON: {error}") from error
        if not isinstance(batch, dict) or not _fits(INT, batch.get("at_time")):
            raise BadLine("a batch is not an object with at_time")
        if not _fits(INT, batch.get("seq")) or not isinstance(batch.get("msgs"), list):
            raise BadLine("a batch lacks seq or msgs")
        steps = self._parse(batch["msgs"])
        orders: list[list[Any]] = []
        pending: dict[int, list[api.Event]] = {}
        for number, step in steps:
            if isinstance(step, tuple):  # a start: earlier events of the instance come first
                self._run(batch["at_time"], number, pending.pop(number, []), orders)
                pending[number] = []
                self._routers[number] = self._guard(number, orders, partial(self._make, *step))
            elif step is None:
                # What a killed instance was told in this batch no longer matters to anyone.
                pending.pop(number, None)
                self._routers.pop(number, None)
            else:
                pending.setdefault(number, []).append(step)
        for number, events in pending.items():
            self._run(batch["at_time"], number, events, orders)
        return json.dumps({"seq": batch["seq"], "orders": orders}, separators=(",", ":"))

    def _parse(self, messages: list[Any]) -> list[tuple[int, Any]]:
        steps: list[tuple[int, Any]] = []
        known = set(self._routers)
        sheets = dict(self._sheets)
        for raw in messages:
            message = _checked(raw)
            name, number = message[0], message[1]
            if name == "ledger":
                sheets[number] = tuple(_entry(e) for e in message[2])
                continue
            if name == "start":
                try:
                    steps.append((number, (settings_from(message[3]), message[2])))
                except (AttributeError, KeyError, TypeError, ValueError) as error:
                    raise BadLine(f"the settings can't be read: {error!r}") from error
                known.add(number)
                continue
            if number not in known:
                raise BadLine(f"{name} for instance {number}, which was never started")
            if name == "killed":
                known.discard(number)
                steps.append((number, None))
            else:
                steps.append((number, _event(message, sheets)))
        self._sheets = sheets
        return steps

    def _guard(self, number: int, orders: list[list[Any]], call: Callable[[], Any]) -> Any:
        try:
            return call()
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            orders.append(["fault", number, f"{type(error).__name__}: {error}"])
            return None

    def _run(self, now: int, number: int, events: list[api.Event], orders: list[list[Any]]) -> None:
        router = self._routers.get(number)
        if router is None or not events:
            return
        actions = self._guard(number, orders, lambda: router.handle(now, events))
        worded = (_order(number, action) for action in actions or ())
        orders.extend(order for order in worded if order is not None)


def main(source: IO[str] = sys.stdin, sink: IO[str] = sys.stdout) -> int:
    host = Host()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = host.answer(line)
        except BadLine as error:
            print(f"basaltspread adapter: bad input line: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
