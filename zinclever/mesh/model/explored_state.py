"""A state of the model checker: the replicas, the messages in flight and the operators' calls."""

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
    """How many events of each kind may still happen."""

    time_steps: int = 2
    """Time steps long enough for an election to start."""
    crashes: int = 1
    wipes: int = 0
    """Restarts with an empty disk."""
    losses: int = 1
    """Lost messages."""
    duplicates: int = 0
    """Messages that are delivered twice."""
    pauses: int = 0
    changes: int = 0
    reads: int = 0
    waits: int = 0
    """Time steps long enough for a silent voter to be replaced."""
    leaves: int = 0
    forced_ends: int = 0
    """Members that ask to leave and are killed before the leader has granted it."""
    destroyed: int = 0
    """Machines that are lost for good, with their disk."""
    joins: int = 0
    """New machines with an empty disk."""


@dataclass
class State:
    """The replicas of a cluster and everything that surrounds them; the lists are indexed by member."""

    replicas: list[Replica]
    durable: list[tuple[Vote, LogEntry | None]]
    """The vote and the accepted entry on each disk."""
    disk_names: list[str]
    pending_persists: list[list[Persist]]
    in_flight: list[tuple[int, bytes]] = field(default_factory=list)
    """Messages on the network: target member and serialized message."""
    budget: Budget = field(default_factory=Budget)
    now: float = 10.0
    committed: dict[int, bytes] = field(default_factory=dict)
    """The entry committed under each log index, serialized without its term."""
    history: tuple[Call, ...] = ()
    """The operators' calls, timed by :attr:`event_count`."""
    event_count: int = 0
    """How many calls have begun or ended."""
    highest_terms: list[int] = field(default_factory=lambda: [0, 0, 0])
    paused: set[int] = field(default_factory=set)
    resumed: set[int] = field(default_factory=set)
    """Members that were resumed and have not ticked since."""
    stopped: set[int] = field(default_factory=set)
    """Members that are not running: not started yet, shut down or destroyed."""
    destroyed: set[int] = field(default_factory=set)
    left_members: set[int] = field(default_factory=set)
    """Members that shut down after the leader had granted their leave; they may never come back."""
    lost_disks: set[str] = field(default_factory=set)
    """Lost disks without a replacement that has the committed state."""
    persisted_index: dict[str, int] = field(default_factory=dict)
    """The newest log index that was ever on each disk, lost disks included. Only kept by the voter explorer."""
    newest_committed: LogEntry | None = None
    """The newest committed entry. Only kept by the voter explorer."""

    def copy(self) -> State:
        """Return a copy that a transition may change."""
        return State(
            clone(self.replicas),
            list(self.durable),
            list(self.disk_names),
            clone(self.pending_persists),
            list(self.in_flight),
            replace(self.budget),
            self.now,
            dict(self.committed),
            self.history,
            self.event_count,
            list(self.highest_terms),
            set(self.paused),
            set(self.resumed),
            set(self.stopped),
            set(self.destroyed),
            set(self.left_members),
            set(self.lost_disks),
            dict(self.persisted_index),
            self.newest_committed,
        )

    def age(self, instant: float) -> float:
        """Return the time in seconds since an instant, capped and rounded so that equivalent states compare equal."""
        return round(min(self.now - instant, 99.0), 1)

    def key(self) -> bytes:
        """Return a digest; states with equal digests behave the same from here on."""
        digest = hashlib.blake2b(digest_size=16)
        for replica, durable, persists in zip(self.replicas, self.durable, self.pending_persists, strict=True):
            calls = replica.calls
            fields = (
                replica.role.name,
                replica.vote,
                replica.term,
                replica.established_term,
                replica.leader,
                sorted(replica.votes),
                sorted(replica.acknowledged_by),
                [(c.call_id, self.age(c.received_at)) for c in calls.queued_changes],
                calls.proposed_change and (calls.proposed_change.call_id, self.age(calls.proposed_change.received_at)),
                [(u.call.call_id, u.round, self.age(u.call.received_at)) for u in calls.unconfirmed],
                sorted(calls.confirmations.confirmed.items()),
                calls.confirmations.round,
                durable[0],
                [
                    self.age(at)
                    for at in (
                        replica.leader_last_contact,
                        replica.role_since,
                        replica.votes_requested_at,
                        replica.proposed_at,
                        replica.ticked_at,
                    )
                ],
                sorted((disk, self.age(at)) for disk, at in replica.last_contact.items()),
                [(a.vote, a.token - replica.last_token) for a in persists],
                self.voter_change_state(replica),
            )
            digest.update(repr(fields).encode())
            for entry in (replica.accepted, replica.committed, replica.proposed, durable[1]):
                digest.update(b"-" if entry is None else entry.SerializeToString(deterministic=True))
        rest = (sorted(self.in_flight), self.budget, self.history, sorted(self.paused), sorted(self.resumed))
        digest.update(repr(rest).encode())
        machines = (
            sorted(self.stopped),
            sorted(self.destroyed),
            sorted(self.left_members),
            sorted(self.lost_disks),
            self.disk_names,
        )
        digest.update(repr(sorted(self.persisted_index.items())).encode())
        digest.update(repr(machines).encode())
        return digest.digest()

    def voter_change_state(self, replica: Replica) -> tuple[object, ...]:
        """Return what a replica knows about leaving members and learners, as a part of the key."""
        changes = replica.voter_changes
        return (
            replica.leaving,
            replica.leave_granted,
            sorted((disk, self.age(at)) for disk, at in changes.leaving_since.items()),
            sorted((disk, self.age(since)) for disk, (_, since) in changes.learners.items()),
            sorted(changes.durable_index.items()),
            sorted((disk, self.age(at)) for disk, at in changes.sent_at.items()),
            self.age(changes.resumed_at),
            sorted(replica.reported.items()),
        )
