"""The simulated loop and network keep asyncio's and TCP's contracts; real loopback sockets are the judge of both."""

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
from zinclever.simnet.loop import Cost, Loop, Stalled
from zinclever.simnet.network import Network, Path
from zinclever.simnet.scheduler import NS, Scheduler
from zinclever.standins import Fault, Log, Step, in_turn
from zinclever.standins.http_endpoint import HttpEndpoint

Kind = Callable[[Callable[[], Awaitable[None]]], None]
WORLDS: list[Kind] = [run, run_real]


# --- the same scenario on real sockets and in simulated time ---


async def answers(fault: Fault, klass: str, endpoints: int) -> list[Any]:
    """The first request meets a fault at whichever endpoint it is sent to; two more follow on the connection."""
    log = Log()
    steps = [Step(fault, at_byte=7), Step()]
    plan = in_turn(*steps)  # shared: the first request to come meets the fault
    found = [HttpEndpoint(log, plan, name=f"e{n}") for n in range(endpoints)]
    told: list[Any] = []
    for endpoint in found:
        await endpoint.__aenter__()
    balancer = Balancer(Settings(classes=CLASSES, limits=LIMITS), 1)
    clock = make_clock(host_here())
    react: Reaction = lambda event: balancer.handle(clock(), event)  # noqa: E731
    async with sidecar(react, known(**{e.name: e.address for e in found}), limits=LIMITS) as s:
        for n in range(3):
            client = await s.client()
            key = {"Idempotency_Key": "k"} if klass == "unlock" else {}
            method = "GET" if klass == "read" else "POST"
            answer = await client.ask(f"/{klass}/x", method=method, Req_Id=f"r{n}", Req_Deadline="0.9", **key)
            told.append((answer.status, log.ran(f"r{n}")))
    for endpoint in found:
        await endpoint.__aexit__()
    return told


LIMITS = Settings(classes=CLASSES).limits.__class__(max_attempts=2, cancel=True, connect_timeout=200.0)


@pytest.mark.parametrize("endpoints", [1, 2])
@pytest.mark.parametrize("klass", ["read", "unlock", "tip"])
@pytest.mark.parametrize("fault", list(Fault), ids=lambda f: f.name)
def test_a_fault_ends_alike_in_both_worlds(fault: Fault, klass: str, endpoints: int) -> None:
    found: list[Any] = []
    for world in WORLDS:

        async def test() -> None:
            found.append(await answers(fault, klass, endpoints))

        world(test)
    assert found[0] == found[1], found


# --- TCP, and transports, against the real ones ---


class Ends(asyncio.Protocol):
    """Keeps what its loop tells it."""

    def __init__(self) -> None:
        self.told: list[Any] = []
        self.over = asyncio.get_running_loop().create_future()
        self.on_data: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.told.append("made")

    def data_received(self, data: bytes) -> None:
        self.told.append(data)
        if self.on_data is not None:
            self.on_data()

    def eof_received(self) -> bool:
        self.told.append("eof")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.told.append(type(exc).__name__)
        if not self.over.done():
            self.over.set_result(None)


async def pair() -> tuple[Ends, Ends, asyncio.AbstractServer]:
    loop = asyncio.get_running_loop()
    accepted = loop.create_future()

    class Accepted(Ends):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            accepted.set_result(self)

    server = await loop.create_server(Accepted, "127.0.0.1", 0)
    _, client = await loop.create_connection(Ends, *server.sockets[0].getsockname())
    assert isinstance(client, Ends)
    return client, await accepted, server


async def half_close(a: Ends, b: Ends) -> None:
    a.transport.write(b"x" * 300_000)
    a.transport.write_eof()
    while "eof" not in b.told:
        await asyncio.sleep(0.01)
    b.transport.write(b"late")
    b.transport.close()
    await b.over
    while "eof" not in a.told:
        await asyncio.sleep(0.01)
    a.transport.close()
    await a.over


async def closed_unread(a: Ends, b: Ends) -> None:
    """What nobody has read makes a close a reset."""
    b.transport.pause_reading()
    a.transport.write(b"unread")
    await asyncio.sleep(0.05)
    b.transport.abort()
    await a.over


