"""The whole path on real sockets: what clients, endpoints and operators see."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from mesh.cases import params
from mesh.cluster import Mesh, Plan, away, good, run, until
from zinclever.mesh.dataplane.ingress import Ingress
from zinclever.mesh.roles.forward_server import ForwardServer, InboundForward
from zinclever.mesh.transport.channel import Channel
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import ForwardRequest


def other_id(headers: dict[str, str]) -> bytes:
    return good({"x-attempt-id": "another"})


def surplus(headers: dict[str, str]) -> bytes:
    return good(headers) + good({"x-attempt-id": "another"})


def short(headers: dict[str, str]) -> bytes:
    return good(headers)[:-2].replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


def no_seal(headers: dict[str, str]) -> bytes:
    return good(headers).replace(b"X-Server-Seal: s\r\n", b"")


def coded(headers: dict[str, str]) -> bytes:
    return good(headers).replace(b"X-Server-Seal", b"Content-Encoding: gzip\r\nX-Server-Seal")


def noise(headers: dict[str, str]) -> bytes:
    return b"\x00\x01not HTTP at all\r\n\r\n"


def silence(headers: dict[str, str]) -> None:
    return None


def failed(headers: dict[str, str]) -> bytes:
    return good(headers).replace(b"200 OK", b"500 Error")


class OneEndpoint(unittest.TestCase):
    """What an endpoint does, what the client gets, how often it ran."""

    @params(
        ("good", good, "unsafe", 200, 1),
        ("good", good, "safe", 200, 1),
        ("an answer to another request", other_id, "unsafe", 502, 1),
        ("a surplus answer behind", surplus, "unsafe", 200, 1),
        ("without the seal", no_seal, "unsafe", 502, 1),
        ("with an encoding", coded, "unsafe", 502, 1),
        ("bytes that are no answer", noise, "unsafe", 502, 1),
        ("closed without a word", silence, "unsafe", 502, 1),
        ("its own failure", failed, "unsafe", 500, 1),
        ("turned away", away, "unsafe", 503, 1),
    )
    def test_answers(self, name: str, plan: Plan, kind: str, status: int, runs: int) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"], {0: plan}) as m:
                await m.serve()
                # Beside the endpoint, over a hop, and over a hop with a body that knocks.
                for at, sent in ((0, b"body"), (1, b"body"), (1, b"body" * 1000)):
                    before = m.runs()
                    got, headers, body = await m.ask(f"/one/{kind}/x", "POST", at, sent)
                    self.assertEqual(got, status, name)
                    self.assertEqual(m.runs() - before, runs, name)
                    if got == 200:
                        self.assertEqual((body, headers["x-server-seal"]), (b"made", "s"))
                    elif got == 503:
                        self.assertGreater(float(headers["retry-after"]), 0.0)

        run(test)

    def test_what_the_endpoint_gets(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                body = bytes(range(256)) * 1200  # in several pieces over the hop
                got, _, _ = await m.ask(
                    "/one/unsafe/x?a=%20b&c",
                    "PUT",
                    1,
                    body,
                    X_Caller_Service="forged",
                    X_Expected_Endpoint="forged",
                    X_Other="kept",
                    Connection="X-Hop",
                    X_Hop="dropped",
                )
                self.assertEqual(got, 200)
                start, headers, came = m.stub_endpoints[0].received_requests[0]
                self.assertEqual(start, "PUT /one/unsafe/x?a=%20b&c HTTP/1.1")
                self.assertEqual(came, body)
                self.assertEqual(headers["x-caller-service"], "two")
                self.assertEqual(headers["x-expected-endpoint"], m.stub_endpoints[0].id)
                self.assertEqual((headers["x-other"], headers.get("x-hop")), ("kept", None))
                self.assertLessEqual(int(headers["x-deadline-ms"]), 3000)

        run(test)

    def test_a_large_answer(self) -> None:
        async def test() -> None:
            made = b"0123456789" * 50_000
            async with Mesh(["one", "two"], {0: lambda h: good(h, made)}) as m:
                await m.serve()
                for at in (0, 1):
                    self.assertEqual((await m.ask("/one/safe/x", at=at))[2], made)

        run(test)

    @params(
        ("/one/safe/x", {}, 200),
        ("/none/", {}, 404),
        ("/one/", {}, 404),
        ("/one/safe/x", {"Host": "b"}, 404),
        ("/one/safe/x", {"X_Attempt_Id": ""}, 400),
    )
    def test_routes(self, path: str, headers: dict[str, Any], status: int) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.serve()
                self.assertEqual((await m.ask(path, **headers))[0], status)

        run(test)


class TwoEndpoints(unittest.TestCase):
    @params(
        ("safe", silence, 200, 2),
        ("unsafe", silence, 502, 1),
        ("safe", failed, 200, 2),
        ("unsafe", failed, 500, 1),
        ("safe", away, 200, 2),
        ("unsafe", away, 200, 2),
        ("unsafe", other_id, 502, 1),
        ("safe", other_id, 200, 2),
    )
    def test_goes_on_only_where_it_may(self, kind: str, first: Plan, status: int, seen: int) -> None:
        """The first that has it does harm, the other is well."""

        async def test() -> None:
            had: list[str] = []

            def plan(headers: dict[str, str]) -> bytes | None:
                had.append(headers["x-attempt-id"])
                return first(headers) if len(had) == 1 else good(headers)

            for body in (b"body", b"body" * 1000):
                had.clear()
                async with Mesh(["one", "one", "two"], {0: plan, 1: plan}) as m:
                    await m.serve()
                    got, _, _ = await m.ask(f"/one/{kind}/x", "POST", 2, body)
                    self.assertEqual((got, len(had)), (status, seen))

        run(test)


class Returned(unittest.TestCase):
    def test_one_that_was_refused_before_waits_for_nobody(self) -> None:
        """At a keeper whose turns are all taken for a moment a first try waits, a further one is told at once."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                queue = m.sidecars[0].ingress.queue
                queue.mean_service_time, queue.busy = 0.05, queue.slots
                first = asyncio.ensure_future(m.ask("/one/unsafe/x", "POST", 1))
                await until(lambda: queue.waiting)
                got, headers, _ = await m.ask("/one/unsafe/x", "POST", 1, X_Deadline_Ms="2500")
                self.assertEqual((got, len(queue.waiting)), (503, 1))
                self.assertGreater(float(headers["retry-after"]), 0.1)
                queue.busy = 0
                m.sidecars[0].ingress.dispatch_queued()
                self.assertEqual((await first)[0], 200)

        run(test)


