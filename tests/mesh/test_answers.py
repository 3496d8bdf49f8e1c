"""Answers and callers: who gets which answer, and what may run how often, where hops break off or stand still."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections import Counter
from typing import Any

from mesh.cases import params
from mesh.cluster import App, Mesh, good, run, until
from mesh.test_attempts import SPEAKS, World
from zinclever.core.descriptors import Descriptors
from zinclever.mesh.attempt_outcome import AttemptOutcome
from zinclever.mesh.dataplane.ingress import Ingress
from zinclever.mesh.transport.mesh_pb2 import ForwardReply, ForwardRequest, Frame
from zinclever.system import System

STEP = 1  # bytes between two cuts
BODY = b"b" * 90


class Relay:
    """Stands between two sidecars. The first connection ends once so many bytes have passed one way."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host, self.target = host, target
        self.limits: dict[str, int | None] = {}
        self.passed = Counter[str]()
        self.writers: set[asyncio.StreamWriter] = set()
        self.flows = asyncio.Event()
        self.flows.set()
        """While it is clear, what comes is held back: the far end stands still, or the net does."""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.accept, self.host, 0)
        self.address = self.host, self.server.sockets[0].getsockname()[1]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        limits, self.limits = self.limits, {}
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        both = {writer, far_writer}
        self.writers |= both
        await asyncio.gather(
            self.pump("there", reader, far_writer, both, limits.get("there")),
            self.pump("back", far_reader, writer, both, limits.get("back")),
        )
        self.writers -= both

    async def pump(
        self,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        both: set[asyncio.StreamWriter],
        limit: int | None,
    ) -> None:
        try:
            while data := await reader.read(65536 if limit is None else max(1, limit)):
                await self.flows.wait()
                writer.write(data)
                self.passed[way] += len(data)
                if limit is not None:
                    limit -= len(data)
                    if limit <= 0:
                        await asyncio.sleep(0.001)
                        break
        except ConnectionError:
            pass
        for each in both:
            each.close() if limit is None else each.transport.abort()

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    def stop(self) -> None:
        self.server.close()
        self.cut()


class Cut(unittest.TestCase):
    """The hop to the endpoint's sidecar ends at each part of request and answer."""

    @params("safe", "unsafe")
    def test_the_hop_is_lost_at_any_byte(self, kind: str) -> None:
        outcomes: Counter[str] = Counter()

        async def test() -> None:
            async with Mesh(["a", "b"]) as m:
                await m.serve()
                app = m.stub_endpoints[0]
                caller = m.sidecars[1]
                relay = Relay(m.ips[1], (m.ips[0], m.sidecars[0].node.port))
                await relay.start()
                wire = caller.clients.to("a").forwarder
                wire.set_address(app.id, relay.address)
                await m.ask(f"/a/{kind}/", "POST", at=1, body=BODY)
                whole = dict(relay.passed)
                self.assertGreater(min(whole.values()), 50)
                asked: dict[str, int] = {}
                for way, size in whole.items():
                    for cut in range(1, size, STEP):
                        relay.cut()
                        await until(lambda: caller.node.channel_to(relay.address).connection is None)
                        wire.set_address(app.id, relay.address)
                        relay.limits = {way: cut}
                        name = f"{way}-{cut}"
                        status, headers, _ = await m.ask(
                            f"/a/{kind}/", "POST", at=1, body=BODY, X_Attempt_Id=name, X_Deadline_Ms="2000"
                        )
                        asked[name] = status
                        if status == 200:
                            self.assertEqual(headers["x-attempt-id"], name)
                await asyncio.sleep(0.05)
                relay.stop()
                self.judge(kind, asked, app, outcomes)

        run(test)
        self.assertGreater(outcomes["tried"], 50)

    def judge(self, kind: str, asked: dict[str, int], app: App, outcomes: Counter[str]) -> None:
        ran = Counter(headers["x-attempt-id"] for _, headers, _ in app.received_requests)
        for name, status in asked.items():
            outcomes["tried"] += 1
            outcomes["ran"] += ran[name]
            outcomes["answered" if status == 200 else "refused" if status == 503 else "unknown"] += 1
            self.assertIn(status, (200, 502, 503, 504), name)
            self.assertLessEqual(ran[name], 1 if kind == "unsafe" else 2, name)
            if status == 200:
                self.assertGreaterEqual(ran[name], 1, name)
            if status == 503:
                self.assertEqual(ran[name], 0, name)
        print(kind, dict(outcomes))


class StandsStill(unittest.TestCase):
    """The endpoint's sidecar hears nothing for longer than a link is trusted, and then all of it at once."""

    @params("safe", "unsafe")
    def test_what_is_read_late_runs_no_more_often_than_it_may(self, kind: str) -> None:
        async def test() -> None:
            async with Mesh(["a", "b"]) as m:
                await m.serve()
                app = m.stub_endpoints[0]
                caller = m.sidecars[1]
                relay = Relay(m.ips[1], (m.ips[0], m.sidecars[0].node.port))
                await relay.start()
                caller.clients.to("a").forwarder.set_address(app.id, relay.address)
                await m.ask(f"/a/{kind}/", at=1)
                relay.flows.clear()
                names = [f"held-{n}" for n in range(20)]
                asked = [m.ask(f"/a/{kind}/", at=1, X_Attempt_Id=name, X_Deadline_Ms="1600") for name in names]
                waiting = asyncio.gather(*asked)
                await asyncio.sleep(1.3)
                relay.flows.set()
                answers = await waiting
                await asyncio.sleep(0.1)
                relay.stop()
                ran = Counter(headers["x-attempt-id"] for _, headers, _ in app.received_requests)
                statuses = Counter(status for status, _, _ in answers)
                print(kind, dict(statuses), "ran", sum(ran[n] for n in names))
                for name, (status, headers, _) in zip(names, answers, strict=True):
                    self.assertLessEqual(ran[name], 1 if kind == "unsafe" else 2, name)
                    if status == 200:
                        self.assertEqual((headers["x-attempt-id"], ran[name] > 0), (name, True))
                    if status == 503 and kind == "unsafe":
                        self.assertEqual(ran[name], 0, name)

        run(test)


