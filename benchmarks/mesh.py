"""How long news and changes take in the mesh, by its size, in simulated time.

python -m benchmarks.mesh news 15 50 300
python -m benchmarks.mesh cut 15 60
python -m benchmarks.mesh order 3 5 7 9
python -m benchmarks.mesh losses 3 5
python -m benchmarks.mesh explore 40000
"""

from __future__ import annotations

import copy
import math
import statistics
import sys
import time

from zinclever.mesh.model.explore import Budget, Explorer
from zinclever.mesh.model.field import Field, endpoint
from zinclever.mesh.model.histories import Told
from zinclever.mesh.model.members import World

LOSS = 0.02  # of datagrams
LOSS_STEP = 0.04  # s between two instants at which a second loss is tried
SETTLES = 6.0  # s of simulated time until all have met


def spread(values: list[float]) -> str:
    values = sorted(values)
    high = values[int(0.99 * (len(values) - 1))]
    return f"p50 {statistics.median(values):.3f}, p99 {high:.3f}, worst {values[-1]:.3f}"


def news(sizes: list[int]) -> None:
    """Time until all know a drain, and what news costs a sidecar at rest."""
    for size in sizes:
        field = Field(size, loss=LOSS)
        field.run(SETTLES)
        field.bytes = field.datagrams = 0
        field.run(4.0)
        rest = f"{field.datagrams / size / 4:.1f} datagrams and {field.bytes / size / 4:.0f} bytes a sidecar and second"
        spans = []
        for n in range(20):
            drain = endpoint(f"e{n}", rank=1)
            field.tell(field.rng.choice(field.names), drain)
            spans.append(field.until_all_know(drain))
        victim = field.names[-1]
        del field.gossips[victim]
        began = field.now
        while any((s.standing(victim) or 0) < 2 for s in field.gossips.values()) and field.now < began + 30.0:
            field.run(0.05)
        wrongly = sum(d[2] != victim for d in field.deaths)
        print(
            f"{size:5d} sidecars: a drain known by all after s: {spread(spans)}; "
            f"a death after {field.now - began:.1f}; at rest {rest}; wrongly removed {wrongly}",
            flush=True,
        )


