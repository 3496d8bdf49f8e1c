"""Signals to sidecars that run as processes, and an endpoint that stands still, under load: what runs how often, and
what clients are told. ``ZINCLEVER_TEST_STANDSTILL_S`` makes the standstills longer."""

from __future__ import annotations

import asyncio
import os
import signal
import unittest
from collections.abc import Awaitable, Callable

import uvloop

from mesh.processes import GIVES_UP_S, Breach, Endpoint, Kind, Outcome, ProcessMesh, Rule, Try, answer_to, audit, counts

STANDSTILL_S = float(os.environ.get("ZINCLEVER_TEST_STANDSTILL_S", "1.5"))
CLIENTS = 24
BEFORE_S = 0.5  # of load before the trouble
AFTER_S = 1.0  # of load after it
SETTLE_S = 0.3  # after the load: what runs late is seen
SLACK_S = 0.2  # until a signal has its effect on what is seen
ANSWERED_AT_LEAST = 20  # requests of each kind, before the trouble and (where the caller is still there) after it
PATIENCE_S = 25.0 + STANDSTILL_S  # guards against a test that hangs
RELOADS = 5
RELOAD_EACH_S = 0.05
POLL_S = 0.02

Trouble = Callable[[ProcessMesh, asyncio.Event], Awaitable[None]]
"""Set the event to end the load."""


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE_S):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


