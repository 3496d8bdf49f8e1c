"""Anti-entropy: digests that are compared with random peers, so that whatever retransmissions missed is found. Pure.

Source: Scuttlebutt (van Renesse and others, 2008). A round is: root digest, digests of the ranges, versions in the
ranges that differ, then the records that either side lacks.
"""

from __future__ import annotations

from collections.abc import Iterable

from ...core.protocol import Address
from ..transport.mesh_pb2 import GossipMessage, RecordVersion
from .records import RecordKey, RecordKind
from .transmitter import Transmitter

ROOT_DIGEST_PROTOCOL = 3  # protocol version from which on a root digest is understood
DIGEST_INTERVAL = 0.5  # s between two digests to a peer
SEED_DIGEST_INTERVAL = 2.0  # s between two digests to a seed, or to a dead one: how two sides of a cut meet again
SEED_DIGEST_JITTER = 1.0  # s over which these are spread: processes of one side don't all call at the same instant
MAX_DATAGRAM_VERSIONS = 24  # versions of records in one datagram


class AntiEntropy:
    """Compares the records of this process with those of others."""

    def __init__(self, transmitter: Transmitter, seeds: Iterable[Address], now: float) -> None:
        self.transmitter = transmitter
        self.members = transmitter.members
        self.records = transmitter.members.records
        self.rng = transmitter.members.rng
        self.seeds = list(seeds)
        self.seed_contacted_at = now
        self.joined = False
        """Another process has compared its records with ours, or has sent records."""

    def send_digests(self, now: float) -> None:
        """Send a digest to one of the others, and now and then to a seed and to one that may have come back."""
        others = self.members.others()
        if others:
            self.send_digest_to_peer(self.rng.choice(others))
        if self.seeds and (not others or not self.joined or now - self.seed_contacted_at >= SEED_DIGEST_INTERVAL):
            self.seed_contacted_at = now + SEED_DIGEST_JITTER * (self.rng.random() - 0.5)
            self.contact_seeds()
            self.contact_dead()

    def send_digest_to_peer(self, name: str) -> None:
        """Send the root digest, or the digests of all ranges to a peer that doesn't understand the former."""
        info = self.members.node_info(name)
        if self.joined and info is not None and info.protocol_version >= ROOT_DIGEST_PROTOCOL:
            self.transmitter.send(name, GossipMessage(root_digest=self.records.root_digest()))
        else:
            self.transmitter.send(name, GossipMessage(digests=self.records.digests()))

    def contact_seeds(self) -> None:
        """Send digests to one seed, or to all of them before this process has joined."""
        own_address = self.members.address_of(self.members.name)
        for seed in [self.rng.choice(self.seeds)] if self.joined else self.seeds:
            if seed != own_address:
                self.transmitter.send_to(seed, self.introduction(self.members.name))

    def contact_dead(self) -> None:
        """Send digests to one that was declared dead: it refutes that if it lives."""
        dead = self.members.dead()
        if dead:
            name = self.rng.choice(dead)
            self.transmitter.send(name, self.introduction(name))

    def introduction(self, name: str) -> GossipMessage:
        """All digests, with the record of a process and of the newest configuration."""
        record = self.records.by_key[RecordKey(RecordKind.NODE, name)]
        return GossipMessage(digests=self.records.digests(), records=[record, *self.records.config_version()])

    def on_root_digest(self, name: str, source: Address, root_digest: int) -> None:
        """Answer with the digests of all ranges where the root differs."""
        if root_digest == self.records.root_digest():
            self.joined = True
        else:
            self.transmitter.reply(name, source, GossipMessage(digests=self.records.digests()))

    def on_digests(self, name: str, source: Address, message: GossipMessage) -> None:
        """Answer with the versions in the ranges that differ, in datagrams of a bounded size."""
        ranges: list[int] = []
        versions: list[RecordVersion] = []
        for index in self.records.differing_ranges(message.digests):
            found = self.records.versions_in(index)
            if ranges and len(versions) + len(found) > MAX_DATAGRAM_VERSIONS:
                self.transmitter.reply(name, source, GossipMessage(ranges=ranges, versions=versions))
                ranges, versions = [], []
            ranges.append(index)
            versions += found
        if ranges:
            self.transmitter.reply(name, source, GossipMessage(ranges=ranges, versions=versions))
        else:
            self.joined = True

    def on_versions(self, name: str, source: Address, message: GossipMessage) -> None:
        """Send what the other lacks in the ranges that differ, and request what is newer there."""
        newer_here, newer_there = self.records.reconcile(message.ranges, message.versions)
        self.transmitter.send_records(name, newer_here)
        for start in range(0, len(newer_there), MAX_DATAGRAM_VERSIONS):
            wanted = newer_there[start : start + MAX_DATAGRAM_VERSIONS]
            self.transmitter.reply(name, source, GossipMessage(wanted=wanted))
        self.joined = True