class Forgotten(unittest.TestCase):
    @params("safe", "unsafe")
    def test_an_idle_connection_that_the_endpoint_has_forgotten(self, kind: str) -> None:
        """Its reset comes before the last byte goes out: the request goes on at once on another connection."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                app, keeper = m.stub_endpoints[0], m.sidecars[0].ingress
                for at in (0, 1, 0, 1):
                    self.assertEqual((await m.ask(f"/one/{kind}/x", "POST", at, b"body"))[0], 200)
                    app.forgotten |= app.writers
                    for connection in keeper.pools.idle:
                        connection.heard_at -= 1.0  # it has been quiet for a while
                self.assertEqual((len(app.received_requests), app.resets), (4, 3))
                self.assertEqual(keeper.counts["dropped"], 3)

        run(test)


class Knocks(unittest.TestCase):
    """A body is sent once its keeper has room; until it is there its request can't run."""

    BODY = b"b" * 4000

    def test_nothing_of_it_goes_to_a_keeper_without_room(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                m.sidecars[0].ingress.queue.busy = 400
                with mock.patch.object(Channel, "send_on_call", autospec=True) as sent:
                    got, headers, _ = await m.ask("/one/unsafe/x", "POST", 1, self.BODY)
                self.assertEqual((got, m.runs(), sent.call_count), (503, 0, 0))
                self.assertGreater(float(headers["retry-after"]), 0.0)
                self.assertFalse(m.sidecars[0].forward_server.open)

        run(test)

    @params(("before it may come", "on_request", 200, 1), ("behind its last byte", "submit", 502, 0))
    def test_the_link_is_lost(self, name: str, at: str, status: int, ran: int) -> None:
        """An unsafe request goes on to the other endpoint only where it can't have run at the first."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                lost: list[FramedConnection] = []

                def lose(self: ForwardServer, *told: Any) -> None:
                    """The first link that has come so far ends; all others go on."""
                    link = told[0] if at == "on_request" else told[1].connection
                    if lost:
                        whole(self, *told)
                    else:
                        lost.append(link)
                        link.abort()

                whole = getattr(ForwardServer, at)
                with mock.patch.object(ForwardServer, at, lose):
                    for f in m.sidecars:  # handlers are bound at the start
                        f.node.frame_handlers["forward_request"] = f.forward_server.on_request
                    got, _, _ = await m.ask("/one/unsafe/x", "POST", 2, self.BODY)
                self.assertEqual((got, m.runs()), (status, ran))

        run(test)

    def test_bodies_on_their_way_in_are_bounded_in_sum(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                keeping = m.sidecars[0]
                coming = ForwardRequest(
                    endpoint=m.stub_endpoints[0].id, length=60 << 20, reserve_first=True, deadline_ms=1000
                )
                keeping.forward_server.open[(mock.Mock(), 1)] = InboundForward(mock.Mock(), coming, 0.0)
                self.assertEqual((await m.ask("/one/unsafe/x", "POST", 1, b"b" * (8 << 20)))[0], 503)
                self.assertEqual((await m.ask("/one/unsafe/x", "POST", 1, self.BODY))[0], 200)

        run(test)

    def test_a_keeper_of_the_version_before_gets_bodies_as_it_did(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                with mock.patch.dict(m.sidecars[1].node.protocol_versions, {(m.ips[0], m.port): 0}):
                    for size in (5, 4000, 300_000):
                        with mock.patch.object(Ingress, "refusal", side_effect=AssertionError):
                            self.assertEqual((await m.ask("/one/unsafe/x", "POST", 1, b"b" * size))[0], 200)
                        self.assertEqual(len(m.stub_endpoints[0].received_requests[-1][2]), size)

        run(test)


if __name__ == "__main__":
    unittest.main()