class Played:
    """Load on a mesh of processes, with a trouble in the midst of it."""

    def __init__(self, trouble: Trouble) -> None:
        self.trouble = trouble
        self.mesh = ProcessMesh()
        self.began_at = self.ended_at = 0.0
        self.tries: list[Try] = []

    async def play(self) -> None:
        async with self.mesh:
            ended = asyncio.Event()
            clients = [self.mesh.client(keeps=bool(n % 2)) for n in range(CLIENTS)]
            load = [asyncio.ensure_future(c.go_on(ended)) for c in clients]
            try:
                await self.bring_about(ended)
                ended.set()
                await asyncio.wait_for(asyncio.gather(*load), GIVES_UP_S + SLACK_S)
                await asyncio.sleep(SETTLE_S)
            finally:
                for task in load:
                    task.cancel()
        self.tries = [t for c in clients for t in c.tries]

    async def bring_about(self, ended: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(BEFORE_S)
        self.began_at = loop.time()
        await self.trouble(self.mesh, ended)
        self.ended_at = loop.time()
        if not ended.is_set():
            await asyncio.sleep(AFTER_S)

    def answered(self, kind: Kind, after: float, before: float) -> int:
        return sum(t.kind is kind and t.outcome is Outcome.ANSWERED and after < t.ended_at < before for t in self.tries)

    def lost(self) -> list[Try]:
        return [t for t in self.tries if t.outcome is Outcome.UNKNOWN]


async def caller_stands_still(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    mesh.caller.send(signal.SIGSTOP)
    await asyncio.sleep(STANDSTILL_S)
    mesh.caller.send(signal.SIGCONT)


async def keeper_stands_still(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    mesh.keeper.send(signal.SIGSTOP)
    await asyncio.sleep(STANDSTILL_S)
    mesh.keeper.send(signal.SIGCONT)


async def endpoint_stands_still(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    """It has begun what it was sent, and answers all of it in the end."""
    mesh.endpoints[1].hold = hold = asyncio.Event()
    await asyncio.sleep(STANDSTILL_S)
    hold.set()


async def caller_is_ended(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    """The platform gives its clients no new work once it has told twice that it is not ready."""
    mesh.caller.send(signal.SIGTERM)
    await mesh.until_not_ready(mesh.ips[0])
    ended.set()
    while mesh.caller.runs():
        await asyncio.sleep(POLL_S)


async def caller_is_ended_under_load(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    """Clients go on until nobody is there."""
    mesh.caller.send(signal.SIGTERM)
    while mesh.caller.runs():
        await asyncio.sleep(POLL_S)


async def keeper_is_ended(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    mesh.keeper.send(signal.SIGTERM)
    while mesh.keeper.runs():
        await asyncio.sleep(POLL_S)


async def settings_change(mesh: ProcessMesh, ended: asyncio.Event) -> None:
    """Both sidecars, some times in a row; each time with another list of seeds."""
    for n in range(RELOADS):
        for process in (mesh.caller, mesh.keeper):
            process.settings["SeedNodes"] = [f"{ip}:{mesh.port + 2}" for ip in (mesh.control_ip, *mesh.ips[: n % 2])]
            process.write()
            process.send(signal.SIGHUP)
        await asyncio.sleep(RELOAD_EACH_S)


class Signals(unittest.TestCase):
    def play(self, *troubles: Trouble) -> list[Played]:
        """Each on a mesh of its own, at once. The rules hold, and the load was one."""
        played = [Played(t) for t in troubles]

        async def test() -> None:
            async with asyncio.TaskGroup() as group:
                for one in played:
                    group.create_task(one.play())

        run(test)
        for one in played:
            with self.subTest(one.trouble.__name__):
                self.keeps_the_rules(one)
        return played

    def keeps_the_rules(self, played: Played) -> None:
        runs = played.mesh.all_runs()
        print(f"\n{played.trouble.__name__}, {CLIENTS} clients: {counts(played.tries, runs)}")
        found = audit(played.tries, runs)
        broken = {b.request for b in found}
        seen = [t for t in played.tries if t.id in broken], [r for r in runs if r.id in broken]
        self.assertEqual(found, [], seen)
        for kind in Kind:
            self.assertGreater(played.answered(kind, 0.0, played.began_at), ANSWERED_AT_LEAST)
        for endpoint in played.mesh.endpoints:
            self.assertGreater(sum(r.at < played.began_at for r in endpoint.runs), ANSWERED_AT_LEAST)

    def serves_after(self, played: Played) -> None:
        for kind in Kind:
            self.assertGreater(played.answered(kind, played.ended_at, float("inf")), ANSWERED_AT_LEAST)

    def serves_meanwhile(self, played: Played) -> None:
        for kind in Kind:
            self.assertGreater(played.answered(kind, played.began_at, played.ended_at), 0)

    def test_one_stands_still(self) -> None:
        caller, keeper, endpoint = self.play(caller_stands_still, keeper_stands_still, endpoint_stands_still)
        for played in (caller, keeper, endpoint):
            self.serves_after(played)
        for kind in Kind:  # it did stand still
            self.assertEqual(caller.answered(kind, caller.began_at + SLACK_S, caller.ended_at), 0)
        stood = (keeper.began_at + SLACK_S, keeper.ended_at)
        self.assertEqual([r for r in keeper.mesh.endpoints[1].runs if stood[0] < r.at < stood[1]], [])
        for played in (keeper, endpoint):
            self.serves_meanwhile(played)

    def test_one_is_ended(self) -> None:
        """What was read is answered, if only with 503, also under load that never ends."""
        caller, keeper, under_load = self.play(caller_is_ended, keeper_is_ended, caller_is_ended_under_load)
        for ended in (caller.mesh.caller, keeper.mesh.keeper, under_load.mesh.caller):
            self.assertEqual(ended.popen.returncode, 0)
        for played in (caller, keeper, under_load):
            self.serves_meanwhile(played)
        self.serves_after(keeper)
        self.assertEqual(caller.lost(), [])
        self.assertEqual(keeper.lost(), [])
        self.assertEqual(under_load.lost(), [])

    def test_the_settings_change(self) -> None:
        (played,) = self.play(settings_change)
        self.assertEqual(played.lost(), [])
        self.serves_after(played)
        for process in (played.mesh.caller, played.mesh.keeper):
            self.assertEqual(process.popen.returncode, -signal.SIGKILL)  # of the test; not ended by SIGHUP


class Wrong(Endpoint):
    """Breaks one rule, from the moment that it is told."""

    rule: Rule | None = None

    async def work(self, request: str, path: str, body: bytes) -> bytes:
        if self.rule is Rule.MIXED:
            self.begin(request, path, body)
            return self.answer(request, answer_to(b"another"))
        if self.rule is Rule.REFUSED:
            self.begin(request, path, body)
            return self.answer(request, b"", "503 Busy", "X-Not-Executed: 1\r\n")
        if self.rule is Rule.TWICE:
            self.begin(request, path, body)
        if self.rule is Rule.UNASKED:
            body = b"another"
        return await super().work(request, path, body)


class Auditor(unittest.TestCase):
    """Each rule is found broken where an endpoint breaks it, seen through the processes."""

    def test_finds(self) -> None:
        async def test() -> None:
            async with ProcessMesh(Wrong) as mesh:
                for rule in (None, Rule.TWICE, Rule.MIXED, Rule.UNASKED, Rule.REFUSED):
                    await self.finds(mesh, rule)

        run(test)

    async def finds(self, mesh: ProcessMesh, rule: Rule | None) -> None:
        for endpoint in mesh.endpoints:
            assert isinstance(endpoint, Wrong)
            endpoint.rule = rule
            endpoint.runs.clear()
        client = mesh.client(keeps=True)
        sent = await client.ask(Kind.NON_IDEMPOTENT)
        client.close()
        found = audit(client.tries, mesh.all_runs())
        with self.subTest(rule):
            if rule is None:
                self.assertEqual(found, [])
            else:
                self.assertIn(Breach(rule, sent.id), found)


if __name__ == "__main__":
    unittest.main()
