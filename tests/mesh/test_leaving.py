"""Endpoints, sidecars and settings that leave or change while requests run."""

from __future__ import annotations

import asyncio
import json
import os
import unittest
from pathlib import Path
from unittest import mock

from mesh.cluster import Mesh, config, run, until
from zinclever.mesh import cli
from zinclever.mesh.attempt_outcome import AttemptOutcome
from zinclever.mesh.dataplane.admission import IngressAdmission
from zinclever.mesh.membership.records import RecordKey, RecordKind
from zinclever.mesh.roles import sidecar
from zinclever.mesh.transport.mesh_pb2 import ForwardReply, ForwardRequest


class Leaving(unittest.TestCase):
    def test_a_drained_endpoint_gets_nothing_more(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                self.assertEqual(await m.beat(0, "draining"), 200)
                for _ in range(20):  # from the first on, whoever knows of it
                    self.assertEqual((await m.ask("/one/unsafe/x", "POST", 2))[0], 200)
                self.assertEqual(len(m.stub_endpoints[0].received_requests), 0)
                m.stub_endpoints[0].seq = 0
                self.assertEqual(await m.beat(0), 200)  # a late beat
                self.assertFalse(m.sidecars[0].ingress.is_open)

        run(test)

    def test_a_drain_told_to_the_core(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                app = m.stub_endpoints[0]
                status, _, _ = await m.call(
                    f"{m.control_ip}:{m.port + 2}",
                    "POST",
                    f"/v1/endpoints/{app.id}/heartbeat",
                    app.heartbeat_body("draining"),
                )
                self.assertEqual(status, 200)
                self.assertFalse(m.sidecars[0].ingress.is_open)  # its keeper knew before it was acknowledged

        run(test)

    def test_a_sidecar_told_to_end_finishes_what_runs(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                app, ending = m.stub_endpoints[0], m.sidecars[1]
                app.hold = asyncio.Event()
                asked = asyncio.ensure_future(m.ask("/one/unsafe/x", "POST", 1, b"body"))
                await until(lambda: app.received_requests)
                with mock.patch.object(sidecar, "MIN_DRAIN_PERIOD", 0.05):
                    stopped = asyncio.ensure_future(ending.stop(6.0))
                    await until(lambda: ending.is_stopping)
                    ready = await m.call(f"{m.ips[1]}:{m.port + 3}", "GET", "/v1/ready")
                    self.assertEqual(ready[0], 503)  # before anything else changes
                    self.assertFalse(asked.done() or stopped.done())
                    app.hold.set()
                    self.assertEqual((await asked)[0], 200)
                    await stopped

        run(test)

    def test_a_request_for_another_life_goes_nowhere(self) -> None:
        """Its address may be another service's by now."""

        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                m.stub_endpoints[0].id = "i-next"  # another life at the same address
                self.assertEqual(await m.beat(0), 200)
                told: list[ForwardReply] = []
                load = ForwardRequest(
                    endpoint=f"i-{m.stub_endpoints[0].address}", head=b"GET / HTTP/1.1\r\n", id="r", deadline_ms=1000
                )
                m.sidecars[0].ingress.submit(load, b"", told.append)
                self.assertEqual([y.outcome for y in told], [AttemptOutcome.NOT_EXECUTED])
                self.assertEqual(m.stub_endpoints[0].received_requests, [])

        run(test)

    def test_settings_that_change(self) -> None:
        """On SIGHUP, and without one; what can't be used changes nothing."""

        async def test() -> None:
            async with Mesh(["one"]) as m:
                role, path = m.sidecars[0], Path(m.folder.name) / "boot.json"
                watch = cli.SettingsWatcher(role, role.settings)
                told = {
                    "NodeName": "n",
                    "Role": "r",
                    "Ip": m.ips[0],
                    "Zone": "z",
                    "Serves": [],
                    "Bind": {},
                    "EphemeralPorts": [m.port, m.port + 1],
                    "SeedNodes": ["127.0.0.9:5"],
                }
                before = list(role.node.gossip.anti_entropy.seeds)
                with mock.patch.dict(os.environ, {"ZINCLEVER_BOOT": str(path)}):
                    path.write_text("{")
                    watch.check()
                    self.assertEqual(role.node.gossip.anti_entropy.seeds, before)
                    path.write_text(json.dumps(told))
                    watch.check()
                    self.assertEqual(role.node.gossip.anti_entropy.seeds, [("127.0.0.9", m.port + 1)])

        run(test)

    def test_after_a_standstill_the_module_is_the_meshs_still(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.serve()
                dispatcher = m.sidecars[0].clients.to("one").dispatcher
                dispatcher.resume_after_stall(True)  # what it does after standing still for a second
                self.assertIsInstance(dispatcher.balancer.admission, IngressAdmission)
                told = config("one", generation=2)
                told["Routes"]["one-safe"]["DeadlineS"] = 2.5  # a class that there was not
                self.assertEqual((await m.put(told, 1))[0], 200)
                await until(lambda: m.sidecars[0].node.active.generation == 2)
                self.assertEqual((await m.ask("/one/safe/x"))[0], 200)

        run(test)

    def test_an_endpoint_that_came_up_before_its_sidecar_was_known(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                app = m.stub_endpoints[0]
                for f in m.sidecars:  # as after a start of all: nobody knows the endpoint, nor who keeps it
                    f.node.gossip.records.by_key.pop(RecordKey(RecordKind.ENDPOINT, app.id))
                body = app.heartbeat_body()
                record = m.control.node.gossip.records
                record.by_key.pop(RecordKey(RecordKind.ENDPOINT, app.id))
                m.control.endpoint_api.sidecar_at = lambda address: ""  # type: ignore[method-assign]
                await m.call(f"{m.control_ip}:{m.port + 2}", "POST", f"/v1/endpoints/{app.id}/heartbeat", body)
                self.assertEqual(await m.beat(0), 200)
                await until(
                    lambda: (
                        (r := record.get(RecordKind.ENDPOINT, app.id)) is not None
                        and m.sidecars[0].node.name.encode() in r.body
                    )
                )

        run(test)

    def test_a_departure_is_known_everywhere(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "one", "two"]) as m:
                await m.serve()
                app = m.stub_endpoints[0]
                status, _, _ = await m.call(f"{m.ips[0]}:{m.port + 4}", "POST", f"/v1/endpoints/{app.id}/departure")
                self.assertEqual(status, 200)
                await until(lambda: all(m.known(f) == 2 for f in m.sidecars))

        run(test)

    def test_news_of_a_leaving_sidecar_cuts_nothing(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.serve()
                await m.ask("/one/safe/x", at=1)
                address = (m.ips[0], m.port)
                line = m.sidecars[1].node.channel_to(address)
                line.open_calls[999] = lambda frame: None  # something is out on it
                m.sidecars[0].node.gossip.leave(m.sidecars[0].loop.time())
                m.sidecars[0].node.gossip_socket.flush()
                await until(lambda: (m.sidecars[1].node.gossip.members.state_of(m.sidecars[0].node.name) or 0) > 1)
                self.assertIsNotNone(line.connection)

        run(test)


if __name__ == "__main__":
    unittest.main()
