"""The virtual fleet's clients: what they ask, when they give up, and what they come again with."""

from __future__ import annotations

from dataclasses import replace

from basaltspread import core
from basaltspread import interface as api
from basaltspread.lab.conversations import Conversations, Turn
from basaltspread.lab.engine_side import EngineSide
from basaltspread.lab.entities import ANSWER_TOKENS, PROMPT_TOKENS, Ask, Gateway
from basaltspread.lab.fleet_state import SLACK
from basaltspread.lab.prefix_cache import Prompt
from basaltspread.lab.settings import MS, SECOND

PLAIN_TEXT_TOKENS = 700  # of the shared text, where engines keep nothing
SWOLLEN = 8  # times the tokens of an ordinary prompt
SWOLLEN_WORDS = 40  # times those of a turn alone, which make up a fifth of it
CLIENT_TRIES = 3
CLIENT_BACKOFF = (50 * MS, 500 * MS)


class ClientSide(EngineSide):
    """Open-loop clients."""

    _conversations: Conversations | None = None

    def _arrive(self, end: int) -> None:
        if self.now >= end:
            return
        live = self.live_gateways()
        if live:
            unsafe = self.clients.random() < 0.3
            time = (8 if unsafe else 6) * SECOND
            turn = self._turn()
            q = Ask(
                live[0], 0, unsafe, time, prompt_tokens=turn.prompt.tokens, answer_tokens=turn.answer_tokens
            )
            q.prefix_tokens = turn.prompt.text_tokens
            q.tenant = self.draw_tenant()
            self._ask(q, turn.prompt.conversation, turn.prompt.text, live)
        self.after(int(self.clients.expovariate(self.rate) * SECOND), lambda: self._arrive(end))

    def _turn(self) -> Turn:
        """What the next client asks."""
        if self.caches:
            if self._conversations is None:
                self._conversations = Conversations(self.clients, self.now, self.texts)
            swollen = self.clients.random() < self.swollen
            return self._conversations.turn(self.now, SWOLLEN_WORDS if swollen else 1)
        session, prefix = f"s{self.clients.randrange(400)}", f"p{self.clients.randrange(12)}"
        tokens = self.clients.randrange(*PROMPT_TOKENS)
        tokens *= SWOLLEN if self.clients.random() < self.swollen else 1
        answer = self.clients.randrange(*ANSWER_TOKENS)
        return Turn(Prompt(tokens, prefix, PLAIN_TEXT_TOKENS, session), answer)

    def _ask(self, q: Ask, session: str, prefix: str, live: list[Gateway]) -> None:
        """`q.deadline` is the time that the client has left."""
        g, time_left = self.choose_gateway(live), q.deadline
        name = f"q{len(self.asks)}"
        q.gateway, q.life, q.came_at, q.deadline = g, g.life, self.now, self.now + time_left
        q.session, q.prefix = session, prefix
        if not q.origin:
            q.origin, q.wanted_at = name, self.now
        self.asks[name] = q
        if self.clients_leave and self.clients.random() < self.clients_leave:
            self.after(self.clients.randrange(SECOND), lambda: self._leave(name))
        self.take(g, name, time_left)

    def take(self, g: Gateway, name: str, time_left: int) -> None:
        """A request has reached its gateway."""
        q = self.asks[name]
        self.feed(g, core.Taken(api.Arrival(
            name, q.session, q.prefix, q.prefix_tokens, q.prompt_tokens, 400, int(q.unsafe), q.tenant,
            time_left, 0, q.tries > 1, False,
        )))  # fmt: skip

    def draw_tenant(self) -> int:
        """Whose request the next one is, by what each asks for."""
        if not self.tenant_traffic:
            return 0
        return self.clients.choices(range(len(self.tenant_traffic)), self.tenant_traffic)[0]

    def _leave(self, name: str) -> None:
        q = self.asks[name]
        if self._lives(q) and not q.answer and not q.streams:
            q.answer = "left"
            self.feed(q.gateway, core.ClientLeft(name))

    def _come_again(self, q: Ask) -> None:
        """Clients repeat what was refused at once, at whichever gateway they reach."""
        time_left = q.deadline - self.now
        live = self.live_gateways()
        if time_left > SECOND and live:
            again = replace(
                q,
                deadline=time_left,
                tries=q.tries + 1,
                answer="",
                out=set(),
                arrived=set(),
                workers={},
                close_known=set(),
                first_token_at=None,
            )
            self._ask(again, q.session, q.prefix, live)

    def _lives(self, q: Ask) -> bool:
        return q.gateway.state is not None and q.gateway.life == q.life

    def answered(self, name: str, answer: str) -> None:
        q = self.asks[name]
        if q.answer:
            self.breach("answered twice", name)
        if not q.streams and self.now > q.deadline + self.settings.rules.answer_slack + SLACK:
            self.breach("late", name)
        if answer == "refused" and q.unsafe and q.may_have_run:
            self.breach("refused what may have run", name)
        q.answer = answer
        if self.clients_repeat and answer == "refused" and q.tries < CLIENT_TRIES:
            self.after(self.clients.randrange(*CLIENT_BACKOFF), lambda: self._come_again(q))
