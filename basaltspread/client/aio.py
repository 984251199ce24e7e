"""The asyncio front: connections, HTTP by h11, events and their text.

It carries out what the core decides and tells it what happened. It must never send a request by itself, keep
a connection that has more on it than its answer, or say that a request was not written when the kernel has
taken its last byte.
"""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from collections import deque
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import h11

from basaltspread.client import core
from basaltspread.client.core import Gateway, How, Policy
from basaltspread.client.errors import (
    ClientError,
    DeadlinePassed,
    Failed,
    OutcomeUnknown,
    Refused,
    Rejected,
    StreamBroken,
)
from basaltspread.structures import system_faults as faults
from basaltspread.structures.events import Events, TooLong, data_of, each, ends_whole, tail_of

READ_SIZE = 65536
HEAD_LIMIT = 32 * 1024
MOST_EVENTS = 64  # of one answer that wait for a slow reader; then its connection is not read
LOCAL_FAULT_PAUSE = 0.02  # s between two tries to connect while this machine can't
DIAL_PATIENCE = 2.0  # s for a connection to come up
SILENCE = 8.0  # s between two pieces of a stream; gateways end theirs after 4
BODY_LIMIT = 64 * 1024  # of an answer that is no stream
SWEEP = 1.0  # s between two looks for connections that have rested too long
ERRORS: dict[core.End, type[ClientError]] = {
    core.End.DEADLINE: DeadlinePassed, core.End.FAILED: Failed, core.End.UNKNOWN: OutcomeUnknown,
}  # fmt: skip


class _Broken(Exception):
    def __init__(self, how: How, status: int = 0, retry_after: str = "") -> None:
        super().__init__(how.value)
        self.how, self.status, self.retry_after = how, status, retry_after


