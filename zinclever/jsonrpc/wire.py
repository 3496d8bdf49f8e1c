"""The client side of JSON-RPC: calls to endpoints over shared connections."""

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
    """Sends calls to the endpoints of one service. Each connection carries many calls at once."""

    def __init__(self, framing: Framing, error_codes: ErrorCodeMapping, descriptors: Descriptors, host: Host) -> None:
        super().__init__(self.dial_endpoint, descriptors)
        self.framing, self.error_codes, self.host = framing, error_codes, host
        self.counts: Counter[str] = Counter()
        """Number of responses and texts from endpoints that matched no pending call, by kind."""

    async def dial_endpoint(
        self, address: Address, timeout: float, watcher: Watcher[ClientConnection]
    ) -> ClientConnection:
        """Connect to an endpoint. Raises OSError if no connection is made within ``timeout`` seconds."""
        return await dial(self.host, address, timeout, self.framing, self.classify, watcher, self.counts)

    def classify(self, response: Response) -> interface.Outcome:
        """Return the outcome of a response under the current mapping, so that a reload affects open connections."""
        return self.error_codes.classify(response)

    def start(self, endpoint: str, payload: Payload, left: float, ended: OnEnded, unsafe: bool) -> Exchange:
        """Start a call.

        ``left`` and ``unsafe`` are ignored: on a shared connection, the last byte of a call can't be withheld without
        delaying other calls, and JSON-RPC has no field for a deadline.
        """
        exchange = Exchange(payload, ended)
        self.send_attempt(endpoint, exchange)
        return exchange
