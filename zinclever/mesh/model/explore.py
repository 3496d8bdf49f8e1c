"""Every order in which a few things may happen to three members: a small model checker for the replicas.

A state is what the members are, what is under way between them, and what may still befall them. From each state every
move is tried; states that were seen are not entered again. Heartbeats arrive at once, but at a member that stands
still, so that what is explored is what matters: votes, proposals, confirmations and answers, in any order, lost or
doubled; a crash before or after any sync; a member that stands still, and reads what has come in any order once it
runs again; operators that ask leaders for changes, also for the same again, and for what is in force.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from enum import Enum

from ..consensus.messages import Commit, MessageKind, Persist, ReplicaRole, Reply, Send, Vote
from ..consensus.replica import Replica
from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .explored_state import Budget, State
from .histories import Call, Told, is_linearizable
from .members import text_of, version_of

ELECTION_STAGGER = 0.9  # s that pass in a turn: whoever doesn't receive from the leader tries to act
CHANGES = ((0, 1), (0, 2), (1, 3), (3, 5), (1, 1))
"""What operators ask for, as base and generation: two on one version, one on each that may follow, and one whose number
is not above the version that it builds on. Each may be asked for again."""


class Broken(AssertionError):
    """Something that must hold doesn't."""


class Start(Enum):
    """What has happened before the exploration begins."""

    TWO_CHANGES = "the leader has been asked for two changes on one version"
    REPLACED = "the leader stands still; another was elected, and a version acknowledged that the first doesn't know"
    LAGGING_MEMBER = (
        "a version was acknowledged that one member lacks and the next has only accepted; the leader stands still"
    )


