"""How long members are behind over slow links, by the size of the configuration, in simulated time.

python -m benchmarks.catch_up 0.02 1 4
"""

from __future__ import annotations

import sys
import time

from zinclever.mesh.model.slow_links import MEGABIT, SlowLinkWorld

FAST = 1e9  # bytes per s
MOST = 60.0  # s


def founded(size: int, exchange: bool) -> SlowLinkWorld:
    world = SlowLinkWorld(1, FAST, exchange)
    world.run(1.5)
    world.change(size)
    world.run(1.0)
    return world


def back(size: int, exchange: bool, away: int, whole: bool, storm: bool) -> str:
    """A member comes back after so many changes; ``whole``: nothing of the text is as it was."""
    world = founded(size, exchange)
    leader = world.leaders()[0]
    follower = [ip for ip in world.machines if ip != leader][-1]
    world.kill(follower)
    for _ in range(away):
        world.change(size, int(whole))
        world.run(0.06)
    world.run(0.5)
    world.rate = MEGABIT
    world.queued = world.max_heartbeat_delay = 0.0
    world.sent_bytes.clear()
    world.start(follower)
    began = time.perf_counter()
    took = world.run_until_caught_up(follower, size if storm else 0, int(whole), MOST if exchange else 10.0)
    spent = time.perf_counter() - began
    there = world.replica(follower).committed.index > 2
    sent = world.sent_bytes.get((leader, follower), 0) / 1e6
    held = max(texts.store.held_bytes for texts in world.texts.values()) / 1e6
    return (
        f"{size / 1e6:g} MB, away for {away}, {'nothing as it was' if whole else 'three routes a change'}, "
        f"{'changes go on' if storm else 'quiet'}: {f'{took:.2f} s' if there else f'not within {took:.0f} s'}; "
        f"heartbeats late by {world.max_heartbeat_delay:.2f} s at most; {sent:.2f} MB to the follower; "
        f"blocks held {held:.1f} MB; leader {'stays' if world.leaders() == [leader] else 'LOST'}; "
        f"{spent:.2f} s of processor"
    )


def leaderless(size: int, exchange: bool) -> str:
    """The leader is killed: when the others lead, and when they take a change."""
    world = founded(size, exchange)
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
        return f"{size / 1e6:g} MB, leader killed: nobody leads within 10 s"
    return (
        f"{size / 1e6:g} MB, leader killed: another leads after {led:.2f} s, a change after {world.now - began:.2f} s"
    )


def main(sizes: list[int]) -> None:
    print("1 Mbit/s a link, texts by blocks")
    for size in sizes:
        for away, whole, storm in ((1, False, False), (300, False, True), (1, True, False), (1, True, True)):
            print(back(size, True, away, whole, storm), flush=True)
        print(leaderless(size, True), flush=True)
    print("texts whole in their messages, as in the version before")
    for size in (s for s in sizes if s <= 1_000_000):
        print(back(size, False, 1, False, True), flush=True)
        print(leaderless(size, False), flush=True)


if __name__ == "__main__":
    main([int(float(a) * 1e6) for a in sys.argv[1:]])
