"""Failure detector with round-robin probes, indirect probes, suspicion and a local health score. No I/O.

Probes, indirect probes and suspicion follow SWIM (Das et al., 2002). The health score follows Lifeguard (Dadgar et al.,
2018): a process whose probes are rarely answered assumes that it is slow itself, and waits longer before it suspects
others.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..transport.mesh_pb2 import GossipMessage, Record
from .records import ENDED_RANK, MemberState, RecordKind
from .transmitter import Transmitter

PROBE_INTERVAL = 0.4  # s between two probes
PROBE_TIMEOUT = 0.25  # s without an answer after which indirect probes are sent
INDIRECT_PROBE_TIMEOUT = 0.5  # s more without an answer after which the target is suspected
INDIRECT_PROBES = 2  # peers that relay an indirect probe
SUSPICION_TIMEOUT = 1.6  # s in which a suspect may refute the suspicion before it is declared dead
MAX_HEALTH_SCORE = 6  # probe timeouts are multiplied by 1 + the score
MAX_RELAYED_PROBES = 64

DeclareState = Callable[[float, str, MemberState, str], None]
"""Called with the current time, the name of a node, its new state, and the evidence as text."""


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered yet."""

    target: str
    sent_at: float
    is_indirect: bool = False
    """Whether indirect probes have been sent as well."""
    relays: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe that is relayed on behalf of another node."""

    requester: str
    probe_id: int
    """The requester's id of the probe."""


class FailureDetector:
    """Detects nodes that are suspect or dead."""

    def __init__(self, transmitter: Transmitter, ids: Iterator[int], declare_state: DeclareState, now: float) -> None:
        self.transmitter = transmitter
        self.members = transmitter.members
        self.ids = ids
        self.declare_state = declare_state
        self.health_score = 0
        """Incremented by each unanswered probe and decremented by each answered one; 0 is healthy."""
        self.probe_queue: list[str] = []
        """The nodes that remain to be probed in this round."""
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.suspected_since: dict[str, float] = {}
        self.last_contact: dict[str, float] = {}
        self.probed_at = now

    def tick(self, now: float) -> None:
        """Check outstanding probes and suspects, and send the next probe when it is due."""
        self.check_probes(now)
        self.check_suspects(now)
        if now - self.probed_at >= PROBE_INTERVAL:
            self.probed_at = now
            self.probe_next(now)

    def on_stall(self, now: float) -> None:
        """Drop open probes and restart suspicion timeouts, as this process may have missed answers during a stall."""

        self.probes.clear()
        self.relayed_probes.clear()
        self.suspected_since = dict.fromkeys(self.suspected_since, now)

    # --- probing ---

    def probe_next(self, now: float) -> None:
        """Probe the next node of the round, or begin a new round in random order."""
        while self.probe_queue:
            name = self.probe_queue.pop()
            state = self.members.state_of(name)
            if state is not None and state < ENDED_RANK:
                probe_id = next(self.ids)
                self.probes[probe_id] = Probe(name, now)
                self.transmitter.send(name, GossipMessage(ping=probe_id))
                return
        self.probe_queue = list(self.members.others())
        self.members.rng.shuffle(self.probe_queue)

    def check_probes(self, now: float) -> None:
        """Send indirect probes for unanswered probes, and suspect targets that remain silent."""
        for probe_id, probe in list(self.probes.items()):
            timeout_factor = 1 + self.health_score
            waited = now - probe.sent_at
            if self.last_contact.get(probe.target, -math.inf) >= probe.sent_at:
                del self.probes[probe_id]
                self.health_score = max(0, self.health_score - 1)
            elif not probe.is_indirect and waited >= PROBE_TIMEOUT * timeout_factor:
                self.probe_indirectly(probe_id, probe)
            elif waited >= (PROBE_TIMEOUT + INDIRECT_PROBE_TIMEOUT) * timeout_factor:
                del self.probes[probe_id]
                self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                relayed = f", nor through {' and '.join(probe.relays)}" if probe.relays else ""
                self.declare_state(now, probe.target, MemberState.SUSPECT, f"no answer in {waited:.2f} s{relayed}")

    def probe_indirectly(self, probe_id: int, probe: Probe) -> None:
        """Ask a few peers to probe the target of an unanswered probe."""
        probe.is_indirect = True
        probe.relays = self.members.sample(INDIRECT_PROBES, exclude=probe.target)
        for relay in probe.relays:
            self.transmitter.send(relay, GossipMessage(ping=probe_id, target=probe.target))

    def check_suspects(self, now: float) -> None:
        """Declare dead the suspects that have not refuted the suspicion in time."""
        for name, since in list(self.suspected_since.items()):
            if self.members.state_of(name) is not MemberState.SUSPECT:
                del self.suspected_since[name]
            elif now - since >= SUSPICION_TIMEOUT:
                del self.suspected_since[name]
                info = self.members.node_info(name)
                cause = f" (by {info.declared_by}: {info.reason})" if info is not None else ""
                evidence = f"suspected for {now - since:.1f} s, and said nothing{cause}"
                self.declare_state(now, name, MemberState.DEAD, evidence)

    # --- messages of other nodes ---

    def on_message(self, now: float, name: str) -> None:
        """Note that a datagram of a node was received. Nodes without a record are ignored."""
        if self.members.records.get(RecordKind.NODE, name) is not None:
            self.last_contact[name] = now

    def on_node_record(self, now: float, record: Record) -> None:
        """Start the suspicion timeout if the changed record of a node declares it suspect."""
        if record.rank == MemberState.SUSPECT:
            self.suspected_since.setdefault(record.id, now)

    def on_ping(self, name: str, message: GossipMessage) -> None:
        """Answer a ping, or relay an indirect one to its target."""
        if not message.target:
            self.transmitter.send(name, GossipMessage(ack=message.ping))
        elif self.members.address_of(message.target) is not None:
            relayed_id = next(self.ids)
            self.relayed_probes[relayed_id] = RelayedProbe(name, message.ping)
            if len(self.relayed_probes) > MAX_RELAYED_PROBES:
                self.relayed_probes.pop(next(iter(self.relayed_probes)))
            self.transmitter.send(message.target, GossipMessage(ping=relayed_id))

    def on_ack(self, now: float, name: str, message: GossipMessage) -> None:
        """Handle the answer to a ping, which comes from its target or from a relay that names the node that answered.

        Another node answers if it has got the target's address: that proves nothing about the target.
        """
        relayed = self.relayed_probes.pop(message.ack, None)
        if relayed is not None:
            self.transmitter.send(relayed.requester, GossipMessage(ack=relayed.probe_id, target=name))
        probe = self.probes.get(message.ack)
        if probe is not None and probe.target == (message.target or name):
            del self.probes[message.ack]
            self.last_contact[probe.target] = now
