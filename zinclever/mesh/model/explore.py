"""A bounded model checker for the replicas: explores the orders in which events may happen to three members.

A state consists of the replicas, the messages in flight and the budget of faults that may still happen. Every possible
event is applied to each state, breadth first; a state that was seen before is not expanded again. Heartbeats to running
members are delivered at once, so that the exploration covers votes, proposals, confirmations and replies: in any order,
lost or duplicated. Members crash before or after any persist, or pause and read the queued messages in any order once
they resume. Operators send changes and reads to leaders, including repeated changes and ones that are already in force.
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
from .histories import Call, CallOutcome, is_linearizable
from .members import decode_config, encode_config

ELECTION_STEP = 0.9  # s of one time step; a member without contact to the leader then starts an election
CHANGES = ((0, 1), (0, 2), (1, 3), (3, 5), (1, 1))
"""Changes that operators request, as (base, generation): two for the same base, one for each possible next base, and
one whose generation is not above its base. Each may be requested repeatedly."""


OUTCOMES = {
    200: CallOutcome.DONE,
    404: CallOutcome.DONE,
    412: CallOutcome.STALE,
    400: CallOutcome.GENERATION_TOO_LOW,
}
"""Outcomes of calls by the status of the reply; with any other status the outcome is open."""


class Broken(AssertionError):
    """An invariant doesn't hold."""


class Start(Enum):
    """What has happened before the exploration begins."""

    TWO_CHANGES = "two changes with the same base were requested of the leader"
    REPLACED = "the leader is paused; another was elected and acknowledged a change that the first doesn't know"
    LAGGING_MEMBER = (
        "the leader acknowledged a change and is paused; one member lacks it, the other has only accepted it"
    )


