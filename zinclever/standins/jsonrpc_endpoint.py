"""A JSON-RPC 2.0 test endpoint over TCP.

It is written from the specification and shares no code with the sidecar, so that both can't have the same mistake.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from .endpoint import Endpoint
from .faults import Fault, Plan, Step
from .log import Log

DECLINED = -32010
"""Error code that reports that a call was not executed."""
NOISE = b"\x16\x03 this is no JSON\n"


def write(framing: str, text: bytes) -> bytes:
    """Returns a message in its framing: ``lines``, or Content-Length headers."""
    return text + b"\n" if framing == "lines" else b"Content-Length: %d\r\n\r\n%b" % (len(text), text)


async def read(framing: str, reader: asyncio.StreamReader) -> bytes:
    """Reads the next message; empty at the end of the stream."""
    if framing == "lines":
        return await reader.readline()
    length = 0
    while (line := (await reader.readline()).strip()) or not length:
        if not line:
            return b""
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return await reader.readexactly(length)


class JsonRpcEndpoint(Endpoint):
    """Handles calls concurrently and answers them out of order, with the faults of its plan.

    ``params.call`` names the call in the log.
    """

    def __init__(self, log: Log, plan: Plan | None = None, zone: str = "a", framing: str = "lines") -> None:
        super().__init__(log, plan, zone)
        self.framing = framing
        self.texts: list[Any] = []
        """All messages received, as JSON values."""
        self.raw: list[bytes] = []
        """All messages received, as bytes."""

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles calls until the client closes the connection."""
        while text := await read(self.framing, reader):
            first = self.log.clock()
            try:
                message = json.loads(text)
            except ValueError:
                self.send(writer, {"jsonrpc": "2.0", "error": {"code": -32700, "message": "?"}, "id": None})
                continue
            self.texts.append(message)
            self.raw.append(text)
            params = message.get("params")
            call = str(params.get("call")) if isinstance(params, dict) else str(message["id"])
            step, execution_id = self.receive(call, first)
            self.spawn(self.respond(writer, message, step, execution_id))

    def send(self, writer: asyncio.StreamWriter, value: Any) -> None:
        """Sends a JSON value as one message."""
        writer.write(write(self.framing, json.dumps(value).encode()))

    async def respond(self, writer: asyncio.StreamWriter, message: Any, step: Step, execution_id: str) -> None:
        """Answers one call, or injects the fault of its step."""
        if step.delay:
            await asyncio.sleep(step.delay)
        base = {"jsonrpc": "2.0", "id": message.get("id")}
        response = json.dumps(base | {"result": {"made": execution_id, "method": message["method"]}}).encode()
        if step.fault in (Fault.SILENCE, Fault.SWALLOW):
            return
        if step.fault is Fault.BREAK_BEFORE:
            writer.transport.abort()
        elif step.fault is Fault.BREAK_AT:
            writer.write(response[: step.at_byte])
            writer.close()
        elif step.fault is Fault.SPOILT:
            writer.write(NOISE)
        elif step.fault is Fault.BEYOND:
            writer.write(write(self.framing, response) + NOISE)
        elif step.fault is Fault.ERROR:
            self.send(writer, base | {"error": {"code": -32603, "message": "internal", "data": execution_id}})
        elif step.fault is Fault.DECLINE:
            self.send(writer, base | {"error": {"code": DECLINED, "message": "busy"}})
        else:
            writer.write(write(self.framing, response))
