"""Endpoints that execute a request before its body is complete: it is executed once, and callers are told the truth."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from collections import Counter

from mesh.cases import params
from mesh.cluster import Mesh, run
from mesh.early_endpoint import EarlyEndpoint, Way
from zinclever.mesh.dataplane.inbound_request import QUIET_PERIOD

SIZES = (0, 1, 600, 70_000, 8 << 20)  # bytes; the last one is more than the kernels on both sides buffer
ENDED_BY_ENDPOINT = 502
MAX_ATTEMPTS = 2  # of the routes of cluster.config


class EarlyMesh(Mesh):
    """Two sidecars, of which only the second has an endpoint of the service ``s``, in one way."""

    def __init__(self, way: Way) -> None:
        super().__init__(["other", "s"])
        self.endpoint = EarlyEndpoint(self.stub_endpoints[1].address, "s", way)
        self.stub_endpoints[1] = self.endpoint

    async def open_connection(self, sidecar: int) -> None:
        """Let the ingress have a connection to the endpoint, which is silent for longer than the quiet period."""
        self.endpoint.read_first.add(request := f"first-{sidecar}")
        status, _, _ = await self.send_request("/s/unsafe/", "POST", sidecar, b"x", X_Attempt_Id=request)
        assert status == 200, status
        await asyncio.sleep(1.5 * QUIET_PERIOD)


class EarlyExecution(unittest.TestCase):
    @params(*Way)
    def test_executed_once(self, way: Way) -> None:
        """Guards against review/4: "the last byte was not sent" was taken as proof that nothing was executed.

        Sent on a new connection and on a quiet one, whose last byte is held back; beside the endpoint and over a hop.
        """

        async def test() -> None:
            async with EarlyMesh(way) as mesh:
                await mesh.bring_up()
                for sidecar, is_quiet, size in itertools.product((0, 1), (False, True), SIZES):
                    if is_quiet:
                        await mesh.open_connection(sidecar)
                    request = f"{sidecar}-{is_quiet}-{size}"
                    status, _, body = await mesh.send_request(
                        "/s/unsafe/", "POST", sidecar, bytes(size), X_Attempt_Id=request
                    )
                    with self.subTest(request=request):
                        self.assertEqual(mesh.endpoint.executions[request], 1)
                        if way.loses_answer:
                            self.assertEqual(status, ENDED_BY_ENDPOINT)
                        elif way is not Way.ANSWER_AND_CLOSE:  # its answer may be lost by the reset behind it
                            self.assertEqual((status, body), (200, b"made"))

        run(test)

    @params(Way.RESET_AT_HEAD, Way.RESET_IN_BODY)
    def test_idempotent_request_is_executed_within_its_limit(self, way: Way) -> None:
        async def test() -> None:
            async with EarlyMesh(way) as mesh:
                await mesh.bring_up()
                for size in SIZES:
                    request = f"r-{size}"
                    await mesh.send_request("/s/safe/", "POST", 0, bytes(size), X_Attempt_Id=request)
                    self.assertIn(mesh.endpoint.executions[request], range(1, MAX_ATTEMPTS + 1))

        run(test)

    def test_concurrent_requests_keep_their_answers(self) -> None:
        """Answers that come before the body is sent belong to their request, also on the connections used after it."""

        async def test() -> None:
            async with EarlyMesh(Way.ANSWER_EARLY) as mesh:
                await mesh.bring_up()
                sizes = [size for size in SIZES if size] * 4
                answers = await asyncio.gather(
                    *(
                        mesh.send_request("/s/unsafe/", "POST", n % 2, bytes(size), X_Attempt_Id=f"c-{n}")
                        for n, size in enumerate(sizes)
                    )
                )
                statuses = Counter(status for status, _, _ in answers)
                for n, (status, headers, _) in enumerate(answers):
                    executions = mesh.endpoint.executions[f"c-{n}"]
                    with self.subTest(n=n, status=status):
                        self.assertEqual(executions, 1 if status == 200 else 0)
                        self.assertEqual(headers.get("x-attempt-id", f"c-{n}"), f"c-{n}")
                self.assertLessEqual(set(statuses), {200, 503})
                self.assertGreater(statuses[200], 0)

        run(test)


if __name__ == "__main__":
    unittest.main()
