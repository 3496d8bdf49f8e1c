"""Commands for operators.

Most take the ``host:port`` addresses of control nodes. Each returns the exit status 0. If a call fails or is refused,
:class:`..errors.MeshError` is raised: the exit status is 1, and one line shows the code, the field and the reason.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..configuration.document import parse
from ..consensus.replica_store import StoredState, read_stored_state
from ..errors import MeshError
from ..transport.mesh_pb2 import LogEntry
from .control_client import CHANGE_TIMEOUT, UNAVAILABLE, ControlRequest, call
from .tables import print_json, show


def who(*core: str, json: bool = False) -> int:
    """List the nodes of the mesh; for suspected and dead ones, which node declared them so and why.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", "/v1/mesh/who")).json_or_raise()
    rows = [
        (
            node["Name"],
            node["Standing"],
            node["Role"],
            node["Zone"],
            node["Address"],
            f"{node['By']}: {node['Why']}" if "Why" in node else "",
        )
        for node in answer["Nodes"]
    ]
    show(answer, json, ("name", "state", "role", "zone", "address", "declared by"), rows)
    return 0


def endpoints(*core: str, json: bool = False) -> int:
    """List the known endpoints, each with its sidecar.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", "/v1/mesh/endpoints")).json_or_raise()
    keys = ("Id", "Phase", "Target", "Keeper", "Address", "Capacity")
    rows = [[endpoint[key] for key in keys] for endpoint in answer["Endpoints"]]
    show(answer, json, ("endpoint", "phase", "service", "sidecar", "address", "slots"), rows)
    return 0


def view(*core: str, json: bool = False) -> int:
    """Show the voters, the leader and the committed entry, as seen by the control node that answers.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", "/v1/mesh/view")).json_or_raise()
    rows = [
        (voter["Name"], voter["Ip"], voter["Disk"], "leader" if voter["Disk"] == answer["Leader"] else "")
        for voter in answer["Voters"]
    ]
    show(answer, json, ("name", "ip", "disk", "role"), rows)
    if not json:
        print(
            f"number {answer['Number']}, configuration {answer['Generation']}, term {answer['Term']}, "
            f"{answer['By']} {answer['Role'].lower()}"
        )
        for part in ("Disk", "Texts"):
            counts = ", ".join(f"{name} {count}" for name, count in answer.get(part, {}).items())
            print(f"{part.lower()}: {counts}")
    return 0


def config_get(*core: str) -> int:
    """Print the active configuration, confirmed by a majority of the voters.

    :param core: addresses of control replicas, as host:port
    """
    print_json(call(core, ControlRequest("GET", "/v1/config/read", timeout=CHANGE_TIMEOUT)).json_or_raise())
    return 0


def config_check(file: Path) -> int:
    """Validate a configuration file locally, without calling a control node.

    :param file: a configuration in JSON
    """
    configuration = parse(file.read_bytes())
    print(
        f"configuration {configuration.generation}: {len(configuration.routes)} routes, {len(configuration.services)} "
        "services"
    )
    return 0


def config_put(file: Path, base: int, *core: str) -> int:
    """Replace the active configuration.

    :param file: a configuration in JSON
    :param base: the generation that it replaces; 0 for the first configuration
    :param core: addresses of control replicas, as host:port
    """
    text = file.read_bytes()
    parse(text)
    headers = {"X-Base-Version": str(base)}
    response = call(core, ControlRequest("POST", "/v1/config/replace", text, headers, CHANGE_TIMEOUT))
    if response.status == UNAVAILABLE:
        raise MeshError(
            "CONFIG_UNCLEAR",
            f"{response.answered_by} returned no definite result: the change may be in force; repeat the same call",
        )
    print(f"in force: {response.json_or_raise()['Generation']}")
    return 0


def explain(request_id: str, *core: str, json: bool = False) -> int:
    """Show why a request was refused or failed, as recorded by the sidecars that handled it.

    :param request_id: the X-Attempt-Id of the request
    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", f"/v1/mesh/requests/{request_id}")).json_or_raise()
    rows = [
        (request["By"], request["Status"], request["Target"], request["Ms"], attempt)
        for request in answer["Requests"]
        for attempt in request["Tries"] or ["none"]
    ]
    show(answer, json, ("sidecar", "status", "service", "ms", "try"), rows)
    return 0


def disk(folder: Path, *, json: bool = False) -> int:
    """Print the state that a control replica has stored on its disk, without changing it.

    :param folder: the StateDir of the replica
    :param json: print JSON instead of a table
    """
    state = read_stored_state(folder)
    entry = state.entry if state.entry is not None else LogEntry()
    rows = [
        (voter.name, voter.ip, voter.disk, "this disk" if voter.disk == state.disk else "") for voter in entry.voters
    ]
    show(describe_disk(state, entry), json, ("name", "ip", "disk", ""), rows)
    if not json:
        vote = f"{state.vote.term} {state.vote.candidate}"
        print(f"disk {state.disk}, vote {vote}, number {entry.index}, configuration {entry.generation}")
    return 0


def describe_disk(state: StoredState, entry: LogEntry) -> dict[str, Any]:
    """Return the output of ``disk --json``."""
    return {
        "Disk": state.disk,
        "Vote": f"{state.vote.term} {state.vote.candidate}",
        "Term": entry.term,
        "Number": entry.index,
        "Generation": entry.generation,
        "Config": entry.text.decode(),
        "Voters": [{"Disk": voter.disk, "Name": voter.name, "Ip": voter.ip} for voter in entry.voters],
    }


COMMANDS = (who, endpoints, view, config_get, config_check, config_put, explain, disk)
