"""Real gateways as processes: started, told, held up, killed and replaced, each by its own id.

It writes down how each process began and ended. It must never judge.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from soak.observations import GatewayEnd, Observations, Told

ROOT = Path(__file__).resolve().parent.parent
SHIM = ROOT / "soak" / "shim"
RECORD = struct.Struct("<iiiiiiq")  # as in shim/sitecustomize.py
READY_PATIENCE = 30.0  # s
GRACE = 3.7  # s from SIGTERM to SIGKILL
HOLD_UP = 0.15  # s
MEMORY_STEP = 0.1  # s between two looks at the resident size
Step = tuple[signal.Signals, float]  # a signal, and s until the next
SUSPICIOUS = ("fault", "Traceback", "invariant", "Error")
MOST_SUSPICIOUS = 20  # lines kept of one process


def resident_peak(pid: int) -> int:
    """The largest resident size that a process has had, in KB; 0 where it has ended."""
    try:
        found = re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0
    return int(found[1]) if found else 0


class Shim:
    """The figures that one gateway's system calls follow."""

    FIELDS = ("accept", "connect", "socket", "files", "receive", "most_bytes", "step_ms")

    def __init__(self, path: Path) -> None:
        self.path = path
        self._figures = dict.fromkeys(self.FIELDS, 0)
        self._write()

    def set(self, **figures: int) -> None:
        self._figures.update(figures)
        self._write()

    def _write(self) -> None:
        mode = "r+b" if self.path.exists() else "w+b"
        with self.path.open(mode) as file:
            file.write(RECORD.pack(*self._figures.values()))


