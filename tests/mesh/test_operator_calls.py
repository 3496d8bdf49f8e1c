"""The operators' API of three control nodes over sockets: which node answers, and within which time."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from mesh.cluster import Mesh, config, run, wait_until
from zinclever.mesh.operator_cli.control_client import CHANGE_TIMEOUT, ControlRequest, call
from zinclever.mesh.roles.control import ControlNode
from zinclever.mesh.storage.generation_file import OsFileSystem
from zinclever.mesh.transport.mesh_pb2 import ControlCall, ControlReply, LogEntry, Voter

SLOW_SYNC = 0.5  # s
CALLER_TIMEOUT = 1.0  # s of silence after which an operator calls another node


class ControlNodes:
    """Three control nodes, as an asynchronous context; ``started``: how many of them are started."""

    def __init__(self, started: int = 3) -> None:
        self.mesh = Mesh([])
        network = self.mesh.control_ip.rpartition(".")[0]
        self.ips = [f"{network}.{n}" for n in (1, 2, 3)]
        self.started = started
        self.nodes: list[ControlNode] = []

    async def __aenter__(self) -> ControlNodes:
        seeds = [f"{ip}:{self.mesh.port + 2}" for ip in self.ips]
        for ip in self.ips[: self.started]:
            directory = str(Path(self.mesh.folder.name) / ip)
            settings: dict[str, Any] = {"StateDir": directory, "SeedNodes": seeds, "FaultModel": {"HostLosses": 1}}
            control_node = ControlNode(self.mesh.make_settings(ip, "comb", **settings))
            await control_node.start()
            self.nodes.append(control_node)
        return self

    async def __aexit__(self, *error: object) -> None:
        for control_node in self.nodes:
            control_node.run_tick = lambda: None  # type: ignore[method-assign]
            control_node.node.stop()
            if control_node.listener is not None:
                control_node.listener.server.close()
        await asyncio.sleep(0.1)  # waits for the last saves
        for control_node in self.nodes:
            control_node.store.close()
            control_node.store.thread.shutdown(wait=True)
        self.mesh.folder.cleanup()

    def leader(self) -> ControlNode | None:
        return next((m for m in self.nodes if m.replica.is_established()), None)

    async def leader_and_follower(self) -> tuple[ControlNode, ControlNode]:
        """Wait for a leader, and return it and a follower."""
        await wait_until(lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None
        await wait_until(lambda: all(m.replica.leader == leader.own_voter.disk for m in self.nodes))
        return leader, next(m for m in self.nodes if m is not leader)

    def known_leader(self, control_node: ControlNode) -> Voter:
        """Return the leader that a node knows."""
        return next(v for v in control_node.replica.voters() if v.disk == control_node.replica.leader)

    async def put(self, control_node: ControlNode, generation: int, base: int) -> int:
        text = json.dumps(config("a", generation=generation)).encode()
        return await self.replace(control_node, text, str(base))

    async def replace(self, control_node: ControlNode, text: bytes, base: str) -> int:
        status, _, _ = await self.call(control_node, "POST", "/v1/config/replace", text, X_Base_Version=base)
        return status

    async def call(
        self, control_node: ControlNode, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        return await self.mesh.call(f"{control_node.settings.ip}:{self.mesh.port + 2}", method, path, body, **headers)

    async def read(self, control_node: ControlNode) -> tuple[int, bytes]:
        status, _, text = await self.call(control_node, "GET", "/v1/config/read")
        return status, text


class AnyControlNode(unittest.TestCase):
    def test_answers_at_the_leader_and_at_a_follower(self) -> None:
        async def test() -> None:
            async with ControlNodes() as cluster:
                leader, follower = await cluster.leader_and_follower()
                for base, control_node in enumerate((leader, follower)):
                    self.assertEqual(await cluster.put(control_node, base + 1, base), 200)
                    self.assertEqual(await cluster.put(control_node, base + 1, base), 200)
                for control_node in (leader, follower):
                    status, text = await cluster.read(control_node)
                    self.assertEqual((status, json.loads(text)["Generation"]), (200, 2))
                    self.assertEqual([await cluster.put(control_node, 7, base) for base in (0, 1)], [412, 412])
                    self.assertEqual(await cluster.put(control_node, 2, 2), 400)
                text = json.dumps(config("a", generation=9)).encode()
                for invalid_version in ("", "-1", "1.5", "x", "9" * 20, "9" * 5000):
                    self.assertEqual(await cluster.replace(leader, text, invalid_version), 400, invalid_version[:30])
                concurrent_statuses = await asyncio.gather(*(cluster.put(m, 3, 2) for m in cluster.nodes))
                self.assertEqual(concurrent_statuses, [200, 200, 200])

        run(test)

    def test_slow_disks(self) -> None:
        """Syncs take so long that a change can't be committed in time: callers learn that in time, and repeat the call.

        Guards against taking the 503 of a slow disk for a fault: three calls at once got it, as each save took 0.5 s.
        """

        def slow_sync(file_system: OsFileSystem, path: Path) -> None:
            time.sleep(SLOW_SYNC)
            sync(file_system, path)

        async def test() -> None:
            async with ControlNodes() as cluster:
                await cluster.leader_and_follower()
                loop = asyncio.get_running_loop()
                with mock.patch.object(OsFileSystem, "sync", slow_sync):
                    for generation in (1, 2):
                        statuses = [503]
                        while 503 in statuses:
                            started_at = loop.time()
                            statuses = await asyncio.gather(
                                *(cluster.put(m, generation, generation - 1) for m in cluster.nodes)
                            )
                            self.assertLess(loop.time() - started_at, CALLER_TIMEOUT)
                            self.assertLessEqual(set(statuses), {200, 503})
                status, text = await cluster.read(cluster.nodes[0])
                self.assertEqual((status, json.loads(text)["Generation"]), (200, 2))

        sync = OsFileSystem.sync
        run(test)

    def test_read_takes_the_text_from_a_node_that_has_it(self) -> None:
        """The leader sends the text only to nodes that don't have it."""

        async def test() -> None:
            async with ControlNodes() as cluster:
                leader, follower = await cluster.leader_and_follower()
                self.assertEqual(await cluster.put(leader, 1, 0), 200)
                await wait_until(lambda: follower.replica.committed.index == leader.replica.committed.index)
                replies: list[ControlReply] = []
                reply_to = leader.operator_calls.reply_to

                async def recorded(call: ControlCall) -> ControlReply:
                    replies.append(await reply_to(call))
                    return replies[-1]

                leader.operator_calls.reply_to = recorded  # type: ignore[method-assign]
                read = await cluster.read(leader)
                self.assertEqual(await cluster.read(follower), read)
                follower.replica.committed = LogEntry()  # it lags
                follower.replica.committed_digest = 0
                self.assertEqual(await cluster.read(follower), read)
                self.assertEqual([(r.unchanged, bool(r.text)) for r in replies], [(True, False), (False, True)])

        run(test)


