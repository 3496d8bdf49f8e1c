"""A state of the explorer: the members, what is under way between them, what operators were told. Its copies and its
key."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace

from ..consensus.messages import Persist, Vote
from ..consensus.replica import Replica
from ..transport.mesh_pb2 import LogEntry
from .clone import clone
from .histories import Call


@dataclass
class Budget:
    """What may still happen."""

    time_steps: int = 2
    crashes: int = 1
    wipes: int = 0
    losses: int = 1
    duplicates: int = 0
    pauses: int = 0
    changes: int = 0
    reads: int = 0
    waits: int = 0
    """Spans of time long enough for a silent voter to be replaced."""
    leaves: int = 0
    forced_ends: int = 0
    """Members that are about to leave and are ended before the leader has let them go."""
    destroyed: int = 0
    """Machines that are lost for good, with their disk."""
    joins: int = 0
    """New machines with an empty disk."""


@dataclass
class State:
    orders: list[Replica]
    disk_ids: list[tuple[Vote, LogEntry | None]]
    names: list[str]
    pending_persists: list[list[Persist]]
    post: list[tuple[int, bytes]] = field(default_factory=list)
    budget: Budget = field(default_factory=Budget)
    now: float = 10.0
    committed: dict[int, bytes] = field(default_factory=dict)
    history: tuple[Call, ...] = ()
    """The calls of operators. Their instants count beginnings and ends of calls."""
    instant: int = 0
    terms: list[int] = field(default_factory=lambda: [0, 0, 0])
    paused: set[int] = field(default_factory=set)
    resumed: set[int] = field(default_factory=set)
    """Those that run again and have had no turn since."""
    off: set[int] = field(default_factory=set)
    """Those that don't run now: not started yet, ended, or destroyed."""
    destroyed: set[int] = field(default_factory=set)
    let_go: set[int] = field(default_factory=set)
    """Those that ended after the leader had let them go: they may never come back."""
    lost_disks: set[str] = field(default_factory=set)
    """Disks whose loss is not over: no successor has taken their place with what is committed."""
    held: dict[str, int] = field(default_factory=dict)
    """By disk, also a lost one: the newest entry that has been on it, while the voters are explored."""
    newest: LogEntry | None = None
    """The newest committed entry, while the voters are explored."""

    def copy(self) -> State:
        """A state to be changed by a move."""
        return State(
            clone(self.orders),
            list(self.disk_ids),
            list(self.names),
            clone(self.pending_persists),
            list(self.post),
            replace(self.budget),
            self.now,
            dict(self.committed),
            self.history,
            self.instant,
            list(self.terms),
            set(self.paused),
            set(self.resumed),
            set(self.off),
            set(self.destroyed),
            set(self.let_go),
            set(self.lost_disks),
            dict(self.held),
            self.newest,
        )

    def age(self, instant: float) -> float:
        return round(min(self.now - instant, 99.0), 1)

    def key(self) -> bytes:
        """States with the same key go on alike."""
        made = hashlib.blake2b(digest_size=16)
        for o, d, s in zip(self.orders, self.disk_ids, self.pending_persists, strict=True):
            calls = o.calls
            told = (
                o.role.name,
                o.vote,
                o.term,
                o.established_term,
                o.leader,
                sorted(o.votes),
                sorted(o.acknowledged_by),
                [(c.call_id, self.age(c.received_at)) for c in calls.queued_changes],
                calls.proposed_change and (calls.proposed_change.call_id, self.age(calls.proposed_change.received_at)),
                [(u.call.call_id, u.round, self.age(u.call.received_at)) for u in calls.unconfirmed],
                sorted(calls.confirmations.confirmed.items()),
                calls.confirmations.round,
                d[0],
                [
                    self.age(at)
                    for at in (o.leader_last_contact, o.role_since, o.votes_requested_at, o.proposed_at, o.ticked_at)
                ],
                sorted((disk, self.age(at)) for disk, at in o.last_contact.items()),
                [(a.vote, a.token - o.last_token) for a in s],
                self.voter_changes_of(o),
            )
            made.update(repr(told).encode())
            for entry in (o.accepted, o.committed, o.proposed, d[1]):
                made.update(b"-" if entry is None else entry.SerializeToString(deterministic=True))
        rest = (sorted(self.post), self.budget, self.history, sorted(self.paused), sorted(self.resumed))
        made.update(repr(rest).encode())
        machines = (sorted(self.off), sorted(self.destroyed), sorted(self.let_go), sorted(self.lost_disks), self.names)
        made.update(repr(sorted(self.held.items())).encode())
        made.update(repr(machines).encode())
        return made.digest()

    def voter_changes_of(self, replica: Replica) -> tuple[object, ...]:
        """What a replica knows of members that leave or want to be voters, for the key."""
        known = replica.voter_changes
        return (
            replica.leaving,
            replica.leave_granted,
            sorted((disk, self.age(at)) for disk, at in known.leaving_since.items()),
            sorted((disk, self.age(since)) for disk, (_, since) in known.learners.items()),
            sorted(known.durable_index.items()),
            sorted((disk, self.age(at)) for disk, at in known.sent_at.items()),
            self.age(known.resumed_at),
            sorted(replica.reported.items()),
        )
