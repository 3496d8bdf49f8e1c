"""Voters: how many disks commit an entry, who is taken into the set and who goes out of it. Pure.

The set has a target size, :func:`target_size`. Silence alone never takes it below that: a voter goes out only for a
newcomer that takes its place, or where there are more voters than the target."""

from __future__ import annotations

import enum
import hashlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..transport.mesh_pb2 import LogEntry, Voter

UNHEARD_TIMEOUT = 0.8  # s unheard after which a voter is doubted: no voter is added beyond the target meanwhile
VOTER_LOST_TIMEOUT = 2.0  # s unheard after which a newcomer takes a voter's place, or one beyond the target goes out
EXTRA_VOTER_DELAY = 1.6  # s that a newcomer waits for a place to come free, before the voters are one more than needed


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


class Place(NamedTuple):
    """Where a machine of the core stands."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class FaultModel:
    """What may be lost at once with nothing lost of what was acknowledged: machines, or zones, or regions."""

    hosts: int = 1
    zones: int = 0
    regions: int = 0

    def losses(self, core: Collection[Place]) -> int:
        """Machines of the core that the voters have to bear the loss of. A zone or a region is lost with all its
        machines; no more can be borne than leaves a majority of the core, whatever is asked for."""
        zones = Counter(place.zone for place in core)
        regions = Counter(place.region for place in core)
        at_once = max(
            sum(count for _, count in zones.most_common(self.zones)),
            sum(count for _, count in regions.most_common(self.regions)),
        )
        return max(self.hosts, min(at_once, (len(core) - 1) // 2))


def disk_ids(voters: Iterable[Voter]) -> list[str]:
    return [s.disk for s in voters]


def majority(count: int) -> int:
    return count // 2 + 1


def commit_quorum(count: int, losses: int) -> int:
    """Disks of a set of voters that have to have an entry: a majority, and enough that ``losses`` disks lost leave
    one."""
    return min(count, max(majority(count), losses + 1))


def has_commit_quorum(voters: Sequence[Voter], have: Collection[str], losses: int) -> bool:
    """Whether these disks are enough of a set of voters."""
    return sum(d in have for d in disk_ids(voters)) >= commit_quorum(len(voters), losses)


def has_majority(voters: Sequence[Voter], have: Collection[str]) -> bool:
    """Whether these are a majority of a set of voters: they meet every set of disks that committed something in it."""
    return sum(d in have for d in disk_ids(voters)) >= majority(len(voters))


def digest(entry: LogEntry) -> int:
    """Digest of a committed entry without its term: alike on all members that have it under its number."""
    made = hashlib.blake2b(b"%d %d %d" % (entry.index, entry.generation, entry.founding_size), digest_size=8)
    for part in (entry.text, *(d.encode() for d in disk_ids(entry.voters)), *(t.digest for t in entry.applied_calls)):
        made.update(len(part).to_bytes(8, "big") + part)
    return int.from_bytes(made.digest(), "big")


def changes_voters(entry: LogEntry) -> bool:
    """Whether this entry changes the voters: those before it still have a say until another entry follows."""
    return bool(entry.previous_voters) and disk_ids(entry.previous_voters) != disk_ids(entry.voters)


def target_size(founding_size: int, losses: int) -> int:
    """The least size of the set: while ``losses`` of so many are gone, the rest are a majority."""
    return max(1, founding_size, 2 * losses + 1)


def next_voters(
    committed: LogEntry,
    leader: str,
    newcomers: Mapping[str, tuple[Voter, float]],
    heard_at: Mapping[str, float],
    now: float,
    losses: int = 1,
    leaving: Collection[str] = (),
) -> VoterChange | None:
    """The one step that is due, or None where the voters should stay as they are.

    ``newcomers`` are learners that have the state, and since when they wait. Each takes the first of these that there
    is: the place of its own machine's former disk, of a voter that leaves, of one that was not heard for long, a place
    that is missing to the target, one more place. Then, above the target, a voter that leaves goes out, or one that was
    not heard for long: whoever is gone, a smaller set needs fewer of the rest.
    """
    voters = list(committed.voters)
    target = target_size(committed.founding_size, losses)

    def unheard(voter: Voter, span: float) -> bool:
        return voter.disk != leader and now - heard_at.get(voter.disk, -1e9) > span

    gone = next((v for v in voters if v.disk in leaving and v.disk != leader), None)
    lost = next((v for v in voters if unheard(v, VOTER_LOST_TIMEOUT)), None)
    for voter, since in sorted(newcomers.values(), key=lambda w: (w[1], w[0].disk)):
        if voter.disk in disk_ids(voters) or voter.disk in leaving:
            continue
        former = next((v for v in voters if (v.ip, v.port) == (voter.ip, voter.port)), None)
        if former is not None:
            return replaced(voters, former, voter, VoterChangeReason.NEW_DISK)
        if gone is not None:
            return replaced(voters, gone, voter, VoterChangeReason.REPLACES_LEAVING)
        if lost is not None:
            return replaced(voters, lost, voter, VoterChangeReason.REPLACES_LOST)
        if len(voters) < target:
            return VoterChange([*voters, voter], VoterChangeReason.BELOW_TARGET, added=voter)
        doubted = any(unheard(v, UNHEARD_TIMEOUT) for v in voters)
        if not doubted and now - since > EXTRA_VOTER_DELAY:
            return VoterChange([*voters, voter], VoterChangeReason.JOINED, added=voter)
    if len(voters) > target:
        out, reason = (gone, VoterChangeReason.LEFT) if gone is not None else (lost, VoterChangeReason.LOST)
        if out is not None:
            return VoterChange([v for v in voters if v.disk != out.disk], reason, removed=out)
    return None


def replaced(voters: Sequence[Voter], old: Voter, new: Voter, reason: VoterChangeReason) -> VoterChange:
    return VoterChange([new if v.disk == old.disk else v for v in voters], reason, added=new, removed=old)
