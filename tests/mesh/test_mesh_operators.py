"""Configuration changes and inspection calls of operators on a running mesh."""

from __future__ import annotations

import unittest
from pathlib import Path
from typing import Any

from mesh.cluster import Mesh, config, not_executed, run, wait_until
from zinclever.mesh.consensus.replica_store import read_stored_state
from zinclever.mesh.errors import MeshError
from zinclever.mesh.operator_cli.control_client import ControlRequest, call


class ConfigurationChanges(unittest.TestCase):
    def test_valid_changes_are_accepted_and_others_refused(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                invalid = config("one", generation=2)
                invalid["Routes"]["one-safe"]["Target"] = "nobody"
                cases: list[tuple[Any, int, int]] = [
                    (config("one", generation=1), 0, 200),  # repeated unchanged
                    (config("one", generation=2), 0, 412),
                    (config("one", generation=1), 1, 400),
                    (invalid, 1, 400),
                    (b'{"Generation"', 1, 400),
                    (config("one", generation=9), 1, 200),
                    (config("one", generation=3), 1, 412),
                ]
                for text, base, expected in cases:
                    self.assertEqual((await m.put_config(text, base))[0], expected, (text, base))
                status, _, body = await m.call(f"{m.control_ip}:{m.port + 2}", "GET", "/v1/config/read")
                self.assertEqual(status, 200)
                self.assertIn(b'"Generation":9', body)
                await wait_until(lambda: m.sidecars[0].node.active.generation == 9)

        run(test)

    def test_an_acknowledged_change_is_stored_on_disk(self) -> None:
        async def test() -> None:
            async with Mesh(["one"]) as m:
                await m.bring_up()
                stored = m.control.store.entry_file.load()
                assert stored is not None
                self.assertIn(b'"Generation":1', stored[b"change"])

        run(test)

    def test_requests_to_removed_routes_are_answered_404(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                self.assertEqual((await m.put_config(config("two", generation=2), 1))[0], 200)
                await wait_until(lambda: all(f.node.active.generation == 2 for f in m.sidecars))
                self.assertEqual((await m.send_request("/one/safe/x"))[0], 404)
                self.assertEqual((await m.send_request("/two/safe/x"))[0], 200)

        run(test)


class InspectionCalls(unittest.TestCase):
    """Calls of the control API through the client of the operator commands."""

    def test_nodes_endpoints_view_and_disk(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"]) as m:
                await m.bring_up()
                hosts, loop = [f"{m.control_ip}:{m.port + 2}"], m.control.loop

                async def get(path: str) -> Any:
                    response = await loop.run_in_executor(None, call, hosts, ControlRequest("GET", path))
                    self.assertEqual(response.status, 200)
                    return response.json()

                nodes = (await get("/v1/mesh/who"))["Nodes"]
                self.assertEqual([node["Standing"] for node in nodes], ["live"] * 3)
                self.assertEqual([e["Phase"] for e in (await get("/v1/mesh/endpoints"))["Endpoints"]], ["ready"] * 2)
                view = await get("/v1/mesh/view")
                self.assertEqual((view["Role"], view["Generation"], len(view["Voters"])), ("LEADER", 1, 1))
                self.assertEqual((view["Disk"]["repaired"], view["Disk"]["refused"]), (0, 0))
                self.assertEqual((view["Disk"]["unmarked"], view["Texts"]["given_up"]), (0, 0))
                state = read_stored_state(Path(m.folder.name) / "disk")
                assert state.entry is not None
                self.assertEqual((state.disk, state.entry.generation), (view["Leader"], 1))

        run(test)

    def test_explain_names_the_attempts_of_a_refused_request(self) -> None:
        async def test() -> None:
            async with Mesh(["one", "two"], {0: not_executed}) as m:
                await m.bring_up()
                self.assertEqual((await m.send_request("/one/unsafe/x", "POST", 1, X_Attempt_Id="r-asked"))[0], 503)
                hosts, loop = [f"{m.control_ip}:{m.port + 2}"], m.control.loop
                request = ControlRequest("GET", "/v1/mesh/requests/r-asked")
                response = await loop.run_in_executor(None, call, hosts, request)
                self.assertEqual(response.status, 200)
                (found,) = response.json()["Requests"]
                self.assertEqual((found["Status"], found["Target"]), (503, "one"))
                self.assertIn(f"{m.stub_endpoints[0].id}: turned away", found["Tries"])
                response = await loop.run_in_executor(None, call, hosts, ControlRequest("GET", "/v1/mesh/requests/r-0"))
                self.assertEqual((response.status, response.json()["Error"]["Code"]), (404, "REQUEST_UNKNOWN"))

        run(test)

    def test_unreachable_control_nodes_are_listed_in_the_error(self) -> None:
        with self.assertRaises(MeshError) as caught:
            call(["127.0.0.1:1", "127.0.0.2:1"], ControlRequest("GET", "/v1/mesh/who"))
        self.assertEqual(caught.exception.code, "NOBODY_ANSWERS")
        self.assertIn("127.0.0.2:1", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