class Explorer:
    """Explores from a cluster of three voters with a leader, prepared as ``start`` says."""

    def __init__(
        self, replica_type: type[Replica] = Replica, budget: Budget | None = None, start: Start = Start.TWO_CHANGES
    ) -> None:
        self.replica_type = replica_type
        voters = [Voter(disk=f"d{n}", name=f"m{n}", ip=f"10.0.0.{n}", port=1) for n in range(3)]
        self.voters = voters
        self.judged: dict[tuple[Call, ...], bool] = {}
        """Whether each history of calls that was reached is linearizable."""
        self.states = 0
        first = LogEntry(term=1, index=1, voters=voters, founding_size=3)
        replicas = [replica_type(v, [(x.ip, 1) for x in voters], False, 1, 10.0, Vote(1, "d0"), first) for v in voters]
        state = State(replicas, [(Vote(1, "d0"), first)] * 3, ["d0", "d1", "d2"], [[], [], []])
        state.budget = budget or Budget()
        for replica in replicas:
            replica.commit(10.0, first)
            replica.actions.clear()
            replica.last_contact = {v.disk: 10.0 for v in voters if v.disk != replica.own_voter.disk}
            replica.leader, replica.leader_last_contact = "d0", 10.0
        replicas[0].term = replicas[0].established_term = 1
        replicas[0].change_role(ReplicaRole.LEADER, 10.0)
        self.start = state
        prepare: dict[Start, Callable[[State], None]] = {
            Start.TWO_CHANGES: self.prepare_two_changes,
            Start.REPLACED: self.prepare_replaced_leader,
            Start.LAGGING_MEMBER: self.prepare_lagging_member,
        }
        prepare[start](state)

    # --- what has happened before ---

    def prepare_two_changes(self, state: State) -> None:
        """Request two changes on the same base."""
        self.request_change(state, 0, 0, 1)
        self.request_change(state, 0, 0, 2)

    def prepare_replaced_leader(self, state: State) -> None:
        """Pause the leader, elect another one, and have it acknowledge a change."""
        self.request_change(state, 0, 0, 1)
        self.request_read(state, 0)
        self.deliver_all(state)
        state.paused.add(0)
        self.advance_time(state)
        self.deliver_all(state)
        self.request_change(state, 1, 1, 3)
        self.deliver_all(state)

    def prepare_lagging_member(self, state: State) -> None:
        """Acknowledge a change that only the leader knows to be committed, and pause the leader."""
        self.request_change(state, 0, 0, 1)
        state.paused = {0, 1}
        self.deliver_all(state)  # the third member accepts it
        state.paused = {1, 2}
        self.deliver_all(state)  # it is committed, and only the leader knows
        state.paused = {0}
        self.advance_time(state)

    def deliver_all(self, state: State) -> None:
        """Complete all persists and deliver all messages in order, except those of paused members."""
        while self.advance(state):
            pass

    def advance(self, state: State) -> bool:
        """Complete the next persist or, if there is none, deliver the next message; return whether there was either."""
        persisting = next(
            (n for n, actions in enumerate(state.pending_persists) if actions and n not in state.paused), None
        )
        n = next((n for n, (target, _) in enumerate(state.in_flight) if target not in state.paused), None)
        if persisting is not None:
            self.complete_persist(state, persisting)
        elif n is not None:
            target, data = state.in_flight.pop(n)
            self.deliver(state, target, data)
        return persisting is not None or n is not None

    # --- the search ---

    def explore(self, max_states: int, max_depth: int) -> int:
        """Search breadth first, up to a number of states and of events in a row, and return the number of states.

        Raises:
            Broken: an invariant doesn't hold in a state that was reached.
        """
        self.check_invariants(self.start)
        seen = {self.start.key()}
        queue: deque[tuple[State, bytes, int]] = deque([(self.start, self.start.key(), 0)])
        while queue and len(seen) < max_states:
            state, key, depth = queue.popleft()
            if depth == max_depth:
                continue
            for successor in self.successors(state):
                self.check_invariants(successor)
                k = successor.key()
                if k not in seen:
                    seen.add(k)
                    queue.append((successor, k, depth + 1))
            assert state.key() == key, "a transition has changed the state that it started from"
        self.states = len(seen)
        return self.states

    def successors(self, state: State) -> Iterator[State]:
        """Yield the states after each event that may happen next."""
        yield from self.delivery_successors(state)
        for n in range(len(state.replicas)):
            yield from self.member_successors(state, n)
            if state.replicas[n].role is ReplicaRole.LEADER and n not in state.stopped:
                yield from self.operator_successors(state, n)
        if state.budget.time_steps:
            successor = state.copy()
            successor.budget.time_steps -= 1
            self.advance_time(successor)
            yield successor

    def delivery_successors(self, state: State) -> Iterator[State]:
        """Yield the states after each message in flight is delivered, lost or duplicated."""
        for n, (target, data) in enumerate(state.in_flight):
            if target in state.paused:
                continue
            successor = state.copy()
            del successor.in_flight[n]
            self.deliver(successor, target, data)
            yield successor
            if state.budget.losses:
                successor = state.copy()
                del successor.in_flight[n]
                successor.budget.losses -= 1
                yield successor
            if state.budget.duplicates:
                successor = state.copy()
                successor.budget.duplicates -= 1
                self.deliver(successor, target, data)
                yield successor

    def member_successors(self, state: State, n: int) -> Iterator[State]:
        """Yield the states after a member resumes, completes a persist, ticks, crashes, loses its disk or pauses."""
        budget = state.budget
        if n in state.paused:
            successor = state.copy()
            successor.paused.discard(n)
            successor.resumed.add(n)
            yield successor
            return
        if state.pending_persists[n]:
            successor = state.copy()
            self.complete_persist(successor, n)
            yield successor
        if n in state.resumed:
            successor = state.copy()
            self.tick(successor, n)
            yield successor
        if budget.crashes:
            successor = state.copy()
            successor.budget.crashes -= 1
            self.restart(successor, n)
            yield successor
        if budget.wipes:
            successor = state.copy()
            successor.budget.wipes -= 1
            successor.disk_names[n] = f"e{n}"
            successor.durable[n] = (Vote(0, ""), None)
            self.restart(successor, n)
            yield successor
        if budget.pauses:
            successor = state.copy()
            successor.budget.pauses -= 1
            successor.paused.add(n)
            yield successor

    def operator_successors(self, state: State, n: int) -> Iterator[State]:
        """Yield the states after a leader gets a change or a read.

        Paused members get none: a queued call has the same effect as one that arrives after the pause.
        """
        if n in state.paused:
            return
        if state.budget.changes:
            for base, generation in CHANGES:
                successor = state.copy()
                successor.budget.changes -= 1
                self.request_change(successor, n, base, generation)
                yield successor
        if state.budget.reads:
            successor = state.copy()
            successor.budget.reads -= 1
            self.request_read(successor, n)
            yield successor

    # --- events ---

    def deliver(self, state: State, target: int, data: bytes) -> None:
        """Deliver a message to a member."""
        state.replicas[target].receive(state.now, ConsensusMessage.FromString(data))
        self.run_actions(state)

    def complete_persist(self, state: State, n: int) -> None:
        """The oldest pending persist of a member becomes durable."""
        action = state.pending_persists[n].pop(0)
        state.durable[n] = (action.vote, action.entry if action.entry is not None else state.durable[n][1])
        state.replicas[n].on_persisted(state.now, action.token, True)
        self.run_actions(state)

    def tick(self, state: State, n: int) -> None:
        """Run a member's timers."""
        state.resumed.discard(n)
        state.replicas[n].tick(state.now)
        self.run_actions(state)

    def advance_time(self, state: State) -> None:
        """Let time pass in which the running members stay in contact with each other, and tick them."""
        state.now += ELECTION_STEP
        running = [replica for n, replica in enumerate(state.replicas) if n not in state.paused | state.stopped]
        state.resumed.clear()
        for replica in running:
            for other in running:
                if other is not replica:
                    replica.last_contact[other.own_voter.disk] = state.now
            replica.ticked_at = replica.voter_changes.ticked_at = state.now  # it ticked meanwhile: there was no stall
            replica.tick(state.now)
        self.run_actions(state)

    def restart(self, state: State, n: int) -> None:
        """Restart a member from what is on its disk."""
        voter = Voter(disk=state.disk_names[n], name=f"m{n}", ip=f"10.0.0.{n}", port=1)
        vote, accepted = state.durable[n]
        state.replicas[n] = self.replica_type(
            voter, [(x.ip, 1) for x in self.voters], False, 1, state.now, vote, accepted
        )
        state.pending_persists[n] = []
        state.highest_terms[n] = 0
        state.resumed.discard(n)

    def request_change(self, state: State, n: int, base: int, generation: int) -> None:
        """Let an operator request a change from a member."""
        call, text = self.begin_call(state, Call(0, math.inf, "put", generation, base)), encode_config(generation, 0)
        state.replicas[n].change(state.now, call, base, generation, text, text)
        self.run_actions(state)

    def request_read(self, state: State, n: int) -> None:
        """Let an operator request the current configuration from a member."""
        state.replicas[n].read(state.now, self.begin_call(state, Call(0, math.inf, "get", 0)))
        self.run_actions(state)

    def begin_call(self, state: State, call: Call) -> int:
        """Add a call to the history and return its id, which is its position there."""
        state.event_count += 1
        state.history += (replace(call, began=state.event_count),)
        return len(state.history) - 1

    def record_reply(self, state: State, reply: Reply) -> None:
        """Enter the reply to a call in the history."""
        outcome = OUTCOMES.get(reply.status, CallOutcome.INDETERMINATE)
        state.event_count += 1
        call = replace(state.history[reply.call_id], ended=state.event_count, outcome=outcome)
        if call.kind == "get" and reply.status == 200:
            call.generation, call.variant = decode_config(reply.text)
        state.history = (*state.history[: reply.call_id], call, *state.history[reply.call_id + 1 :])

    def run_actions(self, state: State) -> None:
        """Carry out the replicas' actions; persists and most messages are only queued, as events of their own."""
        has_actions = True
        while has_actions:
            has_actions = False
            for n, replica in enumerate(state.replicas):
                actions, replica.actions = replica.actions, []
                for action in actions:
                    has_actions = True
                    if isinstance(action, Persist):
                        state.pending_persists[n].append(action)
                    elif isinstance(action, Commit):
                        self.on_committed(state, action.entry)
                    elif isinstance(action, Reply):
                        self.record_reply(state, action)
                    elif isinstance(action, Send):
                        self.send(state, n, action)

    def send(self, state: State, n: int, action: Send) -> None:
        """Put a message in flight, once if it is there already.

        Messages to the sender itself and heartbeats to running members are delivered at once; messages to members that
        are not running are dropped.
        """
        data = action.message.SerializeToString(deterministic=True)
        target = next((k for k, v in enumerate(self.voters) if v.ip == action.to.ip), None)
        if target is None or target in state.stopped:
            return
        if target == n or (action.message.kind == MessageKind.HEARTBEAT and target not in state.paused):
            state.replicas[target].receive(state.now, ConsensusMessage.FromString(data))
        elif (target, data) not in state.in_flight:
            state.in_flight.append((target, data))

    # --- invariants ---

    def on_committed(self, state: State, entry: LogEntry) -> None:
        """Record a committed entry; raise Broken if another entry was committed under its index."""
        normalized = LogEntry()
        normalized.CopyFrom(entry)
        normalized.term = 0
        text = normalized.SerializeToString(deterministic=True)
        if state.committed.setdefault(entry.index, text) != text:
            raise Broken(f"two different entries are committed under index {entry.index}")

    def check_invariants(self, state: State) -> None:
        """Raise Broken if a state violates linearizability, durability or the monotonicity of terms."""
        if state.history not in self.judged:
            self.judged[state.history] = is_linearizable(state.history)
        if not self.judged[state.history]:
            raise Broken(f"the history of calls is not linearizable: {state.history}")
        self.check_durability(state)
        self.check_terms(state)

    def check_durability(self, state: State) -> None:
        """Raise Broken if an acknowledged change is on too few disks to survive one lost disk in all."""
        for call in state.history:
            if call.kind == "put" and call.outcome is CallOutcome.DONE:
                copies = sum(d[1] is not None and d[1].generation >= call.generation for d in state.durable)
                if copies < 2 - (state.disk_names != ["d0", "d1", "d2"]):
                    raise Broken(
                        "an acknowledged change is on fewer disks than needed to survive the tolerated failures"
                    )

    def check_terms(self, state: State) -> None:
        """Raise Broken if a member's term has decreased or is below the one on its disk."""
        for n, replica in enumerate(state.replicas):
            if replica.vote.term < state.highest_terms[n]:
                raise Broken("a member's term goes back")
            state.highest_terms[n] = replica.vote.term
            if replica.vote.term < state.durable[n][0].term:
                raise Broken("a member's term is below the one on its disk")