class Frames(unittest.TestCase):
    """What comes on a link for a call that is over, or from a link that is."""

    def setUp(self) -> None:
        self.world = World(2, b"", SPEAKS)
        self.told: list[str] = []
        self.world.start(1)
        self.world.dialled(0)
        self.line = next(iter(self.world.lines.values()))
        assert self.line.connection is not None
        self.link = self.line.connection
        self.world.ended = lambda *told, **more: self.told.append(told[0])  # type: ignore[method-assign]
        self.world.hops[0].on_ended = self.world.ended
        self.answer = Frame(
            stream=self.world.hops[0].stream,
            forward_reply=ForwardReply(outcome=AttemptOutcome.EXECUTED, status=200, sent_to_endpoint=True),
        )

    def test_a_second_answer_is_nobodys(self) -> None:
        self.line.on_frame(self.link, self.answer)
        self.line.on_frame(self.link, self.answer)
        self.assertEqual(self.told, ["served"])

    def test_an_answer_after_a_cancel_is_nobodys(self) -> None:
        self.world.hops[0].cancel(False)
        self.line.on_frame(self.link, self.answer)
        self.assertEqual(self.told, [])

    def test_an_answer_of_a_link_that_was_given_up_is_nobodys(self) -> None:
        self.world.lose(2)
        self.world.start(1)
        self.world.dialled(0)
        self.answer.stream = self.world.hops[1].stream
        self.line.on_frame(self.link, self.answer)
        self.assertEqual(self.told, ["reset"])

    def test_once_it_was_out_a_lost_link_is_no_proof(self) -> None:
        self.world.lose(0)
        self.assertEqual(self.told, ["reset"])
        self.assertTrue(self.world.order.may_have_run)


class Late(unittest.TestCase):
    """A keeper that stood still: what was queued meanwhile doesn't begin once its time has passed."""

    def test_a_queued_request_whose_deadline_has_passed_is_not_begun(self) -> None:
        async def test() -> None:
            keeper = Ingress(System(), Descriptors(100))
            carried: list[Any] = []
            keeper.pools.send_attempt = lambda endpoint, attempt: carried.append(attempt)  # type: ignore[method-assign]
            keeper.admit("e", ("127.0.0.1", 9), 1)
            told: list[ForwardReply] = []
            for name, left in (("first", 900), ("second", 40)):
                load = ForwardRequest(endpoint="e", id=name, deadline_ms=left, latency_target_ms=2000, nested=True)
                keeper.queue.mean_service_time = 0.01
                keeper.submit(load, b"", told.append)
            self.assertEqual(len(carried), 1)
            time.sleep(0.06)  # the process stands still: no timer has run when the answer is read
            carried[0].end("reset")
            self.assertEqual(len(carried), 1)
            self.assertEqual(
                [(t.outcome, t.sent_to_endpoint) for t in told],
                [(AttemptOutcome.UNKNOWN, True), (AttemptOutcome.NOT_EXECUTED, False)],
            )
            self.assertEqual(keeper.queue.busy, 0)

        run(test)


class RunsOfRepeats(unittest.TestCase):
    """What a run calls counts as a repeat while a repeat is at work under its id, and no longer."""

    def test_told_while_it_is_at_work(self) -> None:
        async def test() -> None:
            keeper = Ingress(System(), Descriptors(100))
            keeper.pools.send_attempt = lambda endpoint, attempt: None  # type: ignore[method-assign]
            keeper.admit("e", ("127.0.0.1", 9), 4)
            first, again = (
                keeper.submit(
                    ForwardRequest(endpoint="e", id="r", deadline_ms=900, retry=repeat), b"", lambda made: None
                )
                for repeat in (False, True)
            )
            assert first is not None and again is not None
            self.assertTrue(keeper.is_running_retry("r"))
            keeper.cancel(again)
            self.assertEqual((keeper.is_running("r"), keeper.is_running_retry("r")), (True, False))
            keeper.cancel(first)
            self.assertFalse(keeper.is_running("r"))
            self.assertEqual(keeper.running, {})

        run(test)


class Surplus(unittest.TestCase):
    def test_two_answers_in_one_read_reach_only_who_asked(self) -> None:
        def twice(headers: dict[str, str]) -> bytes:
            return good(headers) + good({"x-attempt-id": "r-other"}, b"stray")

        async def test() -> None:
            async with Mesh(["a"], {0: twice}) as m:
                await m.serve()
                for n in range(20):
                    status, headers, body = await m.ask("/a/unsafe/", X_Attempt_Id=f"u{n}")
                    if status == 200:
                        self.assertEqual((headers["x-attempt-id"], body), (f"u{n}", b"made"))
                ran = Counter(headers["x-attempt-id"] for _, headers, _ in m.stub_endpoints[0].received_requests)
                self.assertEqual(set(ran.values()), {1})

        run(test)


if __name__ == "__main__":
    unittest.main()
