"""Why requests were not served: the latest of them by their ids, for whoever asks. Bounded, and nothing is written."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

MAX_FAILURES = 2000  # requests that are remembered


class FailureLog:
    """The latest requests that ended without the answer that was wanted."""

    def __init__(self) -> None:
        self.failures: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def add(self, request_id: str, status: int, service: str, took: float, tries: list[str]) -> None:
        """``took`` s after it came it was answered with ``status``; ``tries``: each endpoint and what came of it."""
        self.failures[request_id] = {"Status": status, "Target": service, "Ms": round(1000 * took), "Tries": tries}
        if len(self.failures) > MAX_FAILURES:
            self.failures.popitem(last=False)

    def find(self, request_id: str) -> dict[str, Any] | None:
        return self.failures.get(request_id)
