"""The simulated loop and network behave like asyncio and TCP, compared with real loopback sockets."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from loopback import CLASSES, Reaction, host_here, known, run, run_real, sidecar

from zinclever import Balancer, Settings
from zinclever.core.dispatcher import make_clock
from zinclever.simnet import runner
from zinclever.simnet.loop import Cost, Loop, NoMoreEvents
from zinclever.simnet.network import Network, Path
from zinclever.simnet.scheduler import NS, Scheduler
from zinclever.standins import Fault, Log, Step, in_turn
from zinclever.standins.http_endpoint import HttpEndpoint

Runner = Callable[[Callable[[], Awaitable[None]]], None]
RUNNERS: list[Runner] = [run, run_real]


# --- the same scenario on real sockets and in simulated time ---


async def run_requests(fault: Fault, klass: str, endpoints: int) -> list[Any]:
    """Send three requests, the first of which meets a fault at its endpoint; return their statuses and executions."""
    log = Log()
    steps = [Step(fault, at_byte=7), Step()]
    plan = in_turn(*steps)  # shared by the endpoints: the first request meets the fault at any of them
    http_endpoints = [HttpEndpoint(log, plan, name=f"e{n}") for n in range(endpoints)]
    outcomes: list[Any] = []
    for endpoint in http_endpoints:
        await endpoint.__aenter__()
    balancer = Balancer(Settings(classes=CLASSES, limits=LIMITS), 1)
    clock = make_clock(host_here())
    react: Reaction = lambda event: balancer.handle(clock(), event)  # noqa: E731
    async with sidecar(react, known(**{e.name: e.address for e in http_endpoints}), limits=LIMITS) as s:
        for n in range(3):
            client = await s.client()
            key = {"Idempotency_Key": "k"} if klass == "unlock" else {}
            method = "GET" if klass == "read" else "POST"
            answer = await client.fetch(f"/{klass}/x", method=method, Req_Id=f"r{n}", Req_Deadline="0.9", **key)
            outcomes.append((answer.status, log.execution_count(f"r{n}")))
    for endpoint in http_endpoints:
        await endpoint.__aexit__()
    return outcomes


LIMITS = Settings(classes=CLASSES).limits.__class__(max_attempts=2, cancel=True, connect_timeout=200.0)


@pytest.mark.parametrize("endpoints", [1, 2])
@pytest.mark.parametrize("klass", ["read", "unlock", "tip"])
@pytest.mark.parametrize("fault", list(Fault), ids=lambda f: f.name)
def test_fault_has_the_same_outcome_simulated_and_real(fault: Fault, klass: str, endpoints: int) -> None:
    results: list[Any] = []
    for run_test in RUNNERS:

        async def test() -> None:
            results.append(await run_requests(fault, klass, endpoints))

        run_test(test)
    assert results[0] == results[1], results


# --- TCP and transports, compared with real ones ---


class RecordingProtocol(asyncio.Protocol):
    """Records the calls of its loop."""

    def __init__(self) -> None:
        self.calls: list[Any] = []
        self.closed = asyncio.get_running_loop().create_future()
        self.on_data: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.calls.append("made")

    def data_received(self, data: bytes) -> None:
        self.calls.append(data)
        if self.on_data is not None:
            self.on_data()

    def eof_received(self) -> bool:
        self.calls.append("eof")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.calls.append(type(exc).__name__)
        if not self.closed.done():
            self.closed.set_result(None)


async def pair() -> tuple[RecordingProtocol, RecordingProtocol, asyncio.AbstractServer]:
    loop = asyncio.get_running_loop()
    accepted = loop.create_future()

    class Accepted(RecordingProtocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            accepted.set_result(self)

    server = await loop.create_server(Accepted, "127.0.0.1", 0)
    _, client = await loop.create_connection(RecordingProtocol, *server.sockets[0].getsockname())
    assert isinstance(client, RecordingProtocol)
    return client, await accepted, server


async def half_close(a: RecordingProtocol, b: RecordingProtocol) -> None:
    a.transport.write(b"x" * 300_000)
    a.transport.write_eof()
    while "eof" not in b.calls:
        await asyncio.sleep(0.01)
    b.transport.write(b"late")
    b.transport.close()
    await b.closed
    while "eof" not in a.calls:
        await asyncio.sleep(0.01)
    a.transport.close()
    await a.closed


async def closed_unread(a: RecordingProtocol, b: RecordingProtocol) -> None:
    """A close with unread data resets the connection."""
    b.transport.pause_reading()
    a.transport.write(b"unread")
    await asyncio.sleep(0.05)
    b.transport.abort()
    await a.closed


async def closed_in_callback(a: RecordingProtocol, b: RecordingProtocol) -> None:
    b.on_data = b.transport.abort
    a.transport.write(b"x")
    await b.closed
    while a.calls == ["made"]:
        await asyncio.sleep(0.01)
    a.transport.abort()
    await a.closed


async def slow_reader(a: RecordingProtocol, b: RecordingProtocol) -> None:
    """Backpressure: the writer is paused and resumed."""
    a.pause_writing = lambda: a.calls.append("pause")  # type: ignore[method-assign]
    a.resume_writing = lambda: a.calls.append("resume")  # type: ignore[method-assign]
    b.transport.pause_reading()
    a.transport.write(b"y" * 20_000_000)
    await asyncio.sleep(0.1)
    assert a.calls == ["made", "pause"] and b.calls == ["made"]
    b.transport.resume_reading()
    while "resume" not in a.calls:
        await asyncio.sleep(0.01)
    a.transport.close()
    while "eof" not in b.calls:
        await asyncio.sleep(0.01)
    b.transport.close()
    await b.closed
    await a.closed


def joined(calls: list[Any]) -> list[Any]:
    """Join consecutive pieces of data, because their sizes vary."""
    merged: list[Any] = []
    for item in calls:
        if isinstance(item, bytes) and merged and isinstance(merged[-1], bytes):
            merged[-1] += item
        else:
            merged.append(item)
    return merged


@pytest.mark.parametrize("play", [half_close, closed_unread, closed_in_callback, slow_reader])
def test_transports_behave_the_same_simulated_and_real(
    play: Callable[[RecordingProtocol, RecordingProtocol], Awaitable[None]],
) -> None:
    results: list[Any] = []
    for run_test in RUNNERS:

        async def test() -> None:
            a, b, server = await pair()
            await play(a, b)
            results.append((joined(a.calls), joined(b.calls)))
            server.close()

        run_test(test)
    assert results[0] == results[1]


def test_refused_connections_and_addresses_in_use() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(RecordingProtocol, "127.0.0.1", 1)
        server = await loop.create_server(RecordingProtocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(OSError) as caught:
            await loop.create_server(RecordingProtocol, "127.0.0.1", port)
        assert caught.value.errno == errno.EADDRINUSE
        server.close()

    run(test)
    run_real(test)


# --- behaviour that is tested in simulation only ---


def two_loops(cost: Cost | None = None) -> tuple[Network, Loop, Loop]:
    network = Network(Scheduler(), 1, Path(latency=0.01))
    return network, Loop(network.machine("a", "10.0.0.1"), cost), Loop(network.machine("b", "10.0.0.2"))


def connected(a: Loop, b: Loop) -> tuple[RecordingProtocol, RecordingProtocol]:
    accepted: list[RecordingProtocol] = []

    def accept() -> RecordingProtocol:
        accepted.append(RecordingProtocol())
        return accepted[0]

    b.run_until_complete(b.create_server(accept, "10.0.0.2", 80))
    _, client = a.run_until_complete(a.create_connection(RecordingProtocol, "10.0.0.2", 80))
    run_for(a, 0.1)  # the server gets the ACK one latency later
    return client, accepted[0]


def run_for(loop: Loop, seconds: float) -> None:
    loop.scheduler.run(loop.scheduler.now + round(seconds * NS))


def test_one_way_partition_delays_data_without_loss() -> None:
    network, a, b = two_loops()
    client, server = connected(a, b)
    network.cut("a", "b")
    client.transport.write(b"one")
    server.transport.write(b"back")
    run_for(a, 5.0)
    assert server.calls == ["made"] and client.calls == ["made", b"back"]
    client.transport.write(b"two")
    network.heal("a", "b")
    run_for(a, 10.0)
    assert joined(server.calls) == ["made", b"onetwo"]


def test_vanished_machine_is_silent_and_resets_connections_after_reboot() -> None:
    network, a, b = two_loops()
    client, _ = connected(a, b)
    network.machines["10.0.0.2"].vanish()
    client.transport.write(b"x")
    run_for(a, 60.0)
    assert client.calls == ["made"]
    b.die()
    network.machines["10.0.0.2"].come_back()
    run_for(a, 200.0)
    assert client.calls == ["made", "ConnectionResetError"]


def test_lost_syn_is_sent_again_after_a_second() -> None:
    network, a, b = two_loops()
    b.run_until_complete(b.create_server(RecordingProtocol, "10.0.0.2", 80))
    network.cut("a", "b")
    network.scheduler.after(NS // 2, network.heal, "a", "b")
    started_at = a.time()
    a.run_until_complete(a.create_connection(RecordingProtocol, "10.0.0.2", 80))
    assert 1.0 < a.time() - started_at < 1.1


def test_descriptor_limit() -> None:
    network = Network(Scheduler(), 1)
    loop = Loop(network.machine("a", "10.0.0.1"), descriptors=4)
    sockets = [loop.descriptors.socket()]
    with pytest.raises(OSError) as caught:
        sockets.append(loop.descriptors.socket())
    assert caught.value.errno == errno.EMFILE
    sockets[0].close()
    assert loop.descriptors.socket().fileno() == sockets[0].fileno()


def test_blocking_callback_delays_only_its_own_process() -> None:
    _, a, b = two_loops(Cost(callback=0.001))
    callbacks_run: list[tuple[str, float]] = []
    a.call_soon(lambda: a.consume_cpu(0.2))
    a.call_later(0.05, lambda: callbacks_run.append(("a", a.time())))
    b.call_later(0.05, lambda: callbacks_run.append(("b", b.time())))
    run_for(a, 1.0)
    assert callbacks_run == [("b", 0.05), ("a", pytest.approx(0.201))]


def test_timers_of_one_instant_run_on_time_in_a_permuted_order() -> None:
    orders = set()
    for permute in range(20):
        network = Network(Scheduler(permute), 1)
        loops = [Loop(network.machine(f"m{n}", f"10.0.0.{n + 1}")) for n in range(4)]
        callbacks_run: list[int] = []
        for number, loop in enumerate(loops):
            loop.call_later(0.5, callbacks_run.append, number)
        network.scheduler.run(NS // 2 - 1)
        assert not callbacks_run
        network.scheduler.run(NS)
        assert sorted(callbacks_run) == [0, 1, 2, 3]
        orders.add(tuple(callbacks_run))
    assert len(orders) > 5


def test_waiting_forever_raises() -> None:
    async def forever() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(NoMoreEvents):
        runner.world().run_until_complete(forever())
    with pytest.raises(runner.TimeLimitExceeded):
        runner.run(lambda: asyncio.sleep(10.0), 5.0)


def test_ten_thousand_connections_leave_no_state() -> None:
    network, a, b = two_loops()
    accepted: list[RecordingProtocol] = []

    def accept() -> RecordingProtocol:
        accepted.append(RecordingProtocol())
        return accepted[-1]

    b.run_until_complete(b.create_server(accept, "10.0.0.2", 80, backlog=4096))

    async def connect() -> list[Any]:
        batches = [
            await asyncio.gather(*(a.create_connection(RecordingProtocol, "10.0.0.2", 80) for _ in range(1000)))
            for _ in range(10)
        ]
        return [protocol for batch in batches for _, protocol in batch]

    clients = a.run_until_complete(connect())
    for client in clients:
        client.transport.write(b"x")
        client.transport.close()
    run_for(a, 1.0)
    assert [e.calls for e in accepted] == [["made", b"x", "eof"]] * 10_000
    for end in accepted:
        end.transport.close()
    run_for(a, 1.0)
    assert not network.machines["10.0.0.1"].sockets and not network.machines["10.0.0.2"].sockets
    assert not a.descriptors.open


def test_connection_closed_before_its_first_request(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against an AttributeError in connection_lost."""

    async def test() -> None:
        from zinclever.http1.connection import dial

        server = await asyncio.get_running_loop().create_server(RecordingProtocol, "127.0.0.1", 0)
        lost: list[Any] = []
        connection = await dial(host_here(), server.sockets[0].getsockname(), 1.0, lost.append, lost.append)
        connection.transport.close()
        await asyncio.sleep(0.1)
        assert lost == [connection]

    run(test)
    assert not caplog.records


def test_peek_leaves_data_in_the_buffer() -> None:
    _, a, b = two_loops()
    client, server = connected(a, b)
    server.transport.write(b"hello")
    client.transport.pause_reading()
    run_for(a, 0.1)
    sock = client.transport.get_extra_info("socket")
    assert sock.recv(2, socket.MSG_PEEK) == b"he" and sock.recv(9) == b"hello"
    with pytest.raises(BlockingIOError):
        sock.recv(1)
