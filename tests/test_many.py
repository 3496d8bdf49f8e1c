"""Hundreds of instances on one clock: totals at the servers and at discovery against the stated caps."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from zinclever import Balancer, interface
from zinclever.standins.many import Instance, World

COUNT, SERVERS, SEED = 300, 60, 4
SHARES = interface.Shares(
    subset=6,
    connections=80.0,
    handshakes_per_s=30.0,
    list_calls_per_s=400.0,
    retry_ratio=0.2,
    copy_ratio=0.2,
    floor_per_s=0.5,
)
LIMITS = interface.Limits(max_attempts=4, cancel=True, second_copies=True, connect_timeout=250.0)
READ = interface.RequestClass(aim=400.0, deadline=1500.0, repeat="idempotent", name="read")
NAMES = [f"s{n}" for n in range(SERVERS)]


class Fleet:
    """A world with instances that start as a test says."""

    def __init__(
        self,
        shares: interface.Shares = SHARES,
        told: int = COUNT,
        count: int = COUNT,
        backlog: int = 0,
        lines_per_s: float = 400.0,
        took: float = 50.0,
    ) -> None:
        self.world = World(
            [interface.ListedEndpoint(n) for n in NAMES],
            SEED,
            mean_service_time=took,
            backlog=backlog,
            lines_per_s=lines_per_s,
        )
        self.settings = interface.Settings(
            classes=(READ,),
            limits=LIMITS,
            rules=interface.Rules(cold_share=0.2, cold_for=10_000.0),
            group_size=told,
            discovery="on_request",
            shares=shares,
        )
        self.instances: dict[int, Instance] = {}
        self.count = count

    def start(self, me: int, rate: float = 1.0) -> None:
        before = self.instances.get(me)
        if before is not None:
            before.stop()
        version = before.version if before is not None else 0
        told = replace(self.settings, me=me)
        self.instances[me] = Instance(self.world, told, rate, version, Balancer)

    def start_all(self, rate: float = 1.0) -> None:
        """Within a second from now on."""
        for me in range(self.count):
            self.world.at(self.world.now + 1000.0 * self.world.rng.random(), self.start, me, rate)

    def most(self, what: Counter[tuple[int, str]]) -> int:
        return max(self.world.counts.busiest(what).values(), default=0)

    def shares_kept(self) -> None:
        counts = self.world.counts
        assert self.most(counts.connections) <= SHARES.connections
        assert self.most(counts.handshakes) <= SHARES.handshakes_per_s
        asked = counts.requests.total()
        assert counts.copies.total() <= 0.2 * asked + self.count + 0.5 * SERVERS * self.world.now / 1000.0
        assert (
            counts.retries.total()
            <= 0.2 * asked + self.count + counts.barred.total() + 0.5 * SERVERS * self.world.now / 1000.0
        )

    def served(self) -> float:
        answers = self.world.counts.answers
        return sum(n for (_, kind), n in answers.items() if kind == "served") / answers.total()


def test_all_start_twice_within_a_second() -> None:
    fleet = Fleet()
    fleet.start_all()
    fleet.world.run(8_000.0)
    fleet.start_all()
    fleet.world.run(16_000.0)
    fleet.shares_kept()
    counts = fleet.world.counts
    assert counts.requests.total() > 3000 and fleet.served() > 0.95
    # Spread over 1.5 s, two calls each: no more than the cap and chance.
    assert max(counts.calls.values()) <= 1.3 * SHARES.list_calls_per_s


def test_servers_that_are_replaced_and_servers_that_are_silent() -> None:
    fleet = Fleet(lines_per_s=4000.0)
    fleet.start_all()
    for n in range(10):
        fleet.world.at(3000.0 + 300.0 * n, fleet.world.replace, NAMES[n], f"new{n}")
    for name in NAMES[20:30]:
        fleet.world.at(9000.0, setattr, fleet.world.servers[name], "silent", True)
    fleet.world.run(15_000.0)
    fleet.shares_kept()
    assert all(x.version == 10 for x in fleet.instances.values())
    assert fleet.served() > 0.9
    new = [count for (_, name), count in fleet.world.counts.received.items() if name.startswith("new")]
    warm = 1000.0 / 50.0 * fleet.world.workers  # requests a second
    assert new and max(new) < 3.0 * warm  # what pushes a cold one over


def test_one_at_a_hundred_times_the_load_of_the_rest() -> None:
    fleet = Fleet()
    fleet.start_all(0.5)
    fleet.world.at(3000.0, fleet.start, 7, 50.0)
    fleet.world.run(40_000.0)
    fleet.shares_kept()
    hot, other = fleet.instances[7], fleet.instances[8]
    assert hot.total > 3 * other.total and fleet.served() > 0.95
    assert hot.connections.share_factor > 1.0 == other.connections.share_factor


def test_a_group_told_ten_times_too_small_is_held_by_the_servers_refusals() -> None:
    """Servers that take 12 connections each, and 300 instances that believe they are 30: refused handshakes fade."""
    fleet = Fleet(told=30, backlog=12)
    fleet.start_all(2.0)
    fleet.world.run(12_000.0)
    assert fleet.most(fleet.world.counts.connections) <= 12
    parts = [x.connections.share_factor for x in fleet.instances.values()]
    assert sum(parts) / len(parts) < 0.8


def test_refused_calls_of_discovery_fade_and_all_hear_in_the_end() -> None:
    """Twenty lines a second for 300 instances: at first all ask within five seconds, as the rule has it."""
    fleet = Fleet(lines_per_s=20.0, shares=replace(SHARES, list_calls_per_s=20.0))
    fleet.start_all(0.05)
    fleet.world.run(60_000.0)
    fleet.world.replace(NAMES[0], "new0")
    fleet.world.run(200_000.0)
    calls = fleet.world.counts.calls
    assert max(calls[s] for s in range(10, 20)) < max(calls[s] for s in range(6))
    assert sum(x.version == 1 for x in fleet.instances.values()) > 0.9 * COUNT


@pytest.mark.parametrize("count", [1, 2, 7])
def test_small_groups_keep_their_caps_and_serve(count: int) -> None:
    fleet = Fleet(told=count, count=count)
    fleet.start_all(5.0)
    fleet.world.run(15_000.0)
    fleet.shares_kept()
    assert fleet.served() > 0.97
