"""Voters: how many disks commit an entry, who joins the set of voters and who leaves it. Pure.

The set has a target size, :func:`target_size`. Silence alone never takes it below that: a voter is removed only for a
learner that takes its place, or where there are more voters than the target.
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

UNHEARD_TIMEOUT = 0.8  # s unheard after which a voter is doubted: no voter is added beyond the target meanwhile
VOTER_LOST_TIMEOUT = 2.0  # s unheard after which a learner takes a voter's place, or one beyond the target is removed
EXTRA_VOTER_DELAY = 1.6  # s that a learner waits for a place to come free, before the voters are one more than needed


class VoterChangeReason(enum.Enum):
    """Why the set of voters changes."""

    NEW_DISK = "a machine came back with another disk"
    REPLACES_LEAVING = "a newcomer takes the place of a voter that leaves"
    REPLACES_LOST = "a newcomer takes the place of a voter that was not heard for long"
    BELOW_TARGET = "there are fewer voters than the fault model needs"
    JOINED = "a newcomer joins a set in which nobody is missing"
    LEFT = "a voter beyond the target leaves"
    LOST = "a voter beyond the target was not heard for long"


@dataclass(frozen=True, slots=True)
class VoterChange:
    """One step from a set of voters to the next."""

    voters: list[Voter]
    reason: VoterChangeReason
    added: Voter | None = None
    removed: Voter | None = None


class Learner(NamedTuple):
    """A replica that has no vote yet, and since when it waits for one, in s."""

    voter: Voter
    since: float


class Location(NamedTuple):
    """Where a control node is."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class FaultModel:
    """What may be lost at once with nothing lost of what was acknowledged: machines, or zones, or regions."""

    hosts: int = 1
    zones: int = 0
    regions: int = 0

    def tolerated_failures(self, control_nodes: Collection[Location]) -> int:
        """Control nodes that the voters have to bear the loss of.

        A zone or a region is lost with all its machines; no more can be borne than leaves a majority of the control
        nodes, whatever is asked for.
        """
        zones = Counter(location.zone for location in control_nodes)
        regions = Counter(location.region for location in control_nodes)
        at_once = max(
            sum(count for _, count in zones.most_common(self.zones)),
            sum(count for _, count in regions.most_common(self.regions)),
        )
        return max(self.hosts, min(at_once, (len(control_nodes) - 1) // 2))


def disk_ids(voters: Iterable[Voter]) -> list[str]:
    """The identities of the voters' disks."""
    return [voter.disk for voter in voters]


def majority(count: int) -> int:
    """The least number that is more than half of ``count``."""
    return count // 2 + 1


def commit_quorum(count: int, tolerated_failures: int) -> int:
    """How many disks of ``count`` voters have to have an entry.

    A majority, and enough that after the tolerated losses one of them is left.
    """
    return min(count, max(majority(count), tolerated_failures + 1))


def has_commit_quorum(voters: Sequence[Voter], holders: Collection[str], tolerated_failures: int) -> bool:
    """Whether these disks are enough to commit an entry."""
    return sum(disk in holders for disk in disk_ids(voters)) >= commit_quorum(len(voters), tolerated_failures)


def has_majority(voters: Sequence[Voter], disks: Collection[str]) -> bool:
    """Whether these are a majority of the voters: they meet every set of disks that committed something among them."""
    return sum(disk in disks for disk in disk_ids(voters)) >= majority(len(voters))


def digest(entry: LogEntry) -> int:
    """The digest of a committed entry without its term: 64 bits, alike on all replicas that have it at its index."""
    hashed = hashlib.blake2b(b"%d %d %d" % (entry.index, entry.generation, entry.founding_size), digest_size=8)
    disks = (disk.encode() for disk in disk_ids(entry.voters))
    calls = (call.digest for call in entry.applied_calls)
    for part in (entry.text, *disks, *calls):
        hashed.update(len(part).to_bytes(8, "big") + part)
    return int.from_bytes(hashed.digest(), "big")


def changes_voters(entry: LogEntry) -> bool:
    """Whether an entry changes the voters: those before it still have a say until another entry follows."""
    return bool(entry.previous_voters) and disk_ids(entry.previous_voters) != disk_ids(entry.voters)


def target_size(founding_size: int, tolerated_failures: int) -> int:
    """The least size of the set of voters: after the tolerated losses, the rest are a majority of it."""
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
    """The one change that is due, or None where the voters should stay as they are.

    ``learners`` have the state already. Each takes the first of these that there is: the place of its own machine's
    former disk, of a voter that leaves, of one that was not heard for long, a place that is missing to the target, one
    more place. Then, above the target, a voter that leaves is removed, or one that was not heard for long: whoever is
    gone, a smaller set needs fewer of the rest.
    """
    voters = list(committed.voters)
    target = target_size(committed.founding_size, tolerated_failures)

    def is_unheard(voter: Voter, timeout: float) -> bool:
        return voter.disk != leader and now - last_contact.get(voter.disk, -math.inf) > timeout

    left = next((v for v in voters if v.disk in leaving and v.disk != leader), None)
    lost = next((v for v in voters if is_unheard(v, VOTER_LOST_TIMEOUT)), None)
    for voter, since in sorted(learners.values(), key=lambda learner: (learner.since, learner.voter.disk)):
        if voter.disk in disk_ids(voters) or voter.disk in leaving:
            continue
        former = next((v for v in voters if (v.ip, v.port) == (voter.ip, voter.port)), None)
        if former is not None:
            return replacement(voters, former, voter, VoterChangeReason.NEW_DISK)
        if left is not None:
            return replacement(voters, left, voter, VoterChangeReason.REPLACES_LEAVING)
        if lost is not None:
            return replacement(voters, lost, voter, VoterChangeReason.REPLACES_LOST)
        if len(voters) < target:
            return VoterChange([*voters, voter], VoterChangeReason.BELOW_TARGET, added=voter)
        is_anybody_doubted = any(is_unheard(v, UNHEARD_TIMEOUT) for v in voters)
        if not is_anybody_doubted and now - since > EXTRA_VOTER_DELAY:
            return VoterChange([*voters, voter], VoterChangeReason.JOINED, added=voter)
    if len(voters) > target:
        removed, reason = (left, VoterChangeReason.LEFT) if left is not None else (lost, VoterChangeReason.LOST)
        if removed is not None:
            return VoterChange([v for v in voters if v.disk != removed.disk], reason, removed=removed)
    return None


def replacement(voters: Sequence[Voter], old: Voter, new: Voter, reason: VoterChangeReason) -> VoterChange:
    """The change that puts a new voter in the place of an old one."""
    return VoterChange([new if v.disk == old.disk else v for v in voters], reason, added=new, removed=old)