async def closed_in_callback(a: Ends, b: Ends) -> None:
    b.on_data = b.transport.abort
    a.transport.write(b"x")
    await b.over
    while a.told == ["made"]:
        await asyncio.sleep(0.01)
    a.transport.abort()
    await a.over


async def slow_reader(a: Ends, b: Ends) -> None:
    """Back pressure: the writer is told to pause, and to go on."""
    a.pause_writing = lambda: a.told.append("pause")  # type: ignore[method-assign]
    a.resume_writing = lambda: a.told.append("resume")  # type: ignore[method-assign]
    b.transport.pause_reading()
    a.transport.write(b"y" * 20_000_000)
    await asyncio.sleep(0.1)
    assert a.told == ["made", "pause"] and b.told == ["made"]
    b.transport.resume_reading()
    while "resume" not in a.told:
        await asyncio.sleep(0.01)
    a.transport.close()
    while "eof" not in b.told:
        await asyncio.sleep(0.01)
    b.transport.close()
    await b.over
    await a.over


def joined(told: list[Any]) -> list[Any]:
    """Pieces of one stream come as they come."""
    found: list[Any] = []
    for item in told:
        if isinstance(item, bytes) and found and isinstance(found[-1], bytes):
            found[-1] += item
        else:
            found.append(item)
    return found


@pytest.mark.parametrize("play", [half_close, closed_unread, closed_in_callback, slow_reader])
def test_transports_tell_the_same_in_both_worlds(play: Callable[[Ends, Ends], Awaitable[None]]) -> None:
    found: list[Any] = []
    for world in WORLDS:

        async def test() -> None:
            a, b, server = await pair()
            await play(a, b)
            found.append((joined(a.told), joined(b.told)))
            server.close()

        world(test)
    assert found[0] == found[1]


