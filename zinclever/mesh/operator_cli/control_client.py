"""One call to a control node, bounded in time; answers are JSON."""

from __future__ import annotations

import http.client
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import orjson

from ...core.protocol import read_address
from ..errors import MeshError

CALL_TIMEOUT = 2.0  # s in which a live control node answers; a change may take longer
CHANGE_TIMEOUT = 6.0  # s
MAX_REDIRECTS = 2  # a large configuration is taken by the leader only: others send the caller there
REDIRECT, UNAVAILABLE = 307, 503


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """A call; ``timeout`` in s."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] | None = None
    timeout: float = CALL_TIMEOUT


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """What a control node answered."""

    status: int
    text: bytes
    location: str
    answered_by: str
    """Its address."""

    def json(self) -> Any:
        """The parsed answer; None where it is empty."""
        return orjson.loads(self.text) if self.text else None

    def require(self) -> Any:
        """The parsed answer of a call that succeeded; MeshError with the code and reason of one that was refused."""
        answer = self.json()
        if self.status == 200:
            return answer
        error = answer.get("Error", {}) if isinstance(answer, dict) else {}
        code = error.get("Code") or f"HTTP_{self.status}"
        raise MeshError(code, error.get("Text") or f"status {self.status}", error.get("Field", ""))


def call(addresses: Sequence[str], request: ControlRequest) -> ControlResponse:
    """The answer of the first control node that gives one. MeshError with all addresses where none does."""
    failures: list[str] = []
    for address in addresses:
        try:
            response = send_following_redirects(address, request)
        except OSError as error:
            failures.append(f"{address} ({error})")
            continue
        if response.status == UNAVAILABLE and address != addresses[-1]:
            failures.append(f"{address} (503)")
            continue
        return response
    raise MeshError("NOBODY_ANSWERS", "asked " + ", ".join(failures))


def send_following_redirects(address: str, request: ControlRequest) -> ControlResponse:
    """The answer of a control node, or of the one that it sends the caller to. OSError where it can't be reached."""
    response = send(address, request.path, request)
    for _ in range(MAX_REDIRECTS):
        if response.status != REDIRECT:
            break
        target = urlsplit(response.location)
        response = send(target.netloc, target.path, request)
    return response


def send(address: str, path: str, request: ControlRequest) -> ControlResponse:
    """One call to one control node. OSError where it can't be reached, MeshError where the address is none."""
    try:
        host, port = read_address(address)
    except ValueError as error:
        raise MeshError("ADDRESS", str(error), address) from None
    connection = http.client.HTTPConnection(host, port, timeout=request.timeout)
    try:
        headers = {"Content-Type": "application/json", **(request.headers or {})}
        connection.request(request.method, path, request.body or None, headers)
        response = connection.getresponse()
        return ControlResponse(response.status, response.read(), response.getheader("Location", ""), address)
    finally:
        connection.close()
