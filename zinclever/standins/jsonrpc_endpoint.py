"""A JSON-RPC 2.0 server over TCP, written from the specification: nothing is shared with the sidecar."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from .endpoint import Endpoint
from .faults import Fault, Plan, Step
from .log import Log

DECLINED = -32010
"""The error by which this server tells that a call never ran."""
NOISE = b"\x16\x03 this is no JSON\n"


def write(framing: str, text: bytes) -> bytes:
    return text + b"\n" if framing == "lines" else b"Content-Length: %d\r\n\r\n%b" % (len(text), text)


async def read(framing: str, reader: asyncio.StreamReader) -> bytes:
    """The next text; empty once the other side has ended."""
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
    """Runs each call as it comes, answers out of order, as its plan says. ``params.call`` names the call."""

    def __init__(self, log: Log, plan: Plan | None = None, zone: str = "a", framing: str = "lines") -> None:
        super().__init__(log, plan, zone)
        self.framing = framing
        self.texts: list[Any] = []
        """Every text that came, as JSON values."""
        self.raw: list[bytes] = []

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while text := await read(self.framing, reader):
            first = self.log.clock()
            try:
                told = json.loads(text)
            except ValueError:
                self.say(writer, {"jsonrpc": "2.0", "error": {"code": -32700, "message": "?"}, "id": None})
                continue
            self.texts.append(told)
            self.raw.append(text)
            params = told.get("params")
            call = str(params.get("call")) if isinstance(params, dict) else str(told["id"])
            step, made = self.receive(call, first)
            self.spawn(self.respond(writer, told, step, made))

    def say(self, writer: asyncio.StreamWriter, value: Any) -> None:
        writer.write(write(self.framing, json.dumps(value).encode()))

    async def respond(self, writer: asyncio.StreamWriter, told: Any, step: Step, made: str) -> None:
        if step.delay:
            await asyncio.sleep(step.delay)
        base = {"jsonrpc": "2.0", "id": told.get("id")}
        good = json.dumps(base | {"result": {"made": made, "method": told["method"]}}).encode()
        if step.fault in (Fault.SILENCE, Fault.SWALLOW):
            return
        if step.fault is Fault.BREAK_BEFORE:
            writer.transport.abort()
        elif step.fault is Fault.BREAK_AT:
            writer.write(good[: step.at_byte])
            writer.close()
        elif step.fault is Fault.SPOILT:
            writer.write(NOISE)
        elif step.fault is Fault.BEYOND:
            writer.write(write(self.framing, good) + NOISE)
        elif step.fault is Fault.ERROR:
            self.say(writer, base | {"error": {"code": -32603, "message": "internal", "data": made}})
        elif step.fault is Fault.DECLINE:
            self.say(writer, base | {"error": {"code": DECLINED, "message": "busy"}})
        else:
            writer.write(write(self.framing, good))
