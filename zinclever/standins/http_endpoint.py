"""An HTTP/1.1 test endpoint for the platform's protocol. The ``Req-Id`` header names the request in the log."""

from __future__ import annotations

import asyncio

from .endpoint import Endpoint
from .faults import Fault

SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
DECLINED = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"


class HttpEndpoint(Endpoint):
    """Serves one request at a time on a connection, with the faults of its plan."""

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers requests until the client or a fault ends the connection."""
        while start := await reader.read(1):
            first = self.log.clock()
            head = (start + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = dict(
                (name.lower(), value.strip())
                for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:] if line)
            )
            await reader.readexactly(int(headers.get("content-length", "0")))
            step, execution_id = self.receive(headers["req-id"], first)
            if step.delay:
                await asyncio.sleep(step.delay)
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(execution_id), execution_id.encode())
            if step.fault in (Fault.SILENCE, Fault.SWALLOW):
                await reader.read(1)  # returns when the client closes the connection
                return
            if step.fault is Fault.BREAK_BEFORE:
                return
            if step.fault is Fault.BREAK_AT:
                writer.write(response[: step.at_byte])
                writer.close()
                return
            responses = {
                Fault.NONE: response,
                Fault.SPOILT: SPOILT,
                Fault.BEYOND: response + b"\x00noise",
                Fault.ERROR: ERROR,
                Fault.DECLINE: DECLINED,
            }
            writer.write(responses[step.fault])
