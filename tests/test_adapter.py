"""The adapter on batches written by hand from the wire's description."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from basaltspread import adapter
from basaltspread import interface as api
from basaltspread.adapter import BadLine, Host, main, settings_from
from basaltspread.rules import Router

ROOT = Path(__file__).resolve().parent.parent
RID = "0a1b2c3d-0000-4000-8000-000000000001"
CONF: dict[str, Any] = {
    "azs": ["x", "y"],
    "balancers": 2,
    "classes": [
        {"name": "c", "effect": "safe", "key_scope": "all", "deadline": 4000000, "promise": 900000,
         "points": 1.0, "late_value": 0.1, "streaming": True, "window": 5000000},
    ],
    "limits": {"cancel": True, "max_attempts": 4, "retry_after": True, "max_retry_after": 900000},
    "machine_types": ["in", "out"],
    "me": 1,
    "registry_mode": "push",
    "rules": {"tip_multiple": 3.0, "fall": 1000000, "start_capacity": 0.3, "warm_within": 9000000},
    "specifics": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [1000, 2000], "release": 400000,
                  "early_pairing": True, "token_aim": [50000.0], "aim_us_per_1000_prompt_tokens": [30000.0]},
    "telemetry": {"fields": ["busy", "x0", "novel"], "how": "inline"},
    "unheard_of": {"a": 1},
}  # fmt: skip
LIST = ["ledger", 3, [["up", 0, None, "worker-r", 0, 0, 1], ["up", 0, None, "worker-w", 1, 0, 1.5]]]


def job(router: int = 1, rid: str = RID) -> list[Any]:
    return ["job_in", router, rid, 600, None, 200, "s/1", 900, 0, 0, 4000000, 0, "t/1"]


def batch(*messages: list[Any], at: int = 1000, seq: int = 1) -> str:
    return json.dumps({"at_time": at, "seq": seq, "msgs": messages, "unknown": 1})


def orders(host: Host, *messages: list[Any], at: int = 1000) -> list[list[Any]]:
    reply = json.loads(host.answer(batch(*messages, at=at)))
    assert reply["seq"] == 1
    return [o for o in reply["orders"] if o[0] != "defer"]


def started(router: int = 1) -> Host:
    host = Host()
    orders(host, ["start", router, 9, CONF], LIST, ["endpoints", router, "cached", 1, 3])
    return host


def test_empty_batch() -> None:
    assert json.loads(Host().answer('{"at_time":5,"seq":8,"msgs":[]}')) == {"seq": 8, "orders": []}


def test_settings_in_the_modules_terms() -> None:
    s = settings_from(CONF)
    assert [k.role for k in s.kinds] == [api.Role.READER, api.Role.WRITER]
    assert s.classes[0].aim == 900000 and s.classes[0].aim_per_1000 == 30000
    assert s.report_fields == ("utilisation", "memory_share", "novel")
    assert s.rules.release_within == 400000 and s.places_ahead and not s.resumable


def test_a_request_from_arrival_to_end() -> None:
    host = started()
    out = orders(host, job())
    assert out == [["dispatch", 1, RID, 4000000, "worker-r"], ["book_seat", 1, RID, "worker-w"]]
    assert orders(host, ["answer_ahead", 1, RID, 0, 0, "worker-w", 1]) == []
    report = {"busy": 0.5, "x0": 0.25, "mystery": 4}
    read = ["closed_attempt", 1, RID, 0, "worker-r", "ready_to_answer", 9000, False, 0, report]
    assert orders(host, read, at=10000) == [["dispatch", 1, RID, 3991000, "worker-w"]]
    assert orders(host, ["headers", 1, RID, "worker-w", 1, 5000], at=15000) == []
    served = ["closed_attempt", 1, RID, 1, "worker-w", "served", 90000, True]
    assert orders(host, served, at=100000) == []
    again = ["closed_attempt", 1, RID, 1, "worker-w", "served", 90000, True]
    assert orders(host, again, ["withdrawn", 1, RID], ["wakeup", 1, 777], at=100001) == []


@pytest.mark.parametrize("code", sorted(adapter.OUTCOMES))
def test_every_outcome_is_understood(code: str) -> None:
    host = started()
    orders(host, job())
    out = orders(host, ["closed_attempt", 1, RID, 0, "worker-r", code, 10, code == "served", None, None])
    assert all(o[0] in ("dispatch", "book_seat", "free_state", "not_now") for o in out)


def test_every_list_kind_and_recycled_numbers() -> None:
    host = started()
    other = ["ledger", 3, [["draining", 0, 5, "worker-r", 0, 0]]]
    new = ["ledger", 3, [["up", 1, 7, "worker-n", 0, 1, 2]]]
    orders(
        host, other, ["endpoints", 1, "delta", 2, 3], new, ["endpoints", 1, "delta", 3, 3],
        ["endpoints", 1, "failed", 3, None], ["endpoints", 1, "failed"],
    )  # fmt: skip
    router = host._routers[1]
    assert router is not None
    assert router.fleet["worker-r"].state is api.WorkerState.DRAINING
    assert router.fleet["worker-n"].zone == 1
    orders(host, LIST, ["endpoints", 1, "full", 4, 3])
    assert "worker-n" not in router.fleet  # nothing of it is out: forgotten


def test_several_instances_in_one_batch_and_restart_within_one() -> None:
    host = started(1)
    orders(host, ["start", 2, 4, CONF], LIST, ["endpoints", 2, "cached", 1, 3])
    out = orders(host, job(2, "b" * 36), job(1, "a" * 36))
    assert {(o[1], o[2][0]) for o in out} == {(1, "a"), (2, "b")}
    before = host._routers[1]
    out = orders(
        host, job(1, "c" * 36), ["killed", 1], ["start", 1, 5, CONF],
        ["endpoints", 1, "cached", 1, 3], job(1, "d" * 36),
    )  # fmt: skip
    assert host._routers[1] is not before
    assert {o[2][0] for o in out if o[0] == "dispatch"} == {"d"}


def test_probe_results_and_peer_messages_are_taken() -> None:
    host = started()
    checked = ["checked", 1, "worker-w", "served", 100, {"x0": 0.5}]
    assert orders(host, checked, ["memo", 1, 2, "aGk="]) == []


class Broken(Router):
    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        raise RuntimeError("deliberate")


def test_failure_of_the_module_is_a_fault_with_a_traceback(capsys: pytest.CaptureFixture[str]) -> None:
    host = Host(Broken)
    out = orders(host, ["start", 1, 9, CONF], LIST, ["endpoints", 1, "cached", 1, 3])
    assert out == [["fault", 1, "RuntimeError: deliberate"]]
    assert "Traceback" in capsys.readouterr().err


@pytest.mark.parametrize(
    "line",
    [
        "not json", "[]", "{}", '{"at_time":1,"seq":1}', '{"at_time":"1","seq":1,"msgs":[]}',
        batch(["nonsense", 1]), batch(["wakeup", 1, 5]), batch(["start", 1]),
        batch(["start", 1, 2, {"classes": 7}]),
        batch(["start", 1, 2, CONF], ["endpoints", 1, "delta", 1, 9]),
        batch(["start", 1, 2, CONF], ["endpoints", 1, "sideways", 1, 9]),
        batch(["start", 1, 2, CONF], ["job_in", 1, 5]), batch(["ledger", 1, [["up"]]]),
        batch(["start", 1, 2, CONF], ["closed_attempt", 1, RID, 0, "w", "vanished", 1, False]),
        batch(["start", 1, 2, CONF], ["memo", 1, 2, "?"]),
    ],
)  # fmt: skip
def test_malformed_lines_stop_with_a_plain_message(line: str, capsys: pytest.CaptureFixture[str]) -> None:
    sink = io.StringIO()
    assert main(io.StringIO(line + "\n"), sink) != 0
    errors = capsys.readouterr().err
    assert sink.getvalue() == "" and "bad input line" in errors and "Traceback" not in errors
    with pytest.raises(BadLine):
        Host().answer(line)


def test_as_a_process() -> None:
    command = [sys.executable, "-m", "basaltspread.adapter"]
    run = subprocess.run(command, input=batch() + "\n", cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0 and json.loads(run.stdout) == {"seq": 1, "orders": []}


ACTIONS: list[tuple[api.Action, list[Any]]] = [
    (api.Refuse(RID, 5), ["not_now", 1, RID, 5]),
    (api.Fail(RID), ["abort", 1, RID]),
    (api.Cancel(RID, 2), ["undo_send", 1, RID, 2]),
    (api.Release(RID), ["free_state", 1, RID]),
    (api.Move(RID), ["shift", 1, RID]),
    (api.SetTimer(9, 4), ["defer", 1, 9, 4]),
    (api.Probe("w"), ["touch", 1, "w"]),
    (api.WatchList(True), ["stream_changes", 1, True]),
    (api.FetchList(), ["lookup", 1]),
    (api.Log("hello"), ["emit", 1, "hello"]),
]


@pytest.mark.parametrize(("action", "expected"), ACTIONS)
def test_every_action_has_its_wire_form(action: api.Action, expected: list[Any]) -> None:
    assert adapter._order(1, action) == expected
