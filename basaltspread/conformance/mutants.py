"""Deliberately broken builds, by which the suite itself is tested: each must fail some case.

It owns the edits and the copies of the package that they are made in. It must never touch the package itself,
and an edit that does not fit the text any more is an error, not a mutant that passes.
"""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from basaltspread.conformance.world import ROOT


@dataclass(frozen=True, slots=True)
class Edit:
    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Mutant:
    name: str
    breaks: str  # which promise
    caught_by: tuple[str, ...]  # cases, of which one at least must fail
    edits: tuple[Edit, ...]


DISPATCH, STEPS, SHUTDOWN = "control/dispatch.py", "core/toolcalls.py", "core/shutdown.py"
RELAY, RPC, SSE, FRONT, MCP = (
    "net/toolcalls.py",
    "net/jsonrpc.py",
    "net/sse.py",
    "net/platform.py",
    "net/mcp.py",
)
_ASSERT = Edit(DISPATCH, 'assert not (job.once and job.begun), "an unsafe call is written once"', "pass")


def _mutant(name: str, breaks: str, caught_by: str, *edits: Edit) -> Mutant:
    return Mutant(name, breaks, tuple(caught_by.split()), edits)


MUTANTS: dict[str, Mutant] = {m.name: m for m in (
    _mutant(
        "resends-unsafe", "an unsafe call is written once", "broken/status-500/unsafe broken/reset-before-head/unsafe",
        _ASSERT, Edit(DISPATCH, "if job.once and fate is Fate.FAILED and job.begun:", "if False:"),
        Edit(DISPATCH, "elif job.once and job.begun:", "elif False:"),
        Edit(DISPATCH, "not in_time or (job.once and not others)", "not in_time"),
    ),
    _mutant(
        "last-chunk-alone", "a stream that is not whole ends without the last chunk", "passes/event-without-end",
        Edit(FRONT, "if not events.ends_whole(tail):", "if False:"),
    ),
    _mutant(
        "copies-unsafe", "an unsafe call is written once", "limits/no-second-copy-of-an-unsafe-call",
        _ASSERT, Edit(DISPATCH, "if job.tries == 1 and not job.once and len", "if job.tries == 1 and len"),
        Edit(DISPATCH, "or len(job.out) != 1 or job.once or", "or len(job.out) != 1 or"),
    ),
    _mutant(
        "moves-turned-away", "an unsafe call is written once", "routes/turned-away-unsafe",
        _ASSERT, Edit(DISPATCH, "elif job.once and job.begun:", "elif False:"),
    ),
    _mutant(
        "unknown-as-unmade", "a call that may have been made is said to be so",
        "broken/status-500/unsafe broken/stalls/unsafe",
        Edit(DISPATCH, "self._settle(job, ToolFault.OUTCOME_UNKNOWN)", "self._settle(job, ToolFault.UNAVAILABLE)"),
    ),
    _mutant(
        "kept-link-for-unsafe", "an unsafe call goes on a connection of its own", "broken/stale-connection",
        Edit(RELAY, "fresh=effect.once", "fresh=False"),
    ),
    _mutant(
        "answers-repeats", "each id gets one reply", "ids/repeated-* batch/one-unsafe-and-one-repeated-id",
        Edit(STEPS, "if wanted.call in request.calls:", "if False:"),
        Edit(DISPATCH, "if key in self.jobs:\n            raise", "if False:\n            raise"),
    ),
    _mutant(
        "reads-doubled-members", "what is judged is what is written", "refused/member-twice refused/name-twice",
        Edit(RPC, "if len(found) == len(pairs):", "if True:"),
    ),
    _mutant(
        "sends-extra-members", "what is judged is what is written", "requests/written-anew",
        Edit(RELAY, "return jsonrpc.request(asked.ident, asked.method, asked.params)",
             "return {**jsonrpc.request(asked.ident, asked.method, asked.params), 'extra': 1}"),
    ),
    _mutant(
        "passes-batches-on", "the client sees no tool message", "batch/two-calls batch/mixed",
        Edit(RPC, "return isinstance(value, list) or (isinstance(value, dict)", "return (isinstance(value, dict)"),
    ),
    _mutant(
        "misses-escaped-names", "the client sees no tool message", "requests/escaped-member-name",
        Edit(SSE, r"""(b"\\" in piece and b"\\u00" in piece)""", "False"),
    ),
    _mutant(
        "knows-one-line-end", "server-sent events as published", "events/ends-cr-cr events/ends-crlf-crlf",
        Edit("structures/events.py", r'ENDS = (b"\n\n", b"\n\r", b"\r\r")', r'ENDS = (b"\n\n",)'),
    ),
    _mutant(
        "waits-for-the-streams-end", "replies are used as they come", "reply/stream-kept-open",
        Edit(MCP, "    events, size = sse.Events(limit), 0", "    events, size = sse.Events(limit), 0\n    held: list[str] = []"),
        Edit(MCP, "        if not isinstance(event, h11.Data):\n            return",
             "        if not isinstance(event, h11.Data):\n            for data in held:\n"
             "                yield data\n            return"),
        Edit(MCP, "            if data:\n                yield data", "            if data:\n                held.append(data)"),
    ),
    _mutant(
        "takes-any-id", "a reply is the one to its call", "broken/wrong-id/* broken/id-as-text/*",
        Edit(RELAY, "if message.key != wire:", "if False:"),
    ),
    _mutant(
        "sends-while-draining", "nothing new to a server that drains", "drain/*",
        Edit("control/health.py", "return self.condition is Condition.WELL and not self.draining",
             "return self.condition is Condition.WELL"),
    ),
    _mutant(
        "no-budget", "repeated attempts have a budget", "limits/budget",
        Edit("control/budget.py", "if self.tokens < 1:", "if False:"),
    ),
    _mutant(
        "no-limit", "a server's limit is kept", "limits/one-at-a-time",
        Edit("control/limits.py", "return max(0, int(limit) - out)", "return 1000"),
    ),
    _mutant(
        "no-early-refusal", "what can't be done in time is turned away at once", "limits/turned-away-early",
        Edit(DISPATCH, "if not again and self._hopeless(job, queue, now):", "if False:"),
    ),
    _mutant(
        "never-rests", "a failing server rests", "routes/failing-server-rests",
        Edit("control/health.py", "if self.condition is Condition.WELL and (self.in_a_row", "if False and (self.in_a_row"),
    ),
    _mutant(
        "drops-orphans", "an unsafe call is heard out", "cancel/unsafe-is-heard-out cancel/client-leaves-an-unsafe-call",
        Edit(DISPATCH, "if job is not None and not (job.once and job.begun):", "if job is not None:"),
    ),
    _mutant(
        "ignores-cancels", "a cancelled call gets no reply", "cancel/*",
        Edit(STEPS, '        self.count("tool_cancels")\n        self._let_go(key, call)', "        return"),
    ),
    _mutant(
        "progress-moves-deadline", "progress never puts off the deadline", "progress/never-puts-off-the-deadline",
        Edit(DISPATCH, "        if attempt is not None:\n            attempt.heard = now\n",
             "        if attempt is not None:\n            attempt.heard = now\n"
             "            self.jobs[key].deadline = now + 10_000_000\n"),
        Edit(RELAY, "wait = max(0.001, effect.time_left / 1e6)", "wait = 30.0"),
    ),
    _mutant(
        "progress-unbounded", "progress is bounded", "progress/is-bounded",
        Edit(STEPS, "if call.telling or call.told >= MOST_PROGRESS or self.now < call.told_at + PROGRESS_STEP:",
             "if False:"),
    ),
    _mutant(
        "resumed-may-order", "no unsafe call in a resumed stream", "requests/unsafe-in-a-resumed-stream killed/*",
        Edit(STEPS, "(not request.unsafe or request.resumed)", "not request.unsafe"),
    ),
    _mutant(
        "forgets-ids-in-upgrade", "each id one reply, through an upgrade", "upgrade/stream-is-handed-on",
        Edit(SHUTDOWN, "calls=dict.fromkeys(event.calls),", "calls={},"),
    ),
    _mutant(
        "hands-on-within-an-event", "no call is lost in an upgrade", "upgrade/part-of-an-event-stays",
        Edit(FRONT, "if splitter is not None and not splitter.between:", "if False:"),
    ),
    _mutant(
        "hands-on-with-calls-open", "no call is lost in an upgrade", "upgrade/open-call-ends-first",
        Edit(SHUTDOWN, "if not (r.ended or r.open or r.bundles))", "if not r.ended)"),
    ),
    _mutant(
        "session-ids-clash", "ids are unique in a session", "mcp/initialize-first",
        Edit(RELAY, 'return f"{self.request}/{self.asked.key}" if server.protocol == MCP else self.asked.ident',
             "return self.asked.ident"),
    ),
)}  # fmt: skip


def build(mutant: Mutant, folder: Path) -> Path:
    """A copy of the package in this folder, with the mutant's edits; the folder to run it from. Raises
    ValueError where an edit does not fit."""
    package = folder / "basaltspread"
    shutil.copytree(ROOT / "basaltspread", package, ignore=shutil.ignore_patterns("__pycache__"))
    for edit in mutant.edits:
        path = package / edit.file
        text = path.read_text("utf-8")
        if text.count(edit.old) != 1:
            raise ValueError(
                f"mutant {mutant.name}: {edit.file} holds {text.count(edit.old)} of {edit.old!r}"
            )
        path.write_text(text.replace(edit.old, edit.new), "utf-8")
    return folder
