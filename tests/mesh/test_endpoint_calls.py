"""Heartbeats, drains and departures of endpoints: their acknowledgement, who has to hold them, and which are final."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from mesh.cases import params
from mesh.cluster import Mesh, StubEndpoint, run, wait_until
from zinclever.mesh.membership.receipt_quorum import SIDECAR_PREFERENCE_PERIOD, ReceiptQuorum
from zinclever.mesh.membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from zinclever.mesh.model.field import endpoint
from zinclever.mesh.roles import endpoint_api
from zinclever.mesh.roles.heartbeats import changes_state, superseding_record
from zinclever.mesh.roles.node import Node
from zinclever.mesh.roles.sidecar import Sidecar
from zinclever.mesh.transport.mesh_pb2 import Record


@contextmanager
def datagrams_dropped(*nodes: Node) -> Iterator[None]:
    """Drop all datagrams of these nodes. Shortens the wait for receipts, so that the test is fast."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(endpoint_api, "ACKNOWLEDGE_TIMEOUT", 0.15))
        for node in nodes:
            stack.enter_context(mock.patch.object(node.gossip_socket, "transport", None))
        yield


async def post_heartbeat(m: Mesh, app: StubEndpoint, phase: str, ip: str, port: int) -> int:
    """Send a heartbeat of an endpoint to a process, and return the status."""
    body = app.heartbeat_body(phase)
    return (await m.call(f"{ip}:{port}", "POST", f"/v1/endpoints/{app.id}/heartbeat", body))[0]


async def post_departure(m: Mesh, app: StubEndpoint, ip: str, port: int) -> int:
    return (await m.call(f"{ip}:{port}", "POST", f"/v1/endpoints/{app.id}/departure"))[0]


def known_record(m: Mesh, app: StubEndpoint) -> Record | None:
    return m.control.node.gossip.records.get(RecordKind.ENDPOINT, app.id)


class Acknowledgement(unittest.TestCase):
    """An end of an endpoint is acknowledged only with receipts of other processes."""

    @params("draining", "departure")
    def test_unconfirmed_announcement_is_never_acknowledged(self, call: str) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                app, port = m.stub_endpoints[0], m.port + 2

                async def announce() -> int:
                    if call == "departure":
                        return await post_departure(m, app, m.control_ip, port)
                    return await post_heartbeat(m, app, call, m.control_ip, port)

                with datagrams_dropped(m.control.node):
                    self.assertEqual([await announce(), await announce()], [503, 503])
                self.assertEqual(await announce(), 200)
                self.assertFalse(m.sidecars[0].ingress.is_open)

        run(test)

    @params("draining", "departure")
    def test_unconfirmed_announcement_at_own_sidecar(self, call: str) -> None:
        """The endpoint gets no more requests after its first announcement, acknowledged or not."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                app, port = m.stub_endpoints[0], m.port + 4

                async def announce() -> int:
                    if call == "departure":
                        return await post_departure(m, app, m.ips[0], port)
                    return await post_heartbeat(m, app, call, m.ips[0], port)

                with datagrams_dropped(m.sidecars[0].node):
                    self.assertEqual([await announce(), await announce()], [503, 503])
                    self.assertFalse(m.sidecars[0].ingress.is_open)
                    for _ in range(5):
                        self.assertEqual((await m.send_request("/one/unsafe/x", "POST", 2))[0], 200)
                    self.assertEqual(len(app.received_requests), 0)
                self.assertEqual(await announce(), 200)
                record = known_record(m, app)
                assert record is not None
                self.assertGreaterEqual(record.rank, EndpointPhase.DRAINING)

        run(test)

    def test_sidecar_loses_power_right_after_acknowledging(self) -> None:
        """Other processes hold the record, and the restarted sidecar doesn't admit the endpoint again."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                app, old = m.stub_endpoints[0], m.sidecars[0]
                flush = old.node.gossip_socket.flush

                def flush_only_confirmed() -> None:
                    """Drop the first gossip, except for messages that are repeated until a receipt comes."""
                    old.node.gossip.transmitter.outbox = [
                        (a, w) for a, w in old.node.gossip.transmitter.outbox if w.receipt_request
                    ]
                    flush()

                with mock.patch.object(old.node.gossip_socket, "flush", flush_only_confirmed):
                    self.assertEqual(await m.send_heartbeat(0, "draining"), 200)
                    old.node.gossip_socket.close()
                    for listener in old.listeners:
                        listener.server.close()
                    if old.node.server is not None:
                        old.node.server.close()
                    old.node.channels.close()
                record = known_record(m, app)
                assert record is not None
                self.assertEqual(record.rank, EndpointPhase.DRAINING)
                new = Sidecar(m.make_settings(m.ips[0], "forager", AppAddr=app.address, Target=app.service))
                await new.start()
                m.sidecars[0] = new
                with mock.patch.object(new.ingress, "attach_endpoint", side_effect=AssertionError("endpoint attached")):
                    await wait_until(
                        lambda: (
                            new.node.gossip.anti_entropy.joined
                            and new.node.gossip.records.get(RecordKind.ENDPOINT, app.id) is not None
                        )
                    )
                self.assertFalse(new.ingress.is_open)

        run(test)

    def test_isolated_control_node_acknowledges_nothing(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                m.control.endpoint_api.announcer.tolerated_failures = 1
                with (
                    datagrams_dropped(m.control.node),
                    mock.patch.object(m.control.node.gossip.members, "others", list),
                ):
                    self.assertEqual(
                        await post_heartbeat(m, m.stub_endpoints[0], "draining", m.control_ip, m.port + 2), 503
                    )

        run(test)

    @params(
        ("alone", ReceiptQuorum(frozenset(), 1, "", frozenset()), "", 9.0, False),
        ("too few control nodes", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("k")), "ak", 9.0, False),
        ("control nodes and own sidecar", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")), "abk", 0.0, True),
        ("own sidecar is waited for", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")), "abl", 0.0, False),
        (
            "own sidecar has not confirmed in time",
            ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")),
            "abl",
            SIDECAR_PREFERENCE_PERIOD,
            True,
        ),
        (
            "another sidecar has to confirm instead",
            ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("kl")),
            "ab",
            9.0,
            False,
        ),
        ("own sidecar is dead", ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("lm")), "abm", 0.0, True),
        (
            "sidecars don't count as control nodes",
            ReceiptQuorum(frozenset("abc"), 2, "k", frozenset("klm")),
            "aklm",
            9.0,
            False,
        ),
        ("no losses to tolerate", ReceiptQuorum(frozenset(), 0, "", frozenset()), "", 0.0, True),
    )
    def test_receipt_quorum(
        self, name: str, quorum: ReceiptQuorum, received: str, waited: float, expected: bool
    ) -> None:
        self.assertIs(quorum.is_reached(received, waited), expected, name)


