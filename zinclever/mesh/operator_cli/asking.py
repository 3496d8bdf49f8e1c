"""One call to a control replica, bounded in time; answers as JSON."""

from __future__ import annotations

import http.client
from typing import Any

import orjson

from ...core.protocol import read_address
from ..errors import MeshError

WITHIN = 2.0  # s in which a live replica answers; a change may take longer
CHANGE_WITHIN = 6.0


def ask(
    core: list[str],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    within: float = WITHIN,
) -> tuple[int, Any, str]:
    """Status, answer and name of the first replica that answers. MeshError with all names where none does."""
    told: list[str] = []
    for name in core:
        try:
            host, port = read_address(name)
        except ValueError as wrong:
            raise MeshError("ADDRESS", str(wrong), name) from None
        connection = http.client.HTTPConnection(host, port, timeout=within)
        try:
            connection.request(method, path, body or None, {"Content-Type": "application/json", **(headers or {})})
            answer = connection.getresponse()
            text = answer.read()
        except OSError as wrong:
            told.append(f"{name} ({wrong})")
            continue
        finally:
            connection.close()
        if answer.status == 503 and name != core[-1]:
            told.append(f"{name} (503)")
            continue
        return answer.status, orjson.loads(text) if text else None, name
    raise MeshError("NOBODY_ANSWERS", "asked " + ", ".join(told))


def must(status: int, told: Any) -> Any:
    """The answer, where the call was taken."""
    if status == 200:
        return told
    error = told.get("Error", {}) if isinstance(told, dict) else {}
    code, text = error.get("Code") or f"HTTP_{status}", error.get("Text") or f"status {status}"
    raise MeshError(code, text, error.get("Field", ""))
