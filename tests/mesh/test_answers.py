"""Answers and executions when connections between sidecars break, or a process stalls."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from mesh.cases import params
from mesh.cluster import Mesh, StubEndpoint, ok_response, run, wait_until
from mesh.test_attempts import PROTOCOL_VERSION, AttemptModel
from zinclever.core.descriptors import Descriptors
from zinclever.http1 import clients
from zinclever.mesh.attempt_outcome import AttemptOutcome
from zinclever.mesh.dataplane.ingress import Ingress
from zinclever.mesh.transport.mesh_pb2 import ForwardReply, ForwardRequest, Frame
from zinclever.system import System

STEP = 1  # bytes between two cut positions
BODY = b"b" * 90
LARGE_ANSWER = 14_000_000  # bytes; more than the kernel buffers
READ_RATE = 10_000_000.0  # bytes/s
WRITE_TIMEOUT = 0.3  # s


class Relay:
    """A TCP relay between two sidecars. Cuts the first connection after a number of bytes in one direction."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host, self.target = host, target
        self.limits: dict[str, int | None] = {}
        self.bytes_passed = Counter[str]()
        self.writers: set[asyncio.StreamWriter] = set()
        self.is_forwarding = asyncio.Event()
        self.is_forwarding.set()
        """While cleared, received data is held back, as if the far end or the network had stalled."""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.accept, self.host, 0)
        self.address = self.host, self.server.sockets[0].getsockname()[1]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        limits, self.limits = self.limits, {}
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(
            self.pump("there", reader, far_writer, pair, limits.get("there")),
            self.pump("back", far_reader, writer, pair, limits.get("back")),
        )
        self.writers -= pair

    async def pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: set[asyncio.StreamWriter],
        limit: int | None,
    ) -> None:
        try:
            while data := await reader.read(65536 if limit is None else max(1, limit)):
                await self.is_forwarding.wait()
                writer.write(data)
                self.bytes_passed[direction] += len(data)
                if limit is not None:
                    limit -= len(data)
                    if limit <= 0:
                        await asyncio.sleep(0.001)
                        break
        except ConnectionError:
            pass
        for member in pair:
            member.close() if limit is None else member.transport.abort()

    def close_connections(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    def stop(self) -> None:
        self.server.close()
        self.close_connections()


class ConnectionLoss(unittest.TestCase):
    """The connection to the endpoint's sidecar breaks at any byte of the request or the answer."""

    @params("safe", "unsafe")
    def test_connection_loss_at_any_byte(self, kind: str) -> None:
        outcomes: Counter[str] = Counter()

        async def test() -> None:
            async with Mesh(["a", "b"]) as m:
                await m.bring_up()
                app = m.stub_endpoints[0]
                caller = m.sidecars[1]
                relay = Relay(m.ips[1], (m.ips[0], m.sidecars[0].node.port))
                await relay.start()
                forwarder = caller.clients.to("a").forwarder
                forwarder.set_address(app.id, relay.address)
                await m.send_request(f"/a/{kind}/", "POST", sidecar_index=1, body=BODY)
                total_bytes = dict(relay.bytes_passed)
                self.assertGreater(min(total_bytes.values()), 50)
                statuses: dict[str, int] = {}
                for direction, size in total_bytes.items():
                    for position in range(1, size, STEP):
                        relay.close_connections()
                        await wait_until(lambda: caller.node.channel_to(relay.address).connection is None)
                        forwarder.set_address(app.id, relay.address)
                        relay.limits = {direction: position}
                        name = f"{direction}-{position}"
                        status, headers, _ = await m.send_request(
                            f"/a/{kind}/", "POST", sidecar_index=1, body=BODY, X_Attempt_Id=name, X_Deadline_Ms="2000"
                        )
                        statuses[name] = status
                        if status == 200:
                            self.assertEqual(headers["x-attempt-id"], name)
                await asyncio.sleep(0.05)
                relay.stop()
                self.check_executions(kind, statuses, app, outcomes)

        run(test)
        self.assertGreater(outcomes["tried"], 50)

    def check_executions(self, kind: str, statuses: dict[str, int], app: StubEndpoint, outcomes: Counter[str]) -> None:
        executions = Counter(headers["x-attempt-id"] for _, headers, _ in app.received_requests)
        for name, status in statuses.items():
            outcomes["tried"] += 1
            outcomes["ran"] += executions[name]
            outcomes["answered" if status == 200 else "refused" if status == 503 else "unknown"] += 1
            self.assertIn(status, (200, 502, 503, 504), name)
            self.assertLessEqual(executions[name], 1 if kind == "unsafe" else 2, name)
            if status == 200:
                self.assertGreaterEqual(executions[name], 1, name)
            if status == 503:
                self.assertEqual(executions[name], 0, name)
        print(kind, dict(outcomes))


class StalledSidecar(unittest.TestCase):
    """The endpoint's sidecar stalls for longer than the silence timeout, and then receives everything at once."""

    @params("safe", "unsafe")
    def test_requests_received_late_run_no_more_often_than_allowed(self, kind: str) -> None:
        async def test() -> None:
            async with Mesh(["a", "b"]) as m:
                await m.bring_up()
                app = m.stub_endpoints[0]
                caller = m.sidecars[1]
                relay = Relay(m.ips[1], (m.ips[0], m.sidecars[0].node.port))
                await relay.start()
                caller.clients.to("a").forwarder.set_address(app.id, relay.address)
                await m.send_request(f"/a/{kind}/", sidecar_index=1)
                relay.is_forwarding.clear()
                names = [f"held-{n}" for n in range(20)]
                requests = [
                    m.send_request(f"/a/{kind}/", sidecar_index=1, X_Attempt_Id=name, X_Deadline_Ms="1600")
                    for name in names
                ]
                waiting = asyncio.gather(*requests)
                await asyncio.sleep(1.3)
                relay.is_forwarding.set()
                answers = await waiting
                await asyncio.sleep(0.1)
                relay.stop()
                executions = Counter(headers["x-attempt-id"] for _, headers, _ in app.received_requests)
                statuses = Counter(status for status, _, _ in answers)
                print(kind, dict(statuses), "ran", sum(executions[n] for n in names))
                for name, (status, headers, _) in zip(names, answers, strict=True):
                    self.assertLessEqual(executions[name], 1 if kind == "unsafe" else 2, name)
                    if status == 200:
                        self.assertEqual((headers["x-attempt-id"], executions[name] > 0), (name, True))
                    if status == 503 and kind == "unsafe":
                        self.assertEqual(executions[name], 0, name)

        run(test)


class LateFrames(unittest.TestCase):
    """Frames for a call that has ended, or from a connection that was given up."""

    def setUp(self) -> None:
        self.model = AttemptModel(2, b"", PROTOCOL_VERSION)
        self.outcomes: list[str] = []
        self.model.start(1)
        self.model.complete_dial(0)
        self.channel = next(iter(self.model.channels.values()))
        assert self.channel.connection is not None
        self.connection = self.channel.connection
        self.model.on_ended = lambda *args, **kwargs: self.outcomes.append(args[0])  # type: ignore[method-assign]
        self.model.attempts[0].on_ended = self.model.on_ended
        self.reply = Frame(
            stream=self.model.attempts[0].stream,
            forward_reply=ForwardReply(outcome=AttemptOutcome.EXECUTED, status=200, sent_to_endpoint=True),
        )

    def test_second_reply_is_ignored(self) -> None:
        self.channel.on_frame(self.connection, self.reply)
        self.channel.on_frame(self.connection, self.reply)
        self.assertEqual(self.outcomes, ["served"])

    def test_reply_after_cancellation_is_ignored(self) -> None:
        self.model.attempts[0].cancel(False)
        self.channel.on_frame(self.connection, self.reply)
        self.assertEqual(self.outcomes, [])

    def test_reply_from_a_lost_connection_is_ignored(self) -> None:
        self.model.lose_connection(2)
        self.model.start(1)
        self.model.complete_dial(0)
        self.reply.stream = self.model.attempts[1].stream
        self.channel.on_frame(self.connection, self.reply)
        self.assertEqual(self.outcomes, ["reset"])

    def test_connection_loss_after_sending_leaves_the_outcome_unknown(self) -> None:
        self.model.lose_connection(0)
        self.assertEqual(self.outcomes, ["reset"])
        self.assertTrue(self.model.request.may_have_run)


class ExpiredInQueue(unittest.TestCase):
    """A request that expired in the queue while the ingress's process stalled is not started."""

    def test_expired_queued_request_is_not_started(self) -> None:
        async def test() -> None:
            ingress = Ingress(System(), Descriptors(100))
            exchanges: list[Any] = []
            ingress.pools.send_attempt = lambda endpoint, attempt: exchanges.append(attempt)  # type: ignore[method-assign]
            ingress.attach_endpoint("e", ("127.0.0.1", 9), 1)
            replies: list[ForwardReply] = []
            for name, deadline_ms_left in (("first", 900), ("second", 40)):
                forward = ForwardRequest(
                    endpoint="e", id=name, deadline_ms=deadline_ms_left, latency_target_ms=2000, nested=True
                )
                ingress.queue.mean_service_time = 0.01
                ingress.submit(forward, b"", replies.append)
            self.assertEqual(len(exchanges), 1)
            time.sleep(0.06)  # the process stalls: no timer has fired when the answer is read
            exchanges[0].end("reset")
            self.assertEqual(len(exchanges), 1)
            self.assertEqual(
                [(t.outcome, t.sent_to_endpoint) for t in replies],
                [(AttemptOutcome.UNKNOWN, True), (AttemptOutcome.NOT_EXECUTED, False)],
            )
            self.assertEqual(ingress.queue.busy, 0)

        run(test)


class RunningRetries(unittest.TestCase):
    """Calls that a run issues count as retries only while a retry with its id is running."""

    def test_retry_is_reported_only_while_it_runs(self) -> None:
        async def test() -> None:
            ingress = Ingress(System(), Descriptors(100))
            ingress.pools.send_attempt = lambda endpoint, attempt: None  # type: ignore[method-assign]
            ingress.attach_endpoint("e", ("127.0.0.1", 9), 4)
            first_run, retry_run = (
                ingress.submit(
                    ForwardRequest(endpoint="e", id="r", deadline_ms=900, retry=is_retry), b"", lambda reply: None
                )
                for is_retry in (False, True)
            )
            assert first_run is not None and retry_run is not None
            self.assertTrue(ingress.is_running_retry("r"))
            ingress.cancel(retry_run)
            self.assertEqual((ingress.is_running("r"), ingress.is_running_retry("r")), (True, False))
            ingress.cancel(first_run)
            self.assertFalse(ingress.is_running("r"))
            self.assertEqual(ingress.running, {})

        run(test)


class UnsolicitedAnswers(unittest.TestCase):
    def test_unsolicited_second_answer_is_not_delivered(self) -> None:
        def two_answers(headers: dict[str, str]) -> bytes:
            return ok_response(headers) + ok_response({"x-attempt-id": "r-other"}, b"stray")

        async def test() -> None:
            async with Mesh(["a"], {0: two_answers}) as m:
                await m.bring_up()
                for n in range(20):
                    status, headers, body = await m.send_request("/a/unsafe/", X_Attempt_Id=f"u{n}")
                    if status == 200:
                        self.assertEqual((headers["x-attempt-id"], body), (f"u{n}", b"made"))
                executions = Counter(headers["x-attempt-id"] for _, headers, _ in m.stub_endpoints[0].received_requests)
                self.assertEqual(set(executions.values()), {1})

        run(test)


class SlowClients(unittest.TestCase):
    # Guards against cutting off a client that reads slowly but never pauses for as long as the write timeout.
    def test_a_client_that_keeps_reading_gets_its_whole_answer(self) -> None:
        body = b"x" * LARGE_ANSWER

        async def test() -> None:
            async with Mesh(["one"], {0: lambda headers: ok_response(headers, body)}) as m:
                await m.bring_up()
                loop = asyncio.get_running_loop()
                with socket.socket() as client, mock.patch.object(clients, "WRITE_TIMEOUT", WRITE_TIMEOUT):
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
                    client.setblocking(False)
                    await loop.sock_connect(client, (m.ips[0], m.port + 2))
                    head = (
                        b"GET /one/safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r\r\nX-Deadline-Ms: 3000\r\n\r\n"
                    )
                    await loop.sock_sendall(client, head)
                    received, started_at = 0, loop.time()
                    while received < LARGE_ANSWER:
                        part = len(await loop.sock_recv(client, 1 << 20))
                        self.assertTrue(part, received)
                        received += part
                        await asyncio.sleep(max(0.0, started_at + received / READ_RATE - loop.time()))
                    self.assertGreater(loop.time() - started_at, 3 * WRITE_TIMEOUT)

        run(test)


if __name__ == "__main__":
    unittest.main()
