"""How far a request got when its connection breaks."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import SYSTEM, run_real

from zinclever.http1.connection import Broken, ClientConnection, Reply, dial


@pytest.mark.parametrize(("size", "unsent"), [(100, False), (32 << 20, True)])
def test_break_tells_whether_the_last_byte_was_written(size: int, unsent: bool) -> None:
    """Guards against giving up what can't have run, and against repeating what may have run."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            lost: list[ClientConnection] = []
            connection = await dial(SYSTEM, listener.getsockname(), 5.0, lost.append, lost.append)
            other, _ = await loop.sock_accept(listener)
            result: asyncio.Future[Reply | Broken] = loop.create_future()
            connection.request(b"x" * size, result.set_result)
            await loop.sock_recv(other, 100)
            assert connection.unsent == unsent
            other.close()
            assert await result == Broken(unsent)
            assert lost == [connection] and not connection.reusable()

    run_real(test)


def test_dialling_ends_in_time() -> None:
    """Guards against an attempt that waits on a machine that is cut off."""

    async def test() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            full = [socket.socket() for _ in range(8)]
            for s in full:
                s.setblocking(False)
                s.connect_ex(listener.getsockname())
            with pytest.raises(OSError):
                await dial(SYSTEM, listener.getsockname(), 0.1, lambda c: None, lambda c: None)
            for s in full:
                s.close()

    run_real(test)


def test_aborted_connection_ends_at_once() -> None:
    """Guards against a repeat that reaches an endpoint while the attempt before it still looks open: the
    transport alone would close the socket only in the loop's next round."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            told: list[Reply | Broken] = []
            connection = await dial(SYSTEM, listener.getsockname(), 5.0, lambda c: None, lambda c: None)
            other, _ = await loop.sock_accept(listener)
            connection.request(b"x", told.append)
            assert await loop.sock_recv(other, 100) == b"x"
            connection.abort()
            other.settimeout(5.0)
            assert other.recv(100) == b""  # with no turn of the loop in between
            other.close()
            await asyncio.sleep(0)
            assert not told

    run_real(test)
