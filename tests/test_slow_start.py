"""The parts of all routers in what a worker in slow start may be sent: that they add up."""

from __future__ import annotations

import random
from dataclasses import replace
from math import sqrt

import pytest

from basaltspread import interface as api
from basaltspread.control.capacity_estimates import CapacityEstimates
from basaltspread.control.engine_index import EngineIndex
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import Outcome, Role
from basaltspread.lab.overload import EngineArrival, overload_limit, windows, worst_breach
from basaltspread.policy.slow_start import LONG_AGO, REQUESTS_OF_SLACK, SlowStart
from tests.helpers import MS, SECOND, Drive, entry, settings
from tests.test_rules import WIDE, many_routers

START = 20_000_000 * SECOND
MULTIPLE, LEAST_WARMTH = 2.5, 0.25
PROMPT = 2000
CONNECT = 250 * MS  # in which connections come up
WARM_TIME = 100_000 * SECOND  # so long that the worker warms little while it is looked at


def cold_worker(role: Role) -> Worker:
    kind = 0 if role is Role.READER else 1
    worker = Worker(entry("cold", kind, started=START), role, 100_000)
    worker.restarted(START)
    return worker


class Fleet:
    """The slow start of many routers, and one cold worker as each of them sees it."""

    def __init__(self, routers: int, role: Role, shares: list[float], allowed: float) -> None:
        """`allowed` is N at the worker's start, `shares` what part of the traffic each router has."""
        base = settings(routers=routers, weights_mean_size=True)
        figures = replace(base.rules, cold_start_share=LEAST_WARMTH, warm_within=WARM_TIME)
        self.role, self.routers, self.workers = role, list[SlowStart](), list[Worker]()
        warm_rate = allowed / MULTIPLE / LEAST_WARMTH / SECOND
        for number in range(routers):
            own = replace(base, router=number, rules=figures)
            one = SlowStart(own, EngineIndex(WARM_TIME, True), CapacityEstimates(own))
            one.begin(START - 100 * WARM_TIME)
            known = one.estimates
            known.sizes.prompts.extend([PROMPT] * 5)
            known.token_time = 1 / warm_rate / PROMPT if role is Role.READER else 0.0
            known.completed_rate[role].value = warm_rate * shares[number] / sum(shares)
            known.completed_rate[role].when = START
            worker = cold_worker(role)
            one.index.put(worker)
            self.routers.append(one)
            self.workers.append(worker)

    def spend_all(self, now: int, prompt: int = PROMPT) -> float:
        """Each router sends as many requests of this size as it may: the work of all."""
        work = 0.0
        for number, (router, worker) in enumerate(zip(self.routers, self.workers, strict=True)):
            work += prompt / PROMPT * spend(router, worker, now, prompt, f"{number} {now}")
        return work

    def worst(self, allowed: float, pauses: list[int], prompt: int = PROMPT) -> float:
        """All routers spend all that they have after each of these pauses, and what they send arrives up to
        a connection's longest time later. The fullest window's work over its limit."""
        now, rng, arrivals = START, random.Random(len(pauses)), list[EngineArrival]()
        for pause in pauses:
            now += pause
            units = round(self.spend_all(now, prompt) / (prompt / PROMPT))
            late = [rng.randrange(CONNECT) for _ in range(units)]
            arrivals += [EngineArrival(now + time, prompt / PROMPT, True) for time in late]
        found = windows(arrivals, lambda when: allowed * 1.002, SECOND)  # it warms by so much
        return max((window.fills for window in found), default=0.0)


def spend(router: SlowStart, worker: Worker, now: int, prompt: int = PROMPT, name: str = "q") -> int:
    """It sends as many requests as it may; so many."""
    count = 0
    while router.admits(now, asked(prompt, f"{name} {count}"), worker) and count < 1000:
        router.spend(now, asked(prompt, f"{name} {count}"), worker)
        count += 1
    return count


def asked(prompt: int, name: str = "q") -> Request:
    arrival = api.Arrival(name, name, "", 0, prompt, 200, 0, 0, 5 * SECOND, 0, False, False)
    return Request(arrival, settings().classes[0], START, False)


