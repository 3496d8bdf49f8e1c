"""An in-memory log, of bounded size, of the latest failed requests and their attempts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

MAX_FAILURES = 2000


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """A request that was answered with an error."""

    status: int
    service: str
    milliseconds: int
    """From the request's arrival to its answer."""
    attempts: Sequence[str]
    """For each logged attempt: the endpoint and the outcome."""

    def as_json(self) -> dict[str, object]:
        """Return the failure's description for operators."""
        return {
            "Status": self.status,
            "Target": self.service,
            "Ms": self.milliseconds,
            "Tries": list(self.attempts),
        }


class FailureLog:
    """The latest :data:`MAX_FAILURES` requests that were answered with an error."""

    def __init__(self) -> None:
        self.failures: OrderedDict[str, RequestFailure] = OrderedDict()

    def add(self, request_id: str, failure: RequestFailure) -> None:
        """Add a failure, and drop the oldest one beyond the limit."""
        self.failures[request_id] = failure
        if len(self.failures) > MAX_FAILURES:
            self.failures.popitem(last=False)

    def find(self, request_id: str) -> RequestFailure | None:
        """Return the failure of a request; None if it is not in the log."""
        return self.failures.get(request_id)
