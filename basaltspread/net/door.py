"""The listening side: an address at which connections are accepted.

It owns the listening socket. It must never read from a connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from basaltspread.config import split_address
from basaltspread.net.links import READ_SIZE, Ear

Accept = Callable[[Any, asyncio.StreamWriter], Coroutine[Any, Any, None]]


async def open_door(
    key: str, listen: str, accept: Accept, queue: int, at_once: int, inherited: int | None = None
) -> asyncio.Server:
    """Serve what connects to an address, or to a socket that listens there already. asyncio accepts as many
    connections at one turn as its backlog says, before any budget is asked: that is small here, and the
    kernel's queue is made long after it."""
    host, port = split_address(key, listen)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    if inherited is None:
        door = socket.create_server((host.strip("[]"), port), family=family, backlog=queue)
    else:
        door = socket.socket(fileno=inherited)
    door.setblocking(False)
    loop = asyncio.get_running_loop()

    def protocol() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(Ear(limit=READ_SIZE, loop=loop), accept, loop=loop)

    server = await loop.create_server(protocol, sock=door, backlog=at_once)
    door.listen(queue)
    return server


def address_of(server: asyncio.Server) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])
