"""A client's request on its way to endpoints, and what is known of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from .attempt_count import AttemptCount

MAX_LOGGED_ATTEMPTS = 12


@dataclass(slots=True, eq=False)
class OutboundRequest:
    """What is sent to an endpoint for one request. Instants in s of the event loop."""

    service: str
    id: str
    head: bytes
    """Request line and end-to-end headers, without the empty line."""
    body: bytes
    has_body: bool
    """It is framed as a request with a body, if an empty one."""
    safe: bool
    """It may run more than once."""
    priority: int
    """0 is the highest."""
    latency_target_at: float
    """When its latency target has passed."""
    attempt_count: AttemptCount
    received_at: float
    is_nested: bool = False
    """It was issued by the endpoint of this machine while that works on another request."""
    was_refused: bool = False
    """It was refused before. It takes free capacity and doesn't queue: in a crowd, a request that is served at its
    first try earns more with the same slot."""
    is_retry: bool = False
    """A run that was itself a retry issued it: it counts in the budget from its first attempt on."""
    attempts_made: int = 0
    in_flight: int = 0
    """Attempts that have been forwarded and not ended."""
    rejected_by: list[str] = field(default_factory=list)
    """Endpoints that rejected it themselves: they are not asked again."""
    may_have_run: bool = False
    attempt_log: list[str] = field(default_factory=list)
    """What came of each attempt."""

    def log_attempt(self, text: str) -> None:
        """Note what came of an attempt, up to :data:`MAX_LOGGED_ATTEMPTS`."""
        if len(self.attempt_log) < MAX_LOGGED_ATTEMPTS:
            self.attempt_log.append(text)
