"""Which writer gets a request, and which is asked to hold a place for it: the roomiest near its reader.

Where many routers choose, what each knows is old: writer_draw.py.
"""

from __future__ import annotations

from math import exp2

from basaltspread import interface as api
from basaltspread.control.load_view import Request, Worker
from basaltspread.policy.writer_draw import NEAR_MARGIN, ROOM_MEMORY, WriterDraw
from basaltspread.structures.hashing import hashed, rank

EQUAL_ROOM = 0.05  # share of memory within which writers are drawn by lot: else all rush to the same one
PLACE_TRIES = 2  # writers asked to hold a place, a request


class WriterChoice(WriterDraw):
    """The choice of a writer, and of the place that is held ahead."""

    def _room(self, worker: Worker, average: float) -> float:
        """Free share of memory: as told, fading to the pool's average, less own sends; else own streams."""
        if "memory_share" not in self.s.report_fields or not worker.memory:
            return -sum(worker.writes.values()) / worker.weight
        usual = 1.0 if self.slow_start.is_cold(self.now, worker) else average  # who has just started is empty
        told = 1 - worker.report["memory_share"] if "memory_share" in worker.report else usual
        fresh = exp2((worker.told_at - self.now) / ROOM_MEMORY)
        return usual + (told - usual) * fresh - sum(worker.sent.values()) / worker.memory

    def _writer_pool(self, request: Request, near: Worker | None) -> list[Worker]:
        """The writers that may get this request now."""
        return self._pool(request, self.candidates.writers(request, near))

    def _choose_writer(self, request: Request, near: Worker | None, pool: list[Worker]) -> Worker | None:
        """The roomiest of the reader's cell, else of its zone, else of all, where nearer ones are fuller."""
        pool = [w for w in pool if w.name not in request.asked] or pool
        if not pool:
            return None
        if self.many:
            return self._draw_writer(request, near, pool)
        self.chosen_for = api.ChoiceReason.LEAST_LOADED
        cold = {w.name for w in pool if self.slow_start.is_cold(self.now, w)}
        warm = [w for w in pool if w.name not in cold]
        heard = [1 - w.report["memory_share"] for w in warm if "memory_share" in w.report]
        average = sum(heard) / len(heard) if heard else 1.0
        rooms, key = {w.name: self._room(w, average) for w in pool}, hashed(request.id)
        top = max(rooms.values())
        spread = NEAR_MARGIN * (1 if "memory_share" in self.s.report_fields else abs(min(rooms.values())))
        if self._link(near) in self.far_time and self.near_time > 0:
            # Slow links: a nearer writer may be fuller by as much as answers leaving this cell begin later.
            spread *= max(1.0, self.far_time[self._link(near)] / self.near_time)
        cell = [w for w in pool if near is not None and w.cell == near.cell]
        zone = [w for w in pool if near is not None and w.zone == near.zone]
        for group in (cell, zone, pool):
            best = max((rooms[w.name] for w in group), default=top - spread - 1)
            if best >= top - spread:
                # An allowance is soon void, and tells that there is room.
                equal = [w for w in group if rooms[w.name] >= best - EQUAL_ROOM or w.name in cold]
                return max(equal, key=lambda w: (w.name in cold, rank(key, w.hash)))
        return None

    def _hold_place(self, request: Request) -> None:
        """Hold a place ahead at the roomiest near writer; one further try if the first refuses. None is held
        at a writer in slow start: what is sent there has to be allowed when it is sent."""
        if not self.s.places_ahead or request.out is None or len(request.asked) >= PLACE_TRIES:
            return
        reader = request.out.worker
        worker = self._choose_writer(request, reader, self._writer_pool(request, reader))
        if worker is None or self.slow_start.is_cold(self.now, worker):
            return
        if worker.name not in request.asked:
            request.place, request.holds = worker, True
            request.asked.append(worker.name)
            self.out.append(api.HoldPlace(request.id, worker.name))
