"""A control node: replicates the configuration with the others, and serves the API of endpoints and operators."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

from ..consensus.messages import Action, Commit, Persist, Reply, Send, VotersChanged
from ..consensus.quorum import Location
from ..consensus.replica import Replica
from ..consensus.replica_store import ReplicaStore
from ..control_api.listener import ControlApi, Handler
from ..control_api.router import Router
from ..dataplane.shutdown_admission import exit_margin
from ..errors import MeshError
from ..membership.records import CONTROL, RecordKind
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import Frame, Record, Voter
from .endpoint_api import ControlEndpointApi, EndpointAnnouncer
from .listening import Listener, listen
from .node import Node
from .node_settings import NodeSettings
from .operator_calls import READ_PATH, REPLACE_PATH, OperatorCalls
from .replica_transport import ReplicaTransport, log_role
from .status_api import StatusApi

log = logging.getLogger(__name__)

TICK_INTERVAL = 0.05  # s between two ticks of the replica
LEAVE_GRACE_SHARE = 0.8  # of the grace period; then this process exits even if others depend on its replica
POLL_INTERVAL = 0.02  # s between two checks whether this process may exit
LAST_CALLS_PERIOD = 0.2  # s at the exit in which callers that have connected before send their call
LAST_FRAMES_DELAY = 0.05  # s for the last frames to be sent
STATUS_PREFIXES = ("/v1/mesh", "/v1/hive")  # the second one was used by version 0.1


class ControlNode:
    """Owns the node, the store, the replica and the listener of the HTTP API."""

    def __init__(self, settings: NodeSettings) -> None:
        """Load the stored state. Raises MeshError if no state directory is set, OSError if it can't be used."""
        if settings.state_directory is None:
            raise MeshError("BOOT_INVALID", "the control role requires a disk", "boot.StateDir")
        self.settings = settings
        self.store = ReplicaStore(Path(settings.state_directory))
        self.store.load()
        self.node = Node(settings, CONTROL, self.store.disk)
        self.loop = self.node.loop
        self.own_voter = Voter(disk=self.store.disk, name=settings.name, ip=settings.ip, port=self.node.port)
        self.replica = Replica(
            self.own_voter,
            [(ip, self.node.port) for ip, _ in settings.seeds],
            settings.bootstrap,
            settings.fault_model.hosts,
            self.loop.time(),
            self.store.vote,
            self.store.entry,
        )
        self.replica_transport = ReplicaTransport(self.node, self.own_voter, self.store.entry)
        self.logged_role = self.replica.role
        self.endpoint_api = ControlEndpointApi(self.node, EndpointAnnouncer(self.node, settings.fault_model.hosts))
        self.operator_calls = OperatorCalls(self.node, self.replica, self.run_actions)
        self.status_api = StatusApi(self.node, self.replica, self.store, self.replica_transport)
        self.control_api: ControlApi | None = None
        self.listener: Listener | None = None
        self.is_running_actions = False
        self.node.frame_handlers.update(consensus=self.on_consensus, control_call=self.operator_calls.on_control_call)
        self.node.record_listeners.append(self.on_record)

    async def start(self) -> None:
        """Start listening and ticking. Raises OSError if an address can't be bound."""
        self.control_api = ControlApi(self.node.descriptors, self.node.host, self.make_router())
        await self.node.start()
        if "ControlPlane" in self.settings.bind:
            self.listener = await listen(self.control_api, self.settings.bind["ControlPlane"])
        self.run_tick()
        self.store.verify()

    def make_router(self) -> Router[Handler]:
        """Return the router for the HTTP calls that a control node serves."""
        router: Router[Handler] = Router()
        router.add(f"POST {REPLACE_PATH}", self.operator_calls.on_replace)
        router.add(f"GET {READ_PATH}", self.operator_calls.on_read)
        for prefix in STATUS_PREFIXES:
            router.add(f"GET {prefix}/who", self.status_api.on_who)
            router.add(f"GET {prefix}/endpoints", self.status_api.on_endpoints)
            router.add(f"GET {prefix}/view", self.status_api.on_view)
            router.add(f"GET {prefix}/requests/{{id}}", self.status_api.on_explain)
        router.add("POST /v1/endpoints/{id}/heartbeat", self.endpoint_api.on_heartbeat)
        router.add("POST /v1/endpoints/{id}/departure", self.endpoint_api.on_departure)
        return router

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        Their seeds are only gossip addresses from now on: the cluster was founded with the seeds of the first start.
        """
        self.node.reload(settings)

    # --- shutdown ---

    async def stop(self, grace: float) -> None:
        """Answer open calls, wait until this replica's state is stored elsewhere, and leave, within ``grace`` s.

        Every call that was read is answered, if only with 503.
        """
        if self.control_api is not None:
            self.control_api.begin_drain()
        started_at = self.loop.time()
        while self.operator_calls.unanswered and self.loop.time() - started_at < grace / 2:
            await asyncio.sleep(POLL_INTERVAL)
        await self.leave(started_at + LEAVE_GRACE_SHARE * grace)
        if self.listener is not None:
            await self.listener.close()
        if self.control_api is not None:
            await self.control_api.complete_calls(started_at + grace - exit_margin(grace))
            await self.control_api.refuse_last_calls(min(LAST_CALLS_PERIOD, exit_margin(grace) / 2))
            self.control_api.close_idle()
            self.control_api.stop()
        await asyncio.sleep(LAST_FRAMES_DELAY)
        self.node.stop()
        self.store.close()

    async def leave(self, deadline: float) -> None:
        """Give up leadership, and wait until no other node depends on this replica, which may never start again.

        ``deadline`` is the instant in s at which to stop waiting.
        """
        self.replica.leave(self.loop.time())
        self.run_actions()
        while not self.replica.can_shut_down(self.loop.time()):
            if self.loop.time() > deadline:
                log.warning(
                    "exits without confirmation from the leader that its state is stored elsewhere",
                    extra={"code": "LEAVE_TIMEOUT", "number": self.replica.committed.index},
                )
                return
            await asyncio.sleep(POLL_INTERVAL)

    # --- the replica ---

    def run_tick(self) -> None:
        """Tick the replica every :data:`TICK_INTERVAL`."""
        self.loop.call_later(TICK_INTERVAL, self.run_tick)
        self.replica.tick(self.loop.time())
        self.replica_transport.tick()
        self.run_actions()
        for voter in self.replica.peers():
            self.node.channel_to((voter.ip, voter.port)).keep_alive()

    def on_consensus(self, connection: FramedConnection, frame: Frame) -> None:
        """Handle a message from another replica."""
        for message in self.replica_transport.receive(frame.consensus):
            self.replica.receive(self.loop.time(), message)
        self.run_actions()

    def run_actions(self) -> None:
        """Execute the actions that the replica has queued, and those that result from them."""
        if self.is_running_actions:
            return
        self.is_running_actions = True
        try:
            while self.replica.actions:
                actions, self.replica.actions = self.replica.actions, []
                for action in actions:
                    self.run_action(action)
        finally:
            self.is_running_actions = False
        if self.replica.role is not self.logged_role:
            self.logged_role = self.replica.role
            log_role(self.replica)

    def run_action(self, action: Action) -> None:
        """Execute one action."""
        if isinstance(action, Send):
            if action.to.disk == self.own_voter.disk:
                self.replica.receive(self.loop.time(), action.message)
            else:
                self.replica_transport.send(action)
        elif isinstance(action, Persist):
            self.store.save(action, self.on_persisted)
        elif isinstance(action, Commit):
            entry = action.entry
            if entry.text:
                self.node.activate_configuration(entry.index, entry.generation, entry.text)
        elif isinstance(action, VotersChanged):
            self.log_voters(action)
        elif isinstance(action, Reply):
            self.operator_calls.on_reply(action)

    def log_voters(self, action: VotersChanged) -> None:
        """Log a change of the voters and its reason, on the leader only."""
        added, removed = action.change.added, action.change.removed
        log.info(
            "voters changed: %s",
            action.change.reason.value,
            extra={
                "code": "VOTERS_CHANGED",
                "reason": action.change.reason.name,
                "added": f"{added.name} {added.disk}" if added is not None else "",
                "removed": f"{removed.name} {removed.disk}" if removed is not None else "",
                "voters": [voter.name for voter in action.change.voters],
                "number": action.index,
                "term": self.replica.term,
            },
        )

    def on_persisted(self, token: int, is_durable: bool) -> None:
        """Report to the replica whether a save has succeeded."""
        self.replica.on_persisted(self.loop.time(), token, is_durable)
        self.run_actions()

    def on_record(self, record: Record) -> None:
        """Update the replica's addresses and tolerated losses when a process has joined or left."""
        if record.kind == RecordKind.NODE:
            control_nodes = [info for _, info in self.node.gossip.records.nodes() if info.role == CONTROL]
            self.replica.known_addresses = [(info.ip, info.port) for info in control_nodes]
            regions = self.settings.regions
            locations = [Location(info.zone, regions.get(info.zone, "")) for info in control_nodes]
            self.replica.tolerated_failures = self.settings.fault_model.tolerated_failures(locations)