class Explorer:
    """Explores from three voters with a leader and what has happened to them before."""

    def __init__(
        self, kind: type[Replica] = Replica, budget: Budget | None = None, start: Start = Start.TWO_CHANGES
    ) -> None:
        self.kind = kind
        voters = [Voter(disk=f"d{n}", name=f"m{n}", ip=f"10.0.0.{n}", port=1) for n in range(3)]
        self.voters = voters
        self.judged: dict[tuple[Call, ...], bool] = {}
        self.states = 0
        first = LogEntry(term=1, index=1, voters=voters, founding_size=3)
        orders = [kind(s, [(x.ip, 1) for x in voters], False, 1, 10.0, Vote(1, "d0"), first) for s in voters]
        state = State(orders, [(Vote(1, "d0"), first)] * 3, ["d0", "d1", "d2"], [[], [], []])
        state.budget = budget or Budget()
        for o in orders:
            o.commit(10.0, first)
            o.actions.clear()
            o.last_contact = {s.disk: 10.0 for s in voters if s.disk != o.own_voter.disk}
            o.leader, o.leader_last_contact = "d0", 10.0
        orders[0].term = orders[0].established_term = 1
        orders[0].change_role(ReplicaRole.LEADER, 10.0)
        self.start = state
        prepare: dict[Start, Callable[[State], None]] = {
            Start.TWO_CHANGES: self.prepare_asked,
            Start.REPLACED: self.prepare_replaced,
            Start.LAGGING_MEMBER: self.prepare_behind,
        }
        prepare[start](state)

    # --- what has happened before ---

    def prepare_asked(self, state: State) -> None:
        self.ask_change(state, 0, 0, 1)
        self.ask_change(state, 0, 0, 2)

    def prepare_replaced(self, state: State) -> None:
        self.ask_change(state, 0, 0, 1)
        self.ask_read(state, 0)
        self.calm(state)
        state.paused.add(0)
        self.turn(state)
        self.calm(state)
        self.ask_change(state, 1, 1, 3)
        self.calm(state)

    def prepare_behind(self, state: State) -> None:
        self.ask_change(state, 0, 0, 1)
        state.paused = {0, 1}
        self.calm(state)  # the third accepts it
        state.paused = {1, 2}
        self.calm(state)  # it is committed, and only the leader knows
        state.paused = {0}
        self.turn(state)

    def calm(self, state: State) -> None:
        """All that is under way arrives, in its order, but at members that stand still."""
        while self.advance(state):
            pass

    def advance(self, state: State) -> bool:
        """The next of what is under way takes place, if there is any: saves first, then messages in their order."""
        writing = next((n for n, acts in enumerate(state.pending_persists) if acts and n not in state.paused), None)
        n = next((n for n, (to, _) in enumerate(state.post) if to not in state.paused), None)
        if writing is not None:
            self.sync(state, writing)
        elif n is not None:
            to, data = state.post.pop(n)
            self.receive(state, to, data)
        return writing is not None or n is not None

    # --- the search ---

    def explore(self, most: int, depth: int) -> int:
        """States visited, breadth first: to a depth of so many moves, or until there are so many."""
        self.check(self.start)
        seen = {self.start.key()}
        queue: deque[tuple[State, bytes, int]] = deque([(self.start, self.start.key(), 0)])
        while queue and len(seen) < most:
            state, known, at = queue.popleft()
            if at == depth:
                continue
            for made in self.moves(state):
                self.check(made)
                k = made.key()
                if k not in seen:
                    seen.add(k)
                    queue.append((made, k, at + 1))
            assert state.key() == known, "a move has changed the state that it was made from"
        self.states = len(seen)
        return self.states

    def moves(self, state: State) -> Iterator[State]:
        yield from self.moves_of_messages(state)
        for n in range(len(state.orders)):
            yield from self.moves_of_member(state, n)
            if state.orders[n].role is ReplicaRole.LEADER and n not in state.off:
                yield from self.moves_of_operators(state, n)
        if state.budget.time_steps:
            made = state.copy()
            made.budget.time_steps -= 1
            self.turn(made)
            yield made

    def moves_of_messages(self, state: State) -> Iterator[State]:
        for n, (to, data) in enumerate(state.post):
            if to in state.paused:
                continue
            made = state.copy()
            del made.post[n]
            self.receive(made, to, data)
            yield made
            if state.budget.losses:
                made = state.copy()
                del made.post[n]
                made.budget.losses -= 1
                yield made
            if state.budget.duplicates:
                made = state.copy()
                made.budget.duplicates -= 1
                self.receive(made, to, data)
                yield made

    def moves_of_member(self, state: State, n: int) -> Iterator[State]:
        b = state.budget
        if n in state.paused:
            made = state.copy()
            made.paused.discard(n)
            made.resumed.add(n)
            yield made
            return
        if state.pending_persists[n]:
            made = state.copy()
            self.sync(made, n)
            yield made
        if n in state.resumed:
            made = state.copy()
            self.tick(made, n)
            yield made
        if b.crashes:
            made = state.copy()
            made.budget.crashes -= 1
            self.restart(made, n)
            yield made
        if b.wipes:
            made = state.copy()
            made.budget.wipes -= 1
            made.names[n] = f"e{n}"
            made.disk_ids[n] = (Vote(0, ""), None)
            self.restart(made, n)
            yield made
        if b.pauses:
            made = state.copy()
            made.budget.pauses -= 1
            made.paused.add(n)
            yield made

    def moves_of_operators(self, state: State, n: int) -> Iterator[State]:
        """Of a member that stands still nothing is asked: a call that waits there is as one that comes later."""
        if n in state.paused:
            return
        if state.budget.changes:
            for base, generation in CHANGES:
                made = state.copy()
                made.budget.changes -= 1
                self.ask_change(made, n, base, generation)
                yield made
        if state.budget.reads:
            made = state.copy()
            made.budget.reads -= 1
            self.ask_read(made, n)
            yield made

    # --- what a move does to a state ---

    def receive(self, state: State, to: int, data: bytes) -> None:
        state.orders[to].receive(state.now, ConsensusMessage.FromString(data))
        self.settle_down(state)

    def sync(self, state: State, n: int) -> None:
        """The oldest save of a member is on its disk."""
        act = state.pending_persists[n].pop(0)
        state.disk_ids[n] = (act.vote, act.entry if act.entry is not None else state.disk_ids[n][1])
        state.orders[n].on_persisted(state.now, act.token, True)
        self.settle_down(state)

    def tick(self, state: State, n: int) -> None:
        state.resumed.discard(n)
        state.orders[n].tick(state.now)
        self.settle_down(state)

    def turn(self, state: State) -> None:
        """Time passes, in which those that run hear each other."""
        state.now += ELECTION_STAGGER
        running = [o for n, o in enumerate(state.orders) if n not in state.paused | state.off]
        state.resumed.clear()
        for o in running:
            for other in running:
                if other is not o:
                    o.last_contact[other.own_voter.disk] = state.now
            o.ticked_at = o.voter_changes.ticked_at = state.now  # it has had turns all the while
            o.tick(state.now)
        self.settle_down(state)

    def restart(self, state: State, n: int) -> None:
        voter = Voter(disk=state.names[n], name=f"m{n}", ip=f"10.0.0.{n}", port=1)
        vote, accepted = state.disk_ids[n]
        state.orders[n] = self.kind(voter, [(x.ip, 1) for x in self.voters], False, 1, state.now, vote, accepted)
        state.pending_persists[n] = []
        state.terms[n] = 0
        state.resumed.discard(n)

    def ask_change(self, state: State, n: int, base: int, generation: int) -> None:
        call, text = self.begin(state, Call(0, math.inf, "put", generation, base)), text_of(generation, 0)
        state.orders[n].change(state.now, call, base, generation, text, text)
        self.settle_down(state)

    def ask_read(self, state: State, n: int) -> None:
        state.orders[n].read(state.now, self.begin(state, Call(0, math.inf, "get", 0)))
        self.settle_down(state)

    def begin(self, state: State, call: Call) -> int:
        """A call begins: its number."""
        state.instant += 1
        state.history += (replace(call, began=state.instant),)
        return len(state.history) - 1

    def answer(self, state: State, reply: Reply) -> None:
        told = {200: Told.DONE, 404: Told.DONE, 412: Told.STALE, 400: Told.GENERATION_TOO_LOW}.get(
            reply.status, Told.INDETERMINATE
        )
        state.instant += 1
        call = replace(state.history[reply.call_id], ended=state.instant, told=told)
        if call.kind == "get" and reply.status == 200:
            call.generation, call.variant = version_of(reply.text)
        state.history = (*state.history[: reply.call_id], call, *state.history[reply.call_id + 1 :])

    def settle_down(self, state: State) -> None:
        """Carry out what the members want: saves and messages wait for a move of their own."""
        busy = True
        while busy:
            busy = False
            for n, o in enumerate(state.orders):
                acts, o.actions = o.actions, []
                for act in acts:
                    busy = True
                    if isinstance(act, Persist):
                        state.pending_persists[n].append(act)
                    elif isinstance(act, Commit):
                        self.committed(state, act.entry)
                    elif isinstance(act, Reply):
                        self.answer(state, act)
                    elif isinstance(act, Send):
                        self.post(state, n, act)

    def post(self, state: State, n: int, act: Send) -> None:
        data = act.message.SerializeToString(deterministic=True)
        to = next((k for k, s in enumerate(self.voters) if s.ip == act.to.ip), None)
        if to is None or to in state.off:
            return
        if to == n or (act.message.kind == MessageKind.HEARTBEAT and to not in state.paused):
            state.orders[to].receive(state.now, ConsensusMessage.FromString(data))
        elif (to, data) not in state.post:
            state.post.append((to, data))

    # --- what must hold ---

    def committed(self, state: State, entry: LogEntry) -> None:
        kept = LogEntry()
        kept.CopyFrom(entry)
        kept.term = 0
        text = kept.SerializeToString(deterministic=True)
        if state.committed.setdefault(entry.index, text) != text:
            raise Broken(f"two entries are committed under number {entry.index}")

    def check(self, state: State) -> None:
        if state.history not in self.judged:
            self.judged[state.history] = is_linearizable(state.history)
        if not self.judged[state.history]:
            raise Broken(f"no order of the calls explains what they were told: {state.history}")
        self.check_durable(state)
        self.check_terms(state)

    def check_durable(self, state: State) -> None:
        """What is acknowledged is on enough disks, also after one more loss."""
        for call in state.history:
            if call.kind == "put" and call.told is Told.DONE:
                have = sum(d[1] is not None and d[1].generation >= call.generation for d in state.disk_ids)
                if have < 2 - (state.names != ["d0", "d1", "d2"]):
                    raise Broken("what is acknowledged is on fewer disks than may be lost")

    def check_terms(self, state: State) -> None:
        for n, o in enumerate(state.orders):
            if o.vote.term < state.terms[n]:
                raise Broken("a term goes back")
            state.terms[n] = o.vote.term
            if o.vote.term < state.disk_ids[n][0].term:
                raise Broken("a term goes below what is on the disk")
