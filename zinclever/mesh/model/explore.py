"""Every order in which a few things may happen to three members: a small model checker for the replicas.

A state is what the members are, what is under way between them, and what may still befall them. From each state every
move is tried; states that were seen are not entered again. Words that are said each turn anyway arrive at once, so that
what is explored is what matters: pending_vote_requests, votes, proposals and answers, in any order, lost or doubled,
and a crash
before or after any sync.
"""

from __future__ import annotations

import copy
import hashlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..consensus.messages import Commit, Kind, Persist, Reply, Send, Vote
from ..consensus.replica import Replica
from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter

ELECTION_STAGGER = 0.9  # s that pass in a turn: whoever doesn't receive from the leader tries to act


class Broken(AssertionError):
    """Something that must hold doesn't."""


@dataclass
class Budget:
    """What may still happen."""

    turns: int = 2
    crashes: int = 1
    wipes: int = 0
    losses: int = 1
    doubles: int = 0


@dataclass
class State:
    orders: list[Replica]
    disk_ids: list[tuple[Vote, LogEntry | None]]
    names: list[str]
    persisting: list[list[Persist]]
    post: list[tuple[int, bytes]] = field(default_factory=list)
    budget: Budget = field(default_factory=Budget)
    now: float = 10.0
    committed: dict[int, bytes] = field(default_factory=dict)
    acked: list[tuple[int, int]] = field(default_factory=list)
    """Base and generation of what was acknowledged."""
    terms: list[int] = field(default_factory=lambda: [0, 0, 0])

    def key(self) -> bytes:
        """States with the same key go on alike."""
        made = hashlib.blake2b(digest_size=16)
        for o, d, s in zip(self.orders, self.disk_ids, self.persisting, strict=True):
            told = (
                o.role.name,
                o.vote,
                o.term,
                o.leader,
                sorted(o.votes),
                sorted(o.have),
                len(o.calls.waiting),
                o.calls.current and o.calls.current.generation,
                d[0],
                round(self.now - o.leader_heard_at, 1) < 0.5,
                [(a.vote, a.token - o.token) for a in s],
            )
            made.update(repr(told).encode())
            for entry in (o.accepted, o.committed, o.proposed, d[1]):
                made.update(b"-" if entry is None else entry.SerializeToString(deterministic=True))
        made.update(repr((sorted(self.post), self.budget, round(self.now, 1), self.acked)).encode())
        return made.digest()


