"""A client's request that is being forwarded to endpoints, and the state of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from .attempt_count import AttemptCount

MAX_LOGGED_ATTEMPTS = 12


@dataclass(slots=True, eq=False)
class OutboundRequest:
    """A request and the state of its attempts. Instants are in s of the event loop's clock."""

    service: str
    id: str
    head: bytes
    """Request line and end-to-end headers, without the empty line."""
    body: bytes
    has_body: bool
    """Whether it is framed as a request with a body, possibly an empty one."""
    is_idempotent: bool
    """It may run more than once."""
    priority: int
    """0 is the highest."""
    latency_target_at: float
    """Instant at which its latency target passes."""
    attempt_count: AttemptCount
    received_at: float
    is_nested: bool = False
    """It was issued by this machine's endpoint while processing another request."""
    is_client_retry: bool = False
    """It is a client's retry after a refusal or timeout. It only takes free capacity and isn't queued, as first tries
    make better use of the slots under overload.
    """
    issued_by_retry: bool = False
    """It was issued by a retry, so it is charged to the retry budget from its first attempt on."""
    attempts_made: int = 0
    in_flight: int = 0
    """Attempts that have been forwarded and have not ended."""
    rejected_by: list[str] = field(default_factory=list)
    """Endpoints that rejected the request themselves, rather than their ingress: it is not sent to them again."""
    may_have_run: bool = False
    attempt_log: list[str] = field(default_factory=list)
    """The endpoints and outcomes of the first :data:`MAX_LOGGED_ATTEMPTS` attempts."""

    def log_attempt(self, text: str) -> None:
        """Log the outcome of an attempt, up to :data:`MAX_LOGGED_ATTEMPTS`."""
        if len(self.attempt_log) < MAX_LOGGED_ATTEMPTS:
            self.attempt_log.append(text)
