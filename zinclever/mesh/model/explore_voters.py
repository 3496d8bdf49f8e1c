"""The model checker with changes of the voters: leaving members, a fourth machine and a second lost disk.

Three voters begin, as in :mod:`.explore`; a fourth machine with an empty disk is on standby and joins as a learner. A
member that gets SIGTERM asks the leader for leave, shuts down once that is granted or is killed, and comes back with
its disk or never. A disk may be lost by a wipe or with its machine, and the next one once that loss is repaired, as in
the fault model of one tolerated failure. Time passes in steps in which the running members stay in contact.
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
from .histories import CallOutcome

TOLERATED_LOSSES = 1  # disks that may be lost at once in the explored fault model
STANDBY = 3  # index of the standby machine, which is not a founder
LONG_WAIT = VOTER_LOST_TIMEOUT + STALL_THRESHOLD
"""s after which a silent voter counts as lost and a learner may replace it."""
RECOVERY_STEP = 0.1  # s between two checks for a leader
RECOVERY_STEPS = 120
"""Steps within which a leader has to be elected once all members that may come back are running."""


EntryPredicate = Callable[[LogEntry | None], bool]


class VoterStart(Enum):
    """What has happened before the exploration begins."""

    FOLLOWER_LEAVES = "a change is acknowledged, a follower has asked for leave, and another change was requested"
    LEAVE_GRANTED = "a change is acknowledged, and a follower was granted leave and has not shut down yet"
    LEADER_LEAVES = (
        "a change is acknowledged, another was requested, and the leader has handed over leadership to leave"
    )
    REPLACEMENT = (
        "a machine is destroyed, its replacement has the committed state, and the change of voters is proposed"
    )
    REPLACED = "a machine is destroyed, its replacement is a voter, and the entry after that is proposed"
    PLANNED_REPLACEMENT = "a fourth voter has joined, and the one that it replaces has asked for leave"
    LEARNER_WAITS = "a machine is destroyed, and a learner without the committed state has started"


class VoterExplorer(Explorer):
    """Explores changes of the voters.

    ``liveness_every``: every n-th state is checked for whether a leader can be elected again; 0: none.
    """

    def __init__(
        self,
        replica_type: type[Replica] = Replica,
        budget: Budget | None = None,
        start: VoterStart = VoterStart.FOLLOWER_LEAVES,
        liveness_every: int = 0,
    ) -> None:
        super().__init__(replica_type, budget)
        self.liveness_every = liveness_every
        self.checked = self.recovered = 0
        """States whose invariants were checked, and those from which a leader was elected again."""
        state = self.start
        state.persisted_index = dict.fromkeys(state.disk_names, 1)
        self.deliver_all(state)  # the first of the two changes is acknowledged
        self.add_standby(state)
        prepare = {
            VoterStart.FOLLOWER_LEAVES: self.prepare_follower_leaves,
            VoterStart.LEAVE_GRANTED: self.prepare_leave_granted,
            VoterStart.LEADER_LEAVES: self.prepare_leader_leaves,
            VoterStart.REPLACEMENT: self.prepare_replacement,
            VoterStart.REPLACED: self.prepare_replaced_voter,
            VoterStart.PLANNED_REPLACEMENT: self.prepare_planned_replacement,
            VoterStart.LEARNER_WAITS: self.prepare_waiting_learner,
        }
        prepare[start](state)

    # --- what has happened before ---

    def add_standby(self, state: State) -> None:
        """Add a fourth machine, which isn't running yet."""
        voter = Voter(disk=f"d{STANDBY}", name=f"m{STANDBY}", ip=f"10.0.0.{STANDBY}", port=1)
        self.voters = [*self.voters, voter]
        founders = [(v.ip, v.port) for v in self.voters[:STANDBY]]
        state.replicas.append(self.replica_type(voter, founders, False, TOLERATED_LOSSES, state.now))
        state.durable.append((Vote(0, ""), None))
        state.disk_names.append(voter.disk)
        state.pending_persists.append([])
        state.highest_terms.append(0)
        state.stopped.add(STANDBY)

    def prepare_follower_leaves(self, state: State) -> None:
        """A follower asks for leave while another change is requested."""
        self.leave(state, 2)
        self.request_change(state, 0, 1, 3)

    def prepare_leave_granted(self, state: State) -> None:
        """A follower is granted leave and has not shut down yet."""
        self.leave(state, 2)
        for _ in range(3):
            self.deliver_all(state)
            self.wait(state)
        self.deliver_all(state)
        assert state.replicas[2].leave_granted, "the follower was not granted leave"

    def prepare_leader_leaves(self, state: State) -> None:
        """The leader leaves while a change is proposed."""
        self.request_change(state, 0, 1, 3)
        self.leave(state, 0)

    def prepare_waiting_learner(self, state: State) -> None:
        """A voter is destroyed, and the standby machine starts."""
        self.destroy(state, 2)
        self.wait(state)
        self.deliver_all(state)
        self.start_standby(state)

    def prepare_replacement(self, state: State) -> None:
        """The replacement of a destroyed voter is proposed."""
        self.prepare_waiting_learner(state)
        self.advance_until(state, lambda entry: entry is not None and changes_voters(entry))

    def prepare_replaced_voter(self, state: State) -> None:
        """The entry after the replacement of a destroyed voter is proposed."""
        self.prepare_replacement(state)
        index = state.replicas[0].committed.index
        self.advance_until(state, lambda entry: entry is not None and entry.index > index + 1)

    def prepare_planned_replacement(self, state: State) -> None:
        """The standby machine becomes a fourth voter, and another voter asks for leave."""
        self.start_standby(state)
        for _ in range(3):
            self.wait(state)
            self.deliver_all(state)
        assert len(state.replicas[0].committed.voters) == STANDBY + 1, "the fourth voter has not joined"
        self.leave(state, 2)

    def advance_until(self, state: State, is_proposed: EntryPredicate) -> None:
        """Complete persists and deliver messages one by one until the leader's proposal satisfies the predicate."""
        for _ in range(200):
            if is_proposed(state.replicas[0].proposed):
                return
            if not self.advance(state):
                self.wait(state)
        raise AssertionError("the start state can't be reached: the expected entry was not proposed")

    # --- the search ---

    def successors(self, state: State) -> Iterator[State]:
        """Yield the states after each event that may happen next."""
        yield from super().successors(state)
        has_leader = any(replica.role is ReplicaRole.LEADER for _, replica in self.running_members(state))
        if state.budget.waits and has_leader:
            successor = state.copy()
            successor.budget.waits -= 1
            self.wait(successor)
            yield successor
        if state.budget.joins and STANDBY in state.stopped and state.durable[STANDBY][1] is None:
            successor = state.copy()
            successor.budget.joins -= 1
            self.start_standby(successor)
            yield successor

    def member_successors(self, state: State, n: int) -> Iterator[State]:
        """Yield the states as :class:`Explorer` does, and those after a member restarts, loses its disk or leaves."""
        if n in state.stopped:
            yield from self.stopped_successors(state, n)
            return
        wipes, state.budget.wipes = state.budget.wipes, 0  # disk_loss_successors covers the wipes
        yield from super().member_successors(state, n)
        state.budget.wipes = wipes
        yield from self.disk_loss_successors(state, n)
        if n not in state.paused:
            yield from self.leaving_successors(state, n)

    def stopped_successors(self, state: State, n: int) -> Iterator[State]:
        """Yield the state after a stopped member restarts with its disk. The standby machine joins separately."""
        if n not in state.destroyed and state.durable[n][1] is not None:
            successor = state.copy()
            self.start_member(successor, n)
            yield successor

    def disk_loss_successors(self, state: State, n: int) -> Iterator[State]:
        """Yield the states after a disk is lost, with or without its machine, if the previous loss is repaired."""
        if len(state.lost_disks) >= TOLERATED_LOSSES or state.durable[n][1] is None:
            return
        if state.budget.wipes:
            successor = state.copy()
            successor.budget.wipes -= 1
            self.wipe(successor, n)
            yield successor
        if state.budget.destroyed:
            successor = state.copy()
            successor.budget.destroyed -= 1
            self.destroy(successor, n)
            yield successor

    def leaving_successors(self, state: State, n: int) -> Iterator[State]:
        """Yield the states after a member asks for leave, shuts down once it may, or is killed before that."""
        replica = state.replicas[n]
        if state.budget.leaves and not replica.leaving:
            successor = state.copy()
            successor.budget.leaves -= 1
            self.leave(successor, n)
            yield successor
        if replica.leaving and replica.can_shut_down(state.now):
            successor = state.copy()
            self.stop_member(successor, n, by_agreement=replica.leave_granted or not replica.is_voter())
            yield successor
        elif replica.leaving and state.budget.forced_ends:
            successor = state.copy()
            successor.budget.forced_ends -= 1
            self.stop_member(successor, n, by_agreement=False)
            yield successor

    # --- events ---

    def running_members(self, state: State) -> list[tuple[int, Replica]]:
        """Return the members that are neither paused nor stopped."""
        return [(n, replica) for n, replica in enumerate(state.replicas) if n not in state.paused | state.stopped]

    def leave(self, state: State, n: int) -> None:
        """Let a member ask the leader for leave, as on SIGTERM, with its heartbeats from now on."""
        replica = state.replicas[n]
        replica.leave(state.now)
        replica.heartbeat_sent_at = -1e9
        replica.tick(state.now)
        self.run_actions(state)

    def stop_member(self, state: State, n: int, by_agreement: bool) -> None:
        """The process ends; its pending persists and the messages in flight to it are lost."""
        state.stopped.add(n)
        if by_agreement:
            state.left_members.add(n)
        state.pending_persists[n] = []
        state.in_flight = [(target, data) for target, data in state.in_flight if target != n]
        state.paused.discard(n)
        state.resumed.discard(n)
        for _, other in self.running_members(state):
            other.last_contact[state.disk_names[n]] = (
                state.now - STALL_THRESHOLD
            )  # so that the next time step detects its silence

    def start_member(self, state: State, n: int) -> None:
        """A stopped member starts with what is on its disk."""
        state.stopped.discard(n)
        state.left_members.discard(n)
        self.restart(state, n)

    def start_standby(self, state: State) -> None:
        """The fourth machine starts, with an empty disk."""
        self.start_member(state, STANDBY)
        self.tick(state, STANDBY)

    def wipe(self, state: State, n: int) -> None:
        """The machine loses its disk and restarts at once with an empty one."""
        self.lose_disk(state, n)
        state.disk_names[n] = f"e{state.disk_names[n]}"
        state.durable[n] = (Vote(0, ""), None)
        state.in_flight = [(target, data) for target, data in state.in_flight if target != n]
        state.paused.discard(n)
        self.restart(state, n)
        self.tick(state, n)

    def destroy(self, state: State, n: int) -> None:
        """The machine is lost for good, with its disk."""
        self.lose_disk(state, n)
        state.durable[n] = (Vote(0, ""), None)
        state.destroyed.add(n)
        self.stop_member(state, n, by_agreement=False)

    def lose_disk(self, state: State, n: int) -> None:
        """Record a lost disk, unless it belongs to no voter: then there is nothing to repair."""
        if state.newest_committed is None or state.disk_names[n] in disk_ids(
            (*state.newest_committed.voters, *state.newest_committed.previous_voters)
        ):
            state.lost_disks.add(state.disk_names[n])

    def wait(self, state: State) -> None:
        """Let :data:`LONG_WAIT` pass; running members stay in contact, and the leader's heartbeats are delivered."""
        state.now += LONG_WAIT
        state.resumed.clear()
        running = self.running_members(state)
        leaders = {replica.own_voter.disk for _, replica in running if replica.role is ReplicaRole.LEADER}
        for _, replica in running:
            for _, other in running:
                if other is not replica:
                    replica.last_contact[other.own_voter.disk] = state.now
                    if other.own_voter.disk in replica.voter_changes.leaving_since:
                        replica.voter_changes.leaving_since[other.own_voter.disk] = state.now
            if replica.leader in leaders:
                replica.leader_last_contact = state.now
            replica.ticked_at = replica.voter_changes.ticked_at = state.now  # it ticked meanwhile: there was no stall
        for _, replica in running:
            replica.tick(state.now)
        self.run_actions(state)

    def complete_persist(self, state: State, n: int) -> None:
        """The oldest pending persist of a member becomes durable; :attr:`State.persisted_index` records it."""
        accepted = state.pending_persists[n][0].entry
        if accepted is not None:
            name = state.disk_names[n]
            state.persisted_index[name] = max(accepted.index, state.persisted_index.get(name, 0))
        super().complete_persist(state, n)

    def run_actions(self, state: State) -> None:
        """Carry out the replicas' actions, and remove repaired losses of disks."""
        super().run_actions(state)
        self.update_lost_disks(state)

    def update_lost_disks(self, state: State) -> None:
        """Remove repaired losses.

        The loss of a disk is repaired once its replacement is a voter, has the newest committed entry on its disk, and
        that entry no longer needs any of the previous voters.
        """
        newest = state.newest_committed
        if newest is None or not state.lost_disks or changes_voters(newest):
            return
        voters = disk_ids(newest.voters)
        holders = self.disks_holding(state, newest.index)
        replacements = [d for d in voters if d not in ("d0", "d1", "d2")]
        if replacements and all(d in holders for d in replacements):
            state.lost_disks = {d for d in state.lost_disks if d in voters}

    def disks_holding(self, state: State, index: int) -> set[str]:
        """Return the disks that have the entry of this index, or a later one."""
        return {
            name
            for name, (_, entry) in zip(state.disk_names, state.durable, strict=True)
            if entry is not None and entry.index >= index
        }

    # --- invariants ---

    def on_committed(self, state: State, entry: LogEntry) -> None:
        """Record a committed entry, and check its quorums when it is committed first."""
        is_new = entry.index not in state.committed
        super().on_committed(state, entry)
        if is_new and (state.newest_committed is None or entry.index > state.newest_committed.index):
            state.newest_committed = entry
            if len(state.replicas) > STANDBY:
                self.check_voters(state, entry)

    def check_voters(self, state: State, entry: LogEntry) -> None:
        """Raise Broken if an entry is committed with too few voters, or on too few of their disks."""
        if len(entry.voters) < target_size(entry.founding_size, TOLERATED_LOSSES):
            raise Broken("there are fewer voters than the fault model requires")
        holders = {disk for disk, index in state.persisted_index.items() if index >= entry.index}
        if len(holders & set(disk_ids(entry.previous_voters))) < majority(len(entry.previous_voters)):
            raise Broken("an entry is committed without a majority of the previous voters")
        if len(holders & set(disk_ids(entry.voters))) < commit_quorum(len(entry.voters), TOLERATED_LOSSES):
            raise Broken("an entry is committed on fewer disks of its voters than the fault model requires")
        added = set(disk_ids(entry.voters)) - set(disk_ids(entry.previous_voters))
        if not added <= state.persisted_index.keys():
            raise Broken("a voter is added that doesn't have the committed state")

    def check_invariants(self, state: State) -> None:
        """As in :class:`Explorer`; some of the states are also checked for liveness."""
        super().check_invariants(state)
        self.checked += 1
        if self.liveness_every and self.checked % self.liveness_every == 0:
            self.check_liveness(state)

    def check_durability(self, state: State) -> None:
        """Raise Broken if an acknowledged change would not survive the loss of another disk.

        Members that were granted leave may never come back, so that their disks don't count. No majority of the voters
        may lack an acknowledged change either, or it could elect a leader without it.
        """
        acknowledged = [c.generation for c in state.history if c.kind == "put" and c.outcome is CallOutcome.DONE]
        if not acknowledged or state.newest_committed is None:
            return
        holders = {
            n
            for n, (_, entry) in enumerate(state.durable)
            if entry is not None and entry.generation >= max(acknowledged)
        }
        if len(holders - state.left_members) < 1 + TOLERATED_LOSSES - len(state.lost_disks):
            raise Broken("an acknowledged change is on fewer disks than needed to survive the tolerated failures")
        voters = set(disk_ids(state.newest_committed.voters))
        lacking = [
            n for n, name in enumerate(state.disk_names) if name in voters and n not in holders | state.destroyed
        ]
        if len(lacking) >= majority(len(voters)):
            raise Broken("a majority of the voters lacks an acknowledged change")

    def check_liveness(self, state: State) -> None:
        """Raise Broken unless a leader is elected once all members that may come back are running.

        A member that was granted leave stays away if it isn't a voter, or if no disk is lost.
        """
        trial = state.copy()
        trial.paused.clear()
        for _ in range(RECOVERY_STEPS):
            self.stop_and_restart(trial)
            if any(replica.is_established() and replica.proposed is None for _, replica in self.running_members(trial)):
                self.recovered += 1
                return
            trial.now += RECOVERY_STEP
            for n, _ in self.running_members(trial):
                self.tick(trial, n)
            self.deliver_all(trial)
        raise Broken("no leader is elected again")

    def stop_and_restart(self, state: State) -> None:
        """Stop the members that were granted leave, and restart the stopped voters that are needed."""
        for n, replica in self.running_members(state):
            if replica.leave_granted:
                self.stop_member(state, n, by_agreement=True)
        voters = [] if state.newest_committed is None else disk_ids(state.newest_committed.voters)
        for n in sorted(state.stopped - state.destroyed):
            is_needed = state.disk_names[n] in voters and (n not in state.left_members or state.lost_disks)
            if state.durable[n][1] is not None and is_needed:
                self.start_member(state, n)