class _Line:
    """One connection to a gateway."""

    def __init__(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.address, self._reader, self._writer = address, reader, writer
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        self.rests_since = 0.0
        writer.transport.set_write_buffer_limits(high=0)

    async def send(self, head: h11.Request, body: bytes) -> None:
        """Returns once the kernel has the last byte: from then on it may be acted on."""
        out = b"".join(self._http.send(e) or b"" for e in (head, h11.Data(data=body), h11.EndOfMessage()))
        if self._writer.transport.is_closing() or self._reader.at_eof():
            raise _Broken(How.UNSENT)
        self._writer.write(out)
        if self._writer.transport.get_write_buffer_size():
            try:
                await self._writer.drain()
            except OSError as error:
                raise _Broken(How.UNSENT) from error

    async def event(self, patience: float | None = None) -> h11.Event:
        while True:
            begun = self._http.their_state is h11.SEND_BODY
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    async with asyncio.timeout(patience):
                        self._http.receive_data(await self._reader.read(READ_SIZE))
                elif event is h11.PAUSED:
                    raise _Broken(How.NOISE)
                elif not isinstance(event, h11.InformationalResponse):
                    return event  # type: ignore[return-value]  # h11 has no type for the two marks above
            except h11.RemoteProtocolError as error:
                how = How.NOISE if not self._reader.at_eof() else How.CUT if begun else How.BROKE
                raise _Broken(how) from error
            except OSError as error:  # a timeout is one too
                raise _Broken(How.SILENT if isinstance(error, TimeoutError) else How.BROKE) from error

    def reusable(self) -> bool:
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or self._http.trailing_data[0] or self.gone():
            return False
        self._http.start_next_cycle()
        return True

    def gone(self) -> bool:
        """Closed by either side, or with bytes on it that nobody asked for."""
        waiting = getattr(self._reader, "_buffer", b"")
        return self._reader.at_eof() or self._writer.transport.is_closing() or bool(waiting)

    def close(self) -> None:
        self._writer.transport.abort()


@dataclass(slots=True)
class Attempt:
    """What happened at one try, for people who ask why."""

    gateway: str
    correlation: str
    repeat: str
    began: float  # s after the request was asked
    ended: float = 0.0
    how: str = ""


@dataclass(slots=True)
class _Pending:
    body: dict[str, Any]
    headers: dict[str, str]
    began: float
    first: asyncio.Future[None]
    events: asyncio.Queue[dict[str, Any] | ClientError | None]  # None at the end; neither needs room
    room: asyncio.Semaphore  # for events that wait for their reader
    attempts: list[Attempt] = field(default_factory=list)
    text: list[str] = field(default_factory=list)
    task: asyncio.Task[None] | None = None

    def ids(self) -> tuple[str, ...]:
        return tuple(attempt.correlation for attempt in self.attempts)


class Answer:
    """A stream that has begun. Iterate it for its events, or await `text()` for the whole. Leaving it unread
    stops its reading; `cancel` ends it at the gateway too."""

    def __init__(self, client: Client, ident: int, pending: _Pending) -> None:
        self._client, self._ident, self._pending = client, ident, pending

    @property
    def attempts(self) -> Sequence[Attempt]:
        return tuple(self._pending.attempts)

    async def events(self) -> AsyncIterator[dict[str, Any]]:
        """Each event's JSON, in order, over all tries. Raises StreamBroken if the rest can't be had."""
        while True:
            event = await self._pending.events.get()
            if event is None:
                return
            if isinstance(event, ClientError):
                raise event
            self._pending.room.release()
            yield event

    def __aiter__(self) -> AsyncIterator[str]:
        return self._texts()

    async def _texts(self) -> AsyncIterator[str]:
        async for event in self.events():
            text = text_of(event)
            if text:
                yield text

    async def text(self) -> str:
        return "".join([part async for part in self])

    def cancel(self) -> None:
        self._client._cancel(self._ident)


def text_of(event: Mapping[str, Any]) -> str:
    """The piece of text in one event of a completion; empty where it has none."""
    choices = event.get("choices")
    first = choices[0] if isinstance(choices, list) and choices else None
    delta = first.get("delta") if isinstance(first, dict) else None
    content = delta.get("content") if isinstance(delta, dict) else None
    return content if isinstance(content, str) else ""


class Client:
    """Asks gateways. One for a process: its requests share the budget, what gateways advised, and the pace.

    `account` is the tenant's name. `seed` draws the subset and all that is left to chance; without one, each
    client differs."""

    def __init__(
        self, gateways: Sequence[Gateway | str], policy: Policy | None = None, account: str = "",
        seed: int | str | None = None,
    ) -> None:  # fmt: skip
        listed = [Gateway(g) if isinstance(g, str) else g for g in gateways]
        drawn = uuid.uuid4().hex if seed is None else seed
        self.state = core.State(policy or Policy(), listed, drawn)
        self._account = account
        self._pending: dict[int, _Pending] = {}
        self._lines: dict[str, deque[_Line]] = {}
        self._queue: deque[core.Input] = deque()
        self._feeding = self._closed = False
        self._numbers = 0
        self._sweeper: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Client:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def ask(
        self, messages: Sequence[Mapping[str, str]], *, request_class: str, unsafe: bool,
        timeout: float = 8.0, worth: float = 1.0, session: str = "", max_tokens: int = 512,
        prefix: str = "", model: str = "chat",
    ) -> Answer:  # fmt: skip
        """Asks, and returns once the answer has begun. `timeout` (seconds) bounds the wait for its first
        token over all tries. Raises one of this package's errors; `OutcomeUnknown` only if `unsafe`."""
        loop = asyncio.get_running_loop()
        self._numbers += 1
        ident, now = self._numbers, _now()
        body: dict[str, Any] = {"model": model, "stream": True, "max_tokens": max_tokens}
        body["messages"] = [dict(m) for m in messages]
        headers = {"X-Service-Class": request_class, "X-Session-Key": session or uuid.uuid4().hex}
        if self._account:
            headers["X-Account"] = self._account
        if prefix:
            headers["prefix"] = prefix
        pending = _Pending(
            body, headers, time.monotonic(), loop.create_future(), asyncio.Queue(),
            asyncio.Semaphore(MOST_EVENTS),
        )  # fmt: skip
        self._pending[ident] = pending
        self._sweep_later()
        self._feed(core.Asked(ident, unsafe, worth, session, now + int(timeout * core.SECOND)))
        try:
            await pending.first
        except asyncio.CancelledError:
            self._cancel(ident)
            raise
        return Answer(self, ident, pending)

    def use(self, gateways: Sequence[Gateway | str]) -> None:
        """Another list of gateways, from now on."""
        self._feed(core.GatewaysTold(tuple(Gateway(g) if isinstance(g, str) else g for g in gateways)))

    async def close(self) -> None:
        """Ends all that is under way."""
        self._closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
        for ident in list(self._pending):
            self._cancel(ident)
        for lines in self._lines.values():
            for line in lines:
                line.close()
        self._lines.clear()
        await asyncio.sleep(0)

    # --- the core ---------------------------------------------------------------------------------------

    def _cancel(self, ident: int) -> None:
        self._feed(core.Cancelled(ident))
        pending = self._pending.pop(ident, None)
        if pending is not None:
            self._end(pending, None)

    def _feed(self, event: core.Input) -> None:
        self._queue.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._queue:
                for effect in core.reduce(self.state, _now(), self._queue.popleft()):
                    self._carry(effect)
        finally:
            self._feeding = False

    def _carry(self, effect: core.Effect) -> None:
        match effect:
            case core.Send():
                pending = self._pending[effect.request]
                pending.task = asyncio.get_running_loop().create_task(self._try(effect, pending))
            case core.Abandon(request, _):
                pending = self._pending[request]
                if pending.task is not None:
                    pending.task.cancel()
            case core.WakeAt(at, token):
                delay = max(0.0, (at - _now()) / core.SECOND)
                asyncio.get_running_loop().call_later(delay, self._wake, token)
            case core.Done(request):
                whole = self._pending.pop(request)
                if not whole.first.done():  # a stream without one event that could be read: an empty answer
                    whole.first.set_result(None)
                self._end(whole, None)
            case core.Finish(request, end, why, retry_after, local, status):
                found = self._pending.pop(request, None)
                if found is not None:
                    error = _error(end, why, found, retry_after / core.SECOND, local, status)
                    error.attempts = tuple(found.attempts)
                    self._end(found, error)

    def _wake(self, token: tuple[Any, ...]) -> None:
        if not self._closed:
            self._feed(core.Woken(token))

    @staticmethod
    def _end(pending: _Pending, error: ClientError | None) -> None:
        if not pending.first.done():
            if error is None:
                pending.first.cancel()
            else:
                pending.first.set_exception(error)
            return
        pending.events.put_nowait(error)

    # --- one try ----------------------------------------------------------------------------------------

    async def _try(self, effect: core.Send, pending: _Pending) -> None:
        ident, number = effect.request, effect.number
        began = time.monotonic() - pending.began
        attempt = Attempt(effect.gateway, uuid.uuid4().hex[:16], effect.repeat, began)
        pending.attempts.append(attempt)
        line: _Line | None = None
        outcome: core.Input | None = None
        try:
            line = await self._acquire(effect)
            head, body = self._request(effect, pending, attempt.correlation)
            await line.send(head, body)
            self._feed(core.Written(ident, number))
            answer = await line.event()
            if not isinstance(answer, h11.Response):
                raise _Broken(How.NOISE)
            if answer.status_code != 200:
                await self._refused(line, answer)
            await self._stream(line, ident, number, pending)
            attempt.how, outcome = "served", core.Ended(ident, number)
            self._give_back(line)
        except _Broken as broken:
            attempt.how = broken.how.value
            outcome = core.Broke(ident, number, broken.how, broken.status, broken.retry_after)
            if line is not None:
                if broken.how in (How.REFUSED, How.REJECTED, How.FAILED):
                    self._give_back(line)
                else:
                    line.close()
        except asyncio.CancelledError:
            attempt.how = attempt.how or "called off"
            if line is not None:
                line.close()
            raise
        finally:
            attempt.ended = time.monotonic() - pending.began
        self._feed(outcome)

    def _request(self, effect: core.Send, pending: _Pending, correlation: str) -> tuple[h11.Request, bytes]:
        """A resumed one holds the answer so far, so that the engine goes on from its last token."""
        body, text = dict(pending.body), "".join(pending.text)
        if effect.repeat == "again" and text:
            body["messages"] = [*body["messages"], {"role": "assistant", "content": text}]
        prompt = sum(len(str(m.get("content", ""))) for m in body["messages"]) // 4
        facts = f"prompt_len={prompt},max_out={body['max_tokens']}"
        fields = dict(pending.headers)
        if "prefix" in fields:
            first = len(str(body["messages"][0].get("content", ""))) // 4
            facts = f"prefix={fields.pop('prefix')},prefix_len={first},{facts}"
        raw = json.dumps(body, ensure_ascii=False).encode()
        left = max(1, (effect.time_left - core.MS) // core.MS)
        fields.update({
            "Host": effect.gateway, "X-Correlation-Id": correlation, "X-Time-Left-Ms": str(left),
            "X-Facts": facts, "Content-Type": "application/json", "Content-Length": str(len(raw)),
        })  # fmt: skip
        if effect.repeat:
            fields["X-Repeat"] = effect.repeat
        head = h11.Request(method="POST", target="/v1/chat/completions", headers=list(fields.items()))
        return head, raw

    async def _refused(self, line: _Line, answer: h11.Response) -> None:
        """An answer that is none: raises what it says."""
        size = 0
        while not isinstance(event := await line.event(DIAL_PATIENCE), h11.EndOfMessage):
            size += len(event.data) if isinstance(event, h11.Data) else 0
            if size > BODY_LIMIT or not isinstance(event, h11.Data):
                raise _Broken(How.NOISE)
        status = answer.status_code
        told = dict(answer.headers).get(b"retry-after", b"").decode("latin-1")
        if status in (429, 503):
            raise _Broken(How.REFUSED, status, told)
        raise _Broken(How.REJECTED if 400 <= status < 500 else How.FAILED, status)

    async def _stream(self, line: _Line, ident: int, number: int, pending: _Pending) -> None:
        """Whole events alone count: what came of one that broke off is asked for again."""
        events, tail = Events(), b""
        while True:
            event = await line.event(SILENCE)
            if isinstance(event, h11.EndOfMessage):
                if not ends_whole(tail):
                    raise _Broken(How.CUT)
                return
            if not isinstance(event, h11.Data):
                raise _Broken(How.CUT)
            tail = tail_of(tail, event.data)
            try:
                whole = events.feed(bytes(event.data))
            except TooLong as error:
                raise _Broken(How.NOISE) from error
            for raw in each(whole):
                await self._deliver(raw, ident, number, pending)

    async def _deliver(self, raw: bytes, ident: int, number: int, pending: _Pending) -> None:
        data = data_of(raw)
        if data is None or data.strip() == "[DONE]":
            return
        try:
            value = json.loads(data)
        except ValueError:
            self.state.counters["events_odd"] += 1
            return
        if not isinstance(value, dict):
            self.state.counters["events_odd"] += 1
            return
        if not pending.first.done():
            pending.first.set_result(None)
        self._feed(core.FirstEvent(ident, number))
        pending.text.append(text_of(value))
        pending.events.put_nowait(value)
        await pending.room.acquire()

    # --- connections ------------------------------------------------------------------------------------

    async def _acquire(self, effect: core.Send) -> _Line:
        lines = self._lines.get(effect.gateway, deque())
        oldest = time.monotonic() - effect.most_rested / core.SECOND
        stale = 0
        while lines:
            line = lines.pop()
            if not line.gone() and line.rests_since >= oldest:
                return line
            line.close()
            stale += 1
            if stale > 1:  # the core has counted one as used
                self._feed(core.Lost(effect.gateway, asked=True))
        try:
            async with asyncio.timeout(min(DIAL_PATIENCE, effect.time_left / core.SECOND)):
                reader, writer = await self._dial(effect.gateway)
        except (OSError, ValueError) as error:
            raise _Broken(How.UNREACHABLE) from error
        self.state.counters["dials"] += 1
        return _Line(effect.gateway, reader, writer)

    async def _dial(self, gateway: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection. What fails on this machine says nothing of the gateway, and is tried again."""
        host, _, port = gateway.rpartition(":")
        while True:
            try:
                return await asyncio.open_connection(host.strip("[]"), int(port), limit=READ_SIZE)
            except OSError as error:
                if faults.of_connect(error) is faults.FaultScope.REMOTE:
                    raise
            self.state.counters["local_dial_faults"] += 1
            await asyncio.sleep(LOCAL_FAULT_PAUSE)

    def _give_back(self, line: _Line) -> None:
        lines = self._lines.setdefault(line.address, deque())
        if self._closed or len(lines) >= self.state.policy.keep or not line.reusable():
            line.close()
            return
        line.rests_since = time.monotonic()
        lines.append(line)
        self._feed(core.Kept(line.address))

    def _sweep_later(self) -> None:
        if self._sweeper is None and not self._closed:
            self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        """Closes what has rested too long, before its gateway does, and notices what was closed there."""
        self._sweeper = None
        oldest = time.monotonic() - self.state.policy.idle / core.SECOND
        for address, lines in list(self._lines.items()):
            for line in list(lines):
                gone = line.gone()
                if gone or line.rests_since < oldest:
                    lines.remove(line)
                    line.close()
                    self._feed(core.Lost(address, asked=not gone))
            if not lines:
                del self._lines[address]
        if self._lines or self._pending:
            self._sweep_later()


def _now() -> int:
    return time.monotonic_ns() // 1000


def _error(
    end: core.End, why: str, pending: _Pending, retry_after: float, local: bool, status: int
) -> ClientError:
    ids = pending.ids()
    if end is core.End.REFUSED:
        return Refused(why, ids, retry_after, local)
    if end is core.End.REJECTED:
        return Rejected(why, ids, status)
    if end is core.End.BROKEN:
        return StreamBroken(why, ids, "".join(pending.text))
    return ERRORS[end](why, ids)
