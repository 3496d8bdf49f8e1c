"""End-to-end tests of requests through the mesh over real sockets."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from mesh.cases import params
from mesh.cluster import Mesh, Responder, config, not_executed, ok_response, run, wait_until
from zinclever.mesh.dataplane.ingress import Ingress
from zinclever.mesh.roles.forward_server import ForwardServer, InboundForward
from zinclever.mesh.transport.channel import Channel
from zinclever.mesh.transport.framed_connection import FramedConnection
from zinclever.mesh.transport.mesh_pb2 import ForwardRequest


def other_request_id(headers: dict[str, str]) -> bytes:
    return ok_response({"x-attempt-id": "another"})


def extra_response(headers: dict[str, str]) -> bytes:
    return ok_response(headers) + ok_response({"x-attempt-id": "another"})


def truncated_response(headers: dict[str, str]) -> bytes:
    return ok_response(headers)[:-2].replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


def missing_seal(headers: dict[str, str]) -> bytes:
    return ok_response(headers).replace(b"X-Server-Seal: s\r\n", b"")


def content_encoding(headers: dict[str, str]) -> bytes:
    return ok_response(headers).replace(b"X-Server-Seal", b"Content-Encoding: gzip\r\nX-Server-Seal")


def invalid_http(headers: dict[str, str]) -> bytes:
    return b"\x00\x01not HTTP at all\r\n\r\n"


def closed_connection(headers: dict[str, str]) -> None:
    return None


def server_error(headers: dict[str, str]) -> bytes:
    return ok_response(headers).replace(b"200 OK", b"500 Error")


class HeadLimit(unittest.TestCase):
    # Guards against a limit on the head of a request that isn't that of the configuration.
    @params(
        ("within a small limit", 2048, 1024, 200),
        ("above a small limit", 2048, 3 * 1024, 431),
        ("within a large limit", 60 * 1024, 50 * 1024, 200),
        ("above a large limit", 60 * 1024, 70 * 1024, 431),
    )
    def test_limit_of_the_configuration(self, name: str, limit: int, header: int, status: int) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                await m.put_until_definite({**config("one", generation=2), "Limits": {"MaxHeaderBytes": limit}}, 1)
                await wait_until(lambda: m.sidecars[0].node.active.generation == 2)
                answer, _, _ = await m.send_request("/one/unsafe/x", "POST", body=b"body", X_Fill="x" * header)
                self.assertEqual(answer, status)

        run(test)


class OneEndpoint(unittest.TestCase):
    """The response of the endpoint, the status that the client receives, and the number of executions."""

    @params(
        ("good", ok_response, "unsafe", 200, 1),
        ("good", ok_response, "safe", 200, 1),
        ("a response to another request", other_request_id, "unsafe", 502, 1),
        ("an extra response", extra_response, "unsafe", 200, 1),
        ("a missing seal", missing_seal, "unsafe", 502, 1),
        ("a content encoding", content_encoding, "unsafe", 502, 1),
        ("invalid HTTP", invalid_http, "unsafe", 502, 1),
        ("a closed connection", closed_connection, "unsafe", 502, 1),
        ("a server error", server_error, "unsafe", 500, 1),
        ("not executed", not_executed, "unsafe", 503, 1),
    )
    def test_responses_of_an_endpoint(
        self, name: str, responder: Responder, kind: str, status: int, executed_requests: int
    ) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"], {0: responder}) as m:
                await m.bring_up()
                # At the endpoint's own sidecar; forwarded; and forwarded with a body that needs a reservation.
                for at, request_body in ((0, b"body"), (1, b"body"), (1, b"body" * 1000)):
                    before = m.executed_requests()
                    received_status, headers, body = await m.send_request(f"/one/{kind}/x", "POST", at, request_body)
                    self.assertEqual(received_status, status, name)
                    self.assertEqual(m.executed_requests() - before, executed_requests, name)
                    if received_status == 200:
                        self.assertEqual((body, headers["x-server-seal"]), (b"made", "s"))
                    elif received_status == 503:
                        self.assertGreater(float(headers["retry-after"]), 0.0)

        run(test)

    def test_the_request_that_the_endpoint_receives(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                body = bytes(range(256)) * 1200  # forwarded in several chunks
                status, _, _ = await m.send_request(
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
                self.assertEqual(status, 200)
                start, headers, received_body = m.stub_endpoints[0].received_requests[0]
                self.assertEqual(start, "PUT /one/unsafe/x?a=%20b&c HTTP/1.1")
                self.assertEqual(received_body, body)
                self.assertEqual(headers["x-caller-service"], "two")
                self.assertEqual(headers["x-expected-endpoint"], m.stub_endpoints[0].id)
                self.assertEqual((headers["x-other"], headers.get("x-hop")), ("kept", None))
                self.assertLessEqual(int(headers["x-deadline-ms"]), 3000)

        run(test)

    def test_a_large_response(self) -> None:
        async def test() -> None:
            response_body = b"0123456789" * 50_000
            async with Mesh(["one", "two"], {0: lambda headers: ok_response(headers, response_body)}) as m:
                await m.bring_up()
                for at in (0, 1):
                    self.assertEqual((await m.send_request("/one/safe/x", sidecar_index=at))[2], response_body)

        run(test)

    @params(
        ("/one/safe/x", {}, 200),
        ("/none/", {}, 404),
        ("/one/", {}, 404),
        ("/one/safe/x", {"Host": "b"}, 404),
        ("/one/safe/x", {"X_Attempt_Id": ""}, 400),
    )
    def test_status_by_route_and_headers(self, path: str, headers: dict[str, Any], status: int) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                self.assertEqual((await m.send_request(path, **headers))[0], status)

        run(test)


class TwoEndpoints(unittest.TestCase):
    @params(
        ("safe", closed_connection, 200, 2),
        ("unsafe", closed_connection, 502, 1),
        ("safe", server_error, 200, 2),
        ("unsafe", server_error, 500, 1),
        ("safe", not_executed, 200, 2),
        ("unsafe", not_executed, 200, 2),
        ("unsafe", other_request_id, 502, 1),
        ("safe", other_request_id, 200, 2),
    )
    def test_a_request_is_retried_only_if_that_is_safe(
        self, kind: str, first_responder: Responder, status: int, attempts: int
    ) -> None:
        """The first endpoint that receives the request fails, the other one succeeds."""

        async def test() -> None:
            received: list[str] = []

            def responder(headers: dict[str, str]) -> bytes | None:
                received.append(headers["x-attempt-id"])
                return first_responder(headers) if len(received) == 1 else ok_response(headers)

            for body in (b"body", b"body" * 1000):
                received.clear()
                async with Mesh(["one", "one", "two"], {0: responder, 1: responder}) as m:
                    await m.bring_up()
                    received_status, _, _ = await m.send_request(f"/one/{kind}/x", "POST", 2, body)
                    self.assertEqual((received_status, len(received)), (status, attempts))

        run(test)


class RetriedRequests(unittest.TestCase):
    def test_a_retried_request_does_not_queue(self) -> None:
        """At a sidecar without a free slot a first attempt queues, and a further attempt is refused at once."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                queue = m.sidecars[0].ingress.queue
                queue.mean_service_time, queue.busy = 0.05, queue.slots
                queued = asyncio.ensure_future(m.send_request("/one/unsafe/x", "POST", 1))
                await wait_until(lambda: queue.waiting)
                status, headers, _ = await m.send_request("/one/unsafe/x", "POST", 1, X_Deadline_Ms="2500")
                self.assertEqual((status, len(queue.waiting)), (503, 1))
                self.assertGreater(float(headers["retry-after"]), 0.1)
                queue.busy = 0
                m.sidecars[0].ingress.dispatch_queued()
                self.assertEqual((await queued)[0], 200)

        run(test)


