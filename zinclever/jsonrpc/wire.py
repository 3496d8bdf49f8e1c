"""Calls on JSON-RPC endpoints over shared connections."""

from __future__ import annotations

from collections import Counter

from .. import interface
from ..core.descriptors import Descriptors
from ..core.host import Host
from ..core.protocol import Address, OnEnded
from ..core.shared import SharedPools, Watcher
from .codec import Response
from .connection import ClientConnection, ErrorCodeMapping, Exchange, Payload, dial
from .framing import Framing


class JsonRpcWire(SharedPools[ClientConnection]):
    """Calls on endpoints, many on a connection."""

    def __init__(self, framing: Framing, error_codes: ErrorCodeMapping, descriptors: Descriptors, host: Host) -> None:
        super().__init__(self.open, descriptors)
        self.framing, self.error_codes, self.host = framing, error_codes, host
        self.counts: Counter[str] = Counter()
        """What endpoints sent that answered no pending call, by kind."""

    async def open(self, address: Address, timeout: float, watcher: Watcher[ClientConnection]) -> ClientConnection:
        return await dial(self.host, address, timeout, self.framing, self.outcome, watcher, self.counts)

    def outcome(self, response: Response) -> interface.Outcome:
        """By what holds now: a reload changes it for connections that are open, too."""
        return self.error_codes.outcome(response)

    def start(self, endpoint: str, payload: Payload, left: float, ended: OnEnded, unsafe: bool) -> Exchange:
        """Begin a call. ``left`` and ``unsafe`` change nothing: a shared connection can't hold a byte back
        without holding back the neighbours', and JSON-RPC has no place for a deadline."""
        exchange = Exchange(payload, ended)
        self.send_attempt(endpoint, exchange)
        return exchange
