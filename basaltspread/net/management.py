"""Operators' calls, apart from the clients': HTTP/1.1 on an address of their own, one call to a connection.

It turns each call into an input of the core or a look at it, and words the answer. It must never wait for
client work, hold more than its own few descriptors, or keep any state of the gateway.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote_to_bytes

import h11

from basaltspread import core
from basaltspread.control.descriptor_budget import OPERATOR_RESERVE
from basaltspread.core import Order, Verdict
from basaltspread.net import resident
from basaltspread.net.clients import REASONS
from basaltspread.net.listener import open_listener
from basaltspread.net.parsing import BadRequest
from basaltspread.net.readers import READ_SIZE
from basaltspread.net.runtime import Runtime

log = logging.getLogger("basaltspread")
CALL_PATIENCE = 2.0  # s from a connection's opening to the last byte of its call
LINGER = 0.5  # s in which the caller may take the answer and close
HEAD_LIMIT = 8 * 1024
BODY_LIMIT = 8 * 1024  # no call needs a body; a small one is read and dropped
QUEUE = 64  # connections that may wait to be accepted
ACCEPTED_AT_ONCE = 4
ENGINE_CALL = re.compile(rb"/-/engines/([^/]+)/(disable|enable)")
SERVER_CALL = re.compile(rb"/-/tools/([^/]+)/(drain|resume)")
SERVER_ORDERS = {b"drain": Order.DRAIN_SERVER, b"resume": Order.RESUME_SERVER}
PRESSURE_COUNTERS = (
    "arrivals_made_room", "clients_made_room", "clients_stuck_made_room", "clients_over_memory",
    "reads_held_back", "refused_for_memory", "refused_id_known", "refused_ids_full", "client_turns_cut_short",
    "ended_incomplete",
)  # fmt: skip
OUTCOME_NAMES = {Verdict.SERVED: "success", Verdict.REFUSED: "overload", Verdict.FAILED: "error"}


class Management:
    """Serves operators."""

    def __init__(self, runtime: Runtime, listen: str) -> None:
        self._runtime, self._listen = runtime, listen
        self._open: dict[asyncio.StreamWriter, None] = {}  # oldest first
        self._numbers = itertools.count()
        self._answers: dict[int, core.OperatorAnswer] = {}  # from the core's answer to the end of its turn
        runtime.carry[core.OperatorAnswer] = lambda e: self._answers.update({e.call: e})

    async def start(self) -> None:
        counters = self._runtime.counters
        door = await open_listener(
            "management", self._listen, self._accept, QUEUE, ACCEPTED_AT_ONCE, counters=counters
        )
        log.info("operators call %s", door.address)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Whoever says nothing makes room for the next caller: a whole call is answered at once."""
        if len(self._open) >= OPERATOR_RESERVE:
            oldest = next(iter(self._open))
            del self._open[oldest]
            oldest.transport.abort()
        self._open[writer] = None
        try:
            await self._serve(reader, writer)
        except (OSError, TimeoutError):
            pass
        except Exception:
            self._runtime.count("task_faults")
            log.exception("management fault")
        finally:
            self._open.pop(writer, None)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)
        status, reply = 200, dict[str, Any]()
        try:
            request = await self._read(http, reader)
            if request is None:
                return
            reply = self._answer(request.method, request.target.split(b"?")[0])
        except BadRequest as error:
            status, reply = error.status, {"error": {"message": error.why, "code": error.status}}
            self._runtime.count(f"management_refused_{error.status}")
        body = json.dumps(reply).encode()
        head = [("Content-Type", "application/json"), ("Content-Length", str(len(body))),
                ("Connection", "close")]  # fmt: skip
        events = h11.Response(status_code=status, headers=head, reason=REASONS[status]), h11.Data(data=body)
        writer.write(b"".join(http.send(event) or b"" for event in (*events, h11.EndOfMessage())))
        # Closing on what has not been read would reset the connection, and the answer be lost with it.
        writer.write_eof()
        async with asyncio.timeout(LINGER):
            while await reader.read(READ_SIZE):
                pass

    async def _read(self, http: h11.Connection, reader: asyncio.StreamReader) -> h11.Request | None:
        """The call, whole; None if the caller went or said nothing at all."""
        request: h11.Request | None = None
        size, spoke = 0, False
        try:
            async with asyncio.timeout(CALL_PATIENCE):
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        data = await reader.read(READ_SIZE)
                        if not data:
                            return None
                        spoke = True
                        http.receive_data(data)
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.Data):
                        size += len(event.data)
                        if size > BODY_LIMIT:
                            raise BadRequest(413, "a call needs no body")
                    else:
                        return request
        except h11.RemoteProtocolError as error:
            raise BadRequest(431 if error.error_status_hint == 431 else 400, "not HTTP/1.1") from error
        except TimeoutError as error:
            if not spoke:
                return None
            raise BadRequest(408, "the call did not arrive whole") from error

    def _answer(self, method: bytes, path: bytes) -> dict[str, Any]:
        calls: dict[bytes, tuple[bytes, Callable[[], dict[str, Any]]]] = {
            b"/-/ready": (b"GET", self._ready),
            b"/-/metrics": (b"GET", self._metrics),
            b"/-/tools": (b"GET", self._tools),
            b"/-/drain": (b"PUT", lambda: self._operate(Order.DRAIN)),
            b"/-/resume": (b"PUT", lambda: self._operate(Order.RESUME)),
        }
        found = ENGINE_CALL.fullmatch(path)
        if found is not None:
            engine = unquote_to_bytes(found[1]).decode("utf-8", "replace")
            calls[path] = b"PUT", lambda: self._operate(Order(found[2].decode()), engine)
        asked = SERVER_CALL.fullmatch(path)
        if asked is not None:
            server = unquote_to_bytes(asked[1]).decode("utf-8", "replace")
            order = SERVER_ORDERS[asked[2]]
            calls[path] = b"PUT", lambda: self._operate(order, server)
        if path not in calls:
            raise BadRequest(404, "no such call")
        wanted, call = calls[path]
        if method != wanted:
            raise BadRequest(405, f"{wanted.decode()} is wanted here")
        return call()

    def _ready(self) -> dict[str, Any]:
        if not core.ready(self._runtime.state):
            raise BadRequest(503, "not ready")
        return {"ready": True}

    def _operate(self, order: Order, engine: str = "") -> dict[str, Any]:
        call = next(self._numbers)
        self._runtime.feed(core.Operate(call, order, engine))
        answer = self._answers.pop(call)
        kept = self._runtime.kept(engine)
        said = answer.why or ("done" if kept else "done, and still to be written")
        log.info("operator: %s %s: %s", order.value, ascii(engine)[:140], said)
        if not answer.done:
            raise BadRequest(404 if answer.unknown else 409, answer.why)
        return {"done": True} if kept else {"done": True, "kept": False}

    def _tools(self) -> dict[str, Any]:
        tools = self._runtime.state.tools
        if tools is None:
            raise BadRequest(404, "this gateway has no tool servers")
        return tools.figures()

    def _metrics(self) -> dict[str, Any]:
        found = core.figures(self._runtime.state, self._runtime.clock.now())
        counters = self._runtime.counters
        return {
            "replies": {
                name: {OUTCOME_NAMES[verdict]: count for verdict, count in ends.items()}
                for name, ends in found.replies.items()
            },
            "dispatches": found.dispatches,
            "concurrent": found.concurrent,
            "targets": found.targets,
            "targets_disabled": found.targets_disabled,
            "reload_success": counters["reloads"],
            "reload_failure": counters["reloads_refused"],
            "oldest_held_us": found.held.oldest,
            "held_entries": found.held.entries,
            "late_questions": found.held.late_questions,
            "untaken_sends": found.held.untaken_sends,
            "release_us": found.held.release_time,
            "release_waves": found.held.release_waves,
            "most_release_us": found.held.longest_release,
            "given_up": found.refusals,
            "chosen": found.choices,
            "chosen_by_age_of_figures": found.figures_ages,
            "engines_in_slow_start": found.slow_start.cold,
            "slow_start_work_sent": round(found.slow_start.spent, 1),
            "slow_start_work_expired": round(found.slow_start.expired, 1),
            "still_learning": found.slow_start.learning,
            **self._runtime.load.figures(self._runtime.clock.now()),
            "resident_bytes": resident.resident_size(),
            **self._runtime.memory.figures(),
            **{name: counters[name] for name in PRESSURE_COUNTERS},
        }