def test_refused_and_taken_addresses() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(Ends, "127.0.0.1", 1)
        server = await loop.create_server(Ends, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(OSError) as taken:
            await loop.create_server(Ends, "127.0.0.1", port)
        assert taken.value.errno == errno.EADDRINUSE
        server.close()

    run(test)
    run_real(test)


# --- what real sockets don't show ---


def two(cost: Cost | None = None) -> tuple[Network, Loop, Loop]:
    network = Network(Scheduler(), 1, Path(latency=0.01))
    return network, Loop(network.machine("a", "10.0.0.1"), cost), Loop(network.machine("b", "10.0.0.2"))


def connected(a: Loop, b: Loop) -> tuple[Ends, Ends]:
    got: list[Ends] = []

    def accept() -> Ends:
        got.append(Ends())
        return got[0]

    b.run_until_complete(b.create_server(accept, "10.0.0.2", 80))
    _, client = a.run_until_complete(a.create_connection(Ends, "10.0.0.2", 80))
    go(a, 0.1)  # the server hears a way later
    return client, got[0]


def go(loop: Loop, seconds: float) -> None:
    loop.scheduler.run(loop.scheduler.now + round(seconds * NS))


def test_a_cut_in_one_direction_delays_and_loses_nothing() -> None:
    network, a, b = two()
    client, server = connected(a, b)
    network.cut("a", "b")
    client.transport.write(b"one")
    server.transport.write(b"back")
    go(a, 5.0)
    assert server.told == ["made"] and client.told == ["made", b"back"]
    client.transport.write(b"two")
    network.heal("a", "b")
    go(a, 10.0)
    assert joined(server.told) == ["made", b"onetwo"]


def test_a_machine_that_vanishes_says_nothing_and_resets_when_it_is_back() -> None:
    network, a, b = two()
    client, _ = connected(a, b)
    network.machines["10.0.0.2"].vanish()
    client.transport.write(b"x")
    go(a, 60.0)
    assert client.told == ["made"]
    b.die()
    network.machines["10.0.0.2"].come_back()
    go(a, 200.0)
    assert client.told == ["made", "ConnectionResetError"]


def test_a_syn_that_is_lost_comes_again_a_second_later() -> None:
    network, a, b = two()
    b.run_until_complete(b.create_server(Ends, "10.0.0.2", 80))
    network.cut("a", "b")
    network.scheduler.after(NS // 2, network.heal, "a", "b")
    begun = a.time()
    a.run_until_complete(a.create_connection(Ends, "10.0.0.2", 80))
    assert 1.0 < a.time() - begun < 1.1


def test_no_more_descriptors_than_the_limit() -> None:
    network = Network(Scheduler(), 1)
    loop = Loop(network.machine("a", "10.0.0.1"), descriptors=4)
    kept = [loop.descriptors.socket()]
    with pytest.raises(OSError) as full:
        kept.append(loop.descriptors.socket())
    assert full.value.errno == errno.EMFILE
    kept[0].close()
    assert loop.descriptors.socket().fileno() == kept[0].fileno()


def test_a_callback_that_blocks_delays_the_others_of_its_process_only() -> None:
    _, a, b = two(Cost(callback=0.001))
    ran: list[tuple[str, float]] = []
    a.call_soon(lambda: a.spend(0.2))
    a.call_later(0.05, lambda: ran.append(("a", a.time())))
    b.call_later(0.05, lambda: ran.append(("b", b.time())))
    go(a, 1.0)
    assert ran == [("b", 0.05), ("a", pytest.approx(0.201))]


def test_timers_of_one_instant_all_run_in_any_order_and_none_early() -> None:
    orders = set()
    for permute in range(20):
        network = Network(Scheduler(permute), 1)
        loops = [Loop(network.machine(f"m{n}", f"10.0.0.{n + 1}")) for n in range(4)]
        ran: list[int] = []
        for number, loop in enumerate(loops):
            loop.call_later(0.5, ran.append, number)
        network.scheduler.run(NS // 2 - 1)
        assert not ran
        network.scheduler.run(NS)
        assert sorted(ran) == [0, 1, 2, 3]
        orders.add(tuple(ran))
    assert len(orders) > 5


def test_who_waits_for_what_never_comes_is_told() -> None:
    async def forever() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(Stalled):
        runner.world().run_until_complete(forever())
    with pytest.raises(runner.TooLong):
        runner.run(lambda: asyncio.sleep(10.0), 5.0)


def test_ten_thousand_connections() -> None:
    network, a, b = two()
    accepted: list[Ends] = []

    def accept() -> Ends:
        accepted.append(Ends())
        return accepted[-1]

    b.run_until_complete(b.create_server(accept, "10.0.0.2", 80, backlog=4096))

    async def connect() -> list[Any]:
        some = [
            await asyncio.gather(*(a.create_connection(Ends, "10.0.0.2", 80) for _ in range(1000))) for _ in range(10)
        ]
        return [protocol for part in some for _, protocol in part]

    clients = a.run_until_complete(connect())
    for client in clients:
        client.transport.write(b"x")
        client.transport.close()
    go(a, 1.0)
    assert [e.told for e in accepted] == [["made", b"x", "eof"]] * 10_000
    for end in accepted:
        end.transport.close()
    go(a, 1.0)
    assert not network.machines["10.0.0.1"].sockets and not network.machines["10.0.0.2"].sockets
    assert not a.descriptors.open


def test_a_connection_that_ends_before_its_first_request(caplog: pytest.LogCaptureFixture) -> None:
    """Found by the first simulated day: AttributeError in connection_lost."""

    async def test() -> None:
        from zinclever.http1.connection import dial

        server = await asyncio.get_running_loop().create_server(Ends, "127.0.0.1", 0)
        lost: list[Any] = []
        connection = await dial(host_here(), server.sockets[0].getsockname(), 1.0, lost.append, lost.append)
        connection.transport.close()
        await asyncio.sleep(0.1)
        assert lost == [connection]

    run(test)
    assert not caplog.records


def test_peeks_do_not_read() -> None:
    _, a, b = two()
    client, server = connected(a, b)
    server.transport.write(b"hello")
    client.transport.pause_reading()
    go(a, 0.1)
    sock = client.transport.get_extra_info("socket")
    assert sock.recv(2, socket.MSG_PEEK) == b"he" and sock.recv(9) == b"hello"
    with pytest.raises(BlockingIOError):
        sock.recv(1)
