"""The status API for operators: nodes, endpoints, voters and failed requests, as this control node knows them."""

from __future__ import annotations

import asyncio
from dataclasses import asdict

import orjson

from ...http1.heads import HttpResponse
from ..consensus.replica import Replica
from ..consensus.replica_store import ReplicaStore
from ..control_api.listener import Call, error_answer, json_answer
from ..errors import MeshError
from ..membership.records import SIDECAR, EndpointPhase, MemberState, RecordKind
from ..transport.mesh_pb2 import ControlCall, EndpointInfo, NodeInfo, Record, Voter
from .node import Node
from .operator_calls import forward
from .replica_transport import ReplicaTransport

EXPLAIN_TIMEOUT = 0.7  # s in which a sidecar has to answer whether it has logged a request


class StatusApi:
    """Answers from this node's state; only :meth:`on_explain` calls other processes."""

    def __init__(self, node: Node, replica: Replica, store: ReplicaStore, transport: ReplicaTransport) -> None:
        self.node, self.replica, self.store, self.transport = node, replica, store, transport

    def on_who(self, call: Call) -> HttpResponse:
        """Return all nodes and their state; for suspected and dead ones, also which node declared them so, and why."""
        records = self.node.gossip.records.of_kind(RecordKind.NODE)
        nodes = sorted((describe_node(record) for record in records), key=lambda node: str(node["Name"]))
        return json_answer(200, {"By": self.node.name, "Nodes": nodes})

    def on_endpoints(self, call: Call) -> HttpResponse:
        """Return all endpoints, their phase and their sidecar."""
        records = self.node.gossip.records.of_kind(RecordKind.ENDPOINT)
        endpoints = sorted((describe_endpoint(record) for record in records), key=lambda endpoint: str(endpoint["Id"]))
        return json_answer(200, {"By": self.node.name, "Endpoints": endpoints})

    def on_view(self, call: Call) -> HttpResponse:
        """Return the voters, the leader, and the committed version."""
        replica = self.replica
        return json_answer(
            200,
            {
                "By": self.node.name,
                "Role": replica.role.name,
                "Leader": replica.leader,
                "Term": replica.vote.term,
                "Number": replica.committed.index,
                "Generation": replica.committed.generation,
                "DiskRefuses": self.store.refuses_writes,
                "Disk": asdict(self.store.counters),
                "Texts": asdict(self.transport.texts.counters),
                "Voters": [{"Disk": voter.disk, "Name": voter.name, "Ip": voter.ip} for voter in replica.voters()],
            },
        )

    async def on_explain(self, call: Call) -> HttpResponse:
        """Return why a request failed. All sidecars are asked, as any of them may have handled the request."""
        members = self.node.gossip.members
        infos = [members.node_info(name) for name in members.others()]
        sidecars = [Voter(ip=info.ip, port=info.port) for info in infos if info is not None and info.role == SIDECAR]
        explain = ControlCall(kind="explain", text=call.path_parameters[0].encode())
        answers = await asyncio.gather(*(forward(self.node, sidecar, explain, EXPLAIN_TIMEOUT) for sidecar in sidecars))
        failures = [orjson.loads(answer.text) for answer in answers if answer.status == 200]
        unanswered = sum(answer.status == 503 for answer in answers)
        if not failures:
            text = f"not in the failure log of any of {len(sidecars)} sidecars; {unanswered} didn't answer"
            return error_answer(404, MeshError("REQUEST_UNKNOWN", text))
        return json_answer(200, {"Requests": failures, "Silent": unanswered})


def describe_node(record: Record) -> dict[str, str | int]:
    """Return a node's description for operators."""
    info = NodeInfo.FromString(record.body)
    description: dict[str, str | int] = {
        "Name": record.id,
        "Standing": MemberState.of(record).label,
        "Role": info.role,
        "Zone": info.zone,
        "Address": f"{info.ip}:{info.port}",
        "Life": record.incarnation,
        "Seq": record.seq,
    }
    if info.reason:
        description |= {"By": info.declared_by, "Why": info.reason}
    return description


def describe_endpoint(record: Record) -> dict[str, str | int]:
    """Return an endpoint's description for operators."""
    info = EndpointInfo.FromString(record.body)
    return {
        "Id": record.id,
        "Phase": EndpointPhase.of(record).name.lower(),
        "Target": info.service,
        "Keeper": info.sidecar,
        "Address": info.address,
        "Capacity": info.slots,
        "CallSeq": record.seq,
    }
