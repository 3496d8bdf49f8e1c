"""A simulated cluster of replicas for tests, in which messages and disks are lost and machines are replaced.

Messages are lost, duplicated and delayed; processes pause, crash and are terminated. Every random choice is drawn from
one seed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..consensus.messages import Commit, Persist, Reply, Send, Vote
from ..consensus.replica import Replica
from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .histories import Call, CallOutcome


@dataclass
class Disk:
    """What is durable on a disk. An empty disk has a new name, which is its identity."""

    name: str
    vote: Vote | None = None
    accepted: LogEntry | None = None


@dataclass
class Machine:
    """A machine with its disk and, while its process runs, a replica."""

    ip: str
    disk: Disk
    bootstrap: bool
    replica: Replica | None = None
    pending_persists: list[Persist] = field(default_factory=list)
    """Writes that were requested and are not durable yet, in order."""
    term: int = 0
    """The replica's term when it was last looked at in the present life of its process."""
    paused: bool = False
    inbox: list[Arrival] = field(default_factory=list)
    """Messages and calls that came while the process was paused; read one by one after it resumes."""


class Arrival(NamedTuple):
    """A message or a call that a machine reads at an instant."""

    at: float
    read: Callable[[Replica], None]


class World:
    """The simulated cluster, with its machines by address. All machines share one clock."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        losses: int = 1,
        kind: type[Replica] = Replica,
        founders: int | None = None,
    ) -> None:
        """Start ``members`` machines with empty disks.

        Args:
            seed: Seeds the generator of all random choices.
            members: Number of machines.
            losses: Failures that the cluster tolerates.
            kind: Class of the replicas.
            founders: Number of machines that found the cluster, the first ones; None: all of them.
        """
        self.rng = random.Random(seed)
        self.now, self.losses, self.replica_type = 0.0, losses, kind
        addresses = [(f"10.0.0.{n}", 1) for n in range(members)]
        self.founders = addresses[:founders]
        self.machines: dict[str, Machine] = {}
        self.in_flight: list[tuple[float, str, str, ConsensusMessage]] = []
        """Messages with the instant of their arrival, the sender and the target."""
        self.cut: set[tuple[str, str]] = set()
        """Directions, as (sender, target), in which all messages are lost."""
        self.full: set[str] = set()
        """Machines whose disks fail all writes."""
        self.loss = self.duplicates = 0.0
        """Probabilities that a message is lost, and that it is duplicated."""
        self.reply_loss = 0.0
        """Probability that the reply to an operator's call is lost."""
        self.delay = 0.002
        self.synced = 0.8
        """Probability that a persist completes within a step."""
        self.disk_count = 0
        self.calls = 0
        self.asked: dict[int, Call] = {}
        """Calls without a reply yet, by id."""
        self.history: list[Call] = []
        """All calls, as the operators observed them."""
        self.acked: dict[int, bytes] = {}
        """Acknowledged changes: generation and text."""
        self.acknowledged_by_base: dict[int, set[int]] = {}
        """By the generation that changes were based on: the generations of those that were acknowledged."""
        self.refused: list[tuple[int, int]] = []
        """Refused changes: base and generation."""
        self.committed: dict[int, bytes] = {}
        """By log index: the committed entry, serialized without its term."""
        self.ending: dict[str, tuple[float, bool]] = {}
        """Members that got SIGTERM: when they are killed, and whether the machine is removed with them."""
        for ip, _ in addresses:
            self.add(ip, bootstrap=True)

    # --- machines ---

    def add(self, ip: str, bootstrap: bool = False) -> None:
        """Add a machine with an empty disk and start its process."""
        self.disk_count += 1
        self.machines[ip] = Machine(ip, Disk(f"d{self.disk_count}"), bootstrap)
        self.start(ip)

    def start(self, ip: str) -> None:
        """Start the process of a machine with what is on its disk."""
        m = self.machines[ip]
        voter = Voter(disk=m.disk.name, name=ip, ip=ip, port=1)
        accepted = None
        if m.disk.accepted is not None:
            accepted = LogEntry()
            accepted.CopyFrom(m.disk.accepted)
        m.term = 0
        m.replica = self.replica_type(voter, self.founders, m.bootstrap, self.losses, self.now, m.disk.vote, accepted)
        m.replica.known_addresses = [(address, 1) for address in self.machines]
        m.pending_persists = []
        m.paused, m.inbox = False, []

    def pause(self, ip: str) -> None:
        """Pause a process: it reads nothing and does nothing, but keeps its state."""
        self.machines[ip].paused = True

    def resume(self, ip: str) -> None:
        """Resume a process. It reads its inbox within 0.1 s, in any order relative to ticks and new calls."""
        m = self.machines[ip]
        m.paused = False
        m.inbox = [Arrival(self.now + 0.1 * self.rng.random(), arrival.read) for arrival in m.inbox]

    def arrive(self, m: Machine, read: Callable[[Replica], None]) -> None:
        """Let a machine read a message or a call, or queue it while the process is paused."""
        if m.replica is None:
            return
        if m.paused:
            m.inbox.append(Arrival(self.now, read))
            return
        read(m.replica)
        self.carry_out(m)

    def read_inbox(self, m: Machine) -> None:
        """Read, in random order, what is due of the messages and calls that came during a pause."""
        due = [arrival for arrival in m.inbox if arrival.at <= self.now]
        m.inbox = [arrival for arrival in m.inbox if arrival.at > self.now]
        self.rng.shuffle(due)
        for arrival in due:
            self.arrive(m, arrival.read)

    def kill(self, ip: str, keep_some_writes: bool = True) -> None:
        """End a process as by a power loss; some of the pending persists, the oldest ones, may have become durable."""
        m = self.machines[ip]
        self.ending.pop(ip, None)
        if keep_some_writes and m.pending_persists:
            for action in m.pending_persists[: self.rng.randrange(len(m.pending_persists) + 1)]:
                self.write(m, action)
        m.replica = None
        m.pending_persists = []
        m.paused, m.inbox = False, []

    def wipe(self, ip: str) -> None:
        """Kill a process and replace its disk by an empty one."""
        self.kill(ip, keep_some_writes=False)
        self.disk_count += 1
        self.machines[ip].disk = Disk(f"d{self.disk_count}")
        self.machines[ip].bootstrap = False

    def remove(self, ip: str) -> None:
        """Kill a process and remove its machine."""
        self.kill(ip)
        del self.machines[ip]

    def terminate(self, ip: str, gone: bool = False, grace: float = 4.8) -> None:
        """Send SIGTERM: the member asks for leave, and ends once that is granted, or after ``grace`` s.

        ``gone``: its machine is removed as well.
        """
        m = self.machines[ip]
        assert m.replica is not None
        self.ending[ip] = (self.now + grace, gone)
        m.replica.leave(self.now)
        self.carry_out(m)

    def end(self, ip: str) -> None:
        """End a terminating process, and remove its machine if :meth:`terminate` was called with ``gone``."""
        gone = self.ending[ip][1]
        self.kill(ip, keep_some_writes=False)
        if gone:
            del self.machines[ip]

    def cut_off(self, ip: str) -> None:
        """Cut a machine off from all others, in both directions."""
        self.cut |= {(a, b) for a in self.machines for b in self.machines if ip in (a, b) and a != b}

    def write(self, m: Machine, action: Persist) -> None:
        """Write a persist to the disk."""
        m.disk.vote = action.vote
        if action.entry is not None:
            m.disk.accepted = LogEntry()
            m.disk.accepted.CopyFrom(action.entry)

    # --- time ---

    def run(self, span: float, step: float = 0.01) -> None:
        """Let ``span`` s pass, in steps of ``step`` s."""
        until = self.now + span
        while self.now < until:
            self.now += step
            for ip in list(self.machines):
                self.step(ip)
            due = [p for p in self.in_flight if p[0] <= self.now]
            self.in_flight = [p for p in self.in_flight if p[0] > self.now]
            self.rng.shuffle(due)
            for _, sender, target, message in due:
                m = self.machines.get(target)
                if m is not None and (sender, target) not in self.cut:
                    self.deliver(m, message)

    def deliver(self, m: Machine, message: ConsensusMessage) -> None:
        """Deliver a message to a machine."""
        self.arrive(m, lambda replica: replica.receive(self.now, message))

    def step(self, ip: str) -> None:
        """Let a process read its inbox, complete persists, tick, and end if it is terminating."""
        m = self.machines[ip]
        if m.replica is None or m.paused:
            return
        self.read_inbox(m)
        while m.pending_persists and self.rng.random() < self.synced:
            action = m.pending_persists.pop(0)
            if ip not in self.full:
                self.write(m, action)
            m.replica.on_persisted(self.now, action.token, ip not in self.full)
        m.replica.known_addresses = [(address, 1) for address in self.machines]
        m.replica.tick(self.now)
        self.carry_out(m)
        if ip in self.ending and (m.replica.can_shut_down(self.now) or self.now > self.ending[ip][0]):
            self.end(ip)

    def carry_out(self, m: Machine) -> None:
        """Carry out the actions of a replica."""
        assert m.replica is not None
        while m.replica.actions:
            actions, m.replica.actions = m.replica.actions, []
            for action in actions:
                if isinstance(action, Send):
                    self.send(m, action)
                elif isinstance(action, Persist):
                    m.pending_persists.append(action)
                elif isinstance(action, Commit):
                    self.check_agreement(action.entry)
                elif isinstance(action, Reply):
                    self.record_reply(action)
        self.check_term(m)

    def check_term(self, m: Machine) -> None:
        """Check that a replica's term has not gone back, neither in this life nor behind what its disk holds."""
        assert m.replica is not None
        durable = m.disk.vote.term if m.disk.vote is not None else 0
        assert m.replica.vote.term >= max(m.term, durable), "a term went back"
        m.term = m.replica.vote.term

    def send(self, m: Machine, action: Send) -> None:
        """Put a message in flight; it may be lost, duplicated and delayed."""
        message = ConsensusMessage()
        message.CopyFrom(action.message)
        if action.to.disk == m.disk.name:
            self.in_flight.append((self.now, m.ip, m.ip, message))
            return
        for _ in range(2 if self.rng.random() < self.duplicates else 1):
            if self.rng.random() >= self.loss:
                at = self.now + self.delay * (1 + 3 * self.rng.random() * self.rng.random())
                self.in_flight.append((at, m.ip, action.to.ip, message))

    # --- calls ---

    def leaders(self) -> list[str]:
        """Return the addresses of the replicas that consider themselves leaders."""
        return [ip for ip, m in self.machines.items() if m.replica is not None and m.replica.role.name == "LEADER"]

    def put(self, ip: str, base: int, generation: int, variant: int = 0) -> Call | None:
        """Request a change from the member at an address; return None if it isn't running."""
        m = self.machines[ip]
        if m.replica is None:
            return None
        call = self.begin_call(Call(self.now, math.inf, "put", generation, base, variant=variant))
        call_id, text = self.calls, encode_config(generation, variant)
        self.arrive(m, lambda replica: replica.change(self.now, call_id, base, generation, text, text))
        return call

    def again(self, ip: str, call: Call) -> Call | None:
        """Retry a change, as an operator does that got no clear answer."""
        return self.put(ip, call.base, call.generation, call.variant)

    def get(self, ip: str) -> Call | None:
        """Request the configuration from the member at an address; return None if it isn't running."""
        m = self.machines[ip]
        if m.replica is None:
            return None
        call = self.begin_call(Call(self.now, math.inf, "get", 0))
        call_id = self.calls
        self.arrive(m, lambda replica: replica.read(self.now, call_id))
        return call

    def begin_call(self, call: Call) -> Call:
        """Add a call to the history, with the next id."""
        self.calls += 1
        self.asked[self.calls] = call
        self.history.append(call)
        return call

    def reads(self, ip: str) -> bool:
        """Return whether the member at an address answers a read within 2 s."""
        call = self.get(ip)
        until = self.now + 2.0
        while call is not None and call.outcome is CallOutcome.INDETERMINATE and call.ended > self.now < until:
            self.run(0.01)
        return call is not None and call.outcome is CallOutcome.DONE

    def record_reply(self, action: Reply) -> None:
        """Enter the reply to a call in the history, unless the reply is lost."""
        call = self.asked.pop(action.call_id, None)
        if call is None:
            return
        if self.reply_loss and self.rng.random() < self.reply_loss:
            return
        call.ended = self.now
        if call.kind == "get":
            if action.status in (200, 404):
                call.outcome = CallOutcome.DONE
                call.generation, call.variant = decode_config(action.text) if action.status == 200 else (0, 0)
        elif action.status == 200:
            call.outcome = CallOutcome.DONE
            self.acked[call.generation] = encode_config(call.generation, call.variant)
            self.acknowledged_by_base.setdefault(call.base, set()).add(call.generation)
        elif action.status in (400, 412):
            call.outcome = CallOutcome.STALE if action.status == 412 else CallOutcome.GENERATION_TOO_LOW
            self.refused.append((call.base, call.generation))

    # --- invariants ---

    def check_agreement(self, entry: LogEntry) -> None:
        """Assert that every replica commits the same entry under an index."""
        normalized = LogEntry()
        normalized.CopyFrom(entry)
        normalized.term = 0
        text = normalized.SerializeToString(deterministic=True)
        known = self.committed.setdefault(entry.index, text)
        assert known == text, f"two different entries are committed under index {entry.index}"

    def assert_one_change_per_base(self) -> None:
        """Assert that at most one change was acknowledged for each base."""
        for base, generations in self.acknowledged_by_base.items():
            assert len(generations) == 1, f"several changes with base {base} were acknowledged: {generations}"

    def newest(self) -> LogEntry:
        """Return the newest entry that a running replica has committed."""
        committed = [m.replica.committed for m in self.machines.values() if m.replica is not None]
        return max(committed, key=lambda c: c.index)

    def assert_acknowledged_kept(self) -> None:
        """Assert that the newest acknowledged change is committed."""
        newest = self.newest()
        if self.acked:
            assert newest.generation >= max(self.acked), (
                f"acknowledged {max(self.acked)}, committed {newest.generation}"
            )

    def quiet(self, span: float = 6.0) -> None:
        """End all faults, restart and resume every process, and let ``span`` s pass for the cluster to converge."""
        self.cut.clear()
        self.full.clear()
        self.loss = self.duplicates = 0.0
        self.reply_loss = 0.0
        for ip, m in self.machines.items():
            if m.replica is None:
                self.start(ip)
            elif m.paused:
                self.resume(ip)
        self.run(span)


def encode_config(generation: int, variant: int) -> bytes:
    """Return the text of a configuration with a generation; variants are different texts of one generation."""
    return b"config %d %d" % (generation, variant) if variant else b"config %d" % generation


def decode_config(text: bytes) -> tuple[int, int]:
    """Return the generation and the variant of a configuration."""
    _, generation, *variant = text.split()
    return int(generation), int(variant[0]) if variant else 0
