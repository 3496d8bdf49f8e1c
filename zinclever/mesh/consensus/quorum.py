"""Views: who has a voice, how many voices settle an entry, who is let in and out. Pure."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence

from ..transport.mesh_pb2 import LogEntry, Voter

UNHEARD_TIMEOUT = 0.8  # s unheard after which a member may give its voter to one that waits
EXTRA_VOTER_DELAY = 1.6  # s that a newcomer waits for a voter to come free, before it is given one more


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
    made = hashlib.blake2b(b"%d %d %d" % (entry.number, entry.generation, entry.founding_size), digest_size=8)
    for part in (entry.text, *(d.encode() for d in disk_ids(entry.voters)), *(t.digest for t in entry.applied)):
        made.update(len(part).to_bytes(8, "big") + part)
    return int.from_bytes(made.digest(), "big")


def changes_voters(entry: LogEntry) -> bool:
    """Whether this entry changes the voters: those before it still have a say until another entry follows."""
    return bool(entry.previous_voters) and disk_ids(entry.previous_voters) != disk_ids(entry.voters)


def next_voters(
    committed: LogEntry,
    leader: str,
    waiting: Mapping[str, tuple[Voter, float]],
    heard_at: Mapping[str, float],
    now: float,
) -> list[Voter] | None:
    """The voters that should follow, or None where this one should stay.

    One step at a time: a machine that came back with another disk takes its own voter; a newcomer takes the voter of a
    member that is not heard of, or is given one more where none is free; a member beyond the first number of voices
    that is not heard of goes out.
    """
    voters = list(committed.voters)

    def dead(s: Voter) -> bool:
        return s.disk != leader and now - heard_at.get(s.disk, -1e9) > UNHEARD_TIMEOUT

    for voter, since in sorted(waiting.values(), key=lambda w: (w[1], w[0].disk)):
        if voter.disk in disk_ids(voters):
            continue
        for n, old in enumerate(voters):
            if (old.ip, old.port) == (voter.ip, voter.port):
                return [*voters[:n], voter, *voters[n + 1 :]]
        for n, old in enumerate(voters):
            if dead(old):
                return [*voters[:n], voter, *voters[n + 1 :]]
        if now - since > EXTRA_VOTER_DELAY:
            return [*voters, voter]
    if len(voters) > max(1, committed.founding_size):
        for n, old in enumerate(voters):
            if dead(old):
                return [*voters[:n], *voters[n + 1 :]]
    return None