class GatewayProcess:
    """One gateway, and the process or two that it is at a time."""

    def __init__(
        self, seen: Observations, number: int, folder: Path, config: dict[str, Any], program: Path = ROOT
    ) -> None:
        """`program`: the checkout whose gateway is run."""
        self._program = program
        self.number, self._seen, self._folder, self.config = number, seen, folder, config
        folder.mkdir()
        self.shim = Shim(folder / "shim")
        self.file = folder / "config.json"
        self.door: socket.socket | None = None
        self.management = ""
        self.serving = ""  # the address that its newest process serves
        self.process: asyncio.subprocess.Process | None = None
        self.life: GatewayEnd | None = None
        self._count = 0
        self.known_is_new = True  # the list in its configuration is discovery's of now
        self._readers: set[asyncio.Task[None]] = set()
        self.lock = asyncio.Lock()  # one thing at a time is done to its process

    def inherit(self) -> None:
        """Its address outlives its processes: a new version can take over."""
        host, _, port = self.address.rpartition(":")
        self.door = socket.create_server((host, int(port)), backlog=512)

    @property
    def address(self) -> str:
        return str(self.config["listen"])

    def write_config(self) -> None:
        draft = self.file.with_suffix(".new")
        draft.write_text(json.dumps(self.config))
        os.replace(draft, self.file)

    async def start(self) -> None:
        """One more process; returns once it serves."""
        self.write_config()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment.update({
            "RELAY_CONFIG": str(self.file), "TMPDIR": str(self._folder), "SOAK_SHIM": str(self.shim.path),
            "PYTHONPATH": str(SHIM),
        })  # fmt: skip
        if self.door is not None:
            environment["RELAY_FD"] = str(self.door.fileno())
        self._count += 1
        life = GatewayEnd(self.number, time.monotonic(), inherits=self.door is not None)
        life.memory_mb = self.config["limits"]["memory_mb"]
        self._seen.processes.append(life)
        if self.known_is_new:  # its configuration tells it as well; one left as it was tells nothing anew
            for entry in self.config["known"]["instances"]:
                told = entry["instanceId"], entry["lifecycle"], entry["startedAtMs"]
                self._seen.told.append(Told(self.number, *told, life.started_at))
        self.known_is_new = False
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "basaltspread", cwd=self._program, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE, limit=1 << 20,
            pass_fds=() if self.door is None else (self.door.fileno(),),
        )  # fmt: skip
        self.process, self.life = process, life
        ready = asyncio.Event()
        for work in (self._read(process, life, ready), self._watch_memory(process, life)):
            task = asyncio.create_task(work)
            self._readers.add(task)
            task.add_done_callback(self._readers.discard)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_PATIENCE):
                await ready.wait()

    async def _read(
        self, process: asyncio.subprocess.Process, life: GatewayEnd, ready: asyncio.Event
    ) -> None:
        """Its log, to the end of the process."""
        assert process.stderr is not None
        with (self._folder / f"log-{self._count}").open("wb") as log:
            while line := await process.stderr.readline():
                log.write(f"{time.monotonic():.3f} ".encode() + line)
                self._note(line.decode(errors="replace").rstrip(), life, ready)
        life.exit_code = await process.wait()
        life.ended_at = time.monotonic()
        ready.set()

    @staticmethod
    async def _watch_memory(process: asyncio.subprocess.Process, life: GatewayEnd) -> None:
        while process.returncode is None:
            life.peak_kb = resident_peak(process.pid) or life.peak_kb
            await asyncio.sleep(MEMORY_STEP)

    def _note(self, line: str, life: GatewayEnd, ready: asyncio.Event) -> None:
        life.lines += 1
        if " operators call " in line:
            self.management = line.split()[-1]
        if " serving " in line:
            self.serving = line.split()[-1]
            life.ready_at = time.monotonic()
            ready.set()
        if "counters " in line:
            pairs = (pair.split("=") for pair in line.split("counters ")[1].split())
            life.counters = {name: int(value) for name, value in pairs}
        elif any(word in line for word in SUSPICIOUS) and len(life.suspicious) < MOST_SUSPICIOUS:
            life.suspicious.append(line)

    def signal(self, number: signal.Signals) -> None:
        """To the newest process; it may have ended."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self, before: Sequence[Step] = (), after: Sequence[Step] = ()) -> None:
        """SIGTERM, its grace, and SIGKILL for what is left; other signals may come before and after it."""
        if self.process is not None and self.life is not None:
            await self._tell_to_end(self.process, self.life, before, after)

    async def _tell_to_end(
        self, process: asyncio.subprocess.Process, life: GatewayEnd, before: Sequence[Step] = (),
        after: Sequence[Step] = (),
    ) -> None:  # fmt: skip
        if process.returncode is not None:
            return
        await self._steps(process, before)
        life.told_to_end_at = time.monotonic()
        await self._steps(process, ((signal.SIGTERM, 0.0), *after))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(life.told_to_end_at + GRACE - time.monotonic()):
                await process.wait()
                return
        await self.kill(process, life)

    @staticmethod
    async def _steps(process: asyncio.subprocess.Process, steps: Sequence[Step]) -> None:
        for number, pause in steps:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
            if pause:
                await asyncio.sleep(pause)

    async def kill(self, process: asyncio.subprocess.Process, life: GatewayEnd) -> None:
        if process.returncode is None:
            life.killed_at = time.monotonic()
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def hand_over(self) -> None:
        """A new process starts beside the old one, which is then told to end."""
        old, old_life = self.process, self.life
        await self.start()
        if old is not None and old_life is not None:
            await self._tell_to_end(old, old_life)

    async def hold_up(self, time: float = HOLD_UP) -> None:
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(time)
        self.signal(signal.SIGCONT)

    async def operate(self, call: str) -> bool:
        """One operator's call; whether it was answered 200."""
        host, _, port = self.management.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port or 0))
                writer.write(f"PUT {call} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError, ValueError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def kept_bans(self) -> list[str]:
        """The engines that its folder says are left out."""
        try:
            path = next(self._folder.glob("basaltspread-*-engines.json"))
            return list(json.loads(path.read_text())["disabled"])
        except (StopIteration, OSError, ValueError, KeyError):
            return []

    async def end(self) -> None:
        """At the end of the soak, whatever became of it: nothing of it goes on."""
        if self.process is not None and self.life is not None:
            self.signal(signal.SIGCONT)
            await self.kill(self.process, self.life)
        if self._readers:
            await asyncio.wait(self._readers, timeout=5.0)
        if self.door is not None:
            self.door.close()
