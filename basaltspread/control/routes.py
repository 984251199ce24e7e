"""Which tool servers there are, and which of them a tool's calls may go to.

It owns the table that a configuration gives and the choice among servers that have room. It must never know
of calls: who waits and what has been tried is the dispatcher's (dispatch.py).

A route is a tool's whole name, or a beginning that ends in `*`; the whole name goes first, then the longest
beginning. A tool without a route is called nowhere, so that a name that nobody foresaw can't reach a server
that nobody meant.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import field

from basaltspread.records import record

PLAIN, MCP = "plain", "mcp"


@record
class Server:
    """One tool server, as configured."""

    name: str
    address: str
    path: str = "/rpc"
    weight: float = 1.0
    zone: str = ""
    protocol: str = PLAIN  # plain JSON-RPC over POST, or the Model Context Protocol with its sessions
    most: int = 64  # calls at once, at the most
    silence: int = 0  # us without a byte of the reply, after which a try is given up; 0: only the deadline


@record
class Policy:
    """What holds for all servers of a gateway together."""

    adaptive: bool = True  # each server's limit follows its latency; else it is `most`
    queue: int = 1000  # calls that may wait, for each set of servers
    retry_share: float = 0.1  # of the first tries, that may be sent again
    retry_reserve: float = 10.0  # tries that may be sent again at once
    hedge: bool = True  # second copies of safe calls that take long
    hedge_percentile: float = 0.95  # of a tool's usual time, past which they are sent
    list_ttl: float = 30.0  # s for which the merged list of tools is kept


@record
class RouteTable:
    """Servers by name, and for each route the servers that take its calls. A look-up costs one dictionary
    access for the whole name and one for each different length of beginnings."""

    servers: Mapping[str, Server] = field(default_factory=dict)
    routes: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    zone: str = ""  # of the gateway itself
    policy: Policy = Policy()
    _lengths: tuple[int, ...] = ()

    def __post_init__(self) -> None:
        lengths = {len(route) - 1 for route in self.routes if route.endswith("*")}
        object.__setattr__(self, "_lengths", tuple(sorted(lengths, reverse=True)))

    def find(self, tool: str) -> tuple[str, ...]:
        """The names of the servers for this tool; none if no route fits."""
        found = self.routes.get(tool) if not tool.endswith("*") else None
        if found is not None:
            return found
        for length in self._lengths:
            if length <= len(tool):
                found = self.routes.get(tool[:length] + "*")
                if found is not None:
                    return found
        return ()


def single(address: str, path: str = "/rpc", policy: Policy | None = None) -> RouteTable:
    """One server for all tools."""
    server = Server("default", address, path)
    return RouteTable({server.name: server}, {"*": (server.name,)}, policy=policy or Policy())


@record
class Candidate:
    """A server with room, as the choice sees it."""

    name: str
    weight: float
    near: bool  # in the gateway's own zone
    fresh: bool  # not tried for this call yet
    load: float  # calls out over its limit


def choose(candidates: Iterable[Candidate], lot: float) -> str | None:
    """The server for a call: one not tried yet, then one of the own zone, then the one least loaded for its
    weight. `lot` in [0, 1) settles what is equal, so that gateways that know nothing yet do not all begin
    with the same server."""
    ranked = [((not c.fresh, not c.near, (c.load + 1e-3) / max(c.weight, 1e-6)), c.name) for c in candidates]
    if not ranked:
        return None
    best = min(rank for rank, _ in ranked)
    equal = sorted(name for rank, name in ranked if rank == best)
    return equal[int(lot * len(equal))]
