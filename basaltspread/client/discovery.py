"""Where a client's list of gateways comes from: fixed, a file that may change, or Eureka.

It owns the reading of those lists. It must never empty a list because its source is silent or spoilt: the
last good one stays in use, and each fault is counted.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import h11

from basaltspread.client.core import Gateway

LOOK = 1.0  # s between two looks at a file
ASK = 5.0  # s between two questions to a registry
PATIENCE = 3.0  # s in which something of an answer has to come
LIST_PATIENCE = 30.0  # s for the whole of it
LIST_LIMIT = 8 * 1024 * 1024  # bytes
READ_SIZE = 65536  # bytes that are read at once
Use = Callable[[Sequence[Gateway]], None]


def from_text(text: str) -> list[Gateway]:
    """One gateway a line, `host:port` and perhaps its zone; `#` begins a comment. Raises ValueError with the
    line that is wrong, and for a list without a gateway."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        host, _, port = words[0].rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65535 or len(words) > 2:
            raise ValueError(f"line {number}: {line.strip()!r} is not `host:port` and perhaps a zone")
        found.append(Gateway(words[0], words[1] if len(words) == 2 else ""))
    if not found:
        raise ValueError("no gateway in it")
    return found


def from_eureka(raw: Any, application: str) -> list[Gateway]:
    """The instances of an application that are UP, in Eureka's JSON. Raises ValueError for what is none, and
    where nobody is up: a registry that is briefly empty is no word that all are gone."""
    outer = raw.get("applications") if isinstance(raw, dict) else None
    apps = outer.get("application") if isinstance(outer, dict) else None
    found = []
    for app in apps if isinstance(apps, list) else [apps]:
        if not isinstance(app, dict) or str(app.get("name", "")).upper() != application.upper():
            continue
        instances = app.get("instance")
        for instance in instances if isinstance(instances, list) else [instances]:
            if not isinstance(instance, dict) or instance.get("status") != "UP":
                continue
            port = instance.get("port")
            number = port.get("$") if isinstance(port, dict) else port
            host = instance.get("ipAddr") or instance.get("hostName")
            about = instance.get("metadata")
            zone = about.get("zone", "") if isinstance(about, dict) else ""
            if isinstance(host, str) and isinstance(number, int):
                found.append(Gateway(f"{host}:{number}", str(zone)))
    if not found:
        raise ValueError(f"no instance of {application} is up")
    return found


class Source:
    """Keeps a client's list as its source has it. `counters` holds `lists_used` and `lists_faulty`."""

    def __init__(self, use: Use) -> None:
        self._use, self._last = use, list[Gateway]()
        self._task: asyncio.Task[None] | None = None
        self.counters: Counter[str] = Counter()
        self.fault = ""  # what was wrong last; empty if nothing

    def take(self, read: Callable[[], list[Gateway]]) -> None:
        """Uses what this reads, unless it is faulty or nothing new."""
        try:
            found = read()
        except (OSError, ValueError) as error:
            self.counters["lists_faulty"] += 1
            self.fault = str(error)
            return
        self.fault = ""
        if found != self._last:
            self._last = found
            self.counters["lists_used"] += 1
            self._use(found)

    def watch_file(self, path: str, look: float = LOOK) -> None:
        self._task = asyncio.get_running_loop().create_task(self._file(Path(path), look))

    def watch_eureka(self, address: str, application: str, path: str = "/eureka", ask: float = ASK) -> None:
        self._task = asyncio.get_running_loop().create_task(self._eureka(address, application, path, ask))

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _file(self, path: Path, look: float) -> None:
        seen: tuple[int, int, int] | None = None
        while True:
            with contextlib.suppress(OSError):
                about = os.stat(path)
                if (now := (about.st_ino, about.st_mtime_ns, about.st_size)) != seen:
                    seen = now
                    self.take(lambda: from_text(path.read_text("utf-8")))
            await asyncio.sleep(look)

    async def _eureka(self, address: str, application: str, path: str, ask: float) -> None:
        while True:
            try:
                body = await _get(address, f"{path}/apps/{application}")
                self.take(lambda body=body: from_eureka(_wrapped(json.loads(body)), application))  # type: ignore[misc]
            except (OSError, ValueError) as error:
                self.counters["lists_faulty"] += 1
                self.fault = repr(error)
            await asyncio.sleep(ask)


def _wrapped(raw: Any) -> Any:
    """One application's answer in the form of the whole list's."""
    return {"applications": raw} if isinstance(raw, dict) and "application" in raw else raw


async def _get(address: str, target: str) -> bytes:
    """The body of one GET on a connection of its own; raises OSError (TimeoutError where it is silent), and
    ValueError for what is no whole answer of status 200."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(PATIENCE):
        reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    try:
        http = h11.Connection(h11.CLIENT)
        headers = [("Host", address), ("Accept", "application/json"), ("Connection", "close")]
        for event in (h11.Request(method="GET", target=target, headers=headers), h11.EndOfMessage()):
            writer.write(http.send(event) or b"")
        async with asyncio.timeout(LIST_PATIENCE):
            return await _body(http, reader)
    except h11.RemoteProtocolError as error:
        raise ValueError(f"not HTTP/1.1: {error}") from error
    finally:
        writer.close()


async def _body(http: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """What follows until the end of an answer, however it is framed."""
    parts, size = list[bytes](), 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(PATIENCE):
                http.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise ValueError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > LIST_LIMIT:
                raise ValueError(f"a list of over {LIST_LIMIT} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        elif isinstance(event, h11.ConnectionClosed):
            raise ValueError("the connection ended without an answer")
