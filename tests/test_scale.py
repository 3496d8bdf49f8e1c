"""Large fleets: selection does not scan the list, and draws with the same probabilities as a scan would."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from helpers import KEYED, SAFE, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.policy.endpoints import Endpoint
from zinclever.policy.partition import ZonePartition
from zinclever.policy.requests import Request


class Counted(list[Endpoint]):
    """A list that counts the items that are iterated over or accessed."""

    accessed = 0

    def __iter__(self) -> Iterator[Endpoint]:
        Counted.accessed += len(self)
        return super().__iter__()

    def __getitem__(self, index: Any) -> Any:
        Counted.accessed += 1
        return super().__getitem__(index)


def count_accesses(s: BalancerHarness) -> None:
    """Replace the lists of a harness by counting ones."""
    Counted.accessed = 0
    for side in (s.b.endpoint_list.near, s.b.endpoint_list.far):
        side.ready, side.up = Counted(side.ready), Counted(side.up)
    s.b.endpoint_list.ready = Counted(s.b.endpoint_list.ready)


@pytest.mark.parametrize("size", [100, 1000, 10_000])
def test_a_request_accesses_few_endpoints_whatever_the_size_of_the_fleet(size: int) -> None:
    s = BalancerHarness(settings(), fleet(size))
    s.submit()  # the first draw after a change computes the sums
    count_accesses(s)
    for n in range(50):
        r = s.submit()
        s.feed(
            interface.AttemptEnded(
                r, 0, s.all[-1][1].endpoint if isinstance(s.all[-1][1], interface.Send) else "e0", "served", 5.0, True
            )
        )
        s.wait(1.0)
        assert Counted.accessed <= 20 * (n + 1), "the fleet was scanned"


def sized(sizes: list[float]) -> list[interface.ListedEndpoint]:
    """Return list entries of these sizes."""
    return [interface.ListedEndpoint(f"e{n}", size=size) for n, size in enumerate(sizes)]


def test_sampling_draws_with_the_same_probabilities_as_a_scan() -> None:
    """Compares with the scan of the partition: the same shares of first and second endpoints by size, without endpoints
    that are down, used or in another group."""
    rng = Random(7)
    sizes = [rng.choice([0.5, 1.0, 2.0, 8.0]) for _ in range(40)]
    s = BalancerHarness(settings(SAFE), sized(sizes))
    balancer, now = s.b, s.now
    down = [balancer.endpoint_list.endpoints[f"e{n}"] for n in range(0, 40, 4)]
    for endpoint in down:
        endpoint.down_until = now + 1e6
        balancer.endpoint_list.near.mark_down(now, endpoint)
    request = Request(interface.RequestArrived("x", 0, now + 500.0), balancer.classes[0], balancer.tenants[0], now)
    drawn: dict[str, Counter[str]] = {"sampled": Counter(), "full scan": Counter()}
    failed = 0
    for _ in range(20_000):
        sampled = balancer.selector.sample_two(now, request, balancer.endpoint_list.near, 40)
        if sampled is None:  # too few draws: then the partition is scanned
            failed += 1
            continue
        scanned = balancer.selector.choose_two(
            now, request, balancer.selector.eligible(now, request, balancer.endpoint_list.near.ready)
        )
        assert scanned is not None
        for name, pair in (("sampled", sampled), ("full scan", scanned)):
            assert pair[0] is not pair[1]
            drawn[name].update([f"1 {pair[0].name}", f"2 {pair[1].name}"])
    assert failed < 20
    assert not any(f"{k} {endpoint.name}" in drawn["sampled"] for endpoint in down for k in (1, 2))
    for key, count in drawn["full scan"].items():
        # Seeded, so that the counts are fixed: within five standard deviations.
        assert abs(drawn["sampled"][key] - count) < 5.0 * (2.0 * count) ** 0.5 + 1.0, key


def test_the_only_endpoint_that_is_up_is_found() -> None:
    s = BalancerHarness(settings(), fleet(2000))
    for n, endpoint in enumerate(list(s.b.endpoint_list.endpoints.values())):
        if n != 77:
            endpoint.down_until = s.now + 1e6
            s.b.endpoint_list.near.mark_down(s.now, endpoint)
    assert s.b.endpoint_list.near.is_mostly_down(s.now)
    s.b.endpoint_list.near.sample_by_size(s.b.rng, 2000)
    count_accesses(s)
    # With most endpoints down all are tried, and the one that is up is one of the two in each draw.
    for n in range(20):
        r = s.submit()
        assert s.sends(r)[0].endpoint == "e77" or n > 0
        s.end(r)
    assert sum(a.endpoint == "e77" for a in s.sends()) >= 10
    assert Counted.accessed <= 20 * 60, "the fleet was scanned"


def test_requests_held_for_cold_endpoints_cause_no_scan() -> None:
    """10,000 endpoints have just started: requests are held and tried again without scanning the fleet."""
    s = BalancerHarness(settings(group_size=1), fleet(10_000, started_at=1_000_000.0))
    s.b.slow_start.warm_rate = 1e-9
    for endpoint in s.b.endpoint_list.endpoints.values():
        endpoint.tokens = 0.0
    s.b.endpoint_list.near.sample_by_size(s.b.rng, 10_000)
    count_accesses(s)
    for _ in range(20):
        s.submit()
        s.wait(10.0)
    assert not s.sends() and Counted.accessed < 20 * 20 * 400
    s.wait(600.0)
    assert len(s.actions_of(interface.Refuse)) == 20


def test_cold_endpoint_with_a_token_is_soon_found_among_ten_thousand() -> None:
    s = BalancerHarness(settings(group_size=1), fleet(10_000, started_at=1_000_000.0))
    s.b.slow_start.warm_rate = 1e-9
    for n, endpoint in enumerate(s.b.endpoint_list.near.ready):
        endpoint.tokens = 1.0 if n % 50 == 7 else 0.0
    r = s.submit()
    s.wait(100.0)
    assert s.sends(r)


def cells(n: int, each: int) -> list[interface.ListedEndpoint]:
    """Return ``n`` list entries in cells of ``each``."""
    return [interface.ListedEndpoint(f"e{x}", cell=x // each) for x in range(n)]


CELL_BOUND = replace(KEYED, group="cell")


@pytest.mark.parametrize("each", [2, 5, 63, 64, 65, 500, 10_000])
def test_retry_stays_in_its_cell_of_a_large_fleet(each: int) -> None:
    listed = cells(10_000, each)
    s = BalancerHarness(settings(CELL_BOUND), listed)
    cell_of = {x.endpoint: x.cell for x in listed}
    s.submit()
    count_accesses(s)
    for _ in range(30):
        for _ in range(6):  # answers in between, so that the losses don't look like overload
            s.end(s.submit(key="x"))
        r = s.submit(key="k")
        s.end(r, 0, "reset", complete=False)
        used = [a.endpoint for a in s.sends(r)]
        assert len(used) == 2 and cell_of[used[0]] == cell_of[used[1]] and used[0] != used[1]
        s.end(r, 1)
        s.wait(40.0)
    assert Counted.accessed < 30 * 7 * 60


def test_retry_in_a_cell_without_another_endpoint() -> None:
    """The endpoint is alone in its cell, or the rest of the cell has drained: a retry can only go back to it."""
    s = BalancerHarness(settings(CELL_BOUND), cells(300, 1))
    r = s.submit(key="k")
    first = s.sends(r)[0].endpoint
    s.end(r, 0, "reset", complete=False)
    assert {a.endpoint for a in s.sends(r)} == {first} or s.final_answers(r)
    s = BalancerHarness(settings(CELL_BOUND), cells(300, 2))
    r = s.submit(key="k")
    first = s.sends(r)[0].endpoint
    s.feed(
        interface.MembershipUpdate(
            "changes",
            [
                interface.ListedEndpoint(first, "draining", cell=int(first[1:]) // 2),
                interface.ListedEndpoint(f"e{int(first[1:]) ^ 1}", "gone", cell=int(first[1:]) // 2),
            ],
        )
    )
    s.end(r, 0, "reset", complete=False)
    s.wait(500.0)
    assert len(s.sends(r)) == 1 and isinstance(s.final_answers(r)[0], interface.Refuse | interface.Fail)


def test_two_thousand_endpoints_drain_at_once_with_requests_in_flight() -> None:
    """None of them gets anything new: no hedges, retries or held requests."""
    s = BalancerHarness(settings(SAFE, KEYED), fleet(4000))
    requests = [s.submit(n % 2) for n in range(500)]
    requests = [r for r in requests if s.sends(r)]
    assert len(requests) > 300
    drained = {f"e{n}" for n in range(0, 4000, 2)}
    s.feed(
        interface.MembershipUpdate("changes", [interface.ListedEndpoint(name, "draining") for name in sorted(drained)])
    )
    before = len(s.all)
    rng = Random(4)
    for r in requests:
        s.wait(1.0)
        if not s.final_answers(r):
            outcome: interface.Outcome = rng.choice(["served", "reset", "full", "connect_failed"])
            s.end(r, 0, outcome)
        for _ in range(2):
            new = s.submit()
            if s.sends(new):
                s.end(new)
    s.wait(1000.0)
    after = [a for _, a in s.all[before:] if isinstance(a, interface.Send)]
    assert len(after) > 500 and not {a.endpoint for a in after} & drained


@pytest.mark.parametrize("group", [1, 20_000])
def test_a_single_balancer_uses_all_endpoints_and_one_of_many_uses_few(group: int) -> None:
    s = BalancerHarness(settings(group_size=group), fleet(2000))
    s.serve(300)
    used = {a.endpoint for a in s.sends()}
    assert len(used) > 200 if group == 1 else len(used) < 40


def test_hot_key_is_spread_over_several_owners() -> None:
    """A quarter of the requests to 2,000 endpoints have the same key: several owners take turns."""
    s, rng = BalancerHarness(settings(warm_keys=True), fleet(2000)), Random(6)
    hot_key_sends: Counter[str] = Counter()
    for n in range(2000):
        is_hot = rng.random() < 0.25
        r = s.submit(key="hot" if is_hot else f"k{n}")
        if is_hot and s.sends(r):
            hot_key_sends[s.sends(r)[0].endpoint] += 1
        s.wait(2.0)
        if s.sends(r):
            s.end(r)
    total = sum(hot_key_sends.values())
    assert total > 400
    # The key stays on few endpoints, but none of them has more than a quarter of it, 6 % of all requests.
    assert len(hot_key_sends) >= 8 and hot_key_sends.most_common(1)[0][1] < total / 4
    assert sum(count for _, count in hot_key_sends.most_common(16)) > total / 2


def owners(side: ZonePartition, n: int) -> list[str]:
    """Return the owners of ``n`` keys."""
    return [side.key_owner(zlib.crc32(f"key{k} 0".encode())).name for k in range(n)]


def test_owners_are_even_by_size_and_a_change_moves_few_keys() -> None:
    sizes = [2.0 if n % 4 == 0 else 1.0 for n in range(200)]
    s = BalancerHarness(settings(), sized(sizes))
    side = s.b.endpoint_list.near
    before = owners(side, 40_000)
    counts = Counter(before)
    large, small = ([counts[f"e{n}"] for n in range(200) if (n % 4 == 0) is big] for big in (True, False))
    assert 1.6 < (sum(large) / 50) / (sum(small) / 150) < 2.4
    assert max(small) < 1.6 * sum(small) / 150
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e7", "gone")]))
    after = owners(side, 40_000)
    assert {old for old, new in zip(before, after, strict=True) if old != new} == {"e7"}
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e7", size=sizes[7])]))
    assert owners(side, 40_000) == before
    other = BalancerHarness(settings(), sized(sizes)[::-1], seed=9)  # another balancer, with the list in another order
    assert owners(other.b.endpoint_list.near, 40_000) == before


def test_owner_of_a_key_is_found_without_a_scan() -> None:
    s = BalancerHarness(settings(warm_keys=True), fleet(10_000))
    s.submit(key="a")
    count_accesses(s)
    ring = s.b.endpoint_list.near.ring
    assert ring is not None
    ring.owners = Counted(ring.owners)
    for n in range(50):
        s.end(s.submit(key=f"k{n}"))
        s.wait(1.0)
    assert Counted.accessed < 50 * 60


def test_endpoints_marked_as_down_expire() -> None:
    s = BalancerHarness(settings(), fleet(100))
    side, now = s.b.endpoint_list.near, s.now
    for n, endpoint in enumerate(side.ready[:80]):
        endpoint.down_until = now + 10.0 * n
        side.mark_down(now, endpoint)
    assert side.is_mostly_down(now) and len(side.down.members) == 79
    assert side.is_mostly_down(now + 200.0) and len(side.down.members) == 59
    assert not side.is_mostly_down(now + 400.0) and len(side.down.members) == 39
    assert not side.is_mostly_down(now + 1000.0) and not side.down.members and not side.down.deadlines


def test_marks_as_down_do_not_accumulate() -> None:
    """Guards against memory that grows with each failure."""
    side, now = ZonePartition(), 0.0
    s = BalancerHarness(settings(), fleet(3))
    side.replace_all(now, s.b.endpoint_list.near.ready, 0.0)
    for n in range(10_000):
        now = float(n)
        endpoint = side.ready[n % 3]
        endpoint.down_until = now + 5.0
        side.mark_down(now, endpoint)
    assert len(side.down.deadlines) < 10


@pytest.mark.parametrize("size", [0, 1, 2, 3, 5, 33, 2000])
def test_fleets_of_every_size(size: int) -> None:
    s = BalancerHarness(settings(SAFE, KEYED), fleet(size))
    for n in range(30):
        s.submit(n % 2)
        s.wait(5.0)
    sent = [a for _, a in s.all if isinstance(a, interface.Send)]
    assert bool(sent) == (size > 0)
    for request in {a.request for a in sent}:
        used = [a.endpoint for a in sent if a.request == request]
        assert len(used) == len(set(used)) or size < 5


def test_only_ready_endpoints_are_used_while_the_list_flaps() -> None:
    """Two versions of the list alternate while requests are in flight."""
    one, two = fleet(2000), [x._replace(phase="draining") if n % 2 else x for n, x in enumerate(fleet(2000))]
    s = BalancerHarness(settings(), one)
    for n in range(60):
        listed = two if n % 2 else one
        s.feed(interface.MembershipUpdate("whole", listed))
        ready = {x.endpoint for x in listed if x.phase == "ready"}
        for _ in range(5):
            before = len(s.all)
            s.submit()
            assert all(a.endpoint in ready for _, a in s.all[before:] if isinstance(a, interface.Send))
        s.wait(1.0)


def test_fleet_is_replaced_at_once_with_requests_in_flight() -> None:
    s = BalancerHarness(settings(), fleet(10_000))
    sent = [s.submit() for _ in range(20)]
    s.feed(interface.MembershipUpdate("whole", [interface.ListedEndpoint(f"new{n}") for n in range(10_000)]))
    before = len(s.all)
    for r in sent:
        s.feed(interface.AttemptEnded(r, 0, "", "connect_failed", 1.0, False))
    retries = [a for _, a in s.all[before:] if isinstance(a, interface.Send)]
    assert retries and all(a.endpoint.startswith("new") for a in retries)
    assert len(s.b.endpoint_list.endpoints) <= 10_020


@pytest.mark.parametrize("seed", range(8))
def test_incremental_changes_equal_a_rebuild(seed: int) -> None:
    """Compares with the rebuild of all indexes, with attempts in flight on removed endpoints."""
    rng = Random(seed)
    config = settings(SAFE, prices=interface.Prices(cross_zone=0.2))
    s, oracle = BalancerHarness(config, fleet(60)), BalancerHarness(config, fleet(60))
    phases: list[interface.Phase] = ["ready", "ready", "draining", "gone"]
    for _ in range(200):
        x = interface.ListedEndpoint(
            f"e{rng.randrange(80)}",
            rng.choice(phases),
            size=rng.choice([1.0, 2.0]),
            zone=rng.randrange(2),
            started_at=rng.choice([0.0, 0.0, s.now - 500.0]),
        )
        if rng.random() < 0.3:
            name = rng.choice(sorted(s.b.endpoint_list.endpoints))
            inflight = rng.randrange(2)
            for balancer in (s.b, oracle.b):
                balancer.endpoint_list.endpoints[name].inflight = inflight
        s.b.rng.seed(rng.random())
        oracle.b.rng.setstate(s.b.rng.getstate())
        s.b.on_membership(s.now, interface.MembershipUpdate("changes", [x]))
        oracle.b.endpoint_list.rebuild(oracle.now, interface.MembershipUpdate("changes", [x]))
        for changed, rebuilt in (
            (s.b.endpoint_list.ready, oracle.b.endpoint_list.ready),
            (s.b.endpoint_list.near.ready, oracle.b.endpoint_list.near.ready),
            (s.b.endpoint_list.far.ready, oracle.b.endpoint_list.far.ready),
        ):
            assert [(e.name, e.zone, e.size) for e in changed] == [(e.name, e.zone, e.size) for e in rebuilt]
        phases_changed, phases_rebuilt = (
            {n: e.phase for n, e in x.b.endpoint_list.endpoints.items()} for x in (s, oracle)
        )
        assert phases_changed == phases_rebuilt
        for side in (s.b.endpoint_list.near, s.b.endpoint_list.far):
            assert sorted(e.rank for e in side.up) == [e.rank for e in side.ready if e not in side.down.members]
            assert [e for e in side.ready if e.size] == [
                e for e in side.ready if e.is_near is (side is s.b.endpoint_list.near)
            ]
            if side.ready:
                side.sample_by_size(s.b.rng, len(side.ready))
                assert side.cumulative_sizes[-1] == pytest.approx(sum(e.size for e in side.ready))


def test_endpoints_replaced_one_by_one() -> None:
    s = BalancerHarness(settings(), fleet(2000))
    for n in range(2000):
        s.feed(
            interface.MembershipUpdate(
                "changes", [interface.ListedEndpoint(f"e{n}", "gone"), interface.ListedEndpoint(f"new{n}")]
            )
        )
        if n % 50 == 0:
            s.submit()
            s.wait(1.0)
    assert {e.name for e in s.b.endpoint_list.ready} == {f"new{n}" for n in range(2000)}
    assert len(s.b.endpoint_list.endpoints) <= 2000 + 40
