"""Anti-entropy: compares digests with random peers to repair records that retransmissions missed. No I/O.

Based on Scuttlebutt (van Renesse et al., 2008). A round exchanges the root digest, the digests of the ranges, the
versions in the ranges that differ, and finally the records that either side lacks.
"""

from __future__ import annotations

from collections.abc import Iterable

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, RecordVersion
from .records import RecordKey, RecordKind
from .transmitter import Transmitter

ROOT_DIGEST_PROTOCOL = 3  # first protocol version that supports root digests
DIGEST_INTERVAL = 0.5  # s between digests to a random peer
SEED_DIGEST_INTERVAL = 2.0  # s between digests to a seed and to a dead node; reconnects the sides of a healed partition
SEED_DIGEST_JITTER = 1.0  # s; keeps the processes on one side of a partition from contacting seeds at the same time
MAX_DATAGRAM_VERSIONS = 24  # record versions in one datagram


class AntiEntropy:
    """Synchronizes the records of this process with those of its peers."""

    def __init__(self, transmitter: Transmitter, seeds: Iterable[Address], now: float) -> None:
        self.transmitter = transmitter
        self.members = transmitter.members
        self.records = transmitter.members.records
        self.rng = transmitter.members.rng
        self.seeds = list(seeds)
        self.seed_contacted_at = now
        self.joined = False
        """Whether a peer has compared its records with ours, or has sent records that were new here."""

    def send_digests(self, now: float) -> None:
        """Send a digest to a random peer, and at longer intervals to a seed and to a node that was declared dead."""
        others = self.members.others()
        if others:
            self.send_digest_to_peer(self.rng.choice(others))
        if self.seeds and (not others or not self.joined or now - self.seed_contacted_at >= SEED_DIGEST_INTERVAL):
            self.seed_contacted_at = now + SEED_DIGEST_JITTER * (self.rng.random() - 0.5)
            self.contact_seeds()
            self.contact_dead()

    def send_digest_to_peer(self, name: str) -> None:
        """Send the root digest; before joining, or to a peer that does not support it, send all range digests."""
        info = self.members.node_info(name)
        if self.joined and info is not None and info.protocol_version >= ROOT_DIGEST_PROTOCOL:
            self.transmitter.send(name, GossipMessage(root_digest=self.records.root_digest()))
        else:
            self.transmitter.send(name, GossipMessage(digests=self.records.digests()))

    def contact_seeds(self) -> None:
        """Send digests to one random seed, or to all seeds before this process has joined."""
        own_address = self.members.address_of(self.members.name)
        for seed in [self.rng.choice(self.seeds)] if self.joined else self.seeds:
            if seed != own_address:
                self.transmitter.send_to(seed, self.introduction(self.members.name))

    def contact_dead(self) -> None:
        """Send digests to a random dead node, which refutes its declaration if it is alive."""
        dead = self.members.dead()
        if dead:
            name = self.rng.choice(dead)
            self.transmitter.send(name, self.introduction(name))

    def introduction(self, name: str) -> GossipMessage:
        """Return all digests with the node record of ``name`` and the record of the newest configuration."""
        record = self.records.by_key[RecordKey(RecordKind.NODE, name)]
        return GossipMessage(digests=self.records.digests(), records=[record, *self.records.config_version()])

    def on_root_digest(self, name: str, source: Address, root_digest: int) -> None:
        """Reply with all range digests if the root digests differ."""
        if root_digest == self.records.root_digest():
            self.joined = True
        else:
            self.transmitter.reply(name, source, GossipMessage(digests=self.records.digests()))

    def on_digests(self, name: str, source: Address, message: GossipMessage) -> None:
        """Reply with the record versions of the ranges that differ, in datagrams of bounded size."""
        ranges: list[int] = []
        versions: list[RecordVersion] = []
        for index in self.records.differing_ranges(message.digests):
            range_versions = self.records.versions_in(index)
            if ranges and len(versions) + len(range_versions) > MAX_DATAGRAM_VERSIONS:
                self.transmitter.reply(name, source, GossipMessage(ranges=ranges, versions=versions))
                ranges, versions = [], []
            ranges.append(index)
            versions += range_versions
        if ranges:
            self.transmitter.reply(name, source, GossipMessage(ranges=ranges, versions=versions))
        else:
            self.joined = True

    def on_versions(self, name: str, source: Address, message: GossipMessage) -> None:
        """Send the records that the peer lacks in the ranges that differ, and request those that it has newer."""
        newer_here, newer_there = self.records.reconcile(message.ranges, message.versions)
        self.transmitter.send_records(name, newer_here)
        for start in range(0, len(newer_there), MAX_DATAGRAM_VERSIONS):
            wanted = newer_there[start : start + MAX_DATAGRAM_VERSIONS]
            self.transmitter.reply(name, source, GossipMessage(wanted=wanted))
        self.joined = True
