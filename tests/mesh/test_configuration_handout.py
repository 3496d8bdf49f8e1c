"""How a configuration comes from one process to another: late answers, peers that are behind, starts with nobody."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast
from unittest import mock

from mesh.cluster import Mesh, config, run, until
from zinclever.mesh.configuration.fetching import (
    FETCH_TIMEOUT,
    INITIAL_PATIENCE,
    MAX_OPEN_FETCHES,
    MAX_PATIENCE,
    MAX_WAITERS,
    WAITER_TIMEOUT,
    FetchScheduler,
    FetchWaiters,
)
from zinclever.mesh.membership.records import RecordKind
from zinclever.mesh.roles.node import Node
from zinclever.mesh.roles.sidecar import Sidecar
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import Fetch, Frame

IN_TOUCH = 3.0  # s after which a machine that was cut off counts as in touch, by the rules
SLOW = 0.9  # s that an answer takes: longer than the first peer is waited for


def answer_late(node: Node) -> None:
    """Fetches at this process are answered after SLOW, as over a link of a few Mbit/s."""
    answer = node.frame_handlers["fetch"]

    def late(link: FramedConnection, frame: Frame) -> None:
        node.loop.call_later(SLOW, answer, link, frame)

    node.frame_handlers["fetch"] = late


class Sieve:
    """A datagram transport that loses what goes to some machines."""

    def __init__(self, node: Node, ips: set[str]) -> None:
        self.under, self.ips = node.gossip_socket.transport, ips
        assert self.under is not None

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if address[0] not in self.ips and self.under is not None:
            self.under.sendto(data, address)

    def close(self) -> None:
        assert self.under is not None
        self.under.close()


def lose(node: Node, ips: set[str]) -> None:
    node.gossip_socket.transport = cast(asyncio.DatagramTransport, Sieve(node, ips))


async def end(sidecar: Sidecar) -> None:
    """As by SIGKILL: nobody is told."""
    for server in sidecar.servers:
        server.close()
    sidecar.node.gossip_socket.close()
    sidecar.node.channels.close()
    if sidecar.node.server is not None:
        sidecar.node.server.close()
    await asyncio.sleep(0.05)


class First(unittest.TestCase):
    def test_the_teller_is_asked_first_then_others_beside_it(self) -> None:
        inquiry = FetchScheduler()
        peers = ["a", "b", "c", "d"]
        asked = [inquiry.next_peer(0.0, "c", peers, min) for _ in range(MAX_OPEN_FETCHES + 1)]
        self.assertEqual(asked, ["c", "a", "b", None])

    def test_no_peer_is_asked_twice_at_once(self) -> None:
        inquiry = FetchScheduler()
        self.assertEqual(inquiry.next_peer(0.0, "a", ["a"], min), "a")
        self.assertIsNone(inquiry.next_peer(1.0, "a", ["a"], min))
        inquiry.on_answered("a")
        self.assertEqual(inquiry.next_peer(1.0, "a", ["a"], min), "a")

    def test_who_never_answers_is_forgotten(self) -> None:
        inquiry = FetchScheduler()
        peers = ["a", "b", "c"]
        for _ in peers:
            inquiry.next_peer(0.0, "", peers, min)
        self.assertIsNone(inquiry.next_peer(FETCH_TIMEOUT - 0.1, "", peers, min))
        self.assertEqual(inquiry.next_peer(FETCH_TIMEOUT, "", peers, min), "a")

    def test_patience_doubles_until_the_version_is_there(self) -> None:
        inquiry = FetchScheduler()
        waits = [inquiry.next_delay() for _ in range(6)]
        self.assertEqual(waits, [INITIAL_PATIENCE * 2**n for n in range(4)] + [MAX_PATIENCE] * 2)
        inquiry.finish()
        self.assertEqual(inquiry.next_delay(), INITIAL_PATIENCE)

    def test_waiting_is_bounded_in_number_and_time(self) -> None:
        waiting: FetchWaiters[int, str] = FetchWaiters()
        for n in range(MAX_WAITERS):
            self.assertTrue(waiting.add(0.0, n, "old"))
        self.assertFalse(waiting.add(1.0, MAX_WAITERS, "one too many"))
        self.assertTrue(waiting.add(1.0, 7, "newer on the same link"))
        self.assertTrue(waiting.add(WAITER_TIMEOUT, MAX_WAITERS, "there is room again"))
        self.assertEqual(
            waiting.take_all(WAITER_TIMEOUT), [(7, "newer on the same link"), (MAX_WAITERS, "there is room again")]
        )
        self.assertEqual(waiting.take_all(WAITER_TIMEOUT), [])


class Coming(unittest.TestCase):
    def test_a_late_answer_is_taken(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                for node in (m.control.node, *(f.node for f in m.sidecars)):
                    answer_late(node)
                self.assertEqual((await m.put(config("one", "two", generation=2), 1))[0], 200)
                began = m.control.loop.time()
                await until(lambda: all(f.node.active.generation == 2 for f in m.sidecars))
                self.assertLess(m.control.loop.time() - began, 2 * SLOW)

        run(test)

    def test_a_peer_that_is_behind_answers_each_asker_once(self) -> None:
        """However often it was asked meanwhile: a text of 1 MB thirty times would hold up a link for minutes."""

        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.serve()
                active = m.control.node.active
                line = m.sidecars[0].node.channel_to((m.control_ip, m.port + 1))
                answers: list[Frame | None] = []
                for _ in range(30):
                    line.call(Frame(fetch=Fetch(index=active.index + 1)), answers.append)
                done: list[Frame | None] = []
                line.call(Frame(fetch=Fetch(index=1)), done.append)
                await until(lambda: done)  # so all the others have come, too
                m.control.node.activate_configuration(
                    active.index + 1, 2, active.text.replace(b'"Generation":1', b'"Generation":2')
                )
                done.clear()
                line.call(Frame(fetch=Fetch(index=1)), done.append)
                await until(lambda: done)
                self.assertEqual(len(answers), 1)

        run(test)

    def test_one_that_is_asked_by_too_many_says_so(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.serve()
                link = mock.create_autospec(FramedConnection, instance=True)
                with mock.patch.object(m.control.node.distributor.waiters, "add", return_value=False):
                    m.control.node.distributor.on_fetch(link, Frame(stream=9, fetch=Fetch(index=99)))
                (sent,) = link.send.call_args.args
                self.assertEqual((sent.stream, sent.fetch_reply.index), (9, 0))

        run(test)


class CutOff(unittest.TestCase):
    def test_a_sidecar_that_starts_with_nobody_promises_that_nothing_ran(self) -> None:
        """It knows no configuration: it isn't ready, and 404 would say that a route is not there."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                started = m.sidecars.pop()
                for server in started.servers:
                    server.close()
                started.node.stop()
                nobody = [f"127.77.0.9:{m.port + 2}"]
                new = Sidecar(
                    m.make_settings(
                        m.ips[1], "forager", AppAddr=m.stub_endpoints[1].address, Target="two", SeedNodes=nobody
                    )
                )
                await new.start()
                m.sidecars.append(new)
                with mock.patch.object(new.node.gossip_socket, "transport", None):
                    self.assertEqual((await m.call(f"{m.ips[1]}:{m.port + 3}", "GET", "/v1/ready"))[0], 503)
                    self.assertEqual((await m.ask("/one/safe/x", at=1))[0], 503)

        run(test)

    def test_a_sidecar_that_starts_on_the_side_without_the_core(self) -> None:
        """It serves what its side has, and has the newest version once it counts as in touch."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                core = m.control.node
                lose(core, set(m.ips))
                core.frame_handlers["fetch"] = lambda link, frame: None
                lose(m.sidecars[0].node, {m.control_ip})
                self.assertEqual((await m.put(config("one", "two", generation=2), 1))[0], 200)
                await end(m.sidecars[1])
                new = m.sidecars[1] = Sidecar(
                    m.make_settings(m.ips[1], "forager", AppAddr=m.stub_endpoints[1].address, Target="two")
                )
                await new.start()
                lose(new.node, {m.control_ip})
                await until(lambda: new.ready())
                self.assertEqual([f.node.active.generation for f in m.sidecars], [1, 1])
                self.assertEqual((await m.ask("/one/safe/x", at=1))[0], 200)
                core.frame_handlers["fetch"] = core.distributor.on_fetch
                for node in (core, *(f.node for f in m.sidecars)):
                    cast(Sieve, node.gossip_socket.transport).ips.clear()
                began = m.control.loop.time()
                await until(lambda: all(f.node.active.generation == 2 for f in m.sidecars))
                self.assertLess(m.control.loop.time() - began, IN_TOUCH)

        run(test)

    def test_a_peer_that_is_behind_takes_nothing_back(self) -> None:
        """What was in force once in this life stays so: an older version, from whomever, changes nothing and is told
        to nobody."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                old = m.control.node.active.text
                number = m.control.node.active.index
                self.assertEqual((await m.put(config("one", "two", generation=2), 1))[0], 200)
                await until(lambda: all(f.node.active.generation == 2 for f in m.sidecars))
                node = m.sidecars[0].node
                record = node.gossip.records.get(RecordKind.VERSION, "config")
                node.activate_configuration(number, 1, old)
                self.assertEqual(node.active.generation, 2)
                self.assertEqual(node.gossip.records.get(RecordKind.VERSION, "config"), record)

        run(test)


if __name__ == "__main__":
    unittest.main()
