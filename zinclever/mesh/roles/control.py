"""A member of the core: it keeps the configuration with the others of the view, and takes calls of endpoints and
operators."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import orjson

from ...core.protocol import read_address
from ...http1.heads import Answer
from ..consensus.messages import Action, Commit, Persist, Reply, Send
from ..consensus.replica import Replica
from ..consensus.store import Store
from ..control_api.desk import Call, ControlApi, Handler, refuse, say
from ..control_api.matchers import Tree
from ..errors import MeshError
from ..membership.gossip import Standing
from ..membership.records import ENDPOINT, NODE
from ..transport.links import Link
from ..transport.mesh_pb2 import ControlCall, EndpointInfo, Frame, NodeInfo, Record, Voter
from .boot import Boot
from .endpoint_calls import GONE, LAST, READY, read_beat
from .node import CONTROL, SIDECAR, Node
from .operator_calls import OperatorCalls, hand_on

log = logging.getLogger(__name__)

TURN = 0.05  # s between two turns of the order
EXPLAINED = 0.7  # s in which a sidecar says whether it remembers a request
KNOWN_FOR = 0.8  # s in which news that was acknowledged has to be known to others
BACKLOG = 1024


class ControlRole:
    """Owns the node, the store, the order and the listener for calls."""

    def __init__(self, boot: Boot) -> None:
        if boot.state is None:
            raise MeshError("BOOT_INVALID", "this role needs a disk", "boot.StateDir")
        self.boot = boot
        self.store = Store(Path(boot.state))
        self.store.load()
        self.node = Node(boot, CONTROL, self.store.disk)
        self.loop = self.node.loop
        self.me = Voter(disk=self.store.disk, name=boot.name, ip=boot.ip, port=self.node.port)
        founders = [(ip, self.node.port) for ip, _ in boot.seeds]
        self.replica = Replica(
            self.me, founders, boot.bootstrap, boot.losses, self.loop.time(), self.store.vote, self.store.change
        )
        self.known_role = self.replica.role
        self.operator_calls = OperatorCalls(self.node, self.replica, self.work)
        self.control_api: ControlApi | None = None
        self.server: asyncio.Server | None = None
        self.leader = False
        self.working = False
        self.node.frames.update(consensus=self.on_consensus, ask=self.operator_calls.on_ask)
        self.node.news.append(self.on_news)

    async def start(self) -> None:
        tree: Tree[Handler] = Tree()
        tree.add("POST /v1/config/replace", self.operator_calls.on_replace)
        tree.add("GET /v1/config/read", self.operator_calls.on_read)
        for prefix in ("/v1/mesh", "/v1/hive"):  # the second: as the version before called it
            tree.add(f"GET {prefix}/who", self.on_who)
            tree.add(f"GET {prefix}/endpoints", self.on_endpoints)
            tree.add(f"GET {prefix}/view", self.on_view)
            tree.add(f"GET {prefix}/requests/{{id}}", self.on_explain)
        tree.add("POST /v1/endpoints/{id}/heartbeat", self.on_beat)
        tree.add("POST /v1/endpoints/{id}/departure", self.on_departure)
        self.control_api = ControlApi(self.node.descriptors, self.node.host, tree)
        await self.node.start()
        if "ControlPlane" in self.boot.bind:
            self.server = await self.loop.create_server(
                self.control_api.connection, *self.boot.bind["ControlPlane"], backlog=BACKLOG
            )
        self.turn()
        self.store.look()

    def reload(self, boot: Boot) -> None:
        """Seeds of later days only say where others may be: the first view was founded by those of the start."""
        self.node.reload(boot)

    async def stop(self, grace: float) -> None:
        """What has been asked is answered, then others are told."""
        if self.control_api is not None:
            self.control_api.begin_drain()
        began = self.loop.time()
        while self.operator_calls.unanswered and self.loop.time() - began < grace / 2:
            await asyncio.sleep(0.02)
        self.replica.hand_over(self.loop.time())
        self.work()
        if self.server is not None:
            self.server.close()
        if self.control_api is not None:
            self.control_api.close_idle()
            self.control_api.stop()
        await asyncio.sleep(0.05)
        self.node.stop()
        self.store.close()

    # --- the order ---

    def turn(self) -> None:
        self.loop.call_later(TURN, self.turn)
        self.replica.tick(self.loop.time())
        self.work()

    def on_consensus(self, link: Link, frame: Frame) -> None:
        self.replica.receive(self.loop.time(), frame.consensus)
        self.work()

    def work(self) -> None:
        """Carry out what the order wants, and what that brings."""
        if self.working:
            return
        self.working = True
        try:
            while self.replica.out:
                acts, self.replica.out = self.replica.out, []
                for act in acts:
                    self.carry_out(act)
        finally:
            self.working = False
        if self.replica.role is not self.known_role:
            self.known_role = self.replica.role
            log.info(
                "phase",
                extra={
                    "code": "REPLICA_ROLE",
                    "role": self.known_role.name,
                    "term": self.replica.vote.term,
                    "number": self.replica.committed.number,
                },
            )

    def carry_out(self, act: Action) -> None:
        if isinstance(act, Send):
            if act.to.disk == self.me.disk:
                self.replica.receive(self.loop.time(), act.message)
            else:
                self.node.line((act.to.ip, act.to.port)).tell(Frame(consensus=act.message))
        elif isinstance(act, Persist):
            self.store.save(act, self.on_saved)
        elif isinstance(act, Commit):
            entry = act.entry
            if entry.text:
                self.node.in_force(entry.number, entry.generation, entry.text)
        elif isinstance(act, Reply):
            self.operator_calls.answered(act)

    def on_saved(self, token: int, good: bool) -> None:
        self.replica.persisted(self.loop.time(), token, good)
        self.work()

    def on_news(self, record: Record) -> None:
        """Where members may be."""
        if record.kind == NODE:
            nodes = [NodeInfo.FromString(r.body) for r in self.node.gossip.records.all(NODE) if r.rank < 2]
            self.replica.known = [(b.ip, b.port) for b in nodes if b.role == CONTROL]

    # --- what operators look at: as this member knows it, nobody else is asked ---

    def on_who(self, call: Call) -> Answer:
        nodes: list[dict[str, str | int]] = []
        for record in self.node.gossip.records.all(NODE):
            info = NodeInfo.FromString(record.body)
            told: dict[str, str | int] = {
                "Name": record.id,
                "Standing": Standing(min(record.rank, 3)).name.lower(),
                "Role": info.role,
                "Zone": info.zone,
                "Address": f"{info.ip}:{info.port}",
                "Life": record.life,
                "Seq": record.seq,
            }
            if info.why:
                told |= {"By": info.by, "Why": info.why}
            nodes.append(told)
        nodes.sort(key=lambda b: str(b["Name"]))
        return say(200, {"By": self.node.name, "Nodes": nodes})

    def on_endpoints(self, call: Call) -> Answer:
        found: list[dict[str, str | int]] = []
        for record in self.node.gossip.records.all(ENDPOINT):
            endpoint_info = EndpointInfo.FromString(record.body)
            phase = ("ready", "draining", "gone")[min(record.rank, GONE)]
            found.append(
                {
                    "Id": record.id,
                    "Phase": phase,
                    "Target": endpoint_info.service,
                    "Keeper": endpoint_info.keeper,
                    "Address": endpoint_info.address,
                    "Capacity": endpoint_info.slots,
                    "CallSeq": record.seq,
                }
            )
        found.sort(key=lambda e: str(e["Id"]))
        return say(200, {"By": self.node.name, "Endpoints": found})

    def on_view(self, call: Call) -> Answer:
        replica = self.replica
        return say(
            200,
            {
                "By": self.node.name,
                "Role": replica.role.name,
                "Leader": replica.leader,
                "Term": replica.vote.term,
                "Number": replica.committed.number,
                "Generation": replica.committed.generation,
                "DiskRefuses": self.store.full,
                "Disk": self.store.counts,
                "Voters": [{"Disk": s.disk, "Name": s.name, "Ip": s.ip} for s in replica.voters()],
            },
        )

    async def on_explain(self, call: Call) -> Answer:
        """Why a request was not served: asked of all sidecars, as any of them may have had it."""
        gossip = self.node.gossip
        seats = [
            Voter(ip=b.ip, port=b.port) for p in gossip.peers() if (b := gossip.node_info(p)) and b.role == SIDECAR
        ]
        ask = ControlCall(kind="explain", text=call.captured[0].encode())
        answers = await asyncio.gather(*(hand_on(self.node, s, ask, EXPLAINED) for s in seats))
        found = [orjson.loads(text) for status, text in answers if status == 200]
        silent = sum(status == 503 for status, _ in answers)
        if not found:
            wrong = MeshError("REQUEST_UNKNOWN", f"none of {len(seats)} sidecars remembers it; {silent} didn't answer")
            return refuse(404, wrong)
        return say(200, {"Requests": found, "Silent": silent})

    # --- calls of endpoints ---

    async def on_beat(self, call: Call) -> Answer:
        """A beat whose own sidecar didn't answer."""
        record = read_beat(call)
        known = self.node.gossip.records.get(ENDPOINT, call.captured[0])
        endpoint_info = EndpointInfo.FromString(record.body)
        if known is not None:
            if known.seq >= record.seq or known.seq >= LAST:
                return say(200, {})
            record.life = known.life + (1 if known.rank >= GONE else 0)
            endpoint_info.keeper = EndpointInfo.FromString(known.body).keeper
        endpoint_info.keeper = endpoint_info.keeper or self.keeper_of(endpoint_info.address)
        record.body = endpoint_info.SerializeToString()
        if (
            known is not None
            and known.rank == record.rank
            and endpoint_info.keeper == EndpointInfo.FromString(known.body).keeper
        ):
            return say(200, {})
        if record.rank == READY:
            self.node.tell(record)
            return say(200, {})
        return await self.tell_surely(record)

    def keeper_of(self, address: str) -> str:
        """The sidecar on an endpoint's machine."""
        ip, _ = read_address(address)
        for r in self.node.gossip.records.all(NODE):
            info = NodeInfo.FromString(r.body)
            if info.ip == ip and info.role == SIDECAR and r.rank < 2:
                return r.id
        return ""

    async def on_departure(self, call: Call) -> Answer:
        known = self.node.gossip.records.get(ENDPOINT, call.captured[0])
        life, body = (known.life, known.body) if known is not None else (0, b"")
        return await self.tell_surely(
            Record(kind=ENDPOINT, id=call.captured[0], life=life, seq=LAST, rank=GONE, body=body)
        )

    async def tell_surely(self, record: Record) -> Answer:
        """An acknowledgement that holds wherever this process ends up: two others have the news, the keeper where it
        can be reached."""
        gossip = self.node.gossip
        to = [p for p in gossip.peers() if (b := gossip.node_info(p)) is not None and b.role == CONTROL]
        keeper = EndpointInfo.FromString(record.body).keeper
        to += [keeper] if keeper in gossip.peers() else []
        number = gossip.tell_surely(self.loop.time(), record, to)
        self.node.gossip_socket.flush()
        until = self.loop.time() + KNOWN_FOR
        receipt = gossip.receipts[number]
        try:
            while self.loop.time() < until:
                if not receipt.owed or len(receipt.received) >= min(len(receipt.owed), 2):
                    return say(200, {})
                await asyncio.sleep(0.005)
            return say(200 if receipt.received else 503, {})
        finally:
            gossip.receipts.pop(number, None)
