"""Hundreds of simulated sidecars keep the configured totals at the servers and at discovery."""

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
    """A simulated world and its instances; ``group_size``: the number of instances that each is configured with."""

    def __init__(
        self,
        shares: interface.Shares = SHARES,
        group_size: int = COUNT,
        count: int = COUNT,
        backlog: int = 0,
        lines_per_s: float = 400.0,
        service_time: float = 50.0,
    ) -> None:
        self.world = World(
            [interface.ListedEndpoint(n) for n in NAMES],
            SEED,
            mean_service_time=service_time,
            backlog=backlog,
            lines_per_s=lines_per_s,
        )
        self.settings = interface.Settings(
            classes=(READ,),
            limits=LIMITS,
            rules=interface.Rules(cold_share=0.2, cold_for=10_000.0),
            group_size=group_size,
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
        settings = replace(self.settings, me=me)
        self.instances[me] = Instance(self.world, settings, rate, version, Balancer)

    def start_all(self, rate: float = 1.0) -> None:
        """Starts all instances within the next second."""
        for me in range(self.count):
            self.world.at(self.world.now + 1000.0 * self.world.rng.random(), self.start, me, rate)

    def highest_count(self, counts: Counter[tuple[int, str]]) -> int:
        return max(self.world.counts.busiest(counts).values(), default=0)

    def check_limits(self) -> None:
        counts = self.world.counts
        assert self.highest_count(counts.connections) <= SHARES.connections
        assert self.highest_count(counts.handshakes) <= SHARES.handshakes_per_s
        request_count = counts.requests.total()
        assert counts.copies.total() <= 0.2 * request_count + self.count + 0.5 * SERVERS * self.world.now / 1000.0
        assert (
            counts.retries.total()
            <= 0.2 * request_count + self.count + counts.barred.total() + 0.5 * SERVERS * self.world.now / 1000.0
        )

    def served_share(self) -> float:
        answers = self.world.counts.answers
        return sum(n for (_, kind), n in answers.items() if kind == "served") / answers.total()


def test_all_instances_restarting_within_a_second_keep_the_limits() -> None:
    fleet = Fleet()
    fleet.start_all()
    fleet.world.run(8_000.0)
    fleet.start_all()
    fleet.world.run(16_000.0)
    fleet.check_limits()
    counts = fleet.world.counts
    assert counts.requests.total() > 3000 and fleet.served_share() > 0.95
    # Two calls of each instance, spread over 1.5 s: the limit with a margin for chance.
    assert max(counts.calls.values()) <= 1.3 * SHARES.list_calls_per_s


def test_limits_hold_while_servers_are_replaced_or_silent() -> None:
    fleet = Fleet(lines_per_s=4000.0)
    fleet.start_all()
    for n in range(10):
        fleet.world.at(3000.0 + 300.0 * n, fleet.world.replace, NAMES[n], f"new{n}")
    for name in NAMES[20:30]:
        fleet.world.at(9000.0, setattr, fleet.world.servers[name], "silent", True)
    fleet.world.run(15_000.0)
    fleet.check_limits()
    assert all(x.version == 10 for x in fleet.instances.values())
    assert fleet.served_share() > 0.9
    new = [count for (_, name), count in fleet.world.counts.received.items() if name.startswith("new")]
    warm = 1000.0 / 50.0 * fleet.world.workers  # requests a second
    assert new and max(new) < 3.0 * warm  # a cold server would be overloaded by more


def test_instance_with_a_hundredfold_load_gets_more_connections() -> None:
    fleet = Fleet()
    fleet.start_all(0.5)
    fleet.world.at(3000.0, fleet.start, 7, 50.0)
    fleet.world.run(40_000.0)
    fleet.check_limits()
    hot, other = fleet.instances[7], fleet.instances[8]
    assert hot.total > 3 * other.total and fleet.served_share() > 0.95
    assert hot.connections.share_factor > 1.0 == other.connections.share_factor


def test_refused_connections_limit_a_group_configured_too_small() -> None:
    """Where 300 instances are configured as 30, the servers' limit of 12 connections each makes them reduce theirs."""
    fleet = Fleet(group_size=30, backlog=12)
    fleet.start_all(2.0)
    fleet.world.run(12_000.0)
    assert fleet.highest_count(fleet.world.counts.connections) <= 12
    parts = [x.connections.share_factor for x in fleet.instances.values()]
    assert sum(parts) / len(parts) < 0.8


def test_discovery_calls_slow_down_under_overload_and_all_get_the_change() -> None:
    """With twenty lines per second for 300 instances, calls that time out are repeated less often."""
    fleet = Fleet(lines_per_s=20.0, shares=replace(SHARES, list_calls_per_s=20.0))
    fleet.start_all(0.05)
    fleet.world.run(60_000.0)
    fleet.world.replace(NAMES[0], "new0")
    fleet.world.run(200_000.0)
    calls = fleet.world.counts.calls
    assert max(calls[s] for s in range(10, 20)) < max(calls[s] for s in range(6))
    assert sum(x.version == 1 for x in fleet.instances.values()) > 0.9 * COUNT


@pytest.mark.parametrize("count", [1, 2, 7])
def test_small_groups_keep_the_limits_and_serve(count: int) -> None:
    fleet = Fleet(group_size=count, count=count)
    fleet.start_all(5.0)
    fleet.world.run(15_000.0)
    fleet.check_limits()
    assert fleet.served_share() > 0.97
