"""Datagrams between the gateways of a fleet, where the platform gives them addresses for that.

It owns the one socket for them and knows who may speak. It must never read a message, nor wait for one: they
come late or never, and what is lost is told anew.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from basaltspread import core
from basaltspread.config import Gateway, split_address
from basaltspread.net.runtime import Runtime

log = logging.getLogger("basaltspread")
MOST_HEARD = 2000  # datagrams taken in a second; what is over is dropped and counted


class Peers(asyncio.DatagramProtocol):
    """The gateway's side of it."""

    def __init__(self, runtime: Runtime, config: Gateway) -> None:
        self._runtime = runtime
        self._listen = split_address("peer_listen", config.peer_listen)
        own = config.peers[config.settings.router] if config.settings.router < len(config.peers) else ""
        self._peers = {split_address("peers", address) for address in config.peers if address != own}
        everyone = [config.peers_all] if config.peers_all else [a for a in config.peers if a != own]
        self._everyone = [split_address("peers_all", address) for address in everyone]
        self._transport: asyncio.DatagramTransport | None = None
        self._second = self._heard = self._refused = 0

    async def start(self) -> bool:
        """Whether the fleet can be heard now; the gateway serves without it as well."""
        door: socket.socket | None = None
        try:
            door = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            door.setblocking(False)
            door.bind(self._listen)
            loop = asyncio.get_running_loop()
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=door)
        except OSError as error:
            if door is not None:
                door.close()
            self._runtime.count("peers_unbound")
            if not self._refused:
                log.warning("other gateways can't be heard at %s:%d: %s", *self._listen, error)
            self._refused += 1
            return False
        self._runtime.carry[core.TellPeers] = self._tell
        return True

    def stop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _tell(self, effect: core.TellPeers) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        for address in self._everyone:
            transport.sendto(effect.payload, address)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[:2] not in self._peers:
            self._runtime.count("peers_strange")
            return
        second = self._runtime.clock.now() // 1_000_000
        if second != self._second:
            self._second, self._heard = second, 0
        self._heard += 1
        if self._heard > MOST_HEARD:
            self._runtime.count("peers_dropped")
            return
        self._runtime.feed(core.PeerTold(data))

    def error_received(self, exc: Exception) -> None:
        """One datagram did not go out, or came back as unreachable: its gateway is down."""
        self._runtime.count("peers_unreached")
