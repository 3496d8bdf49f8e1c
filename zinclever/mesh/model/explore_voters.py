"""The explorer with changes of the voters: members that leave, a fourth machine, and a second loss.

Three voters begin, as in :mod:`.explore`; a fourth machine with an empty disk stands by. A member may be told to end
(SIGTERM): it asks the leader to be let go, ends once it may, or by force, and comes back with its disk or never. The
fourth machine joins as a learner. A disk may be lost, wiped or with its machine, and another one once that loss is
over, as the fault model of one host has it. Time passes in spans in which those that run hear each other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum

from ..consensus.messages import ReplicaRole, Vote
from ..consensus.quorum import VOTER_LOST_TIMEOUT, changes_voters, commit_quorum, disk_ids, majority, target_size
from ..consensus.replica import Replica
from ..consensus.voter_changes import STALL_THRESHOLD
from ..transport.mesh_pb2 import LogEntry, Voter
from .explore import Broken, Explorer
from .explored_state import Budget, State
from .histories import Told

LOSSES = 1  # disks that may be lost at once, of the fault model that is explored
STANDBY = 3  # the machine that is no founder
LONG_WAIT = VOTER_LOST_TIMEOUT + STALL_THRESHOLD
"""s after which a silent voter counts as lost and a newcomer has waited enough."""
RECOVERY_STEP = 0.1  # s between two looks at whether a leader is there again
RECOVERY_STEPS = 120
"""Steps within which a leader has to be there, once all that may come back is back."""


Proposed = Callable[[LogEntry | None], bool]


class VoterStart(Enum):
    """What has happened before the exploration begins."""

    FOLLOWER_LEAVES = "a version is acknowledged, a follower has asked to leave, and another version was ordered"
    LEAVE_GRANTED = "a version is acknowledged, and a follower that asked to leave was let go and has not ended yet"
    LEADER_LEAVES = "a version is acknowledged, another was ordered, and the leader has handed over to leave"
    REPLACEMENT = "a machine is destroyed, its successor has the state, and the change of the voters is proposed"
    REPLACED = "a machine is destroyed, its successor is a voter, and the entry after that is being committed"
    PLANNED_REPLACEMENT = "a fourth voter has joined, and the one that it replaces has asked to leave"
    LEARNER_WAITS = "a machine is destroyed, and a learner that has nothing yet stands by"


class VoterExplorer(Explorer):
    """Explores changes of the voters. ``liveness_every``: of the states that are reached, one in so many is tried for
    whether a leader can be elected again; 0 for none."""

    def __init__(
        self,
        kind: type[Replica] = Replica,
        budget: Budget | None = None,
        start: VoterStart = VoterStart.FOLLOWER_LEAVES,
        liveness_every: int = 0,
    ) -> None:
        super().__init__(kind, budget)
        self.liveness_every = liveness_every
        self.checked = self.recovered = 0
        state = self.start
        state.held = dict.fromkeys(state.names, 1)
        self.calm(state)  # the first of the two changes is acknowledged
        self.add_standby(state)
        prepare = {
            VoterStart.FOLLOWER_LEAVES: self.prepare_follower_leaves,
            VoterStart.LEAVE_GRANTED: self.prepare_let_go,
            VoterStart.LEADER_LEAVES: self.prepare_leader_leaves,
            VoterStart.REPLACEMENT: self.prepare_replacement,
            VoterStart.REPLACED: self.prepare_replaced_voter,
            VoterStart.PLANNED_REPLACEMENT: self.prepare_planned,
            VoterStart.LEARNER_WAITS: self.prepare_unheard,
        }
        prepare[start](state)

    # --- what has happened before ---

    def add_standby(self, state: State) -> None:
        """A fourth machine, which doesn't run yet."""
        voter = Voter(disk=f"d{STANDBY}", name=f"m{STANDBY}", ip=f"10.0.0.{STANDBY}", port=1)
        self.voters = [*self.voters, voter]
        founders = [(v.ip, v.port) for v in self.voters[:STANDBY]]
        state.orders.append(self.kind(voter, founders, False, LOSSES, state.now))
        state.disk_ids.append((Vote(0, ""), None))
        state.names.append(voter.disk)
        state.pending_persists.append([])
        state.terms.append(0)
        state.off.add(STANDBY)

    def prepare_follower_leaves(self, state: State) -> None:
        self.leave(state, 2)
        self.ask_change(state, 0, 1, 3)

    def prepare_let_go(self, state: State) -> None:
        self.leave(state, 2)
        for _ in range(3):
            self.calm(state)
            self.wait(state)
        self.calm(state)
        assert state.orders[2].leave_granted, "the follower was not let go"

    def prepare_leader_leaves(self, state: State) -> None:
        self.ask_change(state, 0, 1, 3)
        self.leave(state, 0)

    def prepare_unheard(self, state: State) -> None:
        self.destroy(state, 2)
        self.wait(state)
        self.calm(state)
        self.join(state)

    def prepare_replacement(self, state: State) -> None:
        self.prepare_unheard(state)
        self.advance_until(state, lambda entry: entry is not None and changes_voters(entry))

    def prepare_replaced_voter(self, state: State) -> None:
        self.prepare_replacement(state)
        number = state.orders[0].committed.index
        self.advance_until(state, lambda entry: entry is not None and entry.index > number + 1)

    def prepare_planned(self, state: State) -> None:
        self.join(state)
        for _ in range(3):
            self.wait(state)
            self.calm(state)
        assert len(state.orders[0].committed.voters) == STANDBY + 1, "the fourth voter has not joined"
        self.leave(state, 2)

    def advance_until(self, state: State, proposed: Proposed) -> None:
        """Messages and saves take place one by one, until the leader proposes such an entry."""
        for _ in range(200):
            if proposed(state.orders[0].proposed):
                return
            if not self.advance(state):
                self.wait(state)
        raise AssertionError("the exploration can't begin: nothing such was proposed")

    # --- the search ---

    def moves(self, state: State) -> Iterator[State]:
        yield from super().moves(state)
        leads = any(o.role is ReplicaRole.LEADER for _, o in self.running(state))
        if state.budget.waits and leads:
            made = state.copy()
            made.budget.waits -= 1
            self.wait(made)
            yield made
        if state.budget.joins and STANDBY in state.off and state.disk_ids[STANDBY][1] is None:
            made = state.copy()
            made.budget.joins -= 1
            self.join(made)
            yield made

    def moves_of_member(self, state: State, n: int) -> Iterator[State]:
        if n in state.off:
            yield from self.moves_of_ended(state, n)
            return
        wipes, state.budget.wipes = state.budget.wipes, 0  # a loss is a move of its own here
        yield from super().moves_of_member(state, n)
        state.budget.wipes = wipes
        yield from self.moves_of_losses(state, n)
        if n not in state.paused:
            yield from self.moves_of_leaving(state, n)

    def moves_of_ended(self, state: State, n: int) -> Iterator[State]:
        """One that has ended comes back with its disk. One that was never started joins by a move of its own."""
        if n not in state.destroyed and state.disk_ids[n][1] is not None:
            made = state.copy()
            self.come_back(made, n)
            yield made

    def moves_of_losses(self, state: State, n: int) -> Iterator[State]:
        """A disk is lost, with its machine or without it, if the loss before it is over."""
        if len(state.lost_disks) >= LOSSES or state.disk_ids[n][1] is None:
            return
        if state.budget.wipes:
            made = state.copy()
            made.budget.wipes -= 1
            self.wipe(made, n)
            yield made
        if state.budget.destroyed:
            made = state.copy()
            made.budget.destroyed -= 1
            self.destroy(made, n)
            yield made

    def moves_of_leaving(self, state: State, n: int) -> Iterator[State]:
        replica = state.orders[n]
        if state.budget.leaves and not replica.leaving:
            made = state.copy()
            made.budget.leaves -= 1
            self.leave(made, n)
            yield made
        if replica.leaving and replica.can_shut_down(state.now):
            made = state.copy()
            self.end(made, n, by_agreement=replica.leave_granted or not replica.is_voter())
            yield made
        elif replica.leaving and state.budget.forced_ends:
            made = state.copy()
            made.budget.forced_ends -= 1
            self.end(made, n, by_agreement=False)
            yield made

    # --- what a move does to a state ---

    def running(self, state: State) -> list[tuple[int, Replica]]:
        return [(n, o) for n, o in enumerate(state.orders) if n not in state.paused | state.off]

    def leave(self, state: State, n: int) -> None:
        """SIGTERM: the member asks to be let go with the heartbeats that it sends from now on."""
        replica = state.orders[n]
        replica.leave(state.now)
        replica.heartbeat_sent_at = -1e9
        replica.tick(state.now)
        self.settle_down(state)

    def end(self, state: State, n: int, by_agreement: bool) -> None:
        """The process ends: what it was writing and what was on the way to it is gone."""
        state.off.add(n)
        if by_agreement:
            state.let_go.add(n)
        state.pending_persists[n] = []
        state.post = [(to, data) for to, data in state.post if to != n]
        state.paused.discard(n)
        state.resumed.discard(n)
        for _, other in self.running(state):
            other.last_contact[state.names[n]] = (
                state.now - STALL_THRESHOLD
            )  # its silence is noticed with the next span of time

    def come_back(self, state: State, n: int) -> None:
        state.off.discard(n)
        state.let_go.discard(n)
        self.restart(state, n)

    def join(self, state: State) -> None:
        """The fourth machine starts, with an empty disk."""
        self.come_back(state, STANDBY)
        self.tick(state, STANDBY)

    def wipe(self, state: State, n: int) -> None:
        """The machine loses its disk and comes back at once with an empty one."""
        self.lose_disk(state, n)
        state.names[n] = f"e{state.names[n]}"
        state.disk_ids[n] = (Vote(0, ""), None)
        state.post = [(to, data) for to, data in state.post if to != n]
        state.paused.discard(n)
        self.restart(state, n)
        self.tick(state, n)

    def destroy(self, state: State, n: int) -> None:
        """The machine is gone for good, with its disk."""
        self.lose_disk(state, n)
        state.disk_ids[n] = (Vote(0, ""), None)
        state.destroyed.add(n)
        self.end(state, n, by_agreement=False)

    def lose_disk(self, state: State, n: int) -> None:
        """A disk is lost. The loss of one that is no voter is over at once."""
        if state.newest is None or state.names[n] in disk_ids((*state.newest.voters, *state.newest.previous_voters)):
            state.lost_disks.add(state.names[n])

    def wait(self, state: State) -> None:
        """A long while passes in which those that run hear each other, and the leader's heartbeats arrive."""
        state.now += LONG_WAIT
        state.resumed.clear()
        running = self.running(state)
        leaders = {o.own_voter.disk for _, o in running if o.role is ReplicaRole.LEADER}
        for _, o in running:
            for _, other in running:
                if other is not o:
                    o.last_contact[other.own_voter.disk] = state.now
                    if other.own_voter.disk in o.voter_changes.leaving_since:
                        o.voter_changes.leaving_since[other.own_voter.disk] = state.now
            if o.leader in leaders:
                o.leader_last_contact = state.now
            o.ticked_at = o.voter_changes.ticked_at = state.now  # it has had turns all the while
        for _, o in running:
            o.tick(state.now)
        self.settle_down(state)

    def sync(self, state: State, n: int) -> None:
        accepted = state.pending_persists[n][0].entry
        if accepted is not None:
            name = state.names[n]
            state.held[name] = max(accepted.index, state.held.get(name, 0))
        super().sync(state, n)

    def settle_down(self, state: State) -> None:
        super().settle_down(state)
        self.note_repairs(state)

    def note_repairs(self, state: State) -> None:
        """The loss of a disk is over once its successor is a voter, has the newest committed entry on its disk, and
        that entry needs none of the voters before the change any more."""
        newest = state.newest
        if newest is None or not state.lost_disks or changes_voters(newest):
            return
        voters = disk_ids(newest.voters)
        holders = self.holders(state, newest.index)
        successors = [d for d in voters if d not in ("d0", "d1", "d2")]
        if successors and all(d in holders for d in successors):
            state.lost_disks = {d for d in state.lost_disks if d in voters}

    def holders(self, state: State, number: int) -> set[str]:
        """Disks that have this entry, or a later one."""
        return {
            name
            for name, (_, entry) in zip(state.names, state.disk_ids, strict=True)
            if entry is not None and entry.index >= number
        }

    # --- what must hold ---

    def committed(self, state: State, entry: LogEntry) -> None:
        is_new = entry.index not in state.committed
        super().committed(state, entry)
        if is_new and (state.newest is None or entry.index > state.newest.index):
            state.newest = entry
            if len(state.orders) > STANDBY:
                self.check_voters(state, entry)

    def check_voters(self, state: State, entry: LogEntry) -> None:
        """As an entry is committed first."""
        if len(entry.voters) < target_size(entry.founding_size, LOSSES):
            raise Broken("there are fewer voters than the fault model needs")
        holders = {disk for disk, number in state.held.items() if number >= entry.index}
        if len(holders & set(disk_ids(entry.previous_voters))) < majority(len(entry.previous_voters)):
            raise Broken("an entry is committed without a majority of the voters before it")
        if len(holders & set(disk_ids(entry.voters))) < commit_quorum(len(entry.voters), LOSSES):
            raise Broken("an entry is committed on fewer disks of its voters than the fault model needs")
        added = set(disk_ids(entry.voters)) - set(disk_ids(entry.previous_voters))
        if not added <= state.held.keys():
            raise Broken("a voter is added that doesn't have the state")

    def check(self, state: State) -> None:
        super().check(state)
        self.checked += 1
        if self.liveness_every and self.checked % self.liveness_every == 0:
            self.check_recovers(state)

    def check_durable(self, state: State) -> None:
        """What is acknowledged stays, whichever disk is lost next: machines that were let go may never come back. And
        no majority of the voters lacks it, or it could elect a leader without it."""
        done = [c.generation for c in state.history if c.kind == "put" and c.told is Told.DONE]
        if not done or state.newest is None:
            return
        have = {n for n, (_, entry) in enumerate(state.disk_ids) if entry is not None and entry.generation >= max(done)}
        if len(have - state.let_go) < 1 + LOSSES - len(state.lost_disks):
            raise Broken("what is acknowledged is on fewer disks than may be lost")
        voters = set(disk_ids(state.newest.voters))
        without = [n for n, name in enumerate(state.names) if name in voters and n not in have | state.destroyed]
        if len(without) >= majority(len(voters)):
            raise Broken("a majority of the voters lacks what is acknowledged")

    def check_recovers(self, state: State) -> None:
        """A leader is there again once all that may come back is back. One that was let go may stay away, if it isn't
        a voter, or if no disk is lost besides."""
        made = state.copy()
        made.paused.clear()
        for _ in range(RECOVERY_STEPS):
            self.end_and_bring_back(made)
            if any(o.is_established() and o.proposed is None for _, o in self.running(made)):
                self.recovered += 1
                return
            made.now += RECOVERY_STEP
            for n, _ in self.running(made):
                self.tick(made, n)
            self.calm(made)
        raise Broken("no leader is elected again")

    def end_and_bring_back(self, state: State) -> None:
        """Those that were let go end, as they do at once; whoever is needed comes back."""
        for n, replica in self.running(state):
            if replica.leave_granted:
                self.end(state, n, by_agreement=True)
        voters = [] if state.newest is None else disk_ids(state.newest.voters)
        for n in sorted(state.off - state.destroyed):
            needed = state.names[n] in voters and (n not in state.let_go or state.lost_disks)
            if state.disk_ids[n][1] is not None and needed:
                self.come_back(state, n)
