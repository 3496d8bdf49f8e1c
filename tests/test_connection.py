"""ClientConnection: what is known about a request whose connection breaks, connect timeouts, and aborts."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import SYSTEM, run_real

from zinclever.http1.connection import Broken, ClientConnection, Reply, dial


@pytest.mark.parametrize(("size", "unsent"), [(100, False), (32 << 20, True)])
def test_broken_connection_reports_whether_the_last_byte_was_written(size: int, unsent: bool) -> None:
    """Guards against giving up a request that can't have been executed, and against retrying one that may have been."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            lost: list[ClientConnection] = []
            connection = await dial(SYSTEM, listener.getsockname(), 5.0, lost.append, lost.append)
            peer, _ = await loop.sock_accept(listener)
            result: asyncio.Future[Reply | Broken] = loop.create_future()
            connection.request(b"x" * size, result.set_result)
            await loop.sock_recv(peer, 100)
            assert connection.unsent == unsent
            peer.close()
            assert await result == Broken(unsent)
            assert lost == [connection] and not connection.reusable()

    run_real(test)


def test_dial_times_out() -> None:
    """Guards against an attempt that waits for an unreachable machine."""

    async def test() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            filling_backlog = [socket.socket() for _ in range(8)]
            for s in filling_backlog:
                s.setblocking(False)
                s.connect_ex(listener.getsockname())
            with pytest.raises(OSError):
                await dial(SYSTEM, listener.getsockname(), 0.1, lambda c: None, lambda c: None)
            for s in filling_backlog:
                s.close()

    run_real(test)


def test_abort_shuts_the_connection_down_immediately() -> None:
    """Guards against a retry that reaches an endpoint while the aborted attempt still looks open.

    The transport alone would close the socket only in the loop's next iteration.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            results: list[Reply | Broken] = []
            connection = await dial(SYSTEM, listener.getsockname(), 5.0, lambda c: None, lambda c: None)
            peer, _ = await loop.sock_accept(listener)
            connection.request(b"x", results.append)
            assert await loop.sock_recv(peer, 100) == b"x"
            connection.abort()
            peer.settimeout(5.0)
            assert peer.recv(100) == b""  # before the loop's next iteration
            peer.close()
            await asyncio.sleep(0)
            assert not results

    run_real(test)