class Explorer:
    """Explores from a founding_size voters, with two operators' entries on one version asked of the leader."""

    def __init__(self, kind: type[Replica] = Replica, budget: Budget | None = None) -> None:
        self.kind = kind
        voters = [Voter(disk=f"d{n}", name=f"m{n}", ip=f"10.0.0.{n}", port=1) for n in range(3)]
        self.voters = voters
        first = LogEntry(term=1, number=1, voters=voters, founding_size=3)
        orders = [
            kind(s, [(x.ip, 1) for x in voters], False, 1, 10.0, Vote(1, "d0"), copy.deepcopy(first)) for s in voters
        ]
        state = State(orders, [(Vote(1, "d0"), first)] * 3, ["d0", "d1", "d2"], [[], [], []])
        state.budget = budget or Budget()
        for o in orders:
            o.commit(10.0, first)
            o.out.clear()
            o.heard_at = {s.disk: 10.0 for s in voters if s.disk != o.me.disk}
            o.leader, o.leader_heard_at = "d0", 10.0
        o = orders[0]
        o.term = o.established_term = 1
        o.become(type(o.role).LEADER, 10.0)
        o.put(10.0, 1, 0, 1, b"one", b"one")
        o.put(10.0, 2, 0, 2, b"two", b"two")
        self.start = state
        self.settle_down(state)
        self.states = 0

    def explore(self, most: int, depth: int) -> int:
        """States visited, breadth first: to a depth of so many moves, or until there are so many."""
        seen = {self.start.key()}
        queue: deque[tuple[State, int]] = deque([(self.start, 0)])
        while queue and len(seen) < most:
            state, at = queue.popleft()
            if at == depth:
                continue
            for made in self.moves(state):
                self.check(made)
                k = made.key()
                if k not in seen:
                    seen.add(k)
                    queue.append((made, at + 1))
        self.states = len(seen)
        return self.states

    # --- moves ---

    def moves(self, state: State) -> Iterator[State]:
        b = state.budget
        for n, item in enumerate(state.post):
            if item in state.post[:n]:
                continue
            yield self.commit(state, n, keep=False)
            if b.losses:
                made = copy.deepcopy(state)
                del made.post[n]
                made.budget.losses -= 1
                yield made
            if b.doubles:
                made = self.commit(state, n, keep=True)
                made.budget.doubles -= 1
                yield made
        for n in range(3):
            if state.persisting[n]:
                made = copy.deepcopy(state)
                act = made.persisting[n].pop(0)
                self.write(made, n, act)
                made.orders[n].persisted(made.now, act.token, True)
                self.settle_down(made)
                yield made
            if b.crashes:
                made = copy.deepcopy(state)
                made.budget.crashes -= 1
                self.restart(made, n)
                yield made
            if b.wipes:
                made = copy.deepcopy(state)
                made.budget.wipes -= 1
                made.names[n] = f"e{n}"
                made.disk_ids[n] = (Vote(0, ""), None)
                self.restart(made, n)
                yield made
        if b.turns:
            made = copy.deepcopy(state)
            made.budget.turns -= 1
            made.now += ELECTION_STAGGER
            for o in made.orders:
                for other in made.orders:
                    if other is not o:
                        o.heard_at[other.me.disk] = made.now
                o.tick(made.now)
            self.settle_down(made)
            yield made

    def commit(self, state: State, n: int, keep: bool) -> State:
        made = copy.deepcopy(state)
        to, data = made.post[n] if keep else made.post.pop(n)
        made.orders[to].receive(made.now, ConsensusMessage.FromString(data))
        self.settle_down(made)
        return made

    def write(self, state: State, n: int, act: Persist) -> None:
        state.disk_ids[n] = (act.vote, act.accepted if act.accepted is not None else state.disk_ids[n][1])

    def restart(self, state: State, n: int) -> None:
        voter = Voter(disk=state.names[n], name=f"m{n}", ip=f"10.0.0.{n}", port=1)
        vote, accepted = state.disk_ids[n]
        state.orders[n] = self.kind(
            voter, [(x.ip, 1) for x in self.voters], False, 1, state.now, vote, copy.deepcopy(accepted)
        )
        state.persisting[n] = []
        state.terms[n] = 0

    def settle_down(self, state: State) -> None:
        """Carry out what the members want: saves and messages wait for a move of their own."""
        busy = True
        while busy:
            busy = False
            for n, o in enumerate(state.orders):
                acts, o.out = o.out, []
                for act in acts:
                    busy = True
                    if isinstance(act, Persist):
                        state.persisting[n].append(act)
                    elif isinstance(act, Commit):
                        self.committed(state, act.entry)
                    elif isinstance(act, Reply):
                        if act.status == 200:
                            state.acked.append((0, act.call))
                    elif isinstance(act, Send):
                        self.post(state, n, act)

    def post(self, state: State, n: int, act: Send) -> None:
        data = act.message.SerializeToString(deterministic=True)
        to = next((k for k, s in enumerate(self.voters) if s.ip == act.to.ip), None)
        if to is None:
            return
        if to == n or act.message.kind == Kind.HEARTBEAT:
            state.orders[to].receive(state.now, ConsensusMessage.FromString(data))
        elif (to, data) not in state.post:
            state.post.append((to, data))

    # --- what must hold ---

    def committed(self, state: State, entry: LogEntry) -> None:
        kept = copy.deepcopy(entry)
        kept.term = 0
        text = kept.SerializeToString(deterministic=True)
        if state.committed.setdefault(entry.number, text) != text:
            raise Broken(f"two entries are committed under number {entry.number}")

    def check(self, state: State) -> None:
        if len({g for _, g in state.acked}) > 1:
            raise Broken("two entries on one version are acknowledged")
        for _, generation in state.acked:
            have = sum(d[1] is not None and d[1].generation >= generation for d in state.disk_ids)
            if have < 2 - (state.names != ["d0", "d1", "d2"]):
                raise Broken("what is acknowledged is on fewer disk_ids than may be lost")
        for n, o in enumerate(state.orders):
            if o.vote.term < state.terms[n]:
                raise Broken("a term goes back")
            state.terms[n] = o.vote.term
            if o.vote.term < state.disk_ids[n][0].term:
                raise Broken("a term goes below what is on the disk")
