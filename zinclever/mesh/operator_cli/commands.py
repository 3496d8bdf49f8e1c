"""The operators' commands. Each takes the ``host:port`` at which control replicas take calls, and ends with 0, or
with 1 where what was asked can't be had or was refused: one line says the code, the field and why."""

from __future__ import annotations

from pathlib import Path

from ..configuration.document import read
from ..consensus.store import read_folder
from ..errors import MeshError
from .asking import CHANGE_WITHIN, ask, must
from .tables import show


def who(*core: str, json: bool = False) -> int:
    """List the nodes; of those suspected or dead, by whom and why.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    told = must(*ask(list(core), "GET", "/v1/mesh/who")[:2])
    rows = [
        (b["Name"], b["Standing"], b["Role"], b["Zone"], b["Address"], f"{b['By']}: {b['Why']}" if "Why" in b else "")
        for b in told["Nodes"]
    ]
    show(told, json, ("name", "standing", "role", "zone", "address", "said by"), rows)
    return 0


def endpoints(*core: str, json: bool = False) -> int:
    """List the known endpoints and the sidecar beside each.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    told = must(*ask(list(core), "GET", "/v1/mesh/endpoints")[:2])
    rows = [(e["Id"], e["Phase"], e["Target"], e["Keeper"], e["Address"], e["Capacity"]) for e in told["Endpoints"]]
    show(told, json, ("endpoint", "phase", "service", "keeper", "address", "slots"), rows)
    return 0


def view(*core: str, json: bool = False) -> int:
    """Show the voters, the leader and what is committed, as the replica that answers sees it.

    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    told = must(*ask(list(core), "GET", "/v1/mesh/view")[:2])
    rows = [(s["Name"], s["Ip"], s["Disk"], "leader" if s["Disk"] == told["Leader"] else "") for s in told["Voters"]]
    show(told, json, ("name", "ip", "disk", "role"), rows)
    if not json:
        print(
            f"number {told['Number']}, configuration {told['Generation']}, term {told['Term']}, "
            f"{told['By']} {told['Role'].lower()}"
        )
        for part in ("Disk", "Texts"):
            counts = ", ".join(f"{name} {count}" for name, count in told.get(part, {}).items())
            print(f"{part.lower()}: {counts}")
    return 0


def config_get(*core: str) -> int:
    """Print the configuration in force, confirmed by a majority of the voters.

    :param core: addresses of control replicas, as host:port
    """
    show(must(*ask(list(core), "GET", "/v1/config/read", within=CHANGE_WITHIN)[:2]), True)
    return 0


def config_check(file: Path) -> int:
    """Say whether a file is a proper configuration, without asking anybody.

    :param file: a configuration in JSON
    """
    configuration = read(file.read_bytes())
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
    read(text)
    status, told, name = ask(
        list(core), "POST", "/v1/config/replace", text, {"X-Base-Version": str(base)}, CHANGE_WITHIN
    )
    if status == 503:
        raise MeshError("CONFIG_UNCLEAR", f"{name} gave no clear answer: it may be in force; ask again, unchanged")
    print(f"in force: {must(status, told)['Generation']}")
    return 0


def explain(request_id: str, *core: str, json: bool = False) -> int:
    """Why a request was refused or failed, as the sidecar remembers that had it.

    :param request_id: its X-Attempt-Id
    :param core: addresses of control replicas, as host:port
    :param json: print JSON instead of a table
    """
    told = must(*ask(list(core), "GET", f"/v1/mesh/requests/{request_id}")[:2])
    rows = [(r["By"], r["Status"], r["Target"], r["Ms"], t) for r in told["Requests"] for t in r["Tries"] or ["none"]]
    show(told, json, ("sidecar", "status", "service", "ms", "try"), rows)
    return 0


def disk(folder: Path, *, json: bool = False) -> int:
    """Read the state of a control replica off its disk; nothing is changed.

    :param folder: its StateDir
    :param json: print JSON instead of a table
    """
    told = read_folder(folder)
    rows = [(s["Name"], s["Ip"], s["Disk"], "this disk" if s["Disk"] == told["Disk"] else "") for s in told["Voters"]]
    show(told, json, ("name", "ip", "disk", ""), rows)
    if not json:
        print(f"disk {told['Disk']}, vote {told['Vote']}, number {told['Number']}, configuration {told['Generation']}")
    return 0


COMMANDS = (who, endpoints, view, config_get, config_check, config_put, explain, disk)
