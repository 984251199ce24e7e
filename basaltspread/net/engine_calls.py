"""Small calls to engines: questions for places, releases, and probes, as the protocol words them on HTTP/1.1.

It must never choose an engine, nor decide what an answer means for a request.
"""

from __future__ import annotations

import asyncio
import logging

from basaltspread import core
from basaltspread.control.descriptor_budget import DescriptorUse
from basaltspread.core import Ending, Place
from basaltspread.endings import NEVER_RAN
from basaltspread.net.links import LinkError
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.parsing import parse_report
from basaltspread.net.runtime import Runtime

log = logging.getLogger("basaltspread")
RELEASE_WAIT = 0.5  # s for an answer about a release
PROBE_WAIT = 1.0  # s for an answer to a probe
PLACE_WAIT = 20.0  # s for an answer about a place: longer than most engines hang
PLACE_ANSWERS = {200: Place.HELD, 409: Place.NOT_HELD, 404: Place.NOT_HELD}
PLACE_LINES = 10  # log lines in a second about questions for places that failed


class PlaceCall:
    """A question whether a writer holds a place, under way."""

    __slots__ = ("begun", "heard", "task")

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.begun = False  # its first byte has gone out
        self.heard = Place.UNANSWERED


class EngineCalls:
    """Carries out the core's effects that are one small exchange with an engine."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._places: dict[tuple[str, str], PlaceCall] = {}
        self._place_lines = LineLimit(PLACE_LINES)
        self._odd_report_lines = LineLimit()
        runtime.carry.update({
            core.AskPlace: self._ask_place, core.DropPlace: self._drop_place,
            core.AbandonPlace: self._abandon_place, core.SendRelease: self._send_release,
            core.StartProbe: self._start_probe,
        })  # fmt: skip

    def _ask_place(self, effect: core.AskPlace) -> None:
        key, call = (effect.request, effect.worker), PlaceCall()

        def over(task: asyncio.Task[None]) -> None:
            """Also for a task that was dropped before its first step: the core waits for this input."""
            del self._places[key]
            place = call.heard
            if task.cancelled():
                place = Place.UNANSWERED if call.begun else Place.NOT_ASKED
            self._runtime.feed(core.PlaceEnded(effect.request, effect.number, effect.worker, place))

        call.task = self._runtime.spawn(self._place(effect, call), f"place {key}")
        self._places[key] = call
        call.task.add_done_callback(over)

    async def _place(self, effect: core.AskPlace, call: PlaceCall) -> None:
        def permitted() -> bool:
            call.begun = not self._runtime.place_denied(effect.request, effect.worker)
            return call.begun

        # An engine that hangs may take the question as it wakes up, closed or not: its answer is waited for,
        # and what it then keeps is released.
        try:
            reply = await self._runtime.pool.call(
                effect.address, "POST", f"/state/{effect.request}", wait=PLACE_WAIT, permitted=permitted
            )
            call.heard = PLACE_ANSWERS.get(reply.status, Place.UNKNOWN)
        except LinkError as error:
            never = not call.begun or error.ending in NEVER_RAN
            call.heard = Place.NOT_ASKED if never else Place.UNANSWERED
            self._runtime.count("place_calls_failed")
            if call.begun and self._place_lines.due():
                log.info("place of %s at %s: %s", effect.request, effect.worker, error)

    def _drop_place(self, effect: core.DropPlace) -> None:
        call = self._places.get((effect.request, effect.worker))
        if call is not None and call.task is not None and not call.begun:
            call.task.cancel()

    def _abandon_place(self, effect: core.AbandonPlace) -> None:
        call = self._places.get((effect.request, effect.worker))
        if call is not None and call.task is not None:
            call.task.cancel()

    def _send_release(self, effect: core.SendRelease) -> None:
        self._runtime.spawn(self._release(effect), f"release {effect.request}")

    async def _release(self, effect: core.SendRelease) -> None:
        ending = Ending.GATEWAY_FAULT
        try:
            await self._runtime.pool.call(
                effect.address, "DELETE", f"/state/{effect.request}", wait=RELEASE_WAIT,
                use=DescriptorUse.RELEASE,
            )  # fmt: skip
            ending = Ending.SERVED
        except LinkError as error:
            ending = error.ending
            self._runtime.count("release_calls_failed")
            log.info("release of %s by %s: %s", effect.request, effect.worker, error)
        finally:
            self._runtime.feed(core.ReleaseEnded(effect.request, effect.worker, ending))

    def _start_probe(self, effect: core.StartProbe) -> None:
        self._runtime.spawn(self._probe(effect), f"probe {effect.worker}")

    async def _probe(self, effect: core.StartProbe) -> None:
        started, ending = self._runtime.clock.now(), Ending.GATEWAY_FAULT
        report: dict[str, float] = {}
        try:
            reply = await self._runtime.pool.call(effect.address, "GET", "/stats", wait=PROBE_WAIT)
            ending = Ending.SERVED if reply.status == 200 else Ending.SERVER_ERROR
            if ending is Ending.SERVED:
                report = self.report(effect.worker, reply.body)
        except LinkError as error:
            ending = error.ending
        finally:
            self._runtime.feed(
                core.Probed(effect.worker, ending, self._runtime.clock.now() - started, report)
            )

    def report(self, worker: str, text: bytes) -> dict[str, float]:
        """An engine's load; nothing where it can't be read, which is counted, and said once a second."""
        report = parse_report(text.decode("latin-1"))
        if text and not report:
            self._runtime.count("reports_unreadable")
            if self._odd_report_lines.due():
                log.warning("load report of %s can't be read: %r", worker, text[:64])
        return report
