"""Quorum sizes and membership changes of the voter set. No I/O.

The voter set has a target size, :func:`target_size`. An unreachable voter is removed only if a learner replaces it or
if there are more voters than the target, so that unreachability alone never shrinks the set below the target.

Voters are identified by their disk IDs: a node that returns with an empty disk is a different voter.
"""

from __future__ import annotations

import enum
import hashlib
import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..transport.mesh_pb2 import LogEntry, Voter

SUSPECT_TIMEOUT = 0.8  # seconds without contact to a voter, after which no voter is added beyond the target size
VOTER_LOST_TIMEOUT = 2.0  # seconds without contact, after which a voter is replaced, or removed if beyond the target
EXTRA_VOTER_DELAY = 1.6  # seconds that a learner waits to replace a voter before it is added beyond the target size


class VoterChangeReason(enum.Enum):
    """Why the voter set changes."""

    NEW_DISK = "a node came back with a different disk"
    REPLACES_LEAVING = "a learner replaces a voter that is leaving"
    REPLACES_LOST = "a learner replaces an unreachable voter"
    BELOW_TARGET = "there are fewer voters than the fault model requires"
    JOINED = "a learner joins while all voters are reachable"
    LEFT = "a voter beyond the target size is leaving"
    LOST = "a voter beyond the target size is unreachable"


@dataclass(frozen=True, slots=True)
class VoterChange:
    """A change of the voter set that adds a voter, removes one, or replaces one."""

    voters: list[Voter]
    reason: VoterChangeReason
    added: Voter | None = None
    removed: Voter | None = None


class Learner(NamedTuple):
    """A replica without a vote that waits to become a voter."""

    voter: Voter
    since: float
    """When it was first seen, in seconds."""


