"""Test harness: requests as their clients and endpoints observe them, and the invariants of their execution.

:func:`audit` checks the invariants, based only on these observations.
"""

from __future__ import annotations

import enum
import hashlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from mesh.work import ORDINARY, Work

SERVICE = "s"
MAX_ATTEMPTS = 2  # of the routes of cluster.config
MAX_KEPT_BODY = 256  # bytes


class RouteClass(enum.Enum):
    IDEMPOTENT = "safe"
    NON_IDEMPOTENT = "unsafe"


class Outcome(enum.Enum):
    NOT_SENT = "not sent"
    """No connection was established: the request cannot have been executed."""
    ANSWERED = "answered"
    REFUSED = "refused"
    """Status 429 or 503: the request was not executed and never will be."""
    UNKNOWN = "unknown"
    """Status 502 or 504, a closed connection, or a timeout: the request may have been executed, or may be later."""
    UNEXPECTED_STATUS = "unexpected status"
    """A status that no valid request of these routes receives."""


OUTCOMES = {200: Outcome.ANSWERED, 429: Outcome.REFUSED, 503: Outcome.REFUSED} | dict.fromkeys(
    (502, 504), Outcome.UNKNOWN
)


@dataclass(slots=True)
class ClientRequest:
    """A request as observed by its client."""

    id: str
    route_class: RouteClass
    outcome: Outcome = Outcome.NOT_SENT
    response_id: str = ""
    response_body: bytes = b""
    has_response: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0

    work: Work = ORDINARY

    @property
    def request_body(self) -> bytes:
        padding = b"\n" + bytes(self.work.body_size) if self.work.body_size else b""
        return request_name(self.id) + padding


@dataclass(frozen=True, slots=True)
class Execution:
    """An execution of a request, as observed by its endpoint."""

    id: str
    path: str
    body: bytes
    endpoint: str
    started_at: float
    partial_length: int | None = None
    """The number of bytes of the body that the endpoint had read; None if it had read all of it."""


def request_name(request: str) -> bytes:
    """Return the first line of the body of a request."""
    return b"body of " + request.encode()


def response_body_for(body: bytes) -> bytes:
    return b"answer to " + body.partition(b"\n")[0]


def fingerprint(body: bytes) -> bytes:
    """Return what is kept of a body to compare it."""
    return body if len(body) <= MAX_KEPT_BODY else hashlib.blake2b(body).digest()


class Invariant(enum.Enum):
    EXECUTED_TOO_OFTEN = "a request was executed more than once, or more than MaxAttempts times if it is idempotent"
    EXECUTED_AFTER_REFUSAL = "a non-idempotent request was executed although its client received a refusal"
    MISMATCHED_RESPONSE = "a response does not belong to its request"
    UNKNOWN_REQUEST = "a request was executed that no client sent, or that differs from the one that was sent"
    UNEXPECTED_STATUS = "a request received an unexpected status"


@dataclass(frozen=True, slots=True)
class Violation:
    invariant: Invariant
    request: str


def audit(requests: Iterable[ClientRequest], executions: Iterable[Execution]) -> list[Violation]:
    """Return all violations of invariants. An unknown outcome alone is not a violation."""
    violations: list[Violation] = []
    by_id = {r.id: r for r in requests}
    executions_by_id: dict[str, list[Execution]] = {}
    for execution in executions:
        executions_by_id.setdefault(execution.id, []).append(execution)
        request = by_id.get(execution.id)
        if (
            request is None
            or execution.body != fingerprint(request.request_body[: execution.partial_length])
            or execution.path != f"/{SERVICE}/{request.route_class.value}/"
        ):
            violations.append(Violation(Invariant.UNKNOWN_REQUEST, execution.id))
    for request in by_id.values():
        request_executions = executions_by_id.get(request.id, [])
        violations += [
            Violation(invariant, request.id) for invariant in violated_invariants(request, request_executions)
        ]
    return violations


def violated_invariants(request: ClientRequest, executions: list[Execution]) -> list[Invariant]:
    max_executions = MAX_ATTEMPTS if request.route_class is RouteClass.IDEMPOTENT else 1
    violations: list[Invariant] = []
    if len(executions) > max_executions:
        violations.append(Invariant.EXECUTED_TOO_OFTEN)
    if executions and (request.outcome is Outcome.NOT_SENT or is_final_refusal(request)):
        violations.append(Invariant.EXECUTED_AFTER_REFUSAL)
    if request.outcome is Outcome.ANSWERED and not (
        executions
        and request.response_id == request.id
        and request.response_body == response_body_for(request.request_body)
    ):
        violations.append(Invariant.MISMATCHED_RESPONSE)
    if request.outcome is Outcome.UNEXPECTED_STATUS:
        violations.append(Invariant.UNEXPECTED_STATUS)
    return violations


def is_final_refusal(request: ClientRequest) -> bool:
    """Return whether a refusal guarantees that the request is never executed.

    It doesn't for an idempotent request, whose second attempt may be refused after the first was executed.
    """
    return request.outcome is Outcome.REFUSED and request.route_class is RouteClass.NON_IDEMPOTENT


def summarize(requests: Iterable[ClientRequest], executions: Iterable[Execution]) -> str:
    """Return a summary of the requests, executions and outcomes of each route class."""
    requests = list(requests)
    execution_counts = Counter(execution.id for execution in executions)
    lines: list[str] = []
    for route_class in RouteClass:
        of_class = [request for request in requests if request.route_class is route_class]
        outcomes = Counter(request.outcome for request in of_class)
        outcome_counts = ", ".join(f"{outcome.value} {outcomes[outcome]}" for outcome in Outcome)
        total = sum(execution_counts[request.id] for request in of_class)
        distinct = sum(execution_counts[request.id] > 0 for request in of_class)
        unknown_but_executed = sum(
            execution_counts[request.id] > 0 for request in of_class if request.outcome is Outcome.UNKNOWN
        )
        lines.append(
            f"{route_class.name.lower()}: sent {len(of_class)}, executed {distinct} ({total} executions), "
            f"{outcome_counts} ({unknown_but_executed} of the unknown were executed)"
        )
    return "; ".join(lines)
