"""A world of members of the core for tests: messages that are lost, doubled and late, disk_ids that are lost, machines
that are replaced. Everything that happens is drawn from one seed."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..consensus.messages import Commit, Persist, Reply, Send, Vote
from ..consensus.replica import Replica
from ..transport.mesh_pb2 import ConsensusMessage, LogEntry, Voter
from .histories import Call, Told


@dataclass
class Disk:
    """What is synced. An empty one has a new identity."""

    name: str
    vote: Vote | None = None
    accepted: LogEntry | None = None


@dataclass
class Machine:
    ip: str
    disk: Disk
    bootstrap: bool
    replica: Replica | None = None
    pending_persists: list[Persist] = field(default_factory=list)
    """Asked for and not synced yet, in order."""
    terms: int = 0
    paused: bool = False
    inbox: list[Arrival] = field(default_factory=list)
    """What has come while it stood still, and is read bit by bit once it runs again."""


class Arrival(NamedTuple):
    """A message or a call that a machine reads at an instant."""

    at: float
    read: Callable[[Replica], None]


class World:
    """Members by address. A clock of its own for each, all moving alike."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        losses: int = 1,
        kind: type[Replica] = Replica,
        founders: int | None = None,
    ) -> None:
        """``members`` machines start with empty disks; the first ``founders`` of them (all, if None) are the seeds."""
        self.rng = random.Random(seed)
        self.now, self.losses, self.kind = 0.0, losses, kind
        addresses = [(f"10.0.0.{n}", 1) for n in range(members)]
        self.founders = addresses[:founders]
        self.machines: dict[str, Machine] = {}
        self.post: list[tuple[float, str, str, ConsensusMessage]] = []
        self.cut: set[tuple[str, str]] = set()
        self.full: set[str] = set()
        """Machines whose disk_ids take nothing."""
        self.loss = self.duplicates = 0.0
        self.reply_loss = 0.0
        """The chance that the answer to an operator's call is lost."""
        self.delay = 0.002
        self.synced = 0.8
        """The chance that a persist is done within a step."""
        self.disk_ids = 0
        self.calls = 0
        self.asked: dict[int, Call] = {}
        """Calls that are out."""
        self.history: list[Call] = []
        """All calls, as their callers saw them."""
        self.acked: dict[int, bytes] = {}
        """Acknowledged: generation and text."""
        self.winners: dict[int, set[int]] = {}
        """By the version that an entry was made on: generations that were acknowledged."""
        self.refused: list[tuple[int, int]] = []
        self.committed: dict[int, bytes] = {}
        """By number: the entry, but for its term."""
        self.ending: dict[str, tuple[float, bool]] = {}
        """Members that got SIGTERM: when they are killed, and whether the machine goes with them."""
        for ip, _ in addresses:
            self.add(ip, bootstrap=True)

    # --- machines ---

    def add(self, ip: str, bootstrap: bool = False) -> None:
        self.disk_ids += 1
        self.machines[ip] = Machine(ip, Disk(f"d{self.disk_ids}"), bootstrap)
        self.start(ip)

    def start(self, ip: str) -> None:
        m = self.machines[ip]
        voter = Voter(disk=m.disk.name, name=ip, ip=ip, port=1)
        accepted = None
        if m.disk.accepted is not None:
            accepted = LogEntry()
            accepted.CopyFrom(m.disk.accepted)
        m.replica = self.kind(voter, self.founders, m.bootstrap, self.losses, self.now, m.disk.vote, accepted)
        m.replica.known_addresses = [(o, 1) for o in self.machines]
        m.pending_persists = []
        m.paused, m.inbox = False, []

    def pause(self, ip: str) -> None:
        """The process stands still: it reads nothing and does nothing, and keeps what it knows."""
        self.machines[ip].paused = True

    def resume(self, ip: str) -> None:
        """It runs again. What has come is read within the next instants, in any order beside turns and new calls."""
        m = self.machines[ip]
        m.paused = False
        m.inbox = [Arrival(self.now + 0.1 * self.rng.random(), arrival.read) for arrival in m.inbox]

    def arrive(self, m: Machine, read: Callable[[Replica], None]) -> None:
        """A message or a call has come to a machine."""
        if m.replica is None:
            return
        if m.paused:
            m.inbox.append(Arrival(self.now, read))
            return
        read(m.replica)
        self.carry_out(m)

    def read_inbox(self, m: Machine) -> None:
        """What has come while it stood still."""
        due = [arrival for arrival in m.inbox if arrival.at <= self.now]
        m.inbox = [arrival for arrival in m.inbox if arrival.at > self.now]
        self.rng.shuffle(due)
        for arrival in due:
            self.arrive(m, arrival.read)

    def kill(self, ip: str, some: bool = True) -> None:
        """Power is lost: of what is not synced a first part may be on the disk."""
        m = self.machines[ip]
        self.ending.pop(ip, None)
        if some and m.pending_persists:
            for act in m.pending_persists[: self.rng.randrange(len(m.pending_persists) + 1)]:
                self.write(m, act)
        m.replica = None
        m.pending_persists = []
        m.paused, m.inbox = False, []

    def wipe(self, ip: str) -> None:
        self.kill(ip, some=False)
        self.disk_ids += 1
        self.machines[ip].disk = Disk(f"d{self.disk_ids}")
        self.machines[ip].bootstrap = False

    def remove(self, ip: str) -> None:
        self.kill(ip)
        del self.machines[ip]

    def terminate(self, ip: str, gone: bool = False, grace: float = 4.8) -> None:
        """SIGTERM: the member leaves, and ends once it may or its grace is over; ``gone``: with its machine."""
        m = self.machines[ip]
        assert m.replica is not None
        self.ending[ip] = (self.now + grace, gone)
        m.replica.leave(self.now)
        self.carry_out(m)

    def end(self, ip: str) -> None:
        gone = self.ending[ip][1]
        self.kill(ip, some=False)
        if gone:
            del self.machines[ip]

    def cut_off(self, ip: str) -> None:
        """Cut a machine off from all others, in both directions."""
        self.cut |= {(a, b) for a in self.machines for b in self.machines if ip in (a, b) and a != b}

    def write(self, m: Machine, act: Persist) -> None:
        m.disk.vote = act.vote
        if act.entry is not None:
            m.disk.accepted = LogEntry()
            m.disk.accepted.CopyFrom(act.entry)

    # --- time ---

    def run(self, span: float, step: float = 0.01) -> None:
        until = self.now + span
        while self.now < until:
            self.now += step
            for ip in list(self.machines):
                self.step(ip)
            due = [p for p in self.post if p[0] <= self.now]
            self.post = [p for p in self.post if p[0] > self.now]
            self.rng.shuffle(due)
            for _, sender, to, message in due:
                m = self.machines.get(to)
                if m is not None and (sender, to) not in self.cut:
                    self.deliver(m, message)

    def deliver(self, m: Machine, message: ConsensusMessage) -> None:
        self.arrive(m, lambda replica: replica.receive(self.now, message))

    def step(self, ip: str) -> None:
        m = self.machines[ip]
        if m.replica is None or m.paused:
            return
        self.read_inbox(m)
        while m.pending_persists and self.rng.random() < self.synced:
            act = m.pending_persists.pop(0)
            if ip not in self.full:
                self.write(m, act)
            m.replica.on_persisted(self.now, act.token, ip not in self.full)
        m.replica.known_addresses = [(o, 1) for o in self.machines]
        m.replica.tick(self.now)
        self.carry_out(m)
        if ip in self.ending and (m.replica.can_shut_down(self.now) or self.now > self.ending[ip][0]):
            self.end(ip)

    def carry_out(self, m: Machine) -> None:
        assert m.replica is not None
        while m.replica.actions:
            acts, m.replica.actions = m.replica.actions, []
            for act in acts:
                if isinstance(act, Send):
                    self.send(m, act)
                elif isinstance(act, Persist):
                    m.pending_persists.append(act)
                elif isinstance(act, Commit):
                    self.check(act.entry)
                elif isinstance(act, Reply):
                    self.answer(act)
        assert m.replica.vote.term >= m.terms, "a term went back"
        if m.disk.vote is not None:
            m.terms = max(m.terms, 0)

    def send(self, m: Machine, act: Send) -> None:
        message = ConsensusMessage()
        message.CopyFrom(act.message)
        if act.to.disk == m.disk.name:
            self.post.append((self.now, m.ip, m.ip, message))
            return
        for _ in range(2 if self.rng.random() < self.duplicates else 1):
            if self.rng.random() >= self.loss:
                at = self.now + self.delay * (1 + 3 * self.rng.random() * self.rng.random())
                self.post.append((at, m.ip, act.to.ip, message))

    # --- calls ---

    def leaders(self) -> list[str]:
        return [ip for ip, m in self.machines.items() if m.replica is not None and m.replica.role.name == "LEADER"]

    def put(self, ip: str, base: int, generation: int, variant: int = 0) -> Call | None:
        """Ask the member at an address for a change; None where there is nobody."""
        m = self.machines[ip]
        if m.replica is None:
            return None
        call = self.begin(Call(self.now, math.inf, "put", generation, base, variant=variant))
        number, text = self.calls, text_of(generation, variant)
        self.arrive(m, lambda replica: replica.change(self.now, number, base, generation, text, text))
        return call

    def again(self, ip: str, call: Call) -> Call | None:
        """The same change once more, as an operator sends it that had no clear answer."""
        return self.put(ip, call.base, call.generation, call.variant)

    def get(self, ip: str) -> Call | None:
        """Ask the member at an address for the configuration; None where there is nobody."""
        m = self.machines[ip]
        if m.replica is None:
            return None
        call = self.begin(Call(self.now, math.inf, "get", 0))
        number = self.calls
        self.arrive(m, lambda replica: replica.read(self.now, number))
        return call

    def begin(self, call: Call) -> Call:
        self.calls += 1
        self.asked[self.calls] = call
        self.history.append(call)
        return call

    def reads(self, ip: str) -> bool:
        """Whether the member at an address answers a read within 2 s."""
        call = self.get(ip)
        until = self.now + 2.0
        while call is not None and call.told is Told.INDETERMINATE and call.ended > self.now < until:
            self.run(0.01)
        return call is not None and call.told is Told.DONE

    def answer(self, act: Reply) -> None:
        call = self.asked.pop(act.call_id, None)
        if call is None:
            return
        if self.reply_loss and self.rng.random() < self.reply_loss:
            return
        call.ended = self.now
        if call.kind == "get":
            if act.status in (200, 404):
                call.told = Told.DONE
                call.generation, call.variant = version_of(act.text) if act.status == 200 else (0, 0)
        elif act.status == 200:
            call.told = Told.DONE
            self.acked[call.generation] = text_of(call.generation, call.variant)
            self.winners.setdefault(call.base, set()).add(call.generation)
        elif act.status in (400, 412):
            call.told = Told.STALE if act.status == 412 else Told.GENERATION_TOO_LOW
            self.refused.append((call.base, call.generation))

    # --- what must hold ---

    def check(self, entry: LogEntry) -> None:
        """Agreement: what is committed under a number is one thing everywhere."""
        kept = LogEntry()
        kept.CopyFrom(entry)
        kept.term = 0
        text = kept.SerializeToString(deterministic=True)
        known = self.committed.setdefault(entry.index, text)
        assert known == text, f"two entries are committed under number {entry.index}"

    def assert_one_change_per_base(self) -> None:
        for base, generations in self.winners.items():
            assert len(generations) == 1, f"on version {base} these were acknowledged: {generations}"

    def newest(self) -> LogEntry:
        """What those that are there settle on, once all is quiet."""
        found_cluster = [m.replica.committed for m in self.machines.values() if m.replica is not None]
        return max(found_cluster, key=lambda c: c.index)

    def assert_acknowledged_kept(self) -> None:
        newest = self.newest()
        if self.acked:
            assert newest.generation >= max(self.acked), (
                f"acknowledged {max(self.acked)}, committed {newest.generation}"
            )

    def quiet(self, span: float = 6.0) -> None:
        """No troubles from here on: everything comes together."""
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


def text_of(generation: int, variant: int) -> bytes:
    """A configuration: its number, and which of several texts under it."""
    return b"config %d %d" % (generation, variant) if variant else b"config %d" % generation


def version_of(text: bytes) -> tuple[int, int]:
    _, generation, *variant = text.split()
    return int(generation), int(variant[0]) if variant else 0
