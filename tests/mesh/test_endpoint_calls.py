"""Beats, drains and departures of endpoints: what is acknowledged, by whom else it is known then, what is final."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from mesh.cases import params
from mesh.cluster import App, Mesh, run, until
from zinclever.mesh.membership.receipt_quorum import SIDECAR_PREFERENCE_PERIOD, ReceiptQuorum
from zinclever.mesh.membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from zinclever.mesh.model.field import endpoint
from zinclever.mesh.roles import endpoint_api
from zinclever.mesh.roles.heartbeats import is_news, superseding_record
from zinclever.mesh.roles.node import Node
from zinclever.mesh.roles.sidecar import Sidecar
from zinclever.mesh.transport.mesh_pb2 import Record


@contextmanager
def cut_off(*nodes: Node) -> Iterator[None]:
    """None of their datagrams reaches anybody; receipts are waited for less long, so that the test is short."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(endpoint_api, "ACKNOWLEDGE_TIMEOUT", 0.15))
        for node in nodes:
            stack.enter_context(mock.patch.object(node.gossip_socket, "transport", None))
        yield


async def beat(m: Mesh, app: App, phase: str, ip: str, port: int) -> int:
    """A beat of an endpoint at any process: the status."""
    body = app.heartbeat_body(phase)
    return (await m.call(f"{ip}:{port}", "POST", f"/v1/endpoints/{app.id}/heartbeat", body))[0]


async def departure(m: Mesh, app: App, ip: str, port: int) -> int:
    return (await m.call(f"{ip}:{port}", "POST", f"/v1/endpoints/{app.id}/departure"))[0]


def held(m: Mesh, app: App) -> Record | None:
    return m.control.node.gossip.records.get(RecordKind.ENDPOINT, app.id)