def cut(sizes: list[int]) -> None:
    """After a cut in two of 30 s: time until both sides agree, and bytes against what differs."""
    for size in sizes:
        for told in (0, 10, 100, 1000):
            field = Field(size, loss=LOSS)
            field.run(SETTLES)
            left, right = field.names[: size // 2], field.names[size // 2 :]
            field.cut = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
            for n in range(told):
                field.tell(left[n % len(left)], endpoint(f"l{n}"))
                field.tell(right[n % len(right)], endpoint(f"r{n}"))
            field.run(30.0)
            field.cut.clear()
            field.bytes = 0
            began = field.now
            while field.now < began + 30.0:
                field.run(0.1)
                sums = {tuple(s.records.sums) for s in field.gossips.values()}
                if len(sums) == 1 and all(len(s.peers()) == size - 1 for s in field.gossips.values()):
                    break
            spent, span = field.bytes, field.now - began
            field.bytes = 0
            field.run(span)
            print(
                f"{size} sidecars, {told} records told on each side: agreed after {span:.1f} s, "
                f"{(spent - field.bytes) / 1e3:.0f} kB beyond those of as long at rest",
                flush=True,
            )


def order(sizes: list[int]) -> None:
    """Time from a call to its acknowledgement, and without one that acts after a kill. A sync is done in the member's
    next turn of 1 ms, four times in five."""
    for size in sizes:
        acks: list[float] = []
        gaps: list[float] = []
        for seed in range(6):
            world = World(seed, size, losses=1)
            world.run(3.0)
            for n in range(1, 21):
                (leader,) = world.leaders()
                began = world.now
                world.put(leader, n - 1, n)
                while n not in world.acked:
                    world.run(0.001, step=0.001)
                acks.append(world.now - began)
            (leader,) = world.leaders()
            world.kill(leader)
            began = world.now
            while not world.leaders():
                world.run(0.01)
            gaps.append(world.now - began)
        print(
            f"{size} members: acknowledged after s: {spread(acks)}; without one that acts: {spread(gaps)}", flush=True
        )


def leaderless(world: World, trouble: str) -> float:
    """s without a leader that answers a read, after a trouble of the present one."""
    (leader,) = world.leaders()
    if trouble == "kill":
        world.kill(leader)
    elif trouble == "freeze":
        world.pause(leader)
    elif trouble == "one-way cut":  # it speaks and hears nobody
        world.cut = {(o, leader) for o in world.machines if o != leader}
    else:
        world.terminate(leader, gone=True)
    began = world.now
    while world.now < began + 10.0:
        others = [ip for ip in world.leaders() if ip != leader]
        if others:
            call = world.get(others[0])
            world.run(0.02, step=0.002)
            if call is not None and call.told is Told.DONE:
                return call.ended - began
        else:
            world.run(0.01, step=0.002)
    return math.inf


def repair(world: World, kind: str, victim: str) -> None:
    """Begin to replace a member; what has to be there before has had its time."""
    if kind == "disk lost":
        world.wipe(victim)
        world.start(victim)
    elif kind == "replaced":
        world.remove(victim)
        world.add("10.0.1.1")
    else:
        world.add("10.0.1.1")
        world.run(4.0)
        world.terminate(victim, gone=True)


def vulnerable(world: World, kind: str, victim: str) -> float:
    """s from the beginning of a repair to the last instant at which one more lost disk leaves no leader."""
    repair(world, kind, victim)
    began, last = world.now, 0.0
    while world.now < began + 4.0:
        stays = [ip for ip in world.machines if ip != victim and ip not in world.ending and ip != "10.0.1.1"]
        trial = copy.deepcopy(world)
        trial.wipe(trial.rng.choice(stays))
        trial.run(2.5)
        leaders = trial.leaders()
        if not leaders or not trial.reads(leaders[0]):
            last = world.now - began + LOSS_STEP
        world.run(LOSS_STEP)
    return last


def losses(sizes: list[int]) -> None:
    """Time without a leader after each trouble of it; time until a second loss is survived, after each kind of repair,
    where the fault model names one loss and the set is as large as that needs, or larger."""
    for size in sizes:
        for trouble in ("kill", "freeze", "one-way cut", "leave"):
            gaps = []
            for seed in range(20):
                world = World(seed, size, losses=(size - 1) // 2, founders=3)
                world.run(4.0 + 0.01 * seed)
                gaps.append(leaderless(world, trouble))
            print(f"{size} members: leaderless after a {trouble}, s: {spread(gaps)}", flush=True)
        for kind in ("disk lost", "replaced", "planned"):
            for whose in ("the leader", "a follower"):
                spans = []
                for seed in range(4):
                    world = World(seed, size, losses=1, founders=3)
                    world.run(4.0)
                    (leader,) = world.leaders()
                    victim = leader if whose == "the leader" else next(i for i in world.machines if i != leader)
                    spans.append(vulnerable(world, kind, victim))
                print(f"{size} members, {kind}, {whose}: a second loss survived after s: {spread(spans)}", flush=True)


def explore(sizes: list[int]) -> None:
    """Every order of events for three members and two operators, breadth first, to so many states."""
    budgets = {
        "a crash": Budget(turns=1, crashes=1, losses=0),
        "a lost disk": Budget(turns=1, crashes=0, wipes=1, losses=0),
        "a lost message, two take-overs": Budget(turns=2, crashes=0, losses=1),
        "a doubled message": Budget(turns=1, crashes=0, losses=0, doubles=1),
    }
    for most in sizes:
        for name, budget in budgets.items():
            began = time.perf_counter()
            states = Explorer(budget=budget).explore(most, 30)
            print(f"{name}: {states} states in {time.perf_counter() - began:.0f} s, no invariant broken", flush=True)


VERBS = {"news": news, "cut": cut, "order": order, "losses": losses, "explore": explore}

if __name__ == "__main__":
    VERBS[sys.argv[1]]([int(a) for a in sys.argv[2:]])
