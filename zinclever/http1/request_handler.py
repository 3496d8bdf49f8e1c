"""The base class of request handlers.

A handler owns the client connections of one listener and answers their requests: through a dispatcher, or as the mesh's
egress or its control API.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable
from typing import Any, cast

from ..core.counts import ReplyCounts
from ..core.descriptors import Descriptors
from ..core.protocol import FinalAnswer, IncomingRequest
from .bodies import DEFAULT_BODY_MEMORY, Body, MemoryBudget
from .clients import ConnectionRegistry
from .connection import MAX_HEAD_SIZE, Headers
from .heads import CompleteRequest, HttpResponse
from .server import ServerConnection


class RequestHandler(ConnectionRegistry):
    """Client connections, memory for request bodies, and the methods that process a received request."""

    def __init__(self, descriptors: Descriptors) -> None:
        super().__init__(descriptors)
        self.room = MemoryBudget(DEFAULT_BODY_MEMORY)
        """Memory for bodies larger than UNRESERVED_BODY_SIZE."""
        self.draining = False
        self.max_head_size = MAX_HEAD_SIZE
        """Limit on the head of a request in bytes."""
        self.max_body_size = 0
        """Limit on a request body in bytes; if 0, MAX_REQUEST_BODY applies."""
        self.requires_complete_body = False
        """Requests are forwarded only once their bodies are complete, however large the bodies are."""

    def release_memory(self, size: int) -> None:
        """Return reserved bytes, and grant them to the connections that wait for memory."""
        if not size:
            return
        self.room.release(size)
        for owner, granted in self.room.grant_waiting():
            cast(ServerConnection, owner).on_memory_granted(granted)

    def connection(self) -> ServerConnection:
        """Return the protocol for a client that connects."""
        return ServerConnection(self)

    def begin_drain(self) -> None:
        """Close each connection with its next response."""
        self.draining = True

    @abstractmethod
    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited_ms: float) -> IncomingRequest:
        """Validate a request that arrived ``waited_ms`` ms ago. Raises Rejected if it is invalid."""

    @abstractmethod
    def take(self, request: IncomingRequest, on_answer: Callable[[FinalAnswer | HttpResponse], None]) -> None:
        """Process a request. ``on_answer`` is called once, unless the client disconnects before."""

    @abstractmethod
    def on_client_disconnected(self, request_id: str) -> None:
        """Stop processing a request: called if its client disconnects before the response begins."""

    @abstractmethod
    def replies(self, request: IncomingRequest) -> ReplyCounts:
        """Return the counters for the final answer to a request."""

    @abstractmethod
    def unread(self, sock: Any) -> bool:
        """Return whether the kernel holds unread bytes of a connection, or its end."""

    def upload_finished(self, request_id: str) -> None:
        """Called when a body that is forwarded while it is received is complete."""

    def receive_delay(self, transport: asyncio.BaseTransport, is_first: bool) -> float:
        """Return how many ms the bytes being read from a connection waited for this process; 0 if not measured."""
        return 0.0

    def local_response(self, request: CompleteRequest) -> HttpResponse | None:
        """Return the response to a request that concerns the listener itself, such as a health check."""
        return None

    def add_streaming(self, change: int) -> None:
        """Called when the streaming of a response begins (``change`` is 1) or ends (-1)."""
