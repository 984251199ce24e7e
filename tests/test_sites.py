"""One customer's settings never reach another: the program under each deployment of deploy/sites, in both
orders, reloaded from one to the other, and the module of both side by side in one process."""

from __future__ import annotations

from itertools import permutations
from pathlib import Path
from typing import Any

import pytest

from basaltspread import interface as api
from basaltspread.adapter import settings_from
from basaltspread.rules import Router
from tests.helpers import FLEET, MS, SECOND
from tests.sites import SITES, settings_of
from tests.standins import Asked, FleetTest, Gateway, Standin, answer_plainly, reading, writing

PAIRS = list(permutations(SITES, 2))


def name(value: Any) -> str:
    return value.parent.name if isinstance(value, Path) else str(value)


def test_there_are_two_and_they_differ() -> None:
    one, two = (settings_from(settings_of(site)) for site in SITES)
    assert len(one.classes) != len(two.classes) and len(one.tenants) != len(two.tenants)
    assert not {c.name for c in one.classes} & {c.name for c in two.classes}
    for part in ("limits", "rules", "over_share_worth", "resumable"):
        assert getattr(one, part) != getattr(two, part), part
    assert {c.effect for s in (one, two) for c in s.classes} == set(api.Effect)


class Day:
    """The same traffic for one module; what it asked for, in order."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings, self.router, self.now = settings, Router(settings, 7), 100 * SECOND
        self.actions: list[api.Action] = []
        self.out: dict[str, api.Send] = {}
        self.tries: dict[str, int] = {}
        self._feed(api.WorkerList(api.ListKind.CACHED, 1, FLEET))

    def _feed(self, event: api.Event) -> None:
        actions = self.router.handle(self.now, [event])
        self.actions += actions
        self.out |= {a.request: a for a in actions if isinstance(a, api.Send)}

    def step(self, n: int) -> None:
        self.now += 25 * MS
        request_class, tenant = n % len(self.settings.classes), n % len(self.settings.tenants)
        left = self.settings.classes[request_class].deadline
        again, session, prefix = n % 7 == 0, f"s{n % 9}", f"p{n % 5}"
        self._feed(api.Arrival(
            f"q{n}", session, prefix, 600, 1500, 300, request_class, tenant, left, 0, again, False
        ))  # fmt: skip
        self._feed(api.TimerFired(1))
        for rid, send in list(self.out.items())[:2]:
            del self.out[rid]
            number = self.tries[rid] = self.tries.get(rid, -1) + 1
            reads = send.worker.startswith("r")
            outcome = api.Outcome.READ if reads else api.Outcome.SERVED
            if n % 11 == 0:
                outcome = api.Outcome.RESET
            elif not reads:
                self._feed(api.FirstToken(rid, number, send.worker, 20 * MS))
            done = outcome is api.Outcome.SERVED
            self._feed(api.AttemptEnded(rid, number, send.worker, outcome, 20 * MS, done, 0, {}))


@pytest.mark.parametrize(("first", "second"), PAIRS, ids=name)
def test_the_module_of_one_is_not_moved_by_the_other_beside_it(first: Path, second: Path) -> None:
    alone = [Day(settings_from(settings_of(site))) for site in (first, second)]
    for day in alone:  # one after the other
        for n in range(300):
            day.step(n)
    together = [Day(settings_from(settings_of(site))) for site in (first, second)]
    for n in range(300):
        for day in together:
            day.step(n)
    assert [day.actions for day in together] == [day.actions for day in alone]
    assert together[0].actions != together[1].actions


class SitesTest(FleetTest):
    async def under(self, site: Path) -> tuple[Gateway, Standin]:
        writer = await self.standin(writing(answer_plainly))
        more = {"settings": settings_of(site)}
        gateway = await self.fleet(r1=await self.standin(reading()), w1=writer, more=more)
        return gateway, writer

    async def serves(self, gateway: Gateway, site: Path, other: Path, life: str) -> None:
        """The classes and tenants of one, and none of the other's."""
        own, others = settings_from(settings_of(site)), settings_from(settings_of(other))
        client = await self.client(gateway)
        for cls in own.classes:
            for tenant in own.tenants:
                rid = f"{life}-{cls.name}-{tenant.name}"
                left = cls.deadline // MS
                status = (await client.ask(rid, cls=cls.name, left=left, X_Account=tenant.name))[0]
                self.assertEqual(status, 200, rid)
        for cls_name, tenant_name in (
            (others.classes[0].name, own.tenants[0].name), (own.classes[0].name, others.tenants[0].name),
        ):  # fmt: skip
            client = await self.client(gateway)
            status = (await client.ask(f"{life}-{cls_name}", cls=cls_name, X_Account=tenant_name))[0]
            self.assertEqual(status, 400, (cls_name, tenant_name))

    async def test_each_is_served_by_its_own_settings_in_both_orders_and_a_reload_mixes_nothing(self) -> None:
        for site, other in PAIRS:
            gateway, _ = await self.under(site)
            await self.serves(gateway, site, other, "before")
            await gateway.reload({"settings": settings_of(other)}, "only a restart changes settings")
            await self.serves(gateway, site, other, "reloaded")
            counters = await gateway.stop()
            self.assertEqual((counters["reloads"], counters["now_requests"]), (1, 0))
            again = await self.started(Gateway(config={**self.config, "settings": settings_of(other)}))
            await self.serves(again, other, site, "restarted")
            await again.stop()

    async def test_what_may_run_twice_is_told_by_each_ones_own_classes(self) -> None:
        """One write of what may run but once, more of what may be repeated."""

        async def reset(asked: Asked) -> None:
            asked.reset()

        for site in SITES:
            settings = settings_from(settings_of(site))
            writer = await self.standin(writing(reset))
            gateway = await self.fleet(
                r1=await self.standin(reading()), w1=writer, more={"settings": settings_of(site)}
            )
            for cls in settings.classes:
                client = await self.client(gateway)
                options = {"cls": cls.name, "left": cls.deadline // MS, "X_Account": settings.tenants[0].name}
                status = (await client.ask(cls.name, **options))[0]
                writes = sum(a.rid == cls.name and a.target.startswith("/v1") for a in writer.seen)
                if cls.effect is api.Effect.UNSAFE:
                    self.assertEqual((status, writes), (502, 1), cls.name)
                elif cls.effect is api.Effect.SAFE:
                    self.assertEqual(status, 503, cls.name)
                    self.assertGreater(writes, 1, cls.name)
                else:
                    refusable = cls.key_scope is api.KeyScope.ALL
                    self.assertEqual(status, 503 if refusable else 502, cls.name)
                    self.assertGreater(writes, 1, cls.name)
            await gateway.stop()
