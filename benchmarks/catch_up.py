"""How long replicas take to catch up over slow links, by the size of the configuration, in simulated time.

python -m benchmarks.catch_up 0.02 1 4
"""

from __future__ import annotations

import sys
import time

from zinclever.mesh.model.slow_links import MEGABIT, SlowLinkWorld

FAST = 1e9  # bytes per s
MAX_CATCH_UP_TIME = 60.0  # s


def make_world(size: int, exchange: bool) -> SlowLinkWorld:
    """Returns a world that has committed one configuration of ``size`` bytes over fast links."""
    world = SlowLinkWorld(1, FAST, exchange)
    world.run(1.5)
    world.change(size)
    world.run(1.0)
    return world


def catch_up_after_restart(
    size: int, exchange: bool, missed_changes: int, replaces_text: bool, changes_continue: bool
) -> str:
    """Restarts a follower over slow links and reports how it catches up.

    Args:
        size: Size of the configuration in bytes.
        exchange: Whether texts are transferred as blocks.
        missed_changes: Number of changes that the follower has missed.
        replaces_text: Whether the changes replace the whole text.
        changes_continue: Whether changes go on while it catches up.
    """
    world = make_world(size, exchange)
    leader = world.leaders()[0]
    follower = [ip for ip in world.machines if ip != leader][-1]
    world.kill(follower)
    for _ in range(missed_changes):
        world.change(size, int(replaces_text))
        world.run(0.06)
    world.run(0.5)
    world.rate = MEGABIT
    world.queued = world.max_heartbeat_delay = 0.0
    world.sent_bytes.clear()
    world.start(follower)
    began = time.perf_counter()
    catch_up_time = world.run_until_caught_up(
        follower, size if changes_continue else 0, int(replaces_text), MAX_CATCH_UP_TIME if exchange else 10.0
    )
    cpu_time = time.perf_counter() - began
    caught_up = world.replica(follower).committed.index > 2
    sent = world.sent_bytes.get((leader, follower), 0) / 1e6
    held = max(texts.store.held_bytes for texts in world.texts.values()) / 1e6
    return (
        f"{size / 1e6:g} MB, away for {missed_changes}, "
        f"{'nothing as it was' if replaces_text else 'three routes a change'}, "
        f"{'changes go on' if changes_continue else 'quiet'}: "
        f"{f'{catch_up_time:.2f} s' if caught_up else f'not within {catch_up_time:.0f} s'}; "
        f"heartbeats late by {world.max_heartbeat_delay:.2f} s at most; {sent:.2f} MB to the follower; "
        f"blocks held {held:.1f} MB; leader {'stays' if world.leaders() == [leader] else 'LOST'}; "
        f"{cpu_time:.2f} s of processor"
    )


def leaderless(size: int, exchange: bool) -> str:
    """Kills the leader; reports when there is a new one and when it has committed a change."""
    world = make_world(size, exchange)
    world.rate = MEGABIT
    world.kill(world.leaders()[0])
    began = world.now
    while not world.leaders() and world.now - began < 10.0:
        world.run(0.02)
    led = world.now - began
    generation = world.change(size)
    while generation and world.confirmed < generation and world.now - began < 10.0:
        world.run(0.02)
    if not generation:
        return f"{size / 1e6:g} MB, leader killed: no new leader within 10 s"
    return (
        f"{size / 1e6:g} MB, leader killed: new leader after {led:.2f} s, "
        f"a change committed after {world.now - began:.2f} s"
    )


def main(sizes: list[int]) -> None:
    """Prints the results for configurations of the given sizes in bytes."""
    print("1 Mbit/s a link, texts by blocks")
    for size in sizes:
        for missed_changes, replaces_text, changes_continue in (
            (1, False, False),
            (300, False, True),
            (1, True, False),
            (1, True, True),
        ):
            print(catch_up_after_restart(size, True, missed_changes, replaces_text, changes_continue), flush=True)
        print(leaderless(size, True), flush=True)
    print("complete texts inside the messages")
    for size in (s for s in sizes if s <= 1_000_000):
        print(catch_up_after_restart(size, False, 1, False, True), flush=True)
        print(leaderless(size, False), flush=True)


if __name__ == "__main__":
    main([int(float(a) * 1e6) for a in sys.argv[1:]])
