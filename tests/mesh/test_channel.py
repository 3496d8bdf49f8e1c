"""Liveness checks, dial failures and keep-alive of channels to peers that do not respond."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from mesh.cluster import run, wait_until
from zinclever.mesh.transport import channel as channel_module
from zinclever.mesh.transport import dialing
from zinclever.mesh.transport.channel import Channel
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import Fetch, Frame

HOST = "127.77.201.1"


class ChannelToListener:
    """A channel to a listener that answers each call unless ``withhold_answers`` is set.

    :meth:`set_reading_paused` stops the listener from reading, so that it doesn't answer pings either.
    """

    async def __aenter__(self) -> ChannelToListener:
        self.accepted: list[FramedConnection] = []
        self.answers: list[Frame | None] = []
        loop = asyncio.get_running_loop()

        def on_frame(connection: FramedConnection, frame: Frame) -> None:
            if frame.stream and not self.withhold_answers:
                connection.send(Frame(stream=frame.stream, cancel=True))

        def make_connection() -> FramedConnection:
            self.accepted.append(FramedConnection(on_frame, lambda connection: None))
            return self.accepted[-1]

        self.withhold_answers = False
        self.server = await loop.create_server(make_connection, HOST, 0)
        self.channel = Channel((HOST, self.server.sockets[0].getsockname()[1]), "me")
        return self

    async def __aexit__(self, *error: object) -> None:
        self.channel.close()
        for connection in self.accepted:
            connection.abort()
        self.server.close()

    def call(self) -> int:
        return self.channel.call(Frame(fetch=Fetch(index=1)), self.answers.append)

    def set_reading_paused(self, paused: bool) -> None:
        for connection in self.accepted:
            assert connection.transport is not None
            if paused:
                connection.transport.pause_reading()
            else:
                connection.transport.resume_reading()


class UnresponsivePeer(unittest.TestCase):
    def test_a_silent_peer_is_unresponsive_until_it_answers(self) -> None:
        async def test() -> None:
            async with ChannelToListener() as peer:
                stream = peer.call()
                await wait_until(lambda: peer.answers)
                peer.channel.finish_call(stream)
                peer.withhold_answers = True
                peer.call()
                self.assertFalse(peer.channel.is_unresponsive())
                peer.set_reading_paused(True)
                await wait_until(peer.channel.is_unresponsive)
                self.assertEqual(len(peer.answers), 1)  # the open call continues
                peer.set_reading_paused(False)
                await wait_until(lambda: not peer.channel.is_unresponsive())
                self.assertIsNotNone(peer.channel.connection)

        run(test)

    def test_an_idle_channel_is_not_unresponsive(self) -> None:
        async def test() -> None:
            async with ChannelToListener() as peer:
                stream = peer.call()
                await wait_until(lambda: peer.answers)
                peer.channel.finish_call(stream)
                peer.channel.connection.last_received_at -= 100.0  # type: ignore[union-attr]
                self.assertFalse(peer.channel.is_unresponsive())

        run(test)

    def test_a_stall_of_this_process_does_not_abort_the_connection(self) -> None:
        """After a stall the check runs late, and received bytes have not been read yet."""

        async def test() -> None:
            async with ChannelToListener() as peer:
                peer.withhold_answers = True
                peer.call()
                await wait_until(lambda: peer.channel.connection is not None)
                connection = peer.channel.connection
                assert connection is not None
                connection.last_received_at -= 5.0
                peer.channel.check_due_at -= 5.0
                peer.channel.check_liveness()
                self.assertFalse(connection.closed)
                connection.last_received_at -= 5.0
                peer.channel.check_liveness()  # on time: the peer is silent
                self.assertTrue(connection.closed)
                self.assertEqual(peer.answers, [None])

        run(test)

    def test_a_hanging_dial_fails_calls_and_keeps_one_way_frames(self) -> None:
        async def test() -> None:
            loop = asyncio.get_running_loop()
            channel = Channel((HOST, 9), "me")
            attempts: list[asyncio.Future[Any]] = []

            async def hang(*args: Any, **kwargs: Any) -> Any:
                attempts.append(loop.create_future())
                return await attempts[-1]

            channel.loop = HangingLoop(loop, hang)  # type: ignore[assignment]
            answers: list[Frame | None] = []
            channel.send_one_way(Frame(cancel=True))
            channel.call(Frame(fetch=Fetch(index=1)), answers.append)
            await wait_until(lambda: answers)
            self.assertEqual(answers, [None])
            self.assertTrue(channel.is_unresponsive())
            self.assertEqual(len(channel.pending), 1)
            await wait_until(lambda: len(attempts) == 1 + len(dialing.DIAL_RETRY_DELAYS))  # the retries run in parallel
            await wait_until(lambda: channel.dial_task is None)
            self.assertFalse(channel.is_unresponsive())

        run(test)

    async def run_keep_alive(self, channel: Channel, count: int) -> None:
        for _ in range(count):
            channel.keep_alive()
            await asyncio.sleep(0.02)

    def test_keep_alive_retains_a_one_way_channel_while_the_peer_answers(self) -> None:
        async def test() -> None:
            async with ChannelToListener() as peer:
                peer.channel.send_one_way(Frame(cancel=True))
                await wait_until(lambda: peer.channel.connection is not None)
                connection = peer.channel.connection
                await self.run_keep_alive(peer.channel, 40)
                self.assertIs(peer.channel.connection, connection)

        with mock.patch.multiple(channel_module, KEEP_ALIVE_INTERVAL=0.08, KEEP_ALIVE_TIMEOUT=0.3):
            run(test)

    def test_keep_alive_replaces_the_connection_to_a_silent_peer(self) -> None:
        """Bytes queued during a network partition may stay unsent long after it heals."""

        async def test() -> None:
            async with ChannelToListener() as peer:
                peer.channel.send_one_way(Frame(cancel=True))
                await wait_until(lambda: peer.channel.connection is not None)
                connection = peer.channel.connection
                await wait_until(lambda: peer.accepted and peer.accepted[0].transport is not None)
                paused = peer.accepted[0].transport
                assert paused is not None
                paused.pause_reading()
                await self.run_keep_alive(peer.channel, 40)
                self.assertIsNone(peer.channel.connection)
                peer.channel.send_one_way(Frame(cancel=True))
                await wait_until(lambda: peer.channel.connection is not None)
                self.assertIsNot(peer.channel.connection, connection)
                paused.abort()

        with mock.patch.multiple(channel_module, KEEP_ALIVE_INTERVAL=0.08, KEEP_ALIVE_TIMEOUT=0.3):
            run(test)

    def test_a_late_keep_alive_check_does_not_abort_the_connection(self) -> None:
        async def test() -> None:
            async with ChannelToListener() as peer:
                peer.channel.send_one_way(Frame(cancel=True))
                await wait_until(lambda: peer.channel.connection is not None)
                connection = peer.channel.connection
                assert connection is not None
                connection.last_received_at -= 5.0
                peer.channel.keep_alive_checked_at -= 5.0
                peer.channel.keep_alive()
                self.assertFalse(connection.closed)
                connection.last_received_at -= 5.0
                peer.channel.keep_alive()
                self.assertTrue(connection.closed)

        run(test)


class HangingLoop:
    """An event loop whose connection attempts use ``connect``, which may hang."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connect: Any) -> None:
        self.loop, self.create_connection = loop, connect

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


if __name__ == "__main__":
    unittest.main()
