"""How long news and changes take in the mesh, by its size, in simulated time.

python -m benchmarks.mesh news 15 50 300
python -m benchmarks.mesh cut 15 60
python -m benchmarks.mesh order 3 5 7 9
python -m benchmarks.mesh losses 3 5
python -m benchmarks.mesh explore 40000
python -m benchmarks.mesh explore-voters 20000
"""

from __future__ import annotations

import copy
import math
import statistics
import sys
import time
from dataclasses import replace

from zinclever.mesh.model.explore import Broken, Explorer, Start
from zinclever.mesh.model.explore_voters import VoterExplorer, VoterStart
from zinclever.mesh.model.explored_state import Budget
from zinclever.mesh.model.field import Field, endpoint
from zinclever.mesh.model.histories import Told
from zinclever.mesh.model.members import World

LOSS = 0.02  # of datagrams
LOSS_STEP = 0.04  # s between two instants at which a second loss is tried
SETTLES = 6.0  # s of simulated time until all have met
EXPLORED_DEPTH = 40  # moves from the start of an exploration
LIVENESS_EVERY = 10  # states that are explored for one that is tried for whether a leader is elected again


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
            spans.append(field.time_to_reach_all(drain))
        victim = field.names[-1]
        del field.gossips[victim]
        began = field.now
        while any((s.members.state_of(victim) or 0) < 2 for s in field.gossips.values()) and field.now < began + 30.0:
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
                sums = {tuple(s.records.range_digests) for s in field.gossips.values()}
                if len(sums) == 1 and all(len(s.members.others()) == size - 1 for s in field.gossips.values()):
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
    quiet = Budget(time_steps=0, crashes=0, losses=0)
    cases = {
        "a crash": (Start.TWO_CHANGES, replace(quiet, time_steps=1, crashes=1)),
        "a lost disk": (Start.TWO_CHANGES, replace(quiet, time_steps=1, wipes=1)),
        "a lost message, two take-overs": (Start.TWO_CHANGES, replace(quiet, time_steps=2, losses=1)),
        "a doubled message": (Start.TWO_CHANGES, replace(quiet, time_steps=1, duplicates=1)),
        "a pause": (Start.TWO_CHANGES, replace(quiet, time_steps=1, pauses=1, changes=1, reads=1)),
        "a leader replaced, calls": (Start.REPLACED, replace(quiet, changes=2, reads=1)),
        "a leader replaced, a take-over": (Start.REPLACED, replace(quiet, time_steps=1, changes=1, reads=1)),
        "a leader replaced, a lost message": (Start.REPLACED, replace(quiet, losses=1, changes=2, reads=1)),
        "a leader replaced, a crash": (Start.REPLACED, replace(quiet, crashes=1, changes=1, reads=1)),
        "a member behind takes over": (Start.LAGGING_MEMBER, replace(quiet, changes=1, reads=1)),
        "a member behind takes over, a crash": (Start.LAGGING_MEMBER, replace(quiet, crashes=1, reads=1)),
    }
    for most in sizes:
        for name, (start, budget) in cases.items():
            explore_case(name, Explorer(budget=budget, start=start), most)


def explore_voters(sizes: list[int]) -> None:
    """Every order of events while voters change, breadth first, to so many states; of the states, one in
    LIVENESS_EVERY is tried for whether a leader is elected again."""
    quiet = Budget(time_steps=0, crashes=0, losses=0)
    cases = {
        "a follower leaves, a take-over, a change": (
            VoterStart.FOLLOWER_LEAVES,
            replace(quiet, time_steps=1, changes=1),
        ),
        "a follower leaves, a loss": (VoterStart.FOLLOWER_LEAVES, replace(quiet, changes=1, destroyed=1)),
        "a follower is ended by force": (VoterStart.FOLLOWER_LEAVES, replace(quiet, time_steps=1, forced_ends=1)),
        "two wiped disks, one after the other": (VoterStart.FOLLOWER_LEAVES, replace(quiet, waits=2, wipes=2)),
        "a follower was let go, a pause": (VoterStart.LEAVE_GRANTED, replace(quiet, waits=1, pauses=1, changes=1)),
        "a follower was let go, a take-over": (VoterStart.LEAVE_GRANTED, replace(quiet, time_steps=1, changes=1)),
        "the leader leaves": (VoterStart.LEADER_LEAVES, replace(quiet, time_steps=1, forced_ends=1)),
        "the leader leaves, a wiped disk": (VoterStart.LEADER_LEAVES, replace(quiet, time_steps=1, wipes=1)),
        "a replacement, a crash": (VoterStart.REPLACEMENT, replace(quiet, crashes=1, time_steps=1)),
        "a replacement, a second loss": (VoterStart.REPLACEMENT, replace(quiet, destroyed=1, time_steps=1)),
        "a replacement, a pause, a second loss": (
            VoterStart.REPLACEMENT,
            replace(quiet, pauses=1, destroyed=1, time_steps=1),
        ),
        "after a replacement, a second loss": (VoterStart.REPLACED, replace(quiet, destroyed=1, time_steps=1)),
        "after a replacement, a wiped disk": (VoterStart.REPLACED, replace(quiet, wipes=1, time_steps=1, waits=1)),
        "a planned replacement, a loss": (VoterStart.PLANNED_REPLACEMENT, replace(quiet, waits=1, destroyed=1)),
        "a planned replacement, a pause, a loss": (
            VoterStart.PLANNED_REPLACEMENT,
            replace(quiet, waits=1, time_steps=1, pauses=1, destroyed=1),
        ),
        "a learner joins, a member leaves": (VoterStart.LEARNER_WAITS, replace(quiet, waits=2, time_steps=1, leaves=1)),
    }
    for most in sizes:
        for name, (start, budget) in cases.items():
            explorer = VoterExplorer(budget=budget, start=start, liveness_every=LIVENESS_EVERY)
            explore_case(name, explorer, most)
            print(f"    a leader was elected again from {explorer.recovered} states", flush=True)


def explore_case(name: str, explorer: Explorer, most: int) -> None:
    """Explore to so many states and print what was found."""
    began = time.perf_counter()
    try:
        states = explorer.explore(most, EXPLORED_DEPTH)
    except Broken as broken:
        print(f"{name}: BROKEN after {time.perf_counter() - began:.0f} s: {broken}", flush=True)
        return
    print(
        f"{name}: {states} states and {len(explorer.judged)} histories in {time.perf_counter() - began:.0f} s, "
        f"{'all of them' if states < most else 'broken off there'}, no invariant broken",
        flush=True,
    )


VERBS = {
    "news": news,
    "cut": cut,
    "order": order,
    "losses": losses,
    "explore": explore,
    "explore-voters": explore_voters,
}

if __name__ == "__main__":
    VERBS[sys.argv[1]]([int(a) for a in sys.argv[2:]])