class Acknowledged(unittest.TestCase):
    """An acknowledgement stands on the receipts of others, or is not given."""

    @params("draining", "departure")
    def test_what_nobody_else_knows_is_not_acknowledged_at_the_second_time_either(self, call: str) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app, port = m.stub_endpoints[0], m.port + 2

                async def say() -> int:
                    if call == "departure":
                        return await departure(m, app, m.control_ip, port)
                    return await beat(m, app, call, m.control_ip, port)

                with cut_off(m.control.node):
                    self.assertEqual([await say(), await say()], [503, 503])
                self.assertEqual(await say(), 200)
                self.assertFalse(m.sidecars[0].ingress.is_open)

        run(test)

    @params("draining", "departure")
    def test_at_its_own_sidecar(self, call: str) -> None:
        """Nothing more is sent to the endpoint from the first word on, acknowledged or not."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app, port = m.stub_endpoints[0], m.port + 4

                async def say() -> int:
                    if call == "departure":
                        return await departure(m, app, m.ips[0], port)
                    return await beat(m, app, call, m.ips[0], port)

                with cut_off(m.sidecars[0].node):
                    self.assertEqual([await say(), await say()], [503, 503])
                    self.assertFalse(m.sidecars[0].ingress.is_open)
                    for _ in range(5):
                        self.assertEqual((await m.ask("/one/unsafe/x", "POST", 2))[0], 200)
                    self.assertEqual(len(app.received_requests), 0)
                self.assertEqual(await say(), 200)
                record = held(m, app)
                assert record is not None
                self.assertGreaterEqual(record.rank, EndpointPhase.DRAINING)

        run(test)

    def test_a_sidecar_that_loses_power_right_after_it_acknowledged(self) -> None:
        """The others know, and the one that starts in its place does not admit the endpoint again."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app, old = m.stub_endpoints[0], m.sidecars[0]
                flush = old.node.gossip_socket.flush

                def flush_to_the_core_alone() -> None:
                    """The first news to others is lost; what is told again until it is received is not."""
                    old.node.gossip.transmitter.outbox = [
                        (a, w) for a, w in old.node.gossip.transmitter.outbox if w.receipt_request
                    ]
                    flush()

                with mock.patch.object(old.node.gossip_socket, "flush", flush_to_the_core_alone):
                    self.assertEqual(await m.beat(0, "draining"), 200)
                    old.node.gossip_socket.close()
                    for server in old.servers:
                        server.close()
                    if old.node.server is not None:
                        old.node.server.close()
                    old.node.channels.close()
                record = held(m, app)
                assert record is not None
                self.assertEqual(record.rank, EndpointPhase.DRAINING)
                new = Sidecar(m.make_settings(m.ips[0], "forager", AppAddr=app.address, Target=app.service))
                await new.start()
                m.sidecars[0] = new
                with mock.patch.object(new.ingress, "admit", side_effect=AssertionError("admitted")):
                    await until(
                        lambda: (
                            new.node.gossip.anti_entropy.joined
                            and new.node.gossip.records.get(RecordKind.ENDPOINT, app.id) is not None
                        )
                    )
                self.assertFalse(new.ingress.is_open)

        run(test)

    def test_one_that_thinks_it_is_alone_acknowledges_nothing(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                m.control.endpoint_api.announcer.tolerated_failures = 1
                with cut_off(m.control.node), mock.patch.object(m.control.node.gossip.members, "others", list):
                    self.assertEqual(await beat(m, m.stub_endpoints[0], "draining", m.control_ip, m.port + 2), 503)

        run(test)

    @params(
        ("alone", ReceiptQuorum(frozenset(), 1, "", frozenset()), "", 9.0, False),
        ("too few of the core", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("k")), "ak", 9.0, False),
        ("core and keeper", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")), "abk", 0.0, True),
        ("the keeper is waited for", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")), "abl", 0.0, False),
        (
            "for so long",
            ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")),
            "abl",
            SIDECAR_PREFERENCE_PERIOD,
            True,
        ),
        ("then another does", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")), "ab", 9.0, False),
        ("a dead keeper is not", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("lm")), "abm", 0.0, True),
        ("sidecars are no core", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("klm")), "aklm", 9.0, False),
        ("nothing may be lost", ReceiptQuorum(frozenset(), 0, "", frozenset()), "", 0.0, True),
    )
    def test_who_has_to_know(
        self, name: str, audience: ReceiptQuorum, received: str, waited: float, want: bool
    ) -> None:
        self.assertIs(audience.is_reached(received, waited), want, name)


class Final(unittest.TestCase):
    """What an endpoint said of its end is not undone."""

    @params("sidecar", "core")
    def test_a_ready_beat_with_a_higher_number_after_a_drain(self, at: str) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app = m.stub_endpoints[0]
                self.assertEqual(await m.beat(0, "draining"), 200)
                ip, port = (m.ips[0], m.port + 4) if at == "sidecar" else (m.control_ip, m.port + 2)
                self.assertEqual(await beat(m, app, "ready", ip, port), 200)
                record = held(m, app)
                assert record is not None
                self.assertEqual(record.rank, EndpointPhase.DRAINING)
                self.assertFalse(m.sidecars[0].ingress.is_open)

        run(test)

    def test_a_late_beat_after_it_fell_silent(self) -> None:
        """Only one that it said after the last one that was heard shows that it lives."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app, sidecar = m.stub_endpoints[0], m.sidecars[0]
                for _ in range(5):  # they change nothing, so that nobody else hears of them
                    self.assertEqual(await m.beat(0), 200)
                sidecar.local_endpoint.declare_gone(app.id)
                app.seq -= 2
                self.assertEqual(await m.beat(0), 200)  # it was under way for long
                self.assertFalse(sidecar.ingress.is_open)
                app.seq += 1
                self.assertEqual(await m.beat(0), 200)
                self.assertTrue(sidecar.ingress.is_open)
                await until(lambda: (r := held(m, app)) is not None and r.rank == EndpointPhase.READY)

        run(test)

    def test_a_drained_one_that_fell_silent_is_gone_for_good(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app, sidecar = m.stub_endpoints[0], m.sidecars[0]
                self.assertEqual(await m.beat(0, "draining"), 200)
                sidecar.local_endpoint.declare_gone(app.id)
                self.assertEqual(await m.beat(0), 200)
                self.assertFalse(sidecar.ingress.is_open)
                self.assertEqual(await m.beat(0, "draining"), 200)
                await until(
                    lambda: (r := held(m, app)) is not None and r.rank == EndpointPhase.GONE and r.seq == DEPARTED_SEQ
                )

        run(test)

    def test_a_sidecar_that_stood_still_hears_its_endpoint_before_it_judges(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.serve()
                sidecar, app = m.sidecars[0], m.stub_endpoints[0]
                for standing in (20.0, 0.0):  # for which the process stood still; else the endpoint was silent
                    sidecar.local_endpoint.heartbeat_at -= 20.0
                    sidecar.local_endpoint.checked_at -= standing
                    sidecar.local_endpoint.check_heartbeats()  # before anything that has come is read
                    self.assertEqual(sidecar.ingress.endpoint, app.id if standing else "")
                    self.assertLessEqual(sidecar.local_endpoint.heartbeat_at, sidecar.loop.time())

        run(test)

    def test_a_sidecar_refutes_that_its_endpoint_is_gone(self) -> None:
        """The others heard nothing from here for long: its next beat is not waited for."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                for _ in range(3):
                    self.assertEqual(await m.beat(0), 200)
                known = held(m, m.stub_endpoints[0])
                assert known is not None
                gone = Record(
                    kind=2,
                    id=known.id,
                    incarnation=known.incarnation,
                    seq=known.seq,
                    rank=EndpointPhase.GONE,
                    body=known.body,
                )
                m.control.node.broadcast(gone)
                await until(lambda: (r := held(m, m.stub_endpoints[0])) is not None and r.rank == EndpointPhase.READY)
                self.assertTrue(m.sidecars[0].ingress.is_open)

        run(test)

    def test_an_endpoint_that_is_not_on_the_machine_it_is_said_to_be_on(self) -> None:
        """Its end was forgotten by all but one that was cut off meanwhile and tells of it anew."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                known = held(m, m.stub_endpoints[0])
                assert known is not None
                m.control.node.broadcast(Record(kind=2, id="i-long-gone", seq=9, body=known.body))
                sidecar = m.sidecars[0]
                await until(lambda: "i-long-gone" in sidecar.local_endpoint.claimed_since)
                self.assertEqual(await m.beat(0), 200)
                sidecar.local_endpoint.claimed_since["i-long-gone"] -= 20.0
                sidecar.local_endpoint.check_heartbeats()
                records = m.control.node.gossip.records
                await until(
                    lambda: (
                        (r := records.get(RecordKind.ENDPOINT, "i-long-gone")) is not None
                        and r.rank == EndpointPhase.GONE
                    )
                )
                self.assertTrue(sidecar.ingress.is_open)

        run(test)

    def test_a_beat_that_is_read_before_the_first_look_after_a_standstill(self) -> None:
        """It is not counted as one of the future: an endpoint that ends then is noticed in time."""

        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.serve()
                own = m.sidecars[0].local_endpoint
                own.checked_at -= 20.0
                self.assertEqual(await m.beat(0), 200)
                own.check_heartbeats()
                self.assertLessEqual(own.heartbeat_at, m.sidecars[0].loop.time())

        run(test)

    @params(
        ("a drain", None, (5, EndpointPhase.DRAINING), (5, EndpointPhase.DRAINING, 0)),
        ("a late drain is one", endpoint(seq=9, life=2), (5, EndpointPhase.DRAINING), (9, EndpointPhase.DRAINING, 2)),
        (
            "told again",
            endpoint(seq=5, rank=EndpointPhase.DRAINING),
            (7, EndpointPhase.DRAINING),
            (5, EndpointPhase.DRAINING, 0),
        ),
        (
            "after its departure",
            endpoint(seq=DEPARTED_SEQ, rank=EndpointPhase.GONE),
            (7, EndpointPhase.DRAINING),
            (DEPARTED_SEQ, EndpointPhase.GONE, 0),
        ),
        (
            "a departure",
            endpoint(seq=5, rank=EndpointPhase.DRAINING, life=1),
            (DEPARTED_SEQ, EndpointPhase.GONE),
            (DEPARTED_SEQ, EndpointPhase.GONE, 1),
        ),
        (
            "taken for gone",
            endpoint(seq=5, rank=EndpointPhase.GONE),
            (7, EndpointPhase.DRAINING),
            (DEPARTED_SEQ, EndpointPhase.GONE, 0),
        ),
    )
    def test_announcements(
        self, name: str, known: Record | None, said: tuple[int, int], want: tuple[int, int, int]
    ) -> None:
        made = superseding_record(known, endpoint(seq=said[0], rank=said[1]))
        self.assertEqual((made.seq, made.rank, made.incarnation), want, name)

    @params(
        ("nothing is known", None, 1, True),
        ("known", endpoint(seq=1), 2, False),
        ("late", endpoint(seq=3), 2, False),
        ("it drains", endpoint(seq=3, rank=EndpointPhase.DRAINING), 9, False),
        ("it has left", endpoint(seq=DEPARTED_SEQ, rank=EndpointPhase.GONE), 9, False),
        ("it was taken for gone", endpoint(seq=3, rank=EndpointPhase.GONE), 4, True),
        ("it was taken for gone later", endpoint(seq=3, rank=EndpointPhase.GONE), 3, False),
    )
    def test_ready_beats(self, name: str, known: Record | None, seq: int, want: bool) -> None:
        self.assertIs(is_news(known, endpoint(seq=seq)), want, name)


if __name__ == "__main__":
    unittest.main()
