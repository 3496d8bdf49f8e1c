"""Times of gossip, elections and configuration changes in the mesh, by its size, in simulated time.

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
from zinclever.mesh.model.histories import CallOutcome
from zinclever.mesh.model.members import World

LOSS = 0.02  # share of datagrams lost
LOSS_STEP = 0.04  # s between two instants at which a second loss is tried
SETTLING_TIME = 6.0  # s of simulated time until all processes know each other
EXPLORED_DEPTH = 40  # moves from the start of an exploration
LIVENESS_EVERY = 10  # one of so many explored states is checked for whether a leader is elected again


def spread(values: list[float]) -> str:
    """Formats the median, the 99th percentile and the maximum."""
    values = sorted(values)
    high = values[int(0.99 * (len(values) - 1))]
    return f"p50 {statistics.median(values):.3f}, p99 {high:.3f}, worst {values[-1]:.3f}"


def news(sizes: list[int]) -> None:
    """Measures the time until all sidecars know of a drain or a death, and the cost of gossip at rest."""
    for size in sizes:
        field = Field(size, loss=LOSS)
        field.run(SETTLING_TIME)
        field.bytes = field.datagrams = 0
        field.run(4.0)
        rest = f"{field.datagrams / size / 4:.1f} datagrams and {field.bytes / size / 4:.0f} bytes a sidecar and second"
        spans = []
        for n in range(20):
            drain_record = endpoint(f"e{n}", rank=1)
            field.tell(field.rng.choice(field.names), drain_record)
            spans.append(field.time_to_reach_all(drain_record))
        victim = field.names[-1]
        del field.gossips[victim]
        started = field.now
        while any((s.members.state_of(victim) or 0) < 2 for s in field.gossips.values()) and field.now < started + 30.0:
            field.run(0.05)
        wrong_removals = sum(d[2] != victim for d in field.deaths)
        print(
            f"{size:5d} sidecars: a drain known by all after s: {spread(spans)}; "
            f"a death known after {field.now - started:.1f}; at rest {rest}; removed wrongly {wrong_removals}",
            flush=True,
        )


def cut(sizes: list[int]) -> None:
    """Measures how long both sides of a partition of 30 s take to agree again, and the bytes that it costs."""
    for size in sizes:
        for changed_records in (0, 10, 100, 1000):
            field = Field(size, loss=LOSS)
            field.run(SETTLING_TIME)
            left, right = field.names[: size // 2], field.names[size // 2 :]
            field.cut = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
            for n in range(changed_records):
                field.tell(left[n % len(left)], endpoint(f"l{n}"))
                field.tell(right[n % len(right)], endpoint(f"r{n}"))
            field.run(30.0)
            field.cut.clear()
            field.bytes = 0
            started = field.now
            while field.now < started + 30.0:
                field.run(0.1)
                sums = {tuple(s.records.range_digests) for s in field.gossips.values()}
                if len(sums) == 1 and all(len(s.members.others()) == size - 1 for s in field.gossips.values()):
                    break
            spent, span = field.bytes, field.now - started
            field.bytes = 0
            field.run(span)
            print(
                f"{size} sidecars, {changed_records} records changed on each side: agreed after {span:.1f} s, "
                f"{(spent - field.bytes) / 1e3:.0f} kB more than at rest",
                flush=True,
            )


def order(sizes: list[int]) -> None:
    """Measures the time from a change to its acknowledgement, and the time without a leader after a kill.

    A sync ends in the member's next step of 1 ms with a probability of four fifths.
    """
    for size in sizes:
        acks: list[float] = []
        gaps: list[float] = []
        for seed in range(6):
            world = World(seed, size, losses=1)
            world.run(3.0)
            for n in range(1, 21):
                (leader,) = world.leaders()
                started = world.now
                world.put(leader, n - 1, n)
                while n not in world.acked:
                    world.run(0.001, step=0.001)
                acks.append(world.now - started)
            (leader,) = world.leaders()
            world.kill(leader)
            started = world.now
            while not world.leaders():
                world.run(0.01)
            gaps.append(world.now - started)
        print(f"{size} members: acknowledged after s: {spread(acks)}; without a leader: {spread(gaps)}", flush=True)


def time_without_leader(world: World, fault: str) -> float:
    """Applies a fault to the leader; returns the time until another leader answers a read, in s."""
    (leader,) = world.leaders()
    if fault == "kill":
        world.kill(leader)
    elif fault == "freeze":
        world.pause(leader)
    elif fault == "one-way cut":  # it can send, but receives nothing
        world.cut = {(o, leader) for o in world.machines if o != leader}
    else:
        world.terminate(leader, gone=True)
    started = world.now
    while world.now < started + 10.0:
        others = [ip for ip in world.leaders() if ip != leader]
        if others:
            call = world.get(others[0])
            world.run(0.02, step=0.002)
            if call is not None and call.outcome is CallOutcome.DONE:
                return call.ended - started
        else:
            world.run(0.01, step=0.002)
    return math.inf


def repair(world: World, kind: str, victim: str) -> None:
    """Begins to replace a member; for a planned replacement the new member has already joined."""
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


def vulnerable_period(world: World, kind: str, victim: str) -> float:
    """Returns the time from the start of a repair until another lost disk can no longer prevent a leader, in s."""
    repair(world, kind, victim)
    started, last_failure = world.now, 0.0
    while world.now < started + 4.0:
        surviving = [ip for ip in world.machines if ip != victim and ip not in world.ending and ip != "10.0.1.1"]
        trial = copy.deepcopy(world)
        trial.wipe(trial.rng.choice(surviving))
        trial.run(2.5)
        leaders = trial.leaders()
        if not leaders or not trial.reads(leaders[0]):
            last_failure = world.now - started + LOSS_STEP
        world.run(LOSS_STEP)
    return last_failure


def losses(sizes: list[int]) -> None:
    """Measures the time without a leader after each fault, and the time until a second loss is survived after repairs.

    The fault model names one loss for the repairs, and the group is at least as large as that requires.
    """
    for size in sizes:
        for fault in ("kill", "freeze", "one-way cut", "leave"):
            gaps = []
            for seed in range(20):
                world = World(seed, size, losses=(size - 1) // 2, founders=3)
                world.run(4.0 + 0.01 * seed)
                gaps.append(time_without_leader(world, fault))
            print(f"{size} members: leaderless after a {fault}, s: {spread(gaps)}", flush=True)
        for kind in ("disk lost", "replaced", "planned"):
            for victim_role in ("the leader", "a follower"):
                spans = []
                for seed in range(4):
                    world = World(seed, size, losses=1, founders=3)
                    world.run(4.0)
                    (leader,) = world.leaders()
                    victim = leader if victim_role == "the leader" else next(i for i in world.machines if i != leader)
                    spans.append(vulnerable_period(world, kind, victim))
                print(
                    f"{size} members, {kind}, {victim_role}: a second loss survived after s: {spread(spans)}",
                    flush=True,
                )


def explore(sizes: list[int]) -> None:
    """Explores all orders of events for three members and two operators, breadth first, up to each number of states."""
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
    for max_states in sizes:
        for name, (start, budget) in cases.items():
            explore_case(name, Explorer(budget=budget, start=start), max_states)


def explore_voters(sizes: list[int]) -> None:
    """Explores all orders of events while voters change, breadth first, up to each number of states.

    One state in LIVENESS_EVERY is checked for whether a leader is elected again.
    """
    quiet = Budget(time_steps=0, crashes=0, losses=0)
    cases = {
        "a follower leaves, a take-over, a change": (
            VoterStart.FOLLOWER_LEAVES,
            replace(quiet, time_steps=1, changes=1),
        ),
        "a follower leaves, a loss": (VoterStart.FOLLOWER_LEAVES, replace(quiet, changes=1, destroyed=1)),
        "a follower is killed while it leaves": (
            VoterStart.FOLLOWER_LEAVES,
            replace(quiet, time_steps=1, forced_ends=1),
        ),
        "two wiped disks, one after the other": (VoterStart.FOLLOWER_LEAVES, replace(quiet, waits=2, wipes=2)),
        "a follower may leave, a pause": (VoterStart.LEAVE_GRANTED, replace(quiet, waits=1, pauses=1, changes=1)),
        "a follower may leave, a take-over": (VoterStart.LEAVE_GRANTED, replace(quiet, time_steps=1, changes=1)),
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
    for max_states in sizes:
        for name, (start, budget) in cases.items():
            explorer = VoterExplorer(budget=budget, start=start, liveness_every=LIVENESS_EVERY)
            explore_case(name, explorer, max_states)
            print(f"    a leader was elected again from {explorer.recovered} states", flush=True)


def explore_case(name: str, explorer: Explorer, max_states: int) -> None:
    """Explores up to ``max_states`` states and prints the result."""
    started = time.perf_counter()
    try:
        states = explorer.explore(max_states, EXPLORED_DEPTH)
    except Broken as broken:
        print(f"{name}: BROKEN after {time.perf_counter() - started:.0f} s: {broken}", flush=True)
        return
    print(
        f"{name}: {states} states and {len(explorer.judged)} histories in {time.perf_counter() - started:.0f} s, "
        f"{'all of them' if states < max_states else 'stopped there'}, no invariant broken",
        flush=True,
    )


COMMANDS = {
    "news": news,
    "cut": cut,
    "order": order,
    "losses": losses,
    "explore": explore,
    "explore-voters": explore_voters,
}

if __name__ == "__main__":
    COMMANDS[sys.argv[1]]([int(a) for a in sys.argv[2:]])
