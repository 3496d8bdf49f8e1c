"""What the connections of one listener's clients ask of the side behind them, whatever that side is: a ledger of the
sidecar alone, the mesh's way out, or its calls."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable
from typing import Any, cast

from ..core.counts import ReplyCounts
from ..core.descriptors import Descriptors
from ..core.protocol import FinalAnswer, IncomingRequest
from .bodies import ROOM_UNTOLD, Body, Room
from .clients import Clients
from .connection import Headers
from .heads import HttpResponse, Whole
from .server import ServerConnection


class RequestHandler(Clients):
    """Who is connected and since when, room for bodies, and what becomes of a request that has come in."""

    def __init__(self, descriptors: Descriptors) -> None:
        super().__init__(descriptors)
        self.room = Room(ROOM_UNTOLD)
        """For bodies that are too large to be held freely."""
        self.draining = False
        self.max_body_size = 0
        """Bytes of a request's body, where somebody says so: else the server's own bound."""
        self.requires_complete_body = False
        """Requests are handed on once their bodies are whole, however large they are."""

    def give(self, taken: int) -> None:
        """Room that is free again goes to those that wait for it."""
        if not taken:
            return
        self.room.give(taken)
        for who, need in self.room.granted():
            cast(ServerConnection, who).granted(need)

    def connection(self) -> ServerConnection:
        return ServerConnection(self)

    def begin_drain(self) -> None:
        self.draining = True

    @abstractmethod
    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> IncomingRequest:
        """A request that has ``waited`` so many ms here, checked; :class:`~.heads.Rejected` where it is none."""

    @abstractmethod
    def take(self, told: IncomingRequest, answer: Callable[[FinalAnswer | HttpResponse], None]) -> None:
        """A request to be answered once, unless its client leaves before."""

    @abstractmethod
    def on_client_disconnected(self, request_id: str) -> None:
        """The client has gone away."""

    @abstractmethod
    def replies(self, told: IncomingRequest) -> ReplyCounts:
        """Where a request counts."""

    @abstractmethod
    def unread(self, sock: Any) -> bool:
        """Whether the kernel holds bytes, or an end, that nobody has read from a connection."""

    def upload_finished(self, request_id: str) -> None:
        """The last byte of a body that was handed on as it came is there."""

    def waited(self, transport: asyncio.BaseTransport, first: bool) -> float:
        """ms that what is read from a connection right now has waited for this process, as far as anybody asks."""
        return 0.0

    def answers_itself(self, whole: Whole) -> HttpResponse | None:
        """The answer to a request that concerns the listener itself."""
        return None

    def passing(self, by: int) -> None:
        """An answer that is passed on as it comes has begun, or ended."""