class Location(NamedTuple):
    """The zone and the region of a control node."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class FaultModel:
    """The simultaneous failures of hosts, zones or regions that every acknowledged change must survive."""

    hosts: int = 1
    zones: int = 0
    regions: int = 0

    def tolerated_failures(self, control_nodes: Collection[Location]) -> int:
        """The number of control nodes whose simultaneous loss the voters must tolerate.

        A failed zone or region takes all its nodes with it; the largest ones are assumed to fail. For zones and
        regions the result is limited to the largest minority of the control nodes.
        """
        zones = Counter(location.zone for location in control_nodes)
        regions = Counter(location.region for location in control_nodes)
        at_once = max(
            sum(count for _, count in zones.most_common(self.zones)),
            sum(count for _, count in regions.most_common(self.regions)),
        )
        return max(self.hosts, min(at_once, (len(control_nodes) - 1) // 2))


def disk_ids(voters: Iterable[Voter]) -> list[str]:
    """The disk IDs of the voters."""
    return [voter.disk for voter in voters]


def majority(count: int) -> int:
    """The smallest majority of ``count`` voters."""
    return count // 2 + 1


def commit_quorum(count: int, tolerated_failures: int) -> int:
    """The number of disks, out of ``count`` voters, that must hold an entry before it is committed.

    A majority, and at least one more than the tolerated failures, so that one copy survives them.
    """
    return min(count, max(majority(count), tolerated_failures + 1))


def has_commit_quorum(voters: Sequence[Voter], holders: Collection[str], tolerated_failures: int) -> bool:
    """Whether the disks in ``holders`` are enough to commit an entry."""
    return sum(disk in holders for disk in disk_ids(voters)) >= commit_quorum(len(voters), tolerated_failures)


def has_majority(voters: Sequence[Voter], disks: Collection[str]) -> bool:
    """Whether these disks include a majority of the voters, which intersects every commit quorum."""
    return sum(disk in disks for disk in disk_ids(voters)) >= majority(len(voters))


def digest(entry: LogEntry) -> int:
    """A 64-bit digest of a committed entry, equal on all replicas.

    The term is left out, because a new leader proposes the same entry again in its own term.
    """
    hashed = hashlib.blake2b(b"%d %d %d" % (entry.index, entry.generation, entry.founding_size), digest_size=8)
    disks = (disk.encode() for disk in disk_ids(entry.voters))
    calls = (call.digest for call in entry.applied_calls)
    for part in (entry.text, *disks, *calls):
        hashed.update(len(part).to_bytes(8, "big") + part)
    return int.from_bytes(hashed.digest(), "big")


def changes_voters(entry: LogEntry) -> bool:
    """Whether an entry changes the voter set.

    Until the next entry is committed, elections also need a majority of the previous voters.
    """
    return bool(entry.previous_voters) and disk_ids(entry.previous_voters) != disk_ids(entry.voters)


def target_size(founding_size: int, tolerated_failures: int) -> int:
    """The smallest voter set in which a majority survives the tolerated failures; at least the initial size."""
    return max(1, founding_size, 2 * tolerated_failures + 1)


def next_voters(
    committed: LogEntry,
    leader: str,
    learners: Mapping[str, Learner],
    last_contact: Mapping[str, float],
    now: float,
    tolerated_failures: int = 1,
    leaving: Collection[str] = (),
) -> VoterChange | None:
    """The next change of the voter set, or None if it should stay as it is.

    A learner, in order of waiting time, gets the first of these that applies: it replaces the voter with the former
    disk of its own node, a voter that is leaving, or an unreachable voter; it fills the set up to the target size; it
    joins as an extra voter. Otherwise, above the target size, a voter that is leaving or unreachable is removed,
    because a smaller set has a smaller quorum.

    Args:
        committed: The committed entry, which holds the current voters.
        leader: Disk ID of the leader, which is never replaced or removed as unreachable or leaving.
        learners: By disk ID; only those that hold the committed state.
        last_contact: When the last message from each voter was received, by disk ID.
        now: The current time in seconds.
        tolerated_failures: The number of simultaneous failures to tolerate.
        leaving: Disk IDs of the replicas that are shutting down.
    """
    voters = list(committed.voters)
    target = target_size(committed.founding_size, tolerated_failures)

    def is_unreachable(voter: Voter, timeout: float) -> bool:
        return voter.disk != leader and now - last_contact.get(voter.disk, -math.inf) > timeout

    leaving_voter = next((v for v in voters if v.disk in leaving and v.disk != leader), None)
    lost_voter = next((v for v in voters if is_unreachable(v, VOTER_LOST_TIMEOUT)), None)
    for voter, since in sorted(learners.values(), key=lambda learner: (learner.since, learner.voter.disk)):
        if voter.disk in disk_ids(voters) or voter.disk in leaving:
            continue
        former = next((v for v in voters if (v.ip, v.port) == (voter.ip, voter.port)), None)
        if former is not None:
            return replacement(voters, former, voter, VoterChangeReason.NEW_DISK)
        if leaving_voter is not None:
            return replacement(voters, leaving_voter, voter, VoterChangeReason.REPLACES_LEAVING)
        if lost_voter is not None:
            return replacement(voters, lost_voter, voter, VoterChangeReason.REPLACES_LOST)
        if len(voters) < target:
            return VoterChange([*voters, voter], VoterChangeReason.BELOW_TARGET, added=voter)
        is_any_suspected = any(is_unreachable(v, SUSPECT_TIMEOUT) for v in voters)
        if not is_any_suspected and now - since > EXTRA_VOTER_DELAY:
            return VoterChange([*voters, voter], VoterChangeReason.JOINED, added=voter)
    if len(voters) > target:
        removed, reason = (
            (leaving_voter, VoterChangeReason.LEFT)
            if leaving_voter is not None
            else (lost_voter, VoterChangeReason.LOST)
        )
        if removed is not None:
            return VoterChange([v for v in voters if v.disk != removed.disk], reason, removed=removed)
    return None


def replacement(voters: Sequence[Voter], old: Voter, new: Voter, reason: VoterChangeReason) -> VoterChange:
    """The change that replaces one voter by another."""
    return VoterChange([new if v.disk == old.disk else v for v in voters], reason, added=new, removed=old)
