"""Random orders of writes, reads and resets: what a broken connection proves if servers execute requests early."""

from __future__ import annotations

import asyncio
import random
import socket
import struct

import pytest
from loopback import host_here, run

from zinclever.http1.connection import Broken, ClientConnection, Reply, dial

SIZES = (0, 1, 600, 20_000, 300_000, 3_000_000)  # bytes of a body
HOLDS = (0.0, 0.002)  # s
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEAD_END = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class EarlyServer:
    """Reads parts with pauses, and then answers, closes or resets, wherever in the request it is."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.received = b""

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(self.rng.choice((0, 1, 1, 2, 8))):
            await asyncio.sleep(self.rng.choice((0.0, 0.001, 0.003, 0.02)))
            self.received += await reader.read(self.rng.choice((1, 30, 70, 4096, 65536)))
        ending = self.rng.choice(("answer", "answer and close", "close", "reset", "reset"))
        if ending.startswith("answer") and HEAD_END in self.received:
            writer.write(RESPONSE)
        if ending == "reset":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if ending != "answer":
            writer.transport.abort()


async def play(seed: int) -> bool:
    """Send one request. Returns whether the connection reported that it can't have been executed."""
    rng = random.Random(seed)
    head, body, hold = b"POST / HTTP/1.1\r\nHost: a", bytes(rng.choice(SIZES)), rng.choice(HOLDS)
    early = EarlyServer(rng)
    server = await asyncio.start_server(early.accept, "127.0.0.1", 0)
    result: asyncio.Future[Reply | Broken] = asyncio.get_running_loop().create_future()
    ignore: list[ClientConnection] = []
    address = server.sockets[0].getsockname()
    connection = await dial(host_here(), address, 1.0, ignore.append, ignore.append, stall=0.2, executes_early=True)
    await asyncio.sleep(rng.choice((0.0, 0.001, 0.05)))  # the server may have ended the connection meanwhile
    connection.request(head + HEAD_END, result.set_result, hold, None, body)
    try:
        async with asyncio.timeout(2.0):
            answer = await result
    except TimeoutError:  # the server keeps the connection, and never answers
        connection.abort()
        answer = Reply(0, [], b"")
    await asyncio.sleep(0.5)  # in which the server reads what is under way
    server.close()
    proves_unexecuted = isinstance(answer, Broken) and answer.unsent
    assert not (proves_unexecuted and HEAD_END in early.received), f"seed {seed}: {len(early.received)} bytes received"
    if isinstance(answer, Reply) and answer.status:
        assert answer.body == b"ok"
    return proves_unexecuted


@pytest.mark.parametrize("first", range(0, 400, 50))
def test_only_an_unfinished_head_proves_that_nothing_was_executed(first: int) -> None:
    """Guards against review/4, in simulated time, whatever part of a request the server has read."""
    unsent = 0

    async def test() -> None:
        nonlocal unsent
        for seed in range(first, first + 50):
            unsent += await play(seed)

    run(test)
    assert unsent > 0  # some connections break before the head is complete, and say so
