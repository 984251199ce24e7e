"""The steps of the reducer that concern engines: discovery's list, operators' orders, probes, and what the
other gateways tell of them.

It never chooses an engine: it tells the module which there are, and ends what has not begun at those that
leave.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, ClassVar

from basaltspread import interface as api
from basaltspread.control import list_check
from basaltspread.control.picture import BadWord, Word
from basaltspread.core.messages import (
    BansTold,
    Departure,
    DeparturesTold,
    DropPlace,
    Effect,
    FetchWholeList,
    KeepBans,
    KeepDepartures,
    Listed,
    ListTold,
    Operate,
    OperatorAnswer,
    Order,
    PeerTold,
    Probed,
    Recalled,
    Say,
    Sharing,
    StartProbe,
    TellPeers,
    Wake,
)
from basaltspread.core.state import State, is_up
from basaltspread.endings import OUTCOMES, Ending
from basaltspread.interface import WorkerState

MS = 1000
LEFT_KEPT = 60_000 * MS  # for which an older list can't bring back an engine that was told to have left
ODD_WORDS_STEP = 1000 * MS  # between two log lines about peers' messages that can't be read; all are counted
ODD_LIST_STEP = 10_000 * MS  # the same about odd entries of the list, which may come with each list
ODD_SAID = 5  # odd entries that such a line names
MOST_BANS = 1024  # engines left out at once, listed or not
DRAIN_DOOR = 1000 * MS  # after an operator's drain, idle clients stay so long: a front learns of it by asking


class FleetSteps:
    """The part of a step by which engines come and go."""

    state: State
    now: int
    tell: Callable[[api.Event], None]
    decide_all: Callable[[], None]
    do: Callable[[Effect], None]
    count: Callable[[str], None]
    decided: Callable[..., None]
    _close: Callable[..., None]
    _noted: Callable[[str, Ending], None]

    def list_told(self, event: ListTold) -> None:
        self.count("lists_" + event.kind.value)
        state = self.state
        entries = self._believed(self._in_order(event), event.wall_shifts)
        whole = event.kind in (api.ListKind.FULL, api.ListKind.CACHED)
        named = {listed.entry.name for listed in entries}
        gone = [name for name in state.listed if name not in named] if whole else []
        for listed in entries:
            if listed.entry.state is WorkerState.REMOVED:
                gone.append(listed.entry.name)
            else:
                state.listed[listed.entry.name] = listed
        for name in gone:
            self._forget_engine(name)
        state.starts.unlisted(self.now, gone)
        if event.kind is not api.ListKind.CACHED:  # that one was kept, and may be of any time
            state.starts.list_ended(self.now)
        state.version = max(state.version, event.version)
        self._fleet_changed(event.kind, event.version, entries, gone)

    def _forget_engine(self, name: str) -> None:
        """It is not listed any more."""
        state = self.state
        for known in (state.listed, state.signs_asked, state.returned):
            known.pop(name, None)
        state.contacts.forget(name)

    def _in_order(self, event: ListTold) -> tuple[Listed, ...]:
        """The entries, less what is older than what was told before. Guards against a discovery that goes
        back, as one may to which a reload moves: an engine told to drain or to go would count as up again."""
        state = self.state
        gone: dict[str, Listed] = {}
        if event.kind is not api.ListKind.DELTA:  # who is not in a whole list has gone
            named = {w.entry.name for w in event.entries}
            gone = {n: w for n, w in state.listed.items() if n not in named}
        out, back = list[Listed](), 0
        for listed in event.entries:
            entry = listed.entry
            if entry.state is not WorkerState.UP:
                gone[entry.name] = state.listed.get(entry.name, listed)
            elif self._has_left(entry, event.version):
                listed, back = Listed(replace(entry, state=WorkerState.DRAINING), listed.address), back + 1
            out.append(listed)
        self._note_departures(gone, event.version)
        if back:
            self.count("lists_gone_back")
            self.do(Say(f"the list went back to version {event.version}; {back} engines still drain"))
        return tuple(out)

    def _has_left(self, entry: api.WorkerEntry, version: int) -> bool:
        """Whether a newer list than this version told that it leaves, and it has not started since."""
        told = self.state.departures.get(entry.name)
        if told is None or self.now >= told.told_at + LEFT_KEPT:
            return False
        return version < told.version and entry.started == told.started

    def _note_departures(self, gone: Mapping[str, Listed], version: int) -> None:
        """These are told to drain or to be gone; a process that follows this one has to know."""
        known = self.state.departures
        for name, listed in gone.items():
            if name not in known or version >= known[name].version:
                known[name] = Departure(listed.entry.started, version, self.now)
        self._forget_departures()
        if gone:
            self.do(KeepDepartures(dict(self.state.departures)))

    def _forget_departures(self) -> None:
        oldest = self.now - LEFT_KEPT
        kept = {name: told for name, told in self.state.departures.items() if told.told_at > oldest}
        self.state.departures = kept

    def departures_told(self, event: DeparturesTold) -> None:
        """An earlier process knew of them; what it was told counts for this one."""
        self.state.departures = {**event.departures, **self.state.departures}
        self._forget_departures()
        self.count("departures_recalled")

    def _believed(self, entries: Iterable[Listed], wall_shifts: tuple[int, ...]) -> tuple[Listed, ...]:
        """The entries, with what can't be true put right. Guards slow start against a list that would make
        an engine look warm, or larger than any."""
        state, out, odd = self.state, list[Listed](), list[str]()
        latest = self.now + max(wall_shifts)
        for listed in entries:
            known = state.listed.get(listed.entry.name)
            entry, wrong = list_check.checked(
                listed.entry, known.entry if known else None, latest, len(state.settings.kinds)
            )
            for oddity in wrong:
                self.count("list_oddity_" + oddity.name.lower())
                odd.append(f"{entry.name} {oddity.value}")
            if entry.state is not WorkerState.REMOVED:
                state.starts.listed(entry.name, entry.started, self.now, wall_shifts)
            out.append(Listed(entry, listed.address))
        said = state.odd_list_said_at
        if odd and (said is None or self.now >= said + ODD_LIST_STEP):
            state.odd_list_said_at = self.now
            self.do(Say(f"{len(odd)} odd entries in the list: " + "; ".join(odd[:ODD_SAID])))
        return tuple(out)

    def _treated(self, listed: Listed) -> Listed:
        """An engine that is left out counts as draining, and one let in again as started just then: it may
        have been restarted meanwhile, and discovery may tell of that late."""
        entry, state = listed.entry, self.state
        if entry.name in state.disabled and entry.state is WorkerState.UP:
            entry = replace(entry, state=WorkerState.DRAINING)
        started = max(state.starts.since(entry.name), state.returned.get(entry.name, 0))
        return Listed(replace(entry, started=started), listed.address)

    def _fleet_changed(
        self, kind: api.ListKind, version: int, changed: Iterable[Listed], gone: Iterable[str] = ()
    ) -> None:
        """The one path by which engines come and go, on discovery's word or an operator's. Costs a few steps
        for each engine that has changed or is not listed any more."""
        state, entries = self.state, list[api.WorkerEntry]()
        stopped, restarted = set[str](), set[str]()
        for listed in changed:
            treated, name = self._treated(listed), listed.entry.name
            entries.append(treated.entry)
            if treated.entry.state is not WorkerState.UP and is_up(state, name):
                stopped.add(name)
            elif name in state.workers and treated.entry.started > state.workers[name].entry.started:
                restarted.add(name)
            if name in state.listed:
                state.workers[name] = treated
                state.engine_names.add(name)
            if state.picture is not None:
                state.picture.changed(treated.entry)
        for name in gone:
            if is_up(state, name):
                stopped.add(name)
            left = state.workers.pop(name, None)
            state.engine_names.discard(name)
            if left is not None and state.picture is not None:
                state.picture.changed(replace(left.entry, state=WorkerState.REMOVED))
        self.tell(api.WorkerList(kind, version, tuple(entries)))
        self._call_back_unsent(stopped, Ending.WITHDRAWN)
        self._call_back_unsent(restarted, Ending.CALLED_BACK_UNSENT)

    def _call_back_unsent(self, engines: set[str], ending: Ending) -> None:
        """What waits for a connection there would go out whenever that comes up: long after a drain was told,
        or to a cold engine although it was chosen as a warm one."""
        if not engines:
            return
        for request in self.state.requests.values():
            for worker in engines.intersection(request.held.questions()):
                self.do(DropPlace(request.id, worker))
            for attempt in request.out():
                if attempt.worker in engines and not attempt.begun:
                    self._close(request, attempt, ending, abandon=True)

    def probe(self, action: api.Probe) -> None:
        listed = self.state.workers.get(action.worker)
        if listed is not None:
            self.count("probes")
            self.state.contacts.began(action.worker, self.now)
            self.do(StartProbe(action.worker, listed.address))

    def probed(self, event: Probed) -> None:
        self._noted(event.worker, event.ending)
        outcome, refused = OUTCOMES[event.ending], event.ending is Ending.REFUSED
        self.tell(api.ProbeEnded(event.worker, outcome, event.elapsed, event.report, int(refused)))
        picture = self.state.picture
        if picture is not None and event.ending is Ending.SERVED:
            self._tell(picture.report(self.now, event.worker, event.report))
        elif picture is not None and refused:
            self._tell(picture.fault(self.now, event.worker, Word.REFUSES))

    def long_read(self, action: api.LongRead) -> None:
        if self.state.picture is not None:
            self._tell(self.state.picture.reading(action.worker, action.time))

    def tell_estimates(self, action: api.PeerEstimates) -> None:
        if self.state.picture is not None:
            self._tell(self.state.picture.estimates(action))

    def _tell(self, message: bytes | None) -> None:
        if message is not None:
            self.count("peers_told")
            self.do(TellPeers(message))

    def peer_told(self, event: PeerTold) -> None:
        """Another gateway's word on an engine: the module hears it as if this one had asked."""
        picture = self.state.picture
        if picture is None:
            return
        heard: api.Event | None
        try:
            if picture.is_of_fleet(event.payload):
                heard = picture.read_estimates(event.payload)
            else:
                heard = picture.take(self.now, picture.read(event.payload))
        except BadWord as error:
            self.count("peers_unreadable")
            said = self.state.odd_words_said_at
            if said is None or self.now >= said + ODD_WORDS_STEP:  # a flood of them is not one of lines
                self.state.odd_words_said_at = self.now
                self.do(Say(f"a peer's message can't be read: {error}"))
            return
        self.count("peers_heard" if heard is not None else "peers_of_no_use")
        if heard is not None:
            self.tell(heard)

    def fetch_list(self, action: api.FetchList) -> None:
        self.do(FetchWholeList())

    # --- operators --------------------------------------------------------------------------------------

    def operate(self, event: Operate) -> None:
        """Each call may come twice, and cross another or SIGTERM."""
        state = self.state
        known = event.engine in state.listed or event.engine in state.disabled
        match event.order:
            case Order.DISABLE | Order.ENABLE if not known:
                self.do(OperatorAnswer(event.call, False, "no such engine", unknown=True))
                return
            case Order.DISABLE if event.engine not in state.disabled:
                if len(state.disabled) >= MOST_BANS:
                    self.do(OperatorAnswer(event.call, False, f"{MOST_BANS} engines are left out already"))
                    return
                state.disabled.add(event.engine)
                state.returned.pop(event.engine, None)
                self._ban_changed(event.engine)
            case Order.ENABLE if event.engine in state.disabled:
                state.disabled.discard(event.engine)
                state.returned[event.engine] = self.now
                self._ban_changed(event.engine)
            case Order.DRAIN:
                if state.draining_since is None:
                    state.draining_since = self.now
                    self.do(Wake(self.now + DRAIN_DOOR, ("drain", self.now)))
            case Order.DRAIN_SERVER | Order.RESUME_SERVER:
                if state.tools is None or event.engine not in state.tools.stations:
                    self.do(OperatorAnswer(event.call, False, "no such tool server", unknown=True))
                    return
                on = event.order is Order.DRAIN_SERVER
                self.decided(state.tools.drain(self.now, event.engine, on))
            case Order.RESUME if state.stopping:
                self.do(OperatorAnswer(event.call, False, "this process has been told to stop"))
                return
            case Order.RESUME:
                state.draining_since = None
        self.count(f"operator_{event.order.value.replace(' ', '_')}")
        self.do(OperatorAnswer(event.call, True))

    def _ban_changed(self, engine: str) -> None:
        state = self.state
        self.do(KeepBans(engine, frozenset(state.disabled), dict(state.returned)))
        self._treat_anew({engine})

    def _treat_anew(self, names: set[str]) -> None:
        entries = [listed for name, listed in self.state.listed.items() if name in names]
        if entries:
            self._fleet_changed(api.ListKind.DELTA, self.state.version, entries)

    def bans_told(self, event: BansTold) -> None:
        state = self.state
        changed = state.disabled ^ event.disabled
        changed |= {n for n, at in event.returned.items() if at > state.returned.get(n, 0)}
        state.disabled = set(event.disabled)
        for name in changed - state.disabled:
            state.returned[name] = max(event.returned.get(name, 0), state.returned.get(name, 0))
        if changed:
            self.count("bans_told")
            self._treat_anew(changed)

    def sharing(self, event: Sharing) -> None:
        self.state.processes = event.processes
        self.state.module.share_with(event.processes)

    def recalled(self, event: Recalled) -> None:
        try:
            tools = event.knowledge.pop("tools", None)
            if tools is not None and self.state.tools is not None:
                self.decided(self.state.tools.recall(self.now, tools))
            self._recall_starts(event.knowledge.pop("starts", {}))
            self.state.module.recall(self.now, event.knowledge)
            self.count("knowledge_recalled")
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            self.do(Say(f"what the other process knew can't be used: {error!r}"))

    def _recall_starts(self, ages: Mapping[str, tuple[int, int]]) -> None:
        """The other process has seen starts that this one knows by their stamps alone."""
        changed = set()
        for name, (stamp, age) in ages.items():
            if self.state.starts.recall(self.now, name, int(stamp), int(age)):
                changed.add(name)
        if changed:
            self._treat_anew(changed)
            self.decide_all()  # before the module hears what was known of these starts

    HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        ListTold: list_told, Probed: probed, PeerTold: peer_told, Operate: operate,
        BansTold: bans_told, DeparturesTold: departures_told,
        Recalled: recalled, Sharing: sharing,
    }  # fmt: skip
    ACTIONS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        api.LongRead: long_read,
        api.PeerEstimates: tell_estimates,
        api.Probe: probe,
        api.FetchList: fetch_list,
    }