class LargeConfigurations(unittest.TestCase):
    """Large configurations are never forwarded between nodes, as heartbeats would queue behind them."""

    def large(self, generation: int) -> bytes:
        """Return a configuration of more than 100 kB; an unknown table makes it large."""
        return json.dumps({**config("a", generation=generation), "Notes": "x" * 100_000}).encode()

    def test_follower_redirects_to_the_leader(self) -> None:
        async def test() -> None:
            async with ControlNodes() as cluster:
                leader, follower = await cluster.leader_and_follower()
                await wait_until(lambda: bool(follower.operator_calls.address_of(leader.own_voter)))
                forwarded_calls: list[ControlCall] = []
                leader.node.frame_handlers["control_call"] = lambda connection, frame: forwarded_calls.append(
                    frame.control_call
                )
                status, headers, _ = await cluster.call(
                    follower, "POST", "/v1/config/replace", self.large(1), X_Base_Version="0"
                )
                leader_address = f"{leader.settings.ip}:{cluster.mesh.port + 2}"
                self.assertEqual((status, headers["location"]), (307, f"http://{leader_address}/v1/config/replace"))
                self.assertEqual(forwarded_calls, [])
                self.assertEqual(await cluster.replace(leader, self.large(1), "0"), 200)

        run(test)

    def test_lagging_follower_redirects_reads_to_the_leader(self) -> None:
        async def test() -> None:
            async with ControlNodes() as cluster:
                leader, follower = await cluster.leader_and_follower()
                self.assertEqual(await cluster.put(leader, 1, 0), 200)
                await wait_until(lambda: follower.replica.committed.generation == 1)
                lagging = LogEntry()
                lagging.CopyFrom(follower.replica.committed)
                self.assertEqual(await cluster.replace(leader, self.large(2), "1"), 200)
                await wait_until(lambda: follower.replica.committed.generation == 2)
                self.assertEqual((await cluster.read(follower))[0], 200)
                follower.replica.committed = lagging
                status, headers, _ = await cluster.call(follower, "GET", "/v1/config/read")
                leader_address = f"{leader.settings.ip}:{cluster.mesh.port + 2}"
                self.assertEqual((status, headers["location"]), (307, f"http://{leader_address}/v1/config/read"))
                self.assertEqual((await cluster.read(leader))[0], 200)

        run(test)

    def test_command_line_follows_the_redirect(self) -> None:
        async def test() -> None:
            async with ControlNodes() as cluster:
                _, follower = await cluster.leader_and_follower()
                await wait_until(lambda: bool(follower.operator_calls.address_of(cluster.known_leader(follower))))
                response = await follower.loop.run_in_executor(
                    None,
                    lambda: call(
                        [f"{follower.settings.ip}:{cluster.mesh.port + 2}"],
                        ControlRequest(
                            "POST", "/v1/config/replace", self.large(1), {"X-Base-Version": "0"}, CHANGE_TIMEOUT
                        ),
                    ),
                )
                self.assertEqual(response.status, 200)
                self.assertNotIn(follower.settings.ip + ":", response.answered_by)

        run(test)


class NoLeader(unittest.TestCase):
    """Without a leader that a majority confirms, a call is answered 503 before its caller gives up."""

    async def check_unavailable(self, cluster: ControlNodes, control_node: ControlNode) -> None:
        for answer in (cluster.read(control_node), cluster.put(control_node, 9, 0)):
            started_at = control_node.loop.time()
            result = await answer
            self.assertEqual(result[0] if isinstance(result, tuple) else result, 503)
            self.assertLess(control_node.loop.time() - started_at, CALLER_TIMEOUT)

    def test_no_leader(self) -> None:
        async def test() -> None:
            async with ControlNodes(started=1) as cluster:
                await self.check_unavailable(cluster, cluster.nodes[0])

        run(test)

    def test_unresponsive_leader(self) -> None:
        """First the leader doesn't answer forwarded calls, then no node answers the leader."""

        async def test() -> None:
            async with ControlNodes() as cluster:
                leader, follower = await cluster.leader_and_follower()
                leader.node.frame_handlers["control_call"] = lambda connection, frame: None
                await self.check_unavailable(cluster, follower)
                for control_node in cluster.nodes:
                    if control_node is not leader:
                        control_node.node.frame_handlers["consensus"] = lambda connection, frame: None
                await self.check_unavailable(cluster, leader)

        run(test)


if __name__ == "__main__":
    unittest.main()
