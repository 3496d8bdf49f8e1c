"""One process among the others: who is there, by probes in turn; what is known, by news passed on and digests.

Pure: instants (s, of any clock that only moves forward) and random numbers are handed in, and what is to be sent is
left in :attr:`Gossip.outbox`. Sources: SWIM (Das and others, 2002) and Lifeguard (2018) for probes, second opinions,
suspicion and doubting oneself; Scuttlebutt (van Renesse and others, 2008) for the mending of gaps.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, NodeInfo, Record, RecordVersion
from .member_state import MemberState as MemberState
from .member_state import is_urgent
from .orphans import OrphanDetector
from .pending import ConfirmedBroadcast, Probe
from .records import ENDED_RANK, MAX_RECORDS, NODE, Key, RecordStore, is_valid, precedence, record_key

FANOUT = 3  # peers that hot news goes to at a time
RETRANSMITS = (
    2  # times that news is passed on by each: who is missed by all hears of it by digests, within a second or two
)
URGENT_RETRANSMITS = 3  # times for what has a bound: drains, departures, versions
STARTUP_PERIOD = 6.0  # s after its own start for which a process knows few others yet ...
STARTUP_EXTRA_RETRANSMITS = (
    5  # ... and passes on everything so many times more: of what it tells a few, they tell the rest too late
)
STARTUP_BYTES = 60_000  # that it has sent by then at the most: where there are many, digests do for the rest
ROOT_DIGEST_PROTOCOL = 3  # version of the wire from which on a digest's root is understood
DEFAULT_RATE = 25_000.0  # bytes a second that news may take where nothing is said of the link
BURST_PERIOD = 1.0  # s of that which may be saved up
MAX_HEALTH_SCORE = 6  # the most by which this process doubts itself: probes are waited for by so many times longer
TICK_INTERVAL = 0.2  # s between two turns
PROBE_INTERVAL = 0.4  # s between two probes of a peer in turn
PROBE_TIMEOUT = 0.25  # s within which a probe is answered, before others are asked to try
INDIRECT_PROBE_TIMEOUT = 0.5  # s more, before it is suspected
SUSPICION_TIMEOUT = 1.6  # s for which it may say that it lives
INDIRECT_PROBES = 2  # others that give a second opinion
DIGEST_INTERVAL = 0.5  # s between two digests to one peer
SEED_DIGEST_INTERVAL = (
    2.0  # s between two digests to a seed, or to one that is taken for dead: how two sides of a cut meet
)
SEED_DIGEST_JITTER = 1.0  # s over which these are spread: those of one side don't all call at the same instant
STALL_THRESHOLD = 3 * TICK_INTERVAL  # s between two turns from which on this process doubts itself, not the others
MAX_DATAGRAM_RECORD_BYTES = 1100  # bytes of records in one datagram
MAX_DATAGRAM_VERSIONS = 24  # of them in one datagram
MAX_REASON_LENGTH = 300  # bytes
RECEIPT_RETRY_INTERVAL = 0.15  # s after which news that wants a receipt is told again


class Gossip:
    """Feed it :meth:`tick` each TICK, :meth:`receive` with what comes, and :meth:`broadcast` with what is new here."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        info: NodeInfo,
        seeds: Iterable[Address],
        now: float,
        rng: Random,
        rate: float = DEFAULT_RATE,
    ) -> None:
        """``rate``: bytes a second that news may take; what has a bound goes all the same, and is counted."""
        self.name, self.rng, self.seeds = name, rng, list(seeds)
        self.rate = self.send_credit = rate
        self.bytes_sent = 0
        """Bytes that were sent."""
        self.health_score = 0
        """Of itself: it rises with each probe that nobody answers, and falls with each that is answered."""
        self.records = RecordStore()
        self.orphans = OrphanDetector()
        self.outbox: list[tuple[Address, GossipMessage]] = []
        self.changes: list[tuple[Record, str]] = []
        """Records that are new here since this was last emptied, and who told them."""
        self.retransmits: dict[Key, int] = {}
        """News still to be passed on, so many times."""
        self.probe_ring: list[str] = []
        self.peers_revision = -1
        self.cached_peers: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, tuple[str, int]] = {}
        """Probes on another's behalf: by number who asked, and its number."""
        self.suspects: dict[str, float] = {}
        self.confirmed_broadcasts: dict[int, ConfirmedBroadcast] = {}
        self.last_heard: dict[str, float] = {}
        self.last_number = 0
        self.started_at = self.ticked_at = self.probed_at = self.seeded_at = now
        self.digested_at = -math.inf
        self.joined = False
        """Another has answered a digest of ours, or told us news."""
        self.counts = {"sent": 0, "heard": 0, "dropped": 0, "suspected": 0, "dead": 0}
        self.records.apply(
            now, Record(kind=NODE, id=name, incarnation=incarnation, seq=1, rank=0, body=info.SerializeToString())
        )
        self.enqueue((NODE, name))

    # --- who is there ---

    def node_info(self, name: str) -> NodeInfo | None:
        r = self.records.get(NODE, name)
        return NodeInfo.FromString(r.body) if r is not None else None

    def member_state(self, name: str) -> MemberState | None:
        r = self.records.get(NODE, name)
        return MemberState.of(r) if r is not None else None

    def peers(self) -> list[str]:
        """The others that are not known to be gone. Not to be changed by who asks."""
        if self.peers_revision != self.records.nodes_revision:
            self.peers_revision = self.records.nodes_revision
            self.cached_peers = [r.id for r in self.records.of_kind(NODE) if r.rank < ENDED_RANK and r.id != self.name]
        return self.cached_peers

    def sample_peers(self, most: int, exclude: str = "") -> list[str]:
        """So many others, drawn."""
        peers = self.peers()
        drawn = self.rng.sample(peers, min(len(peers), most + (exclude != "")))
        return [p for p in drawn if p != exclude][:most]

    def address_of(self, name: str) -> Address | None:
        info = self.node_info(name)
        return (info.ip, info.port) if info is not None else None

    def leave(self, now: float) -> None:
        """This process ends in order."""
        mine = self.records.by_key[(NODE, self.name)]
        self.broadcast(
            now,
            Record(
                kind=NODE,
                id=self.name,
                incarnation=mine.incarnation,
                seq=mine.seq,
                rank=MemberState.LEFT,
                body=mine.body,
            ),
        )

    # --- news ---

    def broadcast(self, now: float, r: Record) -> bool:
        """Something is new here: it goes out at once. False where newer is known."""
        if not self.records.apply(now, r):
            return False
        self.changes.append((r, self.name))
        self.enqueue(record_key(r))
        self.retransmit(now)
        return True

    def broadcast_confirmed(self, now: float, r: Record, to: Iterable[str]) -> int:
        """Broadcast, and send to these until each has confirmed it: a number for :attr:`confirmed_broadcasts`."""
        self.broadcast(now, r)
        self.last_number += 1
        self.confirmed_broadcasts[self.last_number] = ConfirmedBroadcast(r, set(to) - {self.name})
        self.resend_unconfirmed(now)
        return self.last_number

    def resend_unconfirmed(self, now: float) -> None:
        for number, receipt in self.confirmed_broadcasts.items():
            if now - receipt.sent_at >= RECEIPT_RETRY_INTERVAL:
                receipt.sent_at = now
                for name in receipt.recipients - receipt.confirmed_by:
                    self.send(name, GossipMessage(records=[receipt.record], receipt_request=number))

    def enqueue(self, k: Key) -> None:
        young = (
            STARTUP_EXTRA_RETRANSMITS
            if self.ticked_at - self.started_at < STARTUP_PERIOD and self.bytes_sent < STARTUP_BYTES
            else 0
        )
        self.retransmits[k] = young + (URGENT_RETRANSMITS if is_urgent(self.records.by_key[k]) else RETRANSMITS)

    def retransmit(self, now: float) -> None:
        """What is hot to a few others: what has a bound at once, the rest as the rate allows."""
        if not self.retransmits or not self.peers():
            return
        held = self.records.by_key
        keys = [k for k in self.retransmits if k in held and (self.send_credit > 0.0 or is_urgent(held[k]))]
        if not keys:
            return
        for name in self.sample_peers(FANOUT):
            self.send_records(name, [held[k] for k in keys])
        for k in keys:
            self.retransmits[k] -= 1
            if self.retransmits[k] <= 0:
                del self.retransmits[k]

    def send_records(self, name: str, news: Iterable[Record]) -> None:
        """Records in datagrams of a bounded size."""
        batch: list[Record] = []
        size = 0
        for r in news:
            more = r.ByteSize() + 4
            if batch and size + more > MAX_DATAGRAM_RECORD_BYTES:
                self.send(name, GossipMessage(records=batch))
                batch, size = [], 0
            batch.append(r)
            size += more
        if batch:
            self.send(name, GossipMessage(records=batch))

    def send(self, name: str, w: GossipMessage) -> None:
        address = self.address_of(name)
        if address is not None:
            self.send_to(address, w)

    def send_to(self, address: Address, w: GossipMessage) -> None:
        w.incarnation = self.records.by_key[(NODE, self.name)].incarnation
        w.sender = self.name
        self.counts["sent"] += 1
        size = w.ByteSize()
        self.send_credit -= size
        self.bytes_sent += size
        self.outbox.append((address, w))

    # --- turns ---

    def tick(self, now: float) -> None:
        late = now - self.ticked_at > STALL_THRESHOLD
        self.send_credit = min(BURST_PERIOD * self.rate, self.send_credit + self.rate * (now - self.ticked_at))
        self.ticked_at = now
        if late:
            # This process stood still or starved: what it didn't hear in that time says nothing of the others.
            self.probes.clear()
            self.relayed_probes.clear()
            self.suspects = {name: now for name in self.suspects}
        self.records.expire(now)
        for record in self.orphans.find_ended(now, self.records):
            self.broadcast(now, record)
        self.retransmit(now)
        self.resend_unconfirmed(now)
        self.check_probes(now)
        if now - self.probed_at >= PROBE_INTERVAL:
            self.probed_at = now
            self.probe_next(now)
        if now - self.digested_at >= DIGEST_INTERVAL:
            self.digested_at = now
            self.send_digests(now)

    def send_digests(self, now: float) -> None:
        """A digest to one of the others, and now and then to a seed or to one that may have come back."""
        peers = self.peers()
        digest = GossipMessage(digests=self.records.digests())
        if peers:
            name = self.rng.choice(peers)
            info = self.node_info(name)
            rooted = self.joined and info is not None and info.protocol_version >= ROOT_DIGEST_PROTOCOL
            self.send(name, GossipMessage(root_digest=self.records.root_digest()) if rooted else digest)
        if self.seeds and (not peers or not self.joined or now - self.seeded_at >= SEED_DIGEST_INTERVAL):
            self.seeded_at = now + SEED_DIGEST_JITTER * (self.rng.random() - 0.5)
            mine = self.address_of(self.name)
            for seed in self.seeds if not self.joined else [self.rng.choice(self.seeds)]:
                if seed != mine:
                    news = [self.records.by_key[(NODE, self.name)], *self.records.config_version()]
                    other = GossipMessage(digests=digest.digests, records=news)
                    self.send_to(seed, other)
            gone = [r.id for r in self.records.of_kind(NODE) if r.rank == MemberState.DEAD]
            if gone:
                name = self.rng.choice(gone)
                news = [self.records.by_key[(NODE, name)], *self.records.config_version()]
                self.send(name, GossipMessage(digests=digest.digests, records=news))

    def probe_next(self, now: float) -> None:
        """The next of the others in turn."""
        while self.probe_ring:
            name = self.probe_ring.pop()
            standing = self.member_state(name)
            if standing is not None and standing < ENDED_RANK:
                self.last_number += 1
                self.probes[self.last_number] = Probe(name, now)
                self.send(name, GossipMessage(ping=self.last_number))
                return
        self.probe_ring = list(self.peers())
        self.rng.shuffle(self.probe_ring)

    def check_probes(self, now: float) -> None:
        """Probes that are not answered, and suspicions that nobody refutes."""
        for number, probe in list(self.probes.items()):
            patience = 1 + self.health_score
            if self.last_heard.get(probe.target, -math.inf) >= probe.sent_at:
                del self.probes[number]
                self.health_score = max(0, self.health_score - 1)
            elif not probe.indirect and now - probe.sent_at >= PROBE_TIMEOUT * patience:
                probe.indirect = True
                probe.relays = self.sample_peers(INDIRECT_PROBES, exclude=probe.target)
                for name in probe.relays:
                    self.send(name, GossipMessage(ping=number, target=probe.target))
            elif now - probe.sent_at >= (PROBE_TIMEOUT + INDIRECT_PROBE_TIMEOUT) * patience:
                del self.probes[number]
                self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                through = f", nor through {' and '.join(probe.relays)}" if probe.relays else ""
                self.declare(
                    now, probe.target, MemberState.SUSPECT, f"no answer in {now - probe.sent_at:.2f} s{through}"
                )
        for name, since in list(self.suspects.items()):
            if self.member_state(name) is not MemberState.SUSPECT:
                del self.suspects[name]
            elif now - since >= SUSPICION_TIMEOUT:
                del self.suspects[name]
                info = self.node_info(name)
                cause = f" (by {info.declared_by}: {info.reason})" if info is not None else ""
                self.declare(now, name, MemberState.DEAD, f"suspected for {now - since:.1f} s, and said nothing{cause}")

    def declare(self, now: float, name: str, standing: MemberState, why: str) -> None:
        """Say of another what was found, and what it is drawn from: it may refute it by a higher number."""
        r = self.records.get(NODE, name)
        if r is not None and r.rank < standing:
            self.counts["suspected" if standing is MemberState.SUSPECT else "dead"] += 1
            info = NodeInfo.FromString(r.body)
            info.declared_by, info.reason = self.name, why[:MAX_REASON_LENGTH]
            self.broadcast(
                now,
                Record(
                    kind=NODE,
                    id=name,
                    incarnation=r.incarnation,
                    seq=r.seq,
                    rank=standing,
                    body=info.SerializeToString(),
                ),
            )
            self.track_suspicion(now, self.records.by_key[(NODE, name)])

    def track_suspicion(self, now: float, r: Record) -> None:
        if r.rank == MemberState.SUSPECT:
            self.suspects.setdefault(r.id, now)

    # --- what comes ---

    def receive(self, now: float, w: GossipMessage, sender: Address) -> None:
        """A datagram of another."""
        name = w.sender
        if not name or name == self.name:
            self.counts["dropped"] += 1
            return
        self.counts["heard"] += 1
        fresh = False
        for r in w.records:
            fresh = self.merge(now, r, name) or fresh
        if self.records.get(NODE, name) is not None:  # whoever else writes is not remembered
            self.last_heard[name] = now
        if w.receipt_request:
            above = self.records.superseding(w.records)
            if above:  # the news has changed nothing here: the teller hears of what has
                self.send_records(name, above)
            elif above is not None:
                self.send(name, GossipMessage(receipt=w.receipt_request))
        if w.receipt and w.receipt in self.confirmed_broadcasts:
            self.confirmed_broadcasts[w.receipt].confirmed_by.add(name)
        if w.ping:
            self.answer_ping(now, w, name)
        if w.ack:
            favour = self.relayed_probes.pop(w.ack, None)
            if favour is not None:
                self.send(favour[0], GossipMessage(ack=favour[1], target=name))
            probe = self.probes.pop(w.ack, None)
            if probe is not None and probe.target != name:
                self.last_heard[probe.target] = now
        known = self.records.get(NODE, name)
        if known is not None and (
            w.incarnation < known.incarnation or known.rank in (MemberState.SUSPECT, MemberState.DEAD)
        ):
            # It hears what is thought of it, and may refute that; also of an earlier life with a clock that was ahead.
            self.send(name, GossipMessage(records=[known, *self.records.config_version()]))
        if w.root_digest == self.records.root_digest():
            self.joined = True
        elif w.root_digest:
            self.send_or_reply(name, sender, GossipMessage(digests=self.records.digests()))
        if w.digests:
            self.answer_digest(w, name, sender)
        if w.ranges:
            lacks, wanted = self.records.reconcile(w.ranges, w.versions)
            self.send_records(name, lacks)
            for at in range(0, len(wanted), MAX_DATAGRAM_VERSIONS):
                self.send_or_reply(name, sender, GossipMessage(wanted=wanted[at : at + MAX_DATAGRAM_VERSIONS]))
            self.joined = True
        if w.wanted:
            self.send_records(
                name, [self.records.by_key[record_key(h)] for h in w.wanted if record_key(h) in self.records.by_key]
            )
        if fresh:
            self.joined = True
            self.retransmit(now)

    def merge(self, now: float, r: Record, teller: str) -> bool:
        """A record from another; whether it is new here."""
        k = record_key(r)
        if k == (NODE, self.name):
            mine = self.records.by_key[k]
            if precedence(r) > precedence(mine) and (r.rank or r.incarnation > mine.incarnation):
                # Somebody thinks this process gone, or an earlier life of it had a clock that was ahead.
                self.broadcast(
                    now,
                    Record(
                        kind=NODE,
                        id=self.name,
                        incarnation=r.incarnation,
                        seq=r.seq + 1,
                        rank=mine.rank,
                        body=mine.body,
                    ),
                )
                self.counts["refuted"] = self.counts.get("refuted", 0) + 1
            return False
        if not is_valid(r) or (k not in self.records.by_key and len(self.records.by_key) >= MAX_RECORDS):
            self.counts["dropped"] += 1
            return False
        if not self.records.apply(now, r):
            return False
        if r.kind == NODE:
            self.track_suspicion(now, r)
        self.changes.append((r, teller))
        self.enqueue(k)
        return True

    def answer_ping(self, now: float, w: GossipMessage, name: str) -> None:
        if not w.target:
            self.send(name, GossipMessage(ack=w.ping))
        elif self.address_of(w.target) is not None:
            self.last_number += 1
            self.relayed_probes[self.last_number] = (name, w.ping)
            if len(self.relayed_probes) > 64:
                self.relayed_probes.pop(next(iter(self.relayed_probes)))
            self.send(w.target, GossipMessage(ping=self.last_number))

    def answer_digest(self, w: GossipMessage, name: str, sender: Address) -> None:
        """The holdings of ranges that differ, in datagrams of a bounded size."""
        ranges: list[int] = []
        holdings: list[RecordVersion] = []
        for n in self.records.differing_ranges(w.digests):
            here = self.records.versions_in(n)
            if ranges and len(holdings) + len(here) > MAX_DATAGRAM_VERSIONS:
                self.send_or_reply(name, sender, GossipMessage(ranges=ranges, versions=holdings))
                ranges, holdings = [], []
            ranges.append(n)
            holdings += here
        if ranges:
            self.send_or_reply(name, sender, GossipMessage(ranges=ranges, versions=holdings))
        else:
            self.joined = True

    def send_or_reply(self, name: str, sender: Address, w: GossipMessage) -> None:
        """To one that may not be known by name yet."""
        if self.address_of(name) is not None:
            self.send(name, w)
        else:
            self.send_to(sender, w)
