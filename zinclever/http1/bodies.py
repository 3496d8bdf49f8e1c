"""Buffered request bodies and the memory that they may use. No I/O, no clock.

A body is buffered completely until its request is answered, so that a retry can send it again. A small body is
forwarded once it is complete. A larger one first has to reserve memory, in order of arrival, and is then forwarded
while it is received: otherwise the time that a slow endpoint takes to read it would be added to its client's wait.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol

UNRESERVED_BODY_SIZE = 64 * 1024  # bytes; up to this size, no reservation: the limit on descriptors bounds the sum
RESERVATION_STEP = 256 * 1024  # bytes reserved at a time for a body of unknown length
MIN_BODY_MEMORY = 4 << 20  # bytes, however little memory the process has
DEFAULT_BODY_MEMORY = 64 << 20  # bytes, if the memory of the process is unknown
BASE_MEMORY = 30 << 20  # bytes that a sidecar uses without bodies: the program, its connections, streamed responses
BODY_MEMORY_SHARE = 0.4  # of memory beyond BASE_MEMORY: bodies are briefly held twice, and the kernel has copies


def body_memory_limit(memory: float | None) -> int:
    """Return the bytes that bodies may use if the process may use ``memory`` bytes (None: an unknown number)."""
    if memory is None:
        return DEFAULT_BODY_MEMORY
    return max(MIN_BODY_MEMORY, int(BODY_MEMORY_SHARE * (memory - BASE_MEMORY)))


class MemoryBudget:
    """Reservations of a bounded number of bytes, and a first-in, first-out queue of owners that wait for one."""

    __slots__ = ("limit", "used", "waiting")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.waiting: dict[Hashable, int] = {}

    def reserve(self, owner: Hashable, size: int) -> bool:
        """Reserve ``size`` bytes. If they are not available, append ``owner`` to the queue and return False."""
        if not self.waiting and self.used + size <= self.limit:
            self.used += size
            return True
        self.waiting[owner] = size
        return False

    def release(self, size: int) -> None:
        """Return reserved bytes. Call :meth:`grant_waiting` afterwards."""
        self.used -= size

    def stop_waiting(self, owner: Hashable) -> None:
        """Remove an owner from the queue, if it is queued."""
        self.waiting.pop(owner, None)

    def grant_waiting(self) -> list[tuple[Hashable, int]]:
        """Reserve bytes for as many queued owners as possible; return these owners and sizes in queue order."""
        granted: list[tuple[Hashable, int]] = []
        for owner, size in self.waiting.items():
            if self.used + size > self.limit:
                break
            self.used += size
            granted.append((owner, size))
        for owner, _ in granted:
            del self.waiting[owner]
        return granted


class BodyConsumer(Protocol):
    """Receives each byte of a body once, in order, while the body is being received."""

    def on_data(self, data: bytes) -> None:
        """Handle bytes of the body, except its last byte."""

    def on_last_byte(self, data: bytes) -> None:
        """Handle the last byte. Called once; no call follows."""


class Body:
    """A body that is being received.

    Its last byte is withheld until the client has sent the complete body: until then, no endpoint has a complete
    request.
    """

    __slots__ = ("consumers", "is_complete", "length", "parts", "withheld")

    def __init__(self, length: int | None) -> None:
        self.length = length
        """Content-Length; None if the body is chunked."""
        self.parts: list[bytes] = []
        self.withheld = b""
        self.is_complete = False
        self.consumers: dict[BodyConsumer, None] = {}

    def add(self, data: bytes) -> None:
        """Append received bytes, at least one."""
        released, self.withheld = self.withheld + data[:-1], data[-1:]
        if released:
            self.parts.append(released)
            for consumer in list(self.consumers):
                consumer.on_data(released)

    def finish(self) -> None:
        """Mark the body as complete. It has at least one byte."""
        self.is_complete = True
        consumers, self.consumers = self.consumers, {}
        for consumer in consumers:
            consumer.on_last_byte(self.withheld)

    def subscribe(self, consumer: BodyConsumer) -> None:
        """Pass the bytes received so far, and all later ones, to a consumer."""
        self.consumers[consumer] = None
        for part in self.parts:
            consumer.on_data(part)

    def unsubscribe(self, consumer: BodyConsumer) -> None:
        """Pass no more bytes to a consumer."""
        self.consumers.pop(consumer, None)

    def content(self) -> bytes:
        """Return the complete body, once :attr:`is_complete` is set. The first call joins the parts."""
        if len(self.parts) > 1 or self.withheld:
            self.parts, self.withheld = [b"".join((*self.parts, self.withheld))], b""
        return self.parts[0]
