"""Failure detection: probes in turn, indirect probes, suspicion, and a local health score. Pure.

Sources: SWIM (Das and others, 2002) for probes, indirect probes and suspicion; Lifeguard (Dadgar and others, 2018) for
the health score, by which a process that gets few answers suspects itself before the others.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..transport.mesh_pb2 import GossipMessage, Record
from .records import ENDED_RANK, MemberState, RecordKind
from .transmitter import Transmitter

PROBE_INTERVAL = 0.4  # s between two probes
PROBE_TIMEOUT = 0.25  # s within which a probe is answered, before others are asked to probe
INDIRECT_PROBE_TIMEOUT = 0.5  # s more, before the target is suspected
INDIRECT_PROBES = 2  # others that are asked to probe
SUSPICION_TIMEOUT = 1.6  # s for which a suspect may refute the suspicion, before it is declared dead
MAX_HEALTH_SCORE = 6  # probe timeouts are multiplied by 1 + the score
MAX_RELAYED_PROBES = 64

OnVerdict = Callable[[float, str, MemberState, str], None]
"""Called with the instant, the process, its state, and the evidence in words."""


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered yet."""

    target: str
    sent_at: float
    is_indirect: bool = False
    """Others have been asked to probe, too."""
    relays: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe on another's behalf."""

    requester: str
    number: int
    """Of the requester's own probe."""


class FailureDetector:
    """Decides which of the others are suspect or dead."""

    def __init__(self, transmitter: Transmitter, numbers: Iterator[int], on_verdict: OnVerdict, now: float) -> None:
        self.transmitter = transmitter
        self.members = transmitter.members
        self.numbers = numbers
        self.on_verdict = on_verdict
        self.health_score = 0
        """Rises with each probe that nobody answers, falls with each that is answered; 0 is healthy."""
        self.probe_ring: list[str] = []
        """The others that are still to be probed in this round."""
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.suspected_since: dict[str, float] = {}
        self.last_contact: dict[str, float] = {}
        self.probed_at = now

    def tick(self, now: float) -> None:
        """Judge the probes that are out, and send the next one when it is due."""
        self.check_probes(now)
        self.check_suspects(now)
        if now - self.probed_at >= PROBE_INTERVAL:
            self.probed_at = now
            self.probe_next(now)

    def after_stall(self, now: float) -> None:
        """This process stood still: what it didn't hear meanwhile says nothing about the others."""
        self.probes.clear()
        self.relayed_probes.clear()
        self.suspected_since = dict.fromkeys(self.suspected_since, now)

    # --- probing ---

    def probe_next(self, now: float) -> None:
        """Probe the next of the others; once all had their turn, shuffle them anew."""
        while self.probe_ring:
            name = self.probe_ring.pop()
            state = self.members.state_of(name)
            if state is not None and state < ENDED_RANK:
                number = next(self.numbers)
                self.probes[number] = Probe(name, now)
                self.transmitter.send(name, GossipMessage(ping=number))
                return
        self.probe_ring = list(self.members.others())
        self.members.rng.shuffle(self.probe_ring)

    def check_probes(self, now: float) -> None:
        """Ask others about probes that are not answered, then suspect their targets."""
        for number, probe in list(self.probes.items()):
            patience = 1 + self.health_score
            waited = now - probe.sent_at
            if self.last_contact.get(probe.target, -math.inf) >= probe.sent_at:
                del self.probes[number]
                self.health_score = max(0, self.health_score - 1)
            elif not probe.is_indirect and waited >= PROBE_TIMEOUT * patience:
                self.probe_indirectly(number, probe)
            elif waited >= (PROBE_TIMEOUT + INDIRECT_PROBE_TIMEOUT) * patience:
                del self.probes[number]
                self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                through = f", nor through {' and '.join(probe.relays)}" if probe.relays else ""
                self.on_verdict(now, probe.target, MemberState.SUSPECT, f"no answer in {waited:.2f} s{through}")

    def probe_indirectly(self, number: int, probe: Probe) -> None:
        """Ask others to probe the target of a probe."""
        probe.is_indirect = True
        probe.relays = self.members.sample(INDIRECT_PROBES, exclude=probe.target)
        for relay in probe.relays:
            self.transmitter.send(relay, GossipMessage(ping=number, target=probe.target))

    def check_suspects(self, now: float) -> None:
        """Declare suspects dead that have not refuted the suspicion in time."""
        for name, since in list(self.suspected_since.items()):
            if self.members.state_of(name) is not MemberState.SUSPECT:
                del self.suspected_since[name]
            elif now - since >= SUSPICION_TIMEOUT:
                del self.suspected_since[name]
                info = self.members.node_info(name)
                cause = f" (by {info.declared_by}: {info.reason})" if info is not None else ""
                evidence = f"suspected for {now - since:.1f} s, and said nothing{cause}"
                self.on_verdict(now, name, MemberState.DEAD, evidence)

    # --- what others say ---

    def on_heard(self, now: float, name: str) -> None:
        """A datagram of another came. Whoever has no record is not remembered."""
        if self.members.records.get(RecordKind.NODE, name) is not None:
            self.last_contact[name] = now

    def on_node_record(self, now: float, record: Record) -> None:
        """The record of a process has changed: a suspicion runs from now on."""
        if record.rank == MemberState.SUSPECT:
            self.suspected_since.setdefault(record.id, now)

    def on_ping(self, name: str, message: GossipMessage) -> None:
        """Answer a ping, or relay it to its target."""
        if not message.target:
            self.transmitter.send(name, GossipMessage(ack=message.ping))
        elif self.members.address_of(message.target) is not None:
            number = next(self.numbers)
            self.relayed_probes[number] = RelayedProbe(name, message.ping)
            if len(self.relayed_probes) > MAX_RELAYED_PROBES:
                self.relayed_probes.pop(next(iter(self.relayed_probes)))
            self.transmitter.send(message.target, GossipMessage(ping=number))

    def on_ack(self, now: float, name: str, number: int) -> None:
        """A ping was answered: by its target, or by a relay that had the target's answer."""
        relayed = self.relayed_probes.pop(number, None)
        if relayed is not None:
            self.transmitter.send(relayed.requester, GossipMessage(ack=relayed.number, target=name))
        probe = self.probes.pop(number, None)
        if probe is not None and probe.target != name:
            self.last_contact[probe.target] = now