class HalfOpenConnections(unittest.TestCase):
    @params("safe", "unsafe")
    def test_an_idle_connection_that_the_endpoint_resets(self, kind: str) -> None:
        """The reset arrives before the last byte is sent, so the request is sent again on another connection."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                app, ingress = m.stub_endpoints[0], m.sidecars[0].ingress
                for at in (0, 1, 0, 1):
                    self.assertEqual((await m.send_request(f"/one/{kind}/x", "POST", at, b"body"))[0], 200)
                    app.half_open |= app.writers
                    for connection in ingress.pools.idle:
                        connection.heard_at -= 1.0  # idle for a second
                self.assertEqual((len(app.received_requests), app.resets), (4, 3))
                self.assertEqual(ingress.counts["dropped"], 3)

        run(test)


class Reservations(unittest.TestCase):
    """A body is sent after the endpoint's sidecar has granted a reservation; the request cannot run before."""

    BODY = b"b" * 4000

    def test_no_body_is_sent_without_a_reservation(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                m.sidecars[0].ingress.queue.busy = 400
                with mock.patch.object(Channel, "send_on_call", autospec=True) as sent:
                    status, headers, _ = await m.send_request("/one/unsafe/x", "POST", 1, self.BODY)
                self.assertEqual((status, m.executed_requests(), sent.call_count), (503, 0, 0))
                self.assertGreater(float(headers["retry-after"]), 0.0)
                self.assertFalse(m.sidecars[0].forward_server.open)

        run(test)

    @params(("before the reservation", "on_request", 200, 1), ("after the last byte", "submit", 502, 0))
    def test_a_lost_link(self, name: str, method: str, status: int, executions: int) -> None:
        """An unsafe request is retried at the other endpoint only if it cannot have been executed at the first."""

        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.bring_up()
                aborted: list[FramedConnection] = []

                def abort_first(self: ForwardServer, *args: Any) -> None:
                    """Abort the first connection that reaches this method; the others continue."""
                    connection = args[0] if method == "on_request" else args[1].connection
                    if aborted:
                        original(self, *args)
                    else:
                        aborted.append(connection)
                        connection.abort()

                original = getattr(ForwardServer, method)
                with mock.patch.object(ForwardServer, method, abort_first):
                    for sidecar in m.sidecars:  # the handlers were bound at the start
                        sidecar.node.frame_handlers["forward_request"] = sidecar.forward_server.on_request
                    received_status, _, _ = await m.send_request("/one/unsafe/x", "POST", 2, self.BODY)
                self.assertEqual((received_status, m.executed_requests()), (status, executions))

        run(test)

    # The second case guards against complete bodies that wait for a slot and exceed the memory (review, memory).
    @params(("incoming", False), ("complete", True))
    def test_bodies_are_limited_in_total(self, name: str, is_complete: bool) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                sidecar = m.sidecars[0]
                incoming = ForwardRequest(
                    endpoint=m.stub_endpoints[0].id, length=60 << 20, reserve_first=True, deadline_ms=1000
                )
                inbound = InboundForward(mock.Mock(), incoming, 0.0)
                inbound.missing_bytes *= not is_complete
                sidecar.forward_server.open[(mock.Mock(), 1)] = inbound
                self.assertEqual((await m.send_request("/one/unsafe/x", "POST", 1, b"b" * (8 << 20)))[0], 503)
                self.assertEqual((await m.send_request("/one/unsafe/x", "POST", 1, self.BODY))[0], 200)

        run(test)

    def test_a_sidecar_of_an_earlier_version_gets_bodies_without_a_reservation(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                with mock.patch.dict(m.sidecars[1].node.protocol_versions, {(m.ips[0], m.port): 0}):
                    for size in (5, 4000, 300_000):
                        with mock.patch.object(Ingress, "refusal", side_effect=AssertionError):
                            self.assertEqual((await m.send_request("/one/unsafe/x", "POST", 1, b"b" * size))[0], 200)
                        self.assertEqual(len(m.stub_endpoints[0].received_requests[-1][2]), size)

        run(test)


if __name__ == "__main__":
    unittest.main()
