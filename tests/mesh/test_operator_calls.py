"""The calls of operators at three processes of the core, over sockets: who answers, and within which time."""

from __future__ import annotations

import asyncio
import json
import unittest
from pathlib import Path
from typing import Any

from mesh.cluster import Mesh, config, run, until
from zinclever.mesh.operator_cli.control_client import CHANGE_TIMEOUT, ControlRequest, call
from zinclever.mesh.roles.control import ControlNode
from zinclever.mesh.transport.mesh_pb2 import ControlCall, ControlReply, LogEntry, Voter

CALLER_TIMEOUT = 1.0  # s of silence after which an operator goes on to another member


class Core:
    """Three members of the core. Use as an asynchronous context; ``started``: how many of them run."""

    def __init__(self, started: int = 3) -> None:
        self.mesh = Mesh([])
        net = self.mesh.control_ip.rpartition(".")[0]
        self.ips = [f"{net}.{n}" for n in (1, 2, 3)]
        self.started = started
        self.members: list[ControlNode] = []

    async def __aenter__(self) -> Core:
        seeds = [f"{ip}:{self.mesh.port + 2}" for ip in self.ips]
        for ip in self.ips[: self.started]:
            folder = str(Path(self.mesh.folder.name) / ip)
            told: dict[str, Any] = {"StateDir": folder, "SeedNodes": seeds, "FaultModel": {"HostLosses": 1}}
            member = ControlNode(self.mesh.make_settings(ip, "comb", **told))
            await member.start()
            self.members.append(member)
        return self

    async def __aexit__(self, *error: object) -> None:
        for member in self.members:
            member.run_tick = lambda: None  # type: ignore[method-assign]
            member.node.stop()
            if member.server is not None:
                member.server.close()
        await asyncio.sleep(0.1)  # the last saves are done
        for member in self.members:
            member.store.close()
            member.store.thread.shutdown(wait=True)
        self.mesh.folder.cleanup()

    def leader(self) -> ControlNode | None:
        return next((m for m in self.members if m.replica.is_established()), None)

    async def led(self) -> tuple[ControlNode, ControlNode]:
        """The leader, and one that follows it."""
        await until(lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None
        await until(lambda: all(m.replica.leader == leader.own_voter.disk for m in self.members))
        return leader, next(m for m in self.members if m is not leader)

    def led_by(self, member: ControlNode) -> Voter:
        """The leader, as a member knows it."""
        return next(v for v in member.replica.voters() if v.disk == member.replica.leader)

    async def put(self, at: ControlNode, generation: int, base: int) -> int:
        text = json.dumps(config("a", generation=generation)).encode()
        return await self.replace(at, text, str(base))

    async def replace(self, at: ControlNode, text: bytes, base: str) -> int:
        status, _, _ = await self.call(at, "POST", "/v1/config/replace", text, X_Base_Version=base)
        return status

    async def call(
        self, at: ControlNode, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        return await self.mesh.call(f"{at.settings.ip}:{self.mesh.port + 2}", method, path, body, **headers)

    async def read(self, at: ControlNode) -> tuple[int, bytes]:
        status, _, text = await self.call(at, "GET", "/v1/config/read")
        return status, text


class AnyMember(unittest.TestCase):
    def test_answers_at_the_leader_and_at_a_follower(self) -> None:
        async def test() -> None:
            async with Core() as core:
                leader, follower = await core.led()
                for base, at in enumerate((leader, follower)):
                    self.assertEqual(await core.put(at, base + 1, base), 200)
                    self.assertEqual(await core.put(at, base + 1, base), 200)
                for at in (leader, follower):
                    status, text = await core.read(at)
                    self.assertEqual((status, json.loads(text)["Generation"]), (200, 2))
                    self.assertEqual([await core.put(at, 7, base) for base in (0, 1)], [412, 412])
                    self.assertEqual(await core.put(at, 2, 2), 400)
                text = json.dumps(config("a", generation=9)).encode()
                for no_version in ("", "-1", "1.5", "x", "9" * 20, "9" * 5000):
                    self.assertEqual(await core.replace(leader, text, no_version), 400, no_version[:30])
                at_once = await asyncio.gather(*(core.put(m, 3, 2) for m in core.members))
                self.assertEqual(at_once, [200, 200, 200])

        run(test)

    def test_a_read_takes_its_text_from_the_member_that_has_it(self) -> None:
        """The leader sends the text only to one that doesn't have it."""

        async def test() -> None:
            async with Core() as core:
                leader, follower = await core.led()
                self.assertEqual(await core.put(leader, 1, 0), 200)
                await until(lambda: follower.replica.committed.index == leader.replica.committed.index)
                replies: list[ControlReply] = []
                reply_to = leader.operator_calls.reply_to

                async def watched(call: ControlCall) -> ControlReply:
                    replies.append(await reply_to(call))
                    return replies[-1]

                leader.operator_calls.reply_to = watched  # type: ignore[method-assign]
                read = await core.read(leader)
                self.assertEqual(await core.read(follower), read)
                follower.replica.committed = LogEntry()  # it lags
                follower.replica.committed_digest = 0
                self.assertEqual(await core.read(follower), read)
                self.assertEqual([(r.unchanged, bool(r.text)) for r in replies], [(True, False), (False, True)])

        run(test)


class LargeConfigurations(unittest.TestCase):
    """They never travel on the link between two members, where heartbeats would wait behind them."""

    def large(self, generation: int) -> bytes:
        """Of more than 100 kB: a table that nobody here knows makes it long."""
        return json.dumps({**config("a", generation=generation), "Notes": "x" * 100_000}).encode()

    def test_a_follower_sends_the_caller_to_the_leader(self) -> None:
        async def test() -> None:
            async with Core() as core:
                leader, follower = await core.led()
                await until(lambda: bool(follower.operator_calls.address_of(leader.own_voter)))
                handed_on: list[ControlCall] = []
                leader.node.frame_handlers["control_call"] = lambda link, frame: handed_on.append(frame.control_call)
                status, headers, _ = await core.call(
                    follower, "POST", "/v1/config/replace", self.large(1), X_Base_Version="0"
                )
                there = f"{leader.settings.ip}:{core.mesh.port + 2}"
                self.assertEqual((status, headers["location"]), (307, f"http://{there}/v1/config/replace"))
                self.assertEqual(handed_on, [])
                self.assertEqual(await core.replace(leader, self.large(1), "0"), 200)

        run(test)

    def test_a_reader_is_sent_to_the_leader_by_one_that_lags(self) -> None:
        async def test() -> None:
            async with Core() as core:
                leader, follower = await core.led()
                self.assertEqual(await core.put(leader, 1, 0), 200)
                await until(lambda: follower.replica.committed.generation == 1)
                lagging = LogEntry()
                lagging.CopyFrom(follower.replica.committed)
                self.assertEqual(await core.replace(leader, self.large(2), "1"), 200)
                await until(lambda: follower.replica.committed.generation == 2)
                self.assertEqual((await core.read(follower))[0], 200)
                follower.replica.committed = lagging
                status, headers, _ = await core.call(follower, "GET", "/v1/config/read")
                there = f"{leader.settings.ip}:{core.mesh.port + 2}"
                self.assertEqual((status, headers["location"]), (307, f"http://{there}/v1/config/read"))
                self.assertEqual((await core.read(leader))[0], 200)

        run(test)

    def test_the_command_line_follows(self) -> None:
        async def test() -> None:
            async with Core() as core:
                _, follower = await core.led()
                await until(lambda: bool(follower.operator_calls.address_of(core.led_by(follower))))
                response = await follower.loop.run_in_executor(
                    None,
                    lambda: call(
                        [f"{follower.settings.ip}:{core.mesh.port + 2}"],
                        ControlRequest(
                            "POST", "/v1/config/replace", self.large(1), {"X-Base-Version": "0"}, CHANGE_TIMEOUT
                        ),
                    ),
                )
                self.assertEqual(response.status, 200)
                self.assertNotIn(follower.settings.ip + ":", response.answered_by)

        run(test)


class UnclearInTime(unittest.TestCase):
    """Without a leader that a majority confirms a call has no clear answer, within the time that its caller waits."""

    async def unclear(self, core: Core, at: ControlNode) -> None:
        for answer in (core.read(at), core.put(at, 9, 0)):
            began = at.loop.time()
            told = await answer
            self.assertEqual(told[0] if isinstance(told, tuple) else told, 503)
            self.assertLess(at.loop.time() - began, CALLER_TIMEOUT)

    def test_nobody_leads(self) -> None:
        async def test() -> None:
            async with Core(started=1) as core:
                await self.unclear(core, core.members[0])

        run(test)

    def test_the_leader_is_silent(self) -> None:
        """It is still heard of, and answers nothing that is handed on to it; then nobody answers the leader."""

        async def test() -> None:
            async with Core() as core:
                leader, follower = await core.led()
                leader.node.frame_handlers["control_call"] = lambda link, frame: None
                await self.unclear(core, follower)
                for member in core.members:
                    if member is not leader:
                        member.node.frame_handlers["consensus"] = lambda link, frame: None
                await self.unclear(core, leader)

        run(test)


if __name__ == "__main__":
    unittest.main()
