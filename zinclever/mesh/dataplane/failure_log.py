"""Why requests were not served: the latest of them by their ids, for whoever asks. In memory, and bounded."""

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
    """From its arrival to its answer."""
    attempts: Sequence[str]
    """Each endpoint and what came of it."""

    def as_json(self) -> dict[str, object]:
        """For operators."""
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
        """Remember a failure."""
        self.failures[request_id] = failure
        if len(self.failures) > MAX_FAILURES:
            self.failures.popitem(last=False)

    def find(self, request_id: str) -> RequestFailure | None:
        """The failure of a request; None where none is remembered."""
        return self.failures.get(request_id)
