"""One call to a control replica, bounded in time; answers as JSON."""

from __future__ import annotations

import http.client
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import orjson

from ...core.protocol import read_address
from ..errors import MeshError

WITHIN = 2.0  # s in which a live replica answers; a change may take longer
CHANGE_WITHIN = 6.0
MAX_REDIRECTS = 2  # a large configuration is taken by the leader only: others send the caller there


class Response(NamedTuple):
    """What a replica answered; ``by``: its address."""

    status: int
    text: bytes
    location: str
    by: str


def request_following(
    name: str, method: str, path: str, body: bytes, headers: dict[str, str], within: float
) -> Response:
    """The answer of a replica, or of the one that it sends the caller to. OSError where it can't be reached."""
    answer = request(name, method, path, body, headers, within)
    for _ in range(MAX_REDIRECTS):
        if answer.status != 307:
            break
        target = urlsplit(answer.location)
        answer = request(target.netloc, method, target.path, body, headers, within)
    return answer


def request(name: str, method: str, path: str, body: bytes, headers: dict[str, str], within: float) -> Response:
    """One call to one replica. OSError where it can't be reached, MeshError where its address is none."""
    try:
        host, port = read_address(name)
    except ValueError as wrong:
        raise MeshError("ADDRESS", str(wrong), name) from None
    connection = http.client.HTTPConnection(host, port, timeout=within)
    try:
        connection.request(method, path, body or None, {"Content-Type": "application/json", **headers})
        answer = connection.getresponse()
        return Response(answer.status, answer.read(), answer.getheader("Location", ""), name)
    finally:
        connection.close()


def ask(
    core: list[str],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    within: float = WITHIN,
) -> tuple[int, Any, str]:
    """Status, answer and name of the first replica that answers. MeshError with all names where none does."""
    refused: list[str] = []
    for name in core:
        try:
            answer = request_following(name, method, path, body, headers or {}, within)
        except OSError as wrong:
            refused.append(f"{name} ({wrong})")
            continue
        if answer.status == 503 and name != core[-1]:
            refused.append(f"{name} (503)")
            continue
        return answer.status, orjson.loads(answer.text) if answer.text else None, answer.by
    raise MeshError("NOBODY_ANSWERS", "asked " + ", ".join(refused))


def must(status: int, told: Any) -> Any:
    """The answer, where the call was taken."""
    if status == 200:
        return told
    error = told.get("Error", {}) if isinstance(told, dict) else {}
    code, text = error.get("Code") or f"HTTP_{status}", error.get("Text") or f"status {status}"
    raise MeshError(code, text, error.get("Field", ""))
