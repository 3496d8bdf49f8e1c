"""The operators' commands.

Each takes the ``host:port`` at which control nodes take calls, and ends with 0, or with 1 where what was asked can't be
had or was refused: one line says the code, the field and why.
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
    """List the nodes; of those suspected or dead, by whom and why.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", "/v1/mesh/who")).require()
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
    """List the known endpoints and the sidecar beside each.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", "/v1/mesh/endpoints")).require()
    keys = ("Id", "Phase", "Target", "Keeper", "Address", "Capacity")
    rows = [[endpoint[key] for key in keys] for endpoint in answer["Endpoints"]]
    show(answer, json, ("endpoint", "phase", "service", "sidecar", "address", "slots"), rows)
    return 0


def view(*core: str, json: bool = False) -> int:
    """Show the voters, the leader and what is committed, as the replica that answers sees it.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", "/v1/mesh/view")).require()
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
    """Print the configuration in force, confirmed by a majority of the voters.

    :param core: addresses of control replicas, as host:port
    """
    print_json(call(core, ControlRequest("GET", "/v1/config/read", timeout=CHANGE_TIMEOUT)).require())
    return 0


def config_check(file: Path) -> int:
    """Say whether a file is a proper configuration, without asking anybody.

    :param file: a configuration in JSON
    """
    configuration = parse(file.read_bytes())
    print(
        f"configuration {configuration.generation}: {len(configuration.routes)} routes, {len(configuration.services)} "
        "services"
    )
    return 0


def config_put(file: Path, base: int, *core: str) -> int:
    """Put a configuration in force on top of a version.

    :param file: a configuration in JSON
    :param base: the version that it builds on; 0 for the first
    :param core: addresses of control replicas, as host:port
    """
    text = file.read_bytes()
    parse(text)
    headers = {"X-Base-Version": str(base)}
    response = call(core, ControlRequest("POST", "/v1/config/replace", text, headers, CHANGE_TIMEOUT))
    if response.status == UNAVAILABLE:
        raise MeshError(
            "CONFIG_UNCLEAR",
            f"{response.answered_by} gave no clear answer: it may be in force; ask again, unchanged",
        )
    print(f"in force: {response.require()['Generation']}")
    return 0


def explain(request_id: str, *core: str, json: bool = False) -> int:
    """Why a request was refused or failed, as the sidecar remembers that had it.

    :param request_id: its X-Attempt-Id
    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    answer = call(core, ControlRequest("GET", f"/v1/mesh/requests/{request_id}")).require()
    rows = [
        (request["By"], request["Status"], request["Target"], request["Ms"], attempt)
        for request in answer["Requests"]
        for attempt in request["Tries"] or ["none"]
    ]
    show(answer, json, ("sidecar", "status", "service", "ms", "try"), rows)
    return 0


def disk(folder: Path, *, json: bool = False) -> int:
    """Read the state of a control replica off its disk; nothing is changed.

    :param folder: its StateDir
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
    """What ``disk --json`` prints."""
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
