"""HTTP client for the control API, with timeouts and failover between control nodes."""

from __future__ import annotations

import http.client
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import orjson

from ...core.protocol import read_address
from ..errors import MeshError

CALL_TIMEOUT = 2.0  # s
CHANGE_TIMEOUT = 6.0  # s for calls that need a quorum, which may take longer
MAX_REDIRECTS = 2  # only the leader accepts large configurations; other nodes redirect to it
REDIRECT, UNAVAILABLE = 307, 503


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """A request to the control API; ``timeout`` is in seconds."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] | None = None
    timeout: float = CALL_TIMEOUT


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """The response of a control node."""

    status: int
    text: bytes
    location: str
    answered_by: str
    """Address of the control node."""

    def json(self) -> Any:
        """Return the parsed body, or None if it is empty."""
        return orjson.loads(self.text) if self.text else None

    def json_or_raise(self) -> Any:
        """Return the parsed body of a successful call.

        Raises:
            MeshError: The status is not 200; the error has the code, text and field of the response.
        """
        answer = self.json()
        if self.status == 200:
            return answer
        error = answer.get("Error", {}) if isinstance(answer, dict) else {}
        code = error.get("Code") or f"HTTP_{self.status}"
        raise MeshError(code, error.get("Text") or f"status {self.status}", error.get("Field", ""))


def call(addresses: Sequence[str], request: ControlRequest) -> ControlResponse:
    """Return the response of the first control node that is reachable and available.

    The last node's response is returned even if it is 503.

    Raises:
        MeshError: No control node responded; the error lists all addresses.
    """
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
    raise MeshError("NOBODY_ANSWERS", "no control node responded: " + ", ".join(failures))


def send_following_redirects(address: str, request: ControlRequest) -> ControlResponse:
    """Send a request to a control node and follow its redirects.

    Raises:
        OSError: A control node cannot be reached.
    """
    response = send(address, request.path, request)
    for _ in range(MAX_REDIRECTS):
        if response.status != REDIRECT:
            break
        target = urlsplit(response.location)
        response = send(target.netloc, target.path, request)
    return response


def send(address: str, path: str, request: ControlRequest) -> ControlResponse:
    """Send a request to one control node.

    Raises:
        OSError: The control node cannot be reached.
        MeshError: The address is invalid.
    """
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
