"""A member of the core: it keeps the configuration with the others of the view, and takes calls of endpoints and
operators."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import asdict
from pathlib import Path

import orjson

from ...http1.heads import Answer
from ..consensus.messages import Action, Commit, Persist, Reply, Send, VotersChanged
from ..consensus.quorum import Location
from ..consensus.replica import Replica
from ..consensus.replica_store import ReplicaStore
from ..control_api.listener import Call, ControlApi, Handler, error_answer, json_answer
from ..control_api.router import Router
from ..errors import MeshError
from ..membership.records import EndpointPhase, MemberState, RecordKind
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import ControlCall, EndpointInfo, Frame, NodeInfo, Record, Voter
from .endpoint_api import ControlEndpointApi, EndpointAnnouncer
from .node import CONTROL, SIDECAR, Node
from .node_settings import NodeSettings
from .operator_calls import READ_PATH, REPLACE_PATH, OperatorCalls, forward
from .replica_transport import ReplicaTransport, log_role

log = logging.getLogger(__name__)

TICK_INTERVAL = 0.05  # s between two turns of the order
EXPLAIN_TIMEOUT = 0.7  # s in which a sidecar says whether it remembers a request
BACKLOG = 1024
LEAVE_GRACE_SHARE = 0.8  # of the grace of a SIGTERM, after which this member ends whoever depends on it


class ControlNode:
    """Owns the node, the store, the order and the listener for calls."""

    def __init__(self, boot: NodeSettings) -> None:
        if boot.state_folder is None:
            raise MeshError("BOOT_INVALID", "this role needs a disk", "boot.StateDir")
        self.settings = boot
        self.store = ReplicaStore(Path(boot.state_folder))
        self.store.load()
        self.node = Node(boot, CONTROL, self.store.disk)
        self.loop = self.node.loop
        self.own_voter = Voter(disk=self.store.disk, name=boot.name, ip=boot.ip, port=self.node.port)
        founders = [(ip, self.node.port) for ip, _ in boot.seeds]
        self.replica = Replica(
            self.own_voter,
            founders,
            boot.bootstrap,
            boot.fault_model.hosts,
            self.loop.time(),
            self.store.vote,
            self.store.entry,
        )
        self.replica_transport = ReplicaTransport(self.node, self.own_voter, self.store.entry)
        self.logged_role = self.replica.role
        self.endpoint_api = ControlEndpointApi(self.node, EndpointAnnouncer(self.node, boot.fault_model.hosts))
        self.operator_calls = OperatorCalls(self.node, self.replica, self.run_actions)
        self.control_api: ControlApi | None = None
        self.server: asyncio.Server | None = None
        self.leader = False
        self.is_running_actions = False
        self.node.frame_handlers.update(consensus=self.on_consensus, control_call=self.operator_calls.on_control_call)
        self.node.record_listeners.append(self.on_record)

    async def start(self) -> None:
        tree: Router[Handler] = Router()
        tree.add(f"POST {REPLACE_PATH}", self.operator_calls.on_replace)
        tree.add(f"GET {READ_PATH}", self.operator_calls.on_read)
        for prefix in ("/v1/mesh", "/v1/hive"):  # the second: as the version before called it
            tree.add(f"GET {prefix}/who", self.on_who)
            tree.add(f"GET {prefix}/endpoints", self.on_endpoints)
            tree.add(f"GET {prefix}/view", self.on_view)
            tree.add(f"GET {prefix}/requests/{{id}}", self.on_explain)
        tree.add("POST /v1/endpoints/{id}/heartbeat", self.endpoint_api.on_heartbeat)
        tree.add("POST /v1/endpoints/{id}/departure", self.endpoint_api.on_departure)
        self.control_api = ControlApi(self.node.descriptors, self.node.host, tree)
        await self.node.start()
        if "ControlPlane" in self.settings.bind:
            self.server = await self.loop.create_server(
                self.control_api.connection, *self.settings.bind["ControlPlane"], backlog=BACKLOG
            )
        self.run_tick()
        self.store.verify()

    def reload(self, boot: NodeSettings) -> None:
        """Seeds of later days only say where others may be: the first view was founded by those of the start."""
        self.node.reload(boot)

    async def stop(self, grace: float) -> None:
        """What has been asked is answered; then what this member has is made sure to be elsewhere, and it leaves."""
        if self.control_api is not None:
            self.control_api.begin_drain()
        began = self.loop.time()
        while self.operator_calls.unanswered and self.loop.time() - began < grace / 2:
            await asyncio.sleep(0.02)
        await self.leave(began + LEAVE_GRACE_SHARE * grace)
        if self.server is not None:
            self.server.close()
        if self.control_api is not None:
            self.control_api.close_idle()
            self.control_api.stop()
        await asyncio.sleep(0.05)
        self.node.stop()
        self.store.close()

    async def leave(self, until: float) -> None:
        """Hand the lead on, and wait until nothing depends on this member: it may be gone for good after this."""
        self.replica.leave(self.loop.time())
        self.run_actions()
        while not self.replica.may_end(self.loop.time()):
            if self.loop.time() > until:
                log.warning(
                    "ends without a word of the leader that its state is elsewhere",
                    extra={"code": "LEAVE_TIMEOUT", "number": self.replica.committed.index},
                )
                return
            await asyncio.sleep(0.02)

    # --- the order ---

    def run_tick(self) -> None:
        self.loop.call_later(TICK_INTERVAL, self.run_tick)
        self.replica.tick(self.loop.time())
        self.replica_transport.tick()
        self.run_actions()
        for voter in self.replica.peers():
            self.node.channel_to((voter.ip, voter.port)).keep_alive()

    def on_consensus(self, link: FramedConnection, frame: Frame) -> None:
        for message in self.replica_transport.receive(frame.consensus):
            self.replica.receive(self.loop.time(), message)
        self.run_actions()

    def run_actions(self) -> None:
        """Carry out what the order wants, and what that brings."""
        if self.is_running_actions:
            return
        self.is_running_actions = True
        try:
            while self.replica.actions:
                acts, self.replica.actions = self.replica.actions, []
                for act in acts:
                    self.run_action(act)
        finally:
            self.is_running_actions = False
        if self.replica.role is not self.logged_role:
            self.logged_role = self.replica.role
            log_role(self.replica)

    def run_action(self, act: Action) -> None:
        if isinstance(act, Send):
            if act.to.disk == self.own_voter.disk:
                self.replica.receive(self.loop.time(), act.message)
            else:
                self.replica_transport.send(act)
        elif isinstance(act, Persist):
            self.store.save(act, self.on_persisted)
        elif isinstance(act, Commit):
            entry = act.entry
            if entry.text:
                self.node.put_in_force(entry.index, entry.generation, entry.text)
        elif isinstance(act, VotersChanged):
            self.log_voters(act)
        elif isinstance(act, Reply):
            self.operator_calls.on_reply(act)

    def log_voters(self, act: VotersChanged) -> None:
        """One line for each change of the voters, at the leader: who, and why."""
        added, removed = act.change.added, act.change.removed
        log.info(
            "the voters changed: %s",
            act.change.reason.value,
            extra={
                "code": "VOTERS_CHANGED",
                "reason": act.change.reason.name,
                "added": f"{added.name} {added.disk}" if added is not None else "",
                "removed": f"{removed.name} {removed.disk}" if removed is not None else "",
                "voters": [v.name for v in act.change.voters],
                "number": act.index,
                "term": self.replica.term,
            },
        )

    def on_persisted(self, token: int, good: bool) -> None:
        self.replica.on_persisted(self.loop.time(), token, good)
        self.run_actions()

    def on_record(self, record: Record) -> None:
        """Where members may be, and what of the core may be lost at once."""
        if record.kind == RecordKind.NODE:
            nodes = [
                NodeInfo.FromString(r.body) for r in self.node.gossip.records.of_kind(RecordKind.NODE) if r.rank < 2
            ]
            core = [n for n in nodes if n.role == CONTROL]
            self.replica.known_addresses = [(n.ip, n.port) for n in core]
            places = [Location(n.zone, self.settings.regions.get(n.zone, "")) for n in core]
            self.replica.tolerated_losses = self.settings.fault_model.tolerated_losses(places)

    # --- what operators look at: as this member knows it, nobody else is asked ---

    def on_who(self, call: Call) -> Answer:
        nodes: list[dict[str, str | int]] = []
        for record in self.node.gossip.records.of_kind(RecordKind.NODE):
            info = NodeInfo.FromString(record.body)
            told: dict[str, str | int] = {
                "Name": record.id,
                "Standing": MemberState.of(record).label,
                "Role": info.role,
                "Zone": info.zone,
                "Address": f"{info.ip}:{info.port}",
                "Life": record.incarnation,
                "Seq": record.seq,
            }
            if info.reason:
                told |= {"By": info.declared_by, "Why": info.reason}
            nodes.append(told)
        nodes.sort(key=lambda b: str(b["Name"]))
        return json_answer(200, {"By": self.node.name, "Nodes": nodes})

    def on_endpoints(self, call: Call) -> Answer:
        found: list[dict[str, str | int]] = []
        for record in self.node.gossip.records.of_kind(RecordKind.ENDPOINT):
            endpoint_info = EndpointInfo.FromString(record.body)
            phase = ("ready", "draining", "gone")[min(record.rank, EndpointPhase.GONE)]
            found.append(
                {
                    "Id": record.id,
                    "Phase": phase,
                    "Target": endpoint_info.service,
                    "Keeper": endpoint_info.sidecar,
                    "Address": endpoint_info.address,
                    "Capacity": endpoint_info.slots,
                    "CallSeq": record.seq,
                }
            )
        found.sort(key=lambda e: str(e["Id"]))
        return json_answer(200, {"By": self.node.name, "Endpoints": found})

    def on_view(self, call: Call) -> Answer:
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
                "Texts": asdict(self.replica_transport.texts.counters),
                "Voters": [{"Disk": s.disk, "Name": s.name, "Ip": s.ip} for s in replica.voters()],
            },
        )

    async def on_explain(self, call: Call) -> Answer:
        """Why a request was not served: asked of all sidecars, as any of them may have had it."""
        gossip = self.node.gossip
        sidecars = [
            Voter(ip=b.ip, port=b.port)
            for p in gossip.members.others()
            if (b := gossip.members.node_info(p)) and b.role == SIDECAR
        ]
        ask = ControlCall(kind="explain", text=call.path_parameters[0].encode())
        answers = await asyncio.gather(*(forward(self.node, s, ask, EXPLAIN_TIMEOUT) for s in sidecars))
        found = [orjson.loads(text) for status, text in answers if status == 200]
        silent = sum(status == 503 for status, _ in answers)
        if not found:
            wrong = MeshError(
                "REQUEST_UNKNOWN", f"none of {len(sidecars)} sidecars remembers it; {silent} didn't answer"
            )
            return error_answer(404, wrong)
        return json_answer(200, {"Requests": found, "Silent": silent})
