"""Every order in which a few things may happen to three members: a small model checker for the order.

A state is what the members are, what is under way between them, and what may still befall them. From each state every
move is tried; states that were seen are not entered again. Words that are said each turn anyway arrive at once, so that
what is explored is what matters: courting, promises, proposals and answers, in any order, lost or doubled, and a crash
before or after any sync.
"""

from __future__ import annotations

import copy
import hashlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..comb.acts import Kind, Reply, Save, Say, Settle, Vow
from ..comb.order import Order
from ..dance.hive_pb2 import Change, Comb, Seat

STEP = 0.9  # s that pass in a turn: whoever doesn't hear from the one that acts tries to act


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
    orders: list[Order]
    disks: list[tuple[Vow, Change | None]]
    names: list[str]
    saving: list[list[Save]]
    post: list[tuple[int, bytes]] = field(default_factory=list)
    budget: Budget = field(default_factory=Budget)
    now: float = 10.0
    settled: dict[int, bytes] = field(default_factory=dict)
    acked: list[tuple[int, int]] = field(default_factory=list)
    """Base and generation of what was acknowledged."""
    epochs: list[int] = field(default_factory=lambda: [0, 0, 0])

    def key(self) -> bytes:
        """States with the same key go on alike."""
        made = hashlib.blake2b(digest_size=16)
        for o, d, s in zip(self.orders, self.disks, self.saving, strict=True):
            told = (
                o.phase.name, o.vow, o.epoch, o.acting, sorted(o.promises), sorted(o.have), len(o.calls.waiting),
                o.calls.current and o.calls.current.generation, d[0], round(self.now - o.heard_acting, 1) < 0.5,
                [(a.vow, a.token - o.token) for a in s],
            )
            made.update(repr(told).encode())
            for change in (o.accepted, o.settled, o.proposed, d[1]):
                made.update(b"-" if change is None else change.SerializeToString(deterministic=True))
        made.update(repr((sorted(self.post), self.budget, round(self.now, 1), self.acked)).encode())
        return made.digest()


class Explorer:
    """Explores from a founded view, with two operators' changes on one version asked of the one that acts."""

    def __init__(self, kind: type[Order] = Order, budget: Budget | None = None) -> None:
        self.kind = kind
        seats = [Seat(disk=f"d{n}", name=f"m{n}", ip=f"10.0.0.{n}", port=1) for n in range(3)]
        self.seats = seats
        first = Change(epoch=1, number=1, seats=seats, founded=3)
        orders = [kind(s, [(x.ip, 1) for x in seats], False, 1, 10.0, Vow(1, "d0"), copy.deepcopy(first))
                  for s in seats]
        state = State(orders, [(Vow(1, "d0"), first)] * 3, ["d0", "d1", "d2"], [[], [], []])
        state.budget = budget or Budget()
        for o in orders:
            o.deliver(10.0, first)
            o.out.clear()
            o.heard = {s.disk: 10.0 for s in seats if s.disk != o.me.disk}
            o.acting, o.heard_acting = "d0", 10.0
        o = orders[0]
        o.epoch = 1
        o.become(type(o.phase).ACTS, 10.0)
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
            yield self.deliver(state, n, keep=False)
            if b.losses:
                made = copy.deepcopy(state)
                del made.post[n]
                made.budget.losses -= 1
                yield made
            if b.doubles:
                made = self.deliver(state, n, keep=True)
                made.budget.doubles -= 1
                yield made
        for n in range(3):
            if state.saving[n]:
                made = copy.deepcopy(state)
                act = made.saving[n].pop(0)
                self.write(made, n, act)
                made.orders[n].saved(made.now, act.token, True)
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
                made.disks[n] = (Vow(0, ""), None)
                self.restart(made, n)
                yield made
        if b.turns:
            made = copy.deepcopy(state)
            made.budget.turns -= 1
            made.now += STEP
            for o in made.orders:
                for other in made.orders:
                    if other is not o:
                        o.heard[other.me.disk] = made.now
                o.tick(made.now)
            self.settle_down(made)
            yield made

    def deliver(self, state: State, n: int, keep: bool) -> State:
        made = copy.deepcopy(state)
        to, data = made.post[n] if keep else made.post.pop(n)
        made.orders[to].hear(made.now, Comb.FromString(data))
        self.settle_down(made)
        return made

    def write(self, state: State, n: int, act: Save) -> None:
        state.disks[n] = (act.vow, act.accepted if act.accepted is not None else state.disks[n][1])

    def restart(self, state: State, n: int) -> None:
        seat = Seat(disk=state.names[n], name=f"m{n}", ip=f"10.0.0.{n}", port=1)
        vow, accepted = state.disks[n]
        state.orders[n] = self.kind(seat, [(x.ip, 1) for x in self.seats], False, 1, state.now, vow,
                                    copy.deepcopy(accepted))
        state.saving[n] = []
        state.epochs[n] = 0

    def settle_down(self, state: State) -> None:
        """Carry out what the members want: saves and messages wait for a move of their own."""
        busy = True
        while busy:
            busy = False
            for n, o in enumerate(state.orders):
                acts, o.out = o.out, []
                for act in acts:
                    busy = True
                    if isinstance(act, Save):
                        state.saving[n].append(act)
                    elif isinstance(act, Settle):
                        self.settled(state, act.change)
                    elif isinstance(act, Reply):
                        if act.status == 200:
                            state.acked.append((0, act.call))
                    elif isinstance(act, Say):
                        self.post(state, n, act)

    def post(self, state: State, n: int, act: Say) -> None:
        data = act.message.SerializeToString(deterministic=True)
        to = next((k for k, s in enumerate(self.seats) if s.ip == act.to.ip), None)
        if to is None:
            return
        if to == n or act.message.kind == Kind.HELLO:
            state.orders[to].hear(state.now, Comb.FromString(data))
        elif (to, data) not in state.post:
            state.post.append((to, data))

    # --- what must hold ---

    def settled(self, state: State, change: Change) -> None:
        kept = copy.deepcopy(change)
        kept.epoch = 0
        text = kept.SerializeToString(deterministic=True)
        if state.settled.setdefault(change.number, text) != text:
            raise Broken(f"two changes are settled under number {change.number}")

    def check(self, state: State) -> None:
        if len({g for _, g in state.acked}) > 1:
            raise Broken("two changes on one version are acknowledged")
        for _, generation in state.acked:
            have = sum(d[1] is not None and d[1].generation >= generation for d in state.disks)
            if have < 2 - (state.names != ["d0", "d1", "d2"]):
                raise Broken("what is acknowledged is on fewer disks than may be lost")
        for n, o in enumerate(state.orders):
            if o.vow.epoch < state.epochs[n]:
                raise Broken("an epoch goes back")
            state.epochs[n] = o.vow.epoch
            if o.vow.epoch < state.disks[n][0].epoch:
                raise Broken("an epoch goes below what is on the disk")