class FinalAnnouncements(unittest.TestCase):
    """A drain or departure that an endpoint has announced is final."""

    @params("sidecar", "core")
    def test_later_ready_heartbeat_after_a_drain_is_ignored(self, at: str) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                app = m.stub_endpoints[0]
                self.assertEqual(await m.send_heartbeat(0, "draining"), 200)
                ip, port = (m.ips[0], m.port + 4) if at == "sidecar" else (m.control_ip, m.port + 2)
                self.assertEqual(await post_heartbeat(m, app, "ready", ip, port), 200)
                record = known_record(m, app)
                assert record is not None
                self.assertEqual(record.rank, EndpointPhase.DRAINING)
                self.assertFalse(m.sidecars[0].ingress.is_open)

        run(test)

    def test_delayed_heartbeat_after_declared_gone(self) -> None:
        """Only a heartbeat sent after the last one received shows that the endpoint is alive."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                app, sidecar = m.stub_endpoints[0], m.sidecars[0]
                for _ in range(5):  # they change no state, so they are not gossiped
                    self.assertEqual(await m.send_heartbeat(0), 200)
                sidecar.local_endpoint.declare_gone(app.id)
                app.seq -= 2
                self.assertEqual(await m.send_heartbeat(0), 200)  # delayed in transit
                self.assertFalse(sidecar.ingress.is_open)
                app.seq += 1
                self.assertEqual(await m.send_heartbeat(0), 200)
                self.assertTrue(sidecar.ingress.is_open)
                await wait_until(lambda: (r := known_record(m, app)) is not None and r.rank == EndpointPhase.READY)

        run(test)

    def test_silent_draining_endpoint_is_gone_for_good(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                app, sidecar = m.stub_endpoints[0], m.sidecars[0]
                self.assertEqual(await m.send_heartbeat(0, "draining"), 200)
                sidecar.local_endpoint.declare_gone(app.id)
                self.assertEqual(await m.send_heartbeat(0), 200)
                self.assertFalse(sidecar.ingress.is_open)
                self.assertEqual(await m.send_heartbeat(0, "draining"), 200)
                await wait_until(
                    lambda: (
                        (r := known_record(m, app)) is not None
                        and r.rank == EndpointPhase.GONE
                        and r.seq == DEPARTED_SEQ
                    )
                )

        run(test)

    def test_stalled_sidecar_reads_heartbeats_before_failure_detection(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                sidecar, app = m.sidecars[0], m.stub_endpoints[0]
                for stalled_for in (20.0, 0.0):  # how long the process stalled; if not, the endpoint was silent
                    sidecar.local_endpoint.heartbeat_at -= 20.0
                    sidecar.local_endpoint.checked_at -= stalled_for
                    sidecar.local_endpoint.check_heartbeats()  # before the received data is read
                    self.assertEqual(sidecar.ingress.endpoint, app.id if stalled_for else "")
                    self.assertLessEqual(sidecar.local_endpoint.heartbeat_at, sidecar.loop.time())

        run(test)

    def test_sidecar_refutes_that_its_endpoint_is_gone(self) -> None:
        """The sidecar refutes the record without waiting for the next heartbeat."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                for _ in range(3):
                    self.assertEqual(await m.send_heartbeat(0), 200)
                known = known_record(m, m.stub_endpoints[0])
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
                await wait_until(
                    lambda: (r := known_record(m, m.stub_endpoints[0])) is not None and r.rank == EndpointPhase.READY
                )
                self.assertTrue(m.sidecars[0].ingress.is_open)

        run(test)

    def test_endpoint_claimed_to_be_on_the_wrong_machine(self) -> None:
        """A process that was partitioned gossips an endpoint again whose end all others have forgotten."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                known = known_record(m, m.stub_endpoints[0])
                assert known is not None
                m.control.node.broadcast(Record(kind=2, id="i-long-gone", seq=9, body=known.body))
                sidecar = m.sidecars[0]
                await wait_until(lambda: "i-long-gone" in sidecar.local_endpoint.claimed_since)
                self.assertEqual(await m.send_heartbeat(0), 200)
                sidecar.local_endpoint.claimed_since["i-long-gone"] -= 20.0
                sidecar.local_endpoint.check_heartbeats()
                records = m.control.node.gossip.records
                await wait_until(
                    lambda: (
                        (r := records.get(RecordKind.ENDPOINT, "i-long-gone")) is not None
                        and r.rank == EndpointPhase.GONE
                    )
                )
                self.assertTrue(sidecar.ingress.is_open)

        run(test)

    def test_heartbeat_read_before_the_first_check_after_a_stall(self) -> None:
        """Correcting for the stall must not move the heartbeat into the future, which would delay failure detection."""

        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                local_endpoint = m.sidecars[0].local_endpoint
                local_endpoint.checked_at -= 20.0
                self.assertEqual(await m.send_heartbeat(0), 200)
                local_endpoint.check_heartbeats()
                self.assertLessEqual(local_endpoint.heartbeat_at, m.sidecars[0].loop.time())

        run(test)

    @params(
        ("a drain", None, (5, EndpointPhase.DRAINING), (5, EndpointPhase.DRAINING, 0)),
        ("a delayed drain", endpoint(seq=9, life=2), (5, EndpointPhase.DRAINING), (9, EndpointPhase.DRAINING, 2)),
        (
            "a repeated drain",
            endpoint(seq=5, rank=EndpointPhase.DRAINING),
            (7, EndpointPhase.DRAINING),
            (5, EndpointPhase.DRAINING, 0),
        ),
        (
            "a drain after a departure",
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
            "a drain after it was declared gone",
            endpoint(seq=5, rank=EndpointPhase.GONE),
            (7, EndpointPhase.DRAINING),
            (DEPARTED_SEQ, EndpointPhase.GONE, 0),
        ),
    )
    def test_superseding_record(
        self, name: str, known: Record | None, announced: tuple[int, int], expected: tuple[int, int, int]
    ) -> None:
        record = superseding_record(known, endpoint(seq=announced[0], rank=announced[1]))
        self.assertEqual((record.seq, record.rank, record.incarnation), expected, name)

    @params(
        ("unknown endpoint", None, 1, True),
        ("known", endpoint(seq=1), 2, False),
        ("late", endpoint(seq=3), 2, False),
        ("it is draining", endpoint(seq=3, rank=EndpointPhase.DRAINING), 9, False),
        ("it has departed", endpoint(seq=DEPARTED_SEQ, rank=EndpointPhase.GONE), 9, False),
        ("declared gone before", endpoint(seq=3, rank=EndpointPhase.GONE), 4, True),
        ("declared gone since", endpoint(seq=3, rank=EndpointPhase.GONE), 3, False),
    )
    def test_heartbeat_changes_state(self, name: str, known: Record | None, seq: int, expected: bool) -> None:
        self.assertIs(changes_state(known, endpoint(seq=seq)), expected, name)


if __name__ == "__main__":
    unittest.main()
