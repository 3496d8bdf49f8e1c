"""Distribution of configurations between processes: late answers, lagging peers, and starts during a partition."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import cast
from unittest import mock

from mesh.cluster import Mesh, config, run, wait_until
from zinclever.mesh.configuration.fetch_waiters import MAX_WAITERS, WAITER_TIMEOUT, FetchWaiters
from zinclever.mesh.configuration.fetching import (
    EMPTY_RETRY_DELAY,
    FAILED_RETRY_DELAY,
    FETCH_TIMEOUT,
    INITIAL_HEDGE_DELAY,
    MAX_HEDGE_DELAY,
    MAX_OPEN_FETCHES,
    FetchScheduler,
)
from zinclever.mesh.membership.records import RecordKind
from zinclever.mesh.roles.node import Node
from zinclever.mesh.roles.sidecar import Sidecar
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import Fetch, Frame

RECONNECT_BOUND = 3.0  # s after a partition in which a node has to have the newest configuration
ANSWER_DELAY = 0.9  # s; longer than the delay before a second peer is asked


def delay_answers(node: Node) -> None:
    """Make a node answer fetches after ANSWER_DELAY, as over a link of a few Mbit/s."""
    answer = node.frame_handlers["fetch"]

    def answer_after_delay(connection: FramedConnection, frame: Frame) -> None:
        node.loop.call_later(ANSWER_DELAY, answer, connection, frame)

    node.frame_handlers["fetch"] = answer_after_delay


class LossyTransport:
    """A datagram transport that drops the datagrams to some addresses."""

    def __init__(self, node: Node, ips: set[str]) -> None:
        self.wrapped, self.ips = node.gossip_socket.transport, ips
        assert self.wrapped is not None

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if address[0] not in self.ips and self.wrapped is not None:
            self.wrapped.sendto(data, address)

    def close(self) -> None:
        assert self.wrapped is not None
        self.wrapped.close()


def drop_datagrams(node: Node, ips: set[str]) -> None:
    """Drop the datagrams of a node to the given addresses."""
    node.gossip_socket.transport = cast(asyncio.DatagramTransport, LossyTransport(node, ips))


async def crash(sidecar: Sidecar) -> None:
    """Stop a sidecar as if killed, without announcing that it leaves."""
    for listener in sidecar.listeners:
        listener.server.close()
    sidecar.node.gossip_socket.close()
    sidecar.node.channels.close()
    if sidecar.node.server is not None:
        sidecar.node.server.close()
    await asyncio.sleep(0.05)


class FetchScheduling(unittest.TestCase):
    def test_the_preferred_peer_is_asked_first_and_then_others_in_parallel(self) -> None:
        scheduler = FetchScheduler()
        peers = ["a", "b", "c", "d"]
        selected = [scheduler.next_peer(0.0, "c", peers, min) for _ in range(MAX_OPEN_FETCHES + 1)]
        self.assertEqual(selected, ["c", "a", "b", None])

    def test_a_peer_with_an_open_fetch_is_not_asked_again(self) -> None:
        scheduler = FetchScheduler()
        self.assertEqual(scheduler.next_peer(0.0, "a", ["a"], min), "a")
        self.assertIsNone(scheduler.next_peer(1.0, "a", ["a"], min))
        scheduler.on_answered("a")
        self.assertEqual(scheduler.next_peer(1.0, "a", ["a"], min), "a")

    def test_a_fetch_without_an_answer_times_out(self) -> None:
        scheduler = FetchScheduler()
        peers = ["a", "b", "c"]
        for _ in peers:
            scheduler.next_peer(0.0, "", peers, min)
        self.assertIsNone(scheduler.next_peer(FETCH_TIMEOUT - 0.1, "", peers, min))
        self.assertEqual(scheduler.next_peer(FETCH_TIMEOUT, "", peers, min), "a")

    def test_the_hedge_delay_doubles_until_the_fetch_finishes(self) -> None:
        scheduler = FetchScheduler()
        delays = [scheduler.next_delay() for _ in range(6)]
        self.assertEqual(delays, [INITIAL_HEDGE_DELAY * 2**n for n in range(4)] + [MAX_HEDGE_DELAY] * 2)
        scheduler.finish()
        self.assertEqual(scheduler.next_delay(), INITIAL_HEDGE_DELAY)

    def test_a_peer_that_lacks_the_text_takes_no_place_of_a_transfer(self) -> None:
        scheduler = FetchScheduler()
        peers = [f"p{n}" for n in range(MAX_OPEN_FETCHES + 2)]
        asked = set()
        for step in range(len(peers)):
            now = step * EMPTY_RETRY_DELAY
            self.assertTrue(scheduler.is_due(now))
            peer = scheduler.next_peer(now, "", peers, min)
            assert peer is not None
            asked.add(peer)
            scheduler.on_asked(now)
            scheduler.on_empty(now, peer)
            self.assertFalse(scheduler.is_due(now + EMPTY_RETRY_DELAY - 0.01))
        self.assertEqual(asked, set(peers))

    def test_every_other_peer_asked_is_a_control_node_while_peers_lack_the_text(self) -> None:
        scheduler = FetchScheduler()
        sidecars, control_nodes = [f"s{n}" for n in range(50)], ["c0", "c1", "c2"]
        choose = random.Random(1).choice
        asked = []
        for step in range(8):
            now = step * EMPTY_RETRY_DELAY
            peer = scheduler.next_peer(now, "" if step else "s0", sidecars, choose, control_nodes)
            assert peer is not None
            asked.append(peer[0])
            scheduler.on_empty(now, peer)
        self.assertEqual(asked, ["s", "c"] * 4)

    def test_unresponsive_peers_are_passed_over_and_take_no_place_of_a_transfer(self) -> None:
        scheduler = FetchScheduler()
        silent = {"a", "b", "c"}
        for peer in sorted(silent):
            scheduler.next_peer(0.0, peer, ["a", "b", "c", "d"], min)
            scheduler.on_asked(0.0)
        self.assertFalse(scheduler.is_due(0.1))
        self.assertTrue(scheduler.is_due(0.1, silent.__contains__))
        selected = scheduler.next_peer(0.1, "", ["a", "b", "c", "d"], min, (), silent.__contains__)
        self.assertEqual(selected, "d")

    def test_the_first_hedge_of_a_transfer_does_not_go_to_the_core(self) -> None:
        scheduler = FetchScheduler()
        selected = [scheduler.next_peer(0.0, preferred, ["a", "b"], min, ["core"]) for preferred in ("a", "", "")]
        self.assertEqual(selected, ["a", "b", "core"])

    def test_a_peer_that_failed_is_not_asked_again_at_once(self) -> None:
        scheduler = FetchScheduler()
        scheduler.next_peer(0.0, "a", ["a", "b"], min)
        scheduler.on_failed(0.0, "a")
        self.assertTrue(scheduler.is_due(FAILED_RETRY_DELAY))
        self.assertEqual(scheduler.next_peer(FAILED_RETRY_DELAY, "", ["a", "b"], min), "b")

    def test_waiting_requests_are_limited_in_number_and_time(self) -> None:
        waiters: FetchWaiters[int, str] = FetchWaiters()
        for n in range(MAX_WAITERS):
            self.assertTrue(waiters.add(0.0, n, "old"))
        self.assertFalse(waiters.add(1.0, MAX_WAITERS, "beyond the limit"))
        self.assertTrue(waiters.add(1.0, 7, "newer request of the same connection"))
        self.assertTrue(waiters.add(WAITER_TIMEOUT, MAX_WAITERS, "after the timeout"))
        self.assertEqual(
            waiters.take_all(WAITER_TIMEOUT),
            [(7, "newer request of the same connection"), (MAX_WAITERS, "after the timeout")],
        )
        self.assertEqual(waiters.take_all(WAITER_TIMEOUT), [])


class Distribution(unittest.TestCase):
    def test_a_late_answer_is_used(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                for node in (m.control.node, *(sidecar.node for sidecar in m.sidecars)):
                    delay_answers(node)
                self.assertEqual((await m.put_config(config("one", "two", generation=2), 1))[0], 200)
                started_at = m.control.loop.time()
                await wait_until(lambda: all(sidecar.node.active.generation == 2 for sidecar in m.sidecars))
                self.assertLess(m.control.loop.time() - started_at, 2 * ANSWER_DELAY)

        run(test)

    def test_a_lagging_peer_answers_only_the_latest_fetch_of_each_connection(self) -> None:
        """Sending a text of 1 MB thirty times would block a slow link for minutes."""

        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                active = m.control.node.active
                channel = m.sidecars[0].node.channel_to((m.control_ip, m.port + 1))
                answers: list[Frame | None] = []
                for _ in range(30):
                    channel.call(Frame(fetch=Fetch(index=active.index + 1)), answers.append)
                completed: list[Frame | None] = []
                channel.call(Frame(fetch=Fetch(index=1)), completed.append)
                await wait_until(lambda: completed)  # the earlier fetches have been received as well
                m.control.node.activate_configuration(
                    active.index + 1, 2, active.text.replace(b'"Generation":1', b'"Generation":2')
                )
                completed.clear()
                channel.call(Frame(fetch=Fetch(index=1)), completed.append)
                await wait_until(lambda: completed)
                texts = [frame for frame in answers if frame is not None and frame.fetch_reply.index]
                self.assertEqual(len(texts), 1)
                self.assertEqual(len(answers), 30 + 1)  # each fetch was answered at once that the text is not there

        run(test)

    def test_a_fetch_beyond_the_limit_is_answered_at_once_without_a_text(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                connection = mock.create_autospec(FramedConnection, instance=True)
                with mock.patch.object(m.control.node.distributor.waiters, "add", return_value=False):
                    m.control.node.distributor.on_fetch(connection, Frame(stream=9, fetch=Fetch(index=99)))
                (sent,) = connection.send.call_args.args
                self.assertEqual((sent.stream, sent.fetch_reply.index), (9, 0))

        run(test)


class Partition(unittest.TestCase):
    def test_a_sidecar_that_starts_without_peers_refuses_requests(self) -> None:
        """Without a configuration it is not ready, and answers 503, as 404 would mean that the route does not exist."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                stopped = m.sidecars.pop()
                for listener in stopped.listeners:
                    listener.server.close()
                stopped.node.stop()
                unreachable = [f"127.77.0.9:{m.port + 2}"]
                new = Sidecar(
                    m.make_settings(
                        m.ips[1], "forager", AppAddr=m.stub_endpoints[1].address, Target="two", SeedNodes=unreachable
                    )
                )
                await new.start()
                m.sidecars.append(new)
                with mock.patch.object(new.node.gossip_socket, "transport", None):
                    self.assertEqual((await m.call(f"{m.ips[1]}:{m.port + 3}", "GET", "/v1/ready"))[0], 503)
                    self.assertEqual((await m.send_request("/one/safe/x", sidecar_index=1))[0], 503)

        run(test)

    def test_a_sidecar_that_starts_partitioned_from_the_control_node(self) -> None:
        """It uses the configuration of its peers, and gets the newest one soon after the partition heals."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                control = m.control.node
                drop_datagrams(control, set(m.ips))
                control.frame_handlers["fetch"] = lambda connection, frame: None
                drop_datagrams(m.sidecars[0].node, {m.control_ip})
                self.assertEqual((await m.put_config(config("one", "two", generation=2), 1))[0], 200)
                await crash(m.sidecars[1])
                new = m.sidecars[1] = Sidecar(
                    m.make_settings(m.ips[1], "forager", AppAddr=m.stub_endpoints[1].address, Target="two")
                )
                await new.start()
                drop_datagrams(new.node, {m.control_ip})
                await wait_until(lambda: new.ready())
                self.assertEqual([sidecar.node.active.generation for sidecar in m.sidecars], [1, 1])
                self.assertEqual((await m.send_request("/one/safe/x", sidecar_index=1))[0], 200)
                control.frame_handlers["fetch"] = control.distributor.on_fetch
                for node in (control, *(sidecar.node for sidecar in m.sidecars)):
                    cast(LossyTransport, node.gossip_socket.transport).ips.clear()
                started_at = m.control.loop.time()
                await wait_until(lambda: all(sidecar.node.active.generation == 2 for sidecar in m.sidecars))
                self.assertLess(m.control.loop.time() - started_at, RECONNECT_BOUND)

        run(test)

    def test_an_older_configuration_is_neither_activated_nor_announced(self) -> None:
        """The active configuration of a process is never replaced by an older one, whoever sends it."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                old_text = m.control.node.active.text
                old_index = m.control.node.active.index
                self.assertEqual((await m.put_config(config("one", "two", generation=2), 1))[0], 200)
                await wait_until(lambda: all(sidecar.node.active.generation == 2 for sidecar in m.sidecars))
                node = m.sidecars[0].node
                record = node.gossip.records.get(RecordKind.VERSION, "config")
                node.activate_configuration(old_index, 1, old_text)
                self.assertEqual(node.active.generation, 2)
                self.assertEqual(node.gossip.records.get(RecordKind.VERSION, "config"), record)

        run(test)


if __name__ == "__main__":
    unittest.main()
