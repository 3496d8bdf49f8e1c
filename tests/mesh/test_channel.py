"""Links to what doesn't answer: a relay stands between, and holds back what it is told to."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from mesh.cluster import run, until
from zinclever.mesh.transport import channel as channels
from zinclever.mesh.transport import dialing
from zinclever.mesh.transport.channel import Channel
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import Fetch, Frame

HOST = "127.77.201.1"


class Ends:
    """A listener that answers each call, and a line to it. While ``quiet``, the listener reads nothing."""

    async def __aenter__(self) -> Ends:
        self.links: list[FramedConnection] = []
        self.answers: list[Frame | None] = []
        loop = asyncio.get_running_loop()

        def on_frame(link: FramedConnection, frame: Frame) -> None:
            if frame.stream and not self.holds:
                link.send(Frame(stream=frame.stream, cancel=True))

        def made() -> FramedConnection:
            self.links.append(FramedConnection(on_frame, lambda link: None))
            return self.links[-1]

        self.holds = False
        self.server = await loop.create_server(made, HOST, 0)
        self.line = Channel((HOST, self.server.sockets[0].getsockname()[1]), "me")
        return self

    async def __aexit__(self, *error: object) -> None:
        self.line.close()
        for link in self.links:
            link.abort()
        self.server.close()

    def call(self) -> int:
        return self.line.call(Frame(fetch=Fetch(index=1)), self.answers.append)

    def quiet(self, on: bool) -> None:
        for link in self.links:
            assert link.transport is not None
            if on:
                link.transport.pause_reading()
            else:
                link.transport.resume_reading()


class Silence(unittest.TestCase):
    def test_doubted_while_nothing_comes_and_trusted_again(self) -> None:
        async def test() -> None:
            async with Ends() as e:
                stream = e.call()
                await until(lambda: e.answers)
                e.line.finish_call(stream)
                e.holds = True
                e.call()
                self.assertFalse(e.line.is_unresponsive())
                e.quiet(True)
                await until(e.line.is_unresponsive)
                self.assertEqual(len(e.answers), 1)  # what is out goes on
                e.quiet(False)
                await until(lambda: not e.line.is_unresponsive())
                self.assertIsNotNone(e.line.connection)

        run(test)

    def test_a_line_at_rest_is_not_doubted(self) -> None:
        async def test() -> None:
            async with Ends() as e:
                stream = e.call()
                await until(lambda: e.answers)
                e.line.finish_call(stream)
                e.line.connection.last_received_at -= 100.0  # type: ignore[union-attr]
                self.assertFalse(e.line.is_unresponsive())

        run(test)

    def test_after_a_standstill_of_its_own_nothing_is_given_up(self) -> None:
        """The look comes late, and what has come meanwhile isn't read yet."""

        async def test() -> None:
            async with Ends() as e:
                e.holds = True
                e.call()
                await until(lambda: e.line.connection is not None)
                link = e.line.connection
                assert link is not None
                link.last_received_at -= 5.0
                e.line.check_due_at -= 5.0
                e.line.check_liveness()
                self.assertFalse(link.closed)
                link.last_received_at -= 5.0
                e.line.check_liveness()  # in time: it is the other end that is silent
                self.assertTrue(link.closed)
                self.assertEqual(e.answers, [None])

        run(test)

    def test_a_dial_that_hangs_lets_go_of_calls_and_not_of_news(self) -> None:
        async def test() -> None:
            loop = asyncio.get_running_loop()
            line = Channel((HOST, 9), "me")
            hangs: list[asyncio.Future[Any]] = []

            async def hang(*told: Any, **more: Any) -> Any:
                hangs.append(loop.create_future())
                return await hangs[-1]

            line.loop = Hanging(loop, hang)  # type: ignore[assignment]
            answers: list[Frame | None] = []
            line.send_one_way(Frame(cancel=True))
            line.call(Frame(fetch=Fetch(index=1)), answers.append)
            await until(lambda: answers)
            self.assertEqual(answers, [None])
            self.assertTrue(line.is_unresponsive())
            self.assertEqual(len(line.pending), 1)
            await until(lambda: len(hangs) == 1 + len(dialing.DIAL_RETRY_DELAYS))  # one more and one more joined it
            await until(lambda: line.dial_task is None)
            self.assertFalse(line.is_unresponsive())

        run(test)

    async def time_steps(self, line: Channel, count: int) -> None:
        for _ in range(count):
            line.keep_alive()
            await asyncio.sleep(0.02)

    def test_a_line_that_only_tells_is_kept_alive_while_the_other_end_answers(self) -> None:
        async def test() -> None:
            async with Ends() as e:
                e.line.send_one_way(Frame(cancel=True))
                await until(lambda: e.line.connection is not None)
                link = e.line.connection
                await self.time_steps(e.line, 40)
                self.assertIs(e.line.connection, link)

        with mock.patch.multiple(channels, KEEP_ALIVE_INTERVAL=0.08, KEEP_ALIVE_TIMEOUT=0.3):
            run(test)

    def test_a_line_that_only_tells_dials_anew_after_silence(self) -> None:
        """What was held up by a cut may stay so for long after it."""

        async def test() -> None:
            async with Ends() as e:
                e.line.send_one_way(Frame(cancel=True))
                await until(lambda: e.line.connection is not None)
                link = e.line.connection
                await until(lambda: e.links and e.links[0].transport is not None)
                held = e.links[0].transport
                assert held is not None
                held.pause_reading()
                await self.time_steps(e.line, 40)
                self.assertIsNone(e.line.connection)
                e.line.send_one_way(Frame(cancel=True))
                await until(lambda: e.line.connection is not None)
                self.assertIsNot(e.line.connection, link)
                held.abort()

        with mock.patch.multiple(channels, KEEP_ALIVE_INTERVAL=0.08, KEEP_ALIVE_TIMEOUT=0.3):
            run(test)

    def test_a_line_that_looks_late_takes_nobody_for_silent(self) -> None:
        async def test() -> None:
            async with Ends() as e:
                e.line.send_one_way(Frame(cancel=True))
                await until(lambda: e.line.connection is not None)
                link = e.line.connection
                assert link is not None
                link.last_received_at -= 5.0
                e.line.keep_alive_checked_at -= 5.0
                e.line.keep_alive()
                self.assertFalse(link.closed)
                link.last_received_at -= 5.0
                e.line.keep_alive()
                self.assertTrue(link.closed)

        run(test)


class Hanging:
    """A loop whose connections never come up."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connect: Any) -> None:
        self.loop, self.create_connection = loop, connect

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


if __name__ == "__main__":
    unittest.main()