# --- the parts add up

# All ask all the time; all wait for as long as anything is kept, and then come at once, twice.
STEADY = [100 * MS] * 200
BURSTS = [4 * SECOND, 900 * MS] * 12


@pytest.mark.parametrize("pauses", [STEADY, BURSTS], ids=["steady", "bursts"])
@pytest.mark.parametrize("role", [Role.READER, Role.WRITER])
@pytest.mark.parametrize("prompt", [PROMPT // 3, PROMPT, 3 * PROMPT // 2, 2 * PROMPT])
@pytest.mark.parametrize("seed", range(6))
def test_equal_parts_stay_below_the_limit_in_any_window_if_all_is_used(
    seed: int, prompt: int, role: Role, pauses: list[int]
) -> None:
    rng = random.Random(seed)
    for _ in range(8):
        routers, allowed = rng.randrange(1, 60), rng.uniform(0.2, 40)
        fleet = Fleet(routers, role, [1.0] * routers, allowed)
        assert fleet.worst(allowed, pauses, prompt) <= 1.0, (routers, allowed)


@pytest.mark.parametrize("spread", [0.5, 1.0, 1.5])
@pytest.mark.parametrize("seed", range(6))
def test_unequal_parts_add_up_to_what_is_allowed_on_the_mean_and_chance_stays_in_the_slack(
    seed: int, spread: float
) -> None:
    rng = random.Random(seed)
    for _ in range(6):
        routers, allowed = rng.randrange(20, 41), rng.uniform(2, 30)
        shares = [rng.lognormvariate(0, spread) for _ in range(routers)]
        assert Fleet(routers, Role.WRITER, shares, allowed).worst(allowed, BURSTS) <= 1.0
        spent = Fleet(routers, Role.WRITER, shares, allowed)
        works = [spent.spend_all(START + 100 * MS * i) for i in range(400)]
        can, least = allowed / MULTIPLE, REQUESTS_OF_SLACK / 3.25
        assert sum(works) / 40 <= 1.05 * can + least  # a second


def test_a_worker_of_unknown_capacity_gets_no_more_than_the_two_requests_that_any_survives() -> None:
    for routers in (1, 7, 30, 200):
        fleet = Fleet(routers, Role.READER, [1.0] * routers, 1e-9)
        for router in fleet.routers:
            router.estimates.token_time = 0.0
        for pauses in (STEADY, BURSTS):
            assert 0.0 < fleet.worst(0.0, pauses) <= 1.0


@pytest.mark.parametrize("routers", [1, 10, 200])
def test_what_cold_workers_can_do_is_dealt_however_many_routers_share_it(routers: int) -> None:
    """Parts of a request for each worker and router were rounded to whole ones, most of them to none."""
    fleet = Fleet(routers, Role.READER, [1.0] * routers, 20.0)
    work = sum(fleet.spend_all(START + i * 100 * MS) for i in range(300))
    assert work / 30 == pytest.approx(20.0 / MULTIPLE, rel=0.1)


def test_the_units_of_a_routers_workers_come_evenly_and_go_to_each_in_turn() -> None:
    base = settings(routers=50, weights_mean_size=True)
    own = replace(base, router=7, rules=replace(base.rules, warm_within=WARM_TIME))
    router = SlowStart(own, EngineIndex(WARM_TIME, True), CapacityEstimates(own))
    router.begin(START - 100 * WARM_TIME)
    router.estimates.sizes.prompts.extend([PROMPT] * 5)
    router.estimates.token_time = 20.0
    workers = [Worker(entry(f"cold{i}", 0, started=START), Role.READER, 100_000) for i in range(20)]
    for worker in workers:
        worker.restarted(START)
        router.index.put(worker)
    sent: list[str] = []
    for step in range(600):
        now = START + step * 100 * MS
        sent += [w.name for w in workers if spend(router, w, now)]
    dealt = 60 * 20 * 0.25 * SECOND / (20.0 * PROMPT) / 50
    assert len(sent) == pytest.approx(dealt, rel=0.1)
    assert max(sent.count(w.name) for w in workers) <= 2 * dealt / 20 + 2


# --- what each router takes for a warm worker's rate


def traffic(routers: int, each: float, choose: str, seed: int) -> float:
    """Requests come by chance for 40 s to routers that each see few of them. The sum of the rates that all
    take for a warm writer's, over the true one."""
    rng, drives = random.Random(seed), many_routers(routers, WIDE)
    now, rate = drives[0].now, routers * each
    end, number = now + 40 * SECOND, 0
    while now < end:
        now += int(rng.expovariate(rate) * SECOND)
        number += 1
        phase = (end - now) // (8 * SECOND) % 4
        moving = [d for i, d in enumerate(drives) if i % 4 == phase]
        d = rng.choice(moving if choose == "moving" else drives)
        d.now = max(d.now, now)
        d.arrive(f"q{number}", f"s{number}")
        d.end(f"q{number}", Outcome.READ, after=0)
        d.first(f"q{number}", after=0)
        d.end(f"q{number}", Outcome.SERVED, after=0)
    rates = [d.router.estimates.completed_rate[Role.WRITER] for d in drives]
    return sum(r.over(now, SECOND + CONNECT) for r in rates) * SECOND / (rate / 8)


@pytest.mark.parametrize("choose", ["steady", "moving"])
@pytest.mark.parametrize("each", [0.2, 1.0, 4.0])
def test_the_rates_that_all_routers_see_add_up_to_the_fleets(each: float, choose: str) -> None:
    """Guards the sum of maxima: 2.1, 1.4 and 1.1 times the true rate, and 2.9 times with traffic that moved
    between quarters of the routers."""
    for seed in (1, 2, 3):
        noise = 3 / sqrt(30 * each * 10)  # of a fleet that is seen for some ten seconds
        assert traffic(30, each, choose, seed) == pytest.approx(1.0, abs=noise + 0.05)


# --- an allowance is of its time, its request and its process


def one_router(role: Role = Role.READER, allowed: float = 4.0) -> tuple[SlowStart, Worker]:
    fleet = Fleet(1, role, [1.0], allowed)
    return fleet.routers[0], fleet.workers[0]


def test_what_is_not_used_is_not_saved() -> None:
    router, worker = one_router()
    busy = [spend(router, worker, START + 8 * SECOND * i) for i in range(1, 6)]
    router, worker = one_router()
    assert spend(router, worker, START + 40 * SECOND) == pytest.approx(busy[-1], abs=1)
    assert max(busy) <= overload_limit(4.0)


def test_a_quiet_time_of_any_length_leaves_no_more_than_one_lifetimes_units() -> None:
    router, worker = one_router()
    spend(router, worker, START + SECOND)
    after = START + SECOND + 3 * LONG_AGO
    assert spend(router, worker, after) <= overload_limit(4.0)


def test_at_one_instant_an_allowance_is_dealt_once() -> None:
    router, worker = one_router()
    assert spend(router, worker, START + 2 * SECOND) > 0
    assert [spend(router, worker, START + 2 * SECOND + i) for i in range(10)] == [0] * 10


def test_a_long_prompt_takes_as_much_as_it_is_and_a_swollen_one_goes_elsewhere() -> None:
    mean = spend(*one_router(allowed=16.0), START + 4 * SECOND)
    router, worker = one_router(allowed=16.0)
    long = sum(spend(router, worker, START + 4 * SECOND + 100 * MS * i, 2 * PROMPT) for i in range(50))
    assert 2 * long <= mean + 5 * 16.0 / MULTIPLE + 2  # in 5 s
    swollen = int((sqrt(16.0) + REQUESTS_OF_SLACK) * PROMPT * 1.01)
    router, worker = one_router(allowed=16.0)
    assert spend(router, worker, START + 4 * SECOND, swollen) == 0
    assert spend(router, worker, START + 4 * SECOND) == mean  # nor did it take anything


def test_prompts_longer_than_a_unit_go_to_a_cold_worker_that_survives_them() -> None:
    """Requests of more than two units went to none, so that the longest prompts were left out."""
    router, worker = one_router(allowed=40.0)
    long = sum(spend(router, worker, START + 100 * MS * i, 6 * PROMPT, f"q{i}") for i in range(300))
    assert 0 < 6 * long <= 30 * 40.0 / MULTIPLE * 1.3


def test_the_size_of_a_prompt_is_unknown_as_long_as_few_came_and_one_swollen_one_does_not_change_it() -> None:
    known = one_router()[0].estimates
    known.sizes.prompts.clear()
    for _ in range(4):
        known.sizes.arrived(asked(PROMPT).a)
    assert known.size(asked(PROMPT).a, Role.READER) is None
    known.sizes.arrived(asked(20 * PROMPT).a)
    assert known.size(asked(PROMPT).a, Role.READER) == 1.0
    assert known.size(asked(8 * PROMPT).a, Role.WRITER) == 8.0


def test_a_writers_request_counts_by_its_prompt_or_its_classs_answers_whichever_is_larger() -> None:
    known = CapacityEstimates(replace(settings(), classes=settings().classes * 2))
    known.sizes.prompts.extend([PROMPT] * 5)
    slow = replace(asked(PROMPT).a, request_class=1)
    for _ in range(400):
        known.sizes.answered(asked(PROMPT).a, SECOND)
        known.sizes.answered(slow, 3 * SECOND)
    assert known.size(slow, Role.WRITER) == pytest.approx(1.5, rel=0.1)
    assert known.size(asked(PROMPT).a, Role.WRITER) == 1.0  # of its prompt: answers are half of the mean
    assert known.size(slow, Role.READER) == 1.0


def test_a_process_that_starts_has_nothing_of_what_an_earlier_one_could_spend() -> None:
    """Guards a router that is restarted: the process before may have used its part."""
    for restart in (START + 1, START + SECOND, START + 3 * SECOND):
        router, worker = one_router()
        router._began = restart
        assert spend(router, worker, restart) == 0
        assert spend(router, worker, restart + 2 * SECOND) > 0


def test_two_processes_of_a_router_have_the_part_of_one() -> None:
    spent = []
    for processes in (1, 2):
        fleet = Fleet(20, Role.READER, [1.0] * 20, 8.0)
        for router in fleet.routers:
            router.processes = processes
        spent.append(sum(fleet.spend_all(START + i * SECOND) for i in range(60)))
    assert spent[1] * 2 == pytest.approx(spent[0], rel=0.1)


# --- places, and the writes that go to cold writers


def test_no_place_is_held_at_a_writer_in_slow_start_and_writes_reach_it_all_the_same() -> None:
    d = Drive(settings(routers=1, zones=("a",)), (entry("r1", 0), entry("w1", 1)))
    d.warm()
    d.listed(entry("w1", 1, started=d.now), entry("w2", 1, started=0))
    d.log.clear()
    for i in range(60):
        d.arrive(f"q{i}", f"s{i}", after=100 * MS)
        d.serve(f"q{i}")
    assert not [a for a in d.log if isinstance(a, api.HoldPlace) and a.worker == "w1"]
    assert [a for a in d.log if isinstance(a, api.Send) and a.worker == "w1"]


def test_reads_that_end_together_after_a_hang_bring_one_allowance_to_a_cold_writer() -> None:
    """What is sent there is allowed as it is sent: guards against reads that were begun over seconds."""
    waiting = replace(settings().limits, cancel=False)  # a read that hangs is waited for
    d = Drive(settings(routers=1, zones=("a",), limits=waiting), (entry("r1", 0), entry("w1", 1)))
    d.warm()
    d.listed(entry("w1", 1, started=d.now), entry("w2", 1, started=0))
    names = [f"q{i}" for i in range(12)]
    for name in names:
        d.arrive(name, name, after=250 * MS)
    at_once = []
    for name in [name for name in names if name in d.out]:
        d.end(name, Outcome.READ, after=0)
        if d.out.get(name, (0, ""))[1] == "w1":
            at_once.append(name)
    slow_start = d.router.slow_start
    allowed = slow_start._allowed(d.now, d.router.fleet["w1"])
    assert 0 < len(at_once) <= max(REQUESTS_OF_SLACK, allowed) + 1


@pytest.mark.parametrize("named", ["w2", "r1", ""])
def test_a_places_answer_counts_whoever_the_host_names_but_not_an_earlier_places(named: str) -> None:
    """Guards against hosts that name the reader, whose attempt carries the answer: all were left out."""
    d = Drive(settings(routers=1, zones=("a",)), (entry("r1", 0), entry("w1", 1), entry("w2", 1)))
    d.arrive("a", "s")
    request = d.router.requests["a"]
    assert request.place is not None
    first, second = request.place.name, ({"w1", "w2"} - {request.place.name}).pop()
    request.place, request.placed = d.router.fleet[second], False
    request.asked.append(second)
    d.feed(api.PlaceAnswer("a", 0, first, True))
    assert not request.placed
    d.feed(api.PlaceAnswer("a", 0, second if named == "w2" else named, True))
    assert request.placed


# --- many routers, whole decisions


def test_a_hundred_routers_keep_a_cold_readers_budget_in_sum_and_use_it() -> None:
    """Each sees a request a second. An allowance is rarely where a text's home is, and would go unused."""
    drives = many_routers(100, WIDE)
    for second in range(20):
        for i, d in enumerate(drives):
            d.arrive(f"q{second}", f"s{i}-{second}", after=SECOND - 180 * MS)
            d.serve(f"q{second}", after=60 * MS)
    start = drives[0].now
    for d in drives:
        d.listed(entry("cold", 0, 1, started=start))
    sent: list[EngineArrival] = []
    for second in range(12):
        for i, d in enumerate(drives):
            d.arrive(f"c{second}", f"t{i}-{second}", after=SECOND - 180 * MS)
            if d.sent_to(f"c{second}") == "cold":
                sent.append(EngineArrival(d.now, 1.0, True))
            d.serve(f"c{second}", after=60 * MS)
    could = SECOND / (60 * MS)  # reads a second, one after the other, of a warm reader
    figures = drives[0].s.rules

    def allowed(when: int) -> float:
        grown = min(1.0, (when - start) / figures.warm_within)
        warmth = figures.cold_start_share + (1 - figures.cold_start_share) * grown
        return figures.cold_multiple * warmth * could

    assert worst_breach(sent, allowed, SECOND) is None
    assert len(sent) >= 0.5 * 0.25 * could * 12  # half at least of what it can do as it starts


# --- what lists may say


def test_a_start_that_lies_ahead_is_one_of_now() -> None:
    d = Drive()
    d.warm()
    d.listed(entry("r1", 0, started=d.now + 10**9 * SECOND))
    worker = d.router.fleet["r1"]
    assert d.router.slow_start.is_cold(d.now, worker)
    d.now += d.s.rules.warm_within
    assert not d.router.slow_start.is_cold(d.now, worker)


def test_a_list_that_goes_back_makes_no_worker_warm() -> None:
    d = Drive()
    d.listed(entry("r1", 0, started=d.now))
    d.listed(entry("r1", 0, started=0))
    d.listed(entry("r1", 0, started=d.now - 5 * SECOND))
    assert d.router.slow_start.is_cold(d.now, d.router.fleet["r1"])


@pytest.mark.parametrize("weight", [0.0, -1.0, 1e300, float("inf"), float("nan"), 1e-300])
@pytest.mark.parametrize("role", [Role.READER, Role.WRITER])
def test_no_weight_makes_a_budget_without_bound(role: Role, weight: float) -> None:
    router, worker = one_router(role)
    for name in ("a", "b"):
        peer = cold_worker(role)
        peer.name, peer.started = name, 0
        router.index.put(peer)
    worker.update(replace(worker.entry, weight=weight))
    router.index.put(worker)
    for i in range(20):
        assert spend(router, worker, START + i * 2 * SECOND) <= overload_limit(4.0) / 2


def test_settings_without_a_single_figure_crash_nothing() -> None:
    none = replace(
        settings(routers=0).rules, cold_window=0, cold_start_share=0.0, cold_multiple=0.0, warm_within=0
    )
    d = Drive(settings(routers=0, rules=none))
    d.listed(entry("r1", 0, started=d.now), entry("w1", 1, started=d.now))
    d.arrive("q", "s")
    d.serve("q")
    assert not d.answered
