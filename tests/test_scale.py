"""Large fleets: draws that don't walk the list, and that are the draws they were."""

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
    """A list that tells how often it was walked or looked into."""

    touched = 0

    def __iter__(self) -> Iterator[Endpoint]:
        Counted.touched += len(self)
        return super().__iter__()

    def __getitem__(self, index: Any) -> Any:
        Counted.touched += 1
        return super().__getitem__(index)


def watched(s: BalancerHarness) -> None:
    Counted.touched = 0
    for side in (s.b.endpoint_list.near, s.b.endpoint_list.far):
        side.ready, side.up = Counted(side.ready), Counted(side.up)
    s.b.endpoint_list.ready = Counted(s.b.endpoint_list.ready)


@pytest.mark.parametrize("size", [100, 1000, 10_000])
def test_a_request_looks_at_a_few_endpoints_of_a_fleet_of_any_size(size: int) -> None:
    s = BalancerHarness(settings(), fleet(size))
    s.ask()  # the first draw after a change makes the running sums
    watched(s)
    for n in range(50):
        r = s.ask()
        s.feed(
            interface.AttemptEnded(
                r, 0, s.all[-1][1].endpoint if isinstance(s.all[-1][1], interface.Send) else "e0", "served", 5.0, True
            )
        )
        s.wait(1.0)
        assert Counted.touched <= 20 * (n + 1), "a walk over the fleet"


def weights(sizes: list[float]) -> list[interface.ListedEndpoint]:
    return [interface.ListedEndpoint(f"e{n}", size=size) for n, size in enumerate(sizes)]


def test_the_draw_is_the_one_from_the_pool() -> None:
    """Against the oracle that looks through the side: the same shares of first and second, by size, with
    endpoints that are down, used or in no group left out."""
    rng = Random(7)
    sizes = [rng.choice([0.5, 1.0, 2.0, 8.0]) for _ in range(40)]
    s = BalancerHarness(settings(SAFE), weights(sizes))
    b, now = s.b, s.now
    down = [b.endpoint_list.endpoints[f"e{n}"] for n in range(0, 40, 4)]
    for e in down:
        e.down_until = now + 1e6
        b.endpoint_list.near.mark_down(now, e)
    r = Request(interface.RequestArrived("x", 0, now + 500.0), b.classes[0], b.tenants[0], now)
    drawn: dict[str, Counter[str]] = {"sampled": Counter(), "looked through": Counter()}
    failed = 0
    for _ in range(20_000):
        sampled = b.selector.sample_two(now, r, b.endpoint_list.near, 40)
        if sampled is None:  # too few tries: the side is looked through then
            failed += 1
            continue
        looked = b.selector.choose_two(now, r, b.selector.eligible(now, r, b.endpoint_list.near.ready))
        assert looked is not None
        for name, pair in (("sampled", sampled), ("looked through", looked)):
            assert pair[0] is not pair[1]
            drawn[name].update([f"1 {pair[0].name}", f"2 {pair[1].name}"])
    assert failed < 20
    assert not any(f"{k} {e.name}" in drawn["sampled"] for e in down for k in (1, 2))
    for key, count in drawn["looked through"].items():
        # Seeded, so that it can't change: within five deviations of a share's count.
        assert abs(drawn["sampled"][key] - count) < 5.0 * (2.0 * count) ** 0.5 + 1.0, key


def test_all_down_but_one_is_found() -> None:
    s = BalancerHarness(settings(), fleet(2000))
    for n, e in enumerate(list(s.b.endpoint_list.endpoints.values())):
        if n != 77:
            e.down_until = s.now + 1e6
            s.b.endpoint_list.near.mark_down(s.now, e)
    assert s.b.endpoint_list.near.is_mostly_down(s.now)
    s.b.endpoint_list.near.draw_by_size(s.b.rng, 2000)
    watched(s)
    # Where most looks down everything is tried; the one that doesn't is among the two of each draw.
    for n in range(20):
        r = s.ask()
        assert s.sends(r)[0].endpoint == "e77" or n > 0
        s.end(r)
    assert sum(a.endpoint == "e77" for a in s.sends()) >= 10
    assert Counted.touched <= 20 * 60, "a walk over the fleet"


def test_all_cold_and_full_is_no_walk() -> None:
    """10,000 endpoints that have just started: requests are held and looked for again without a walk."""
    s = BalancerHarness(settings(group_size=1), fleet(10_000, started_at=1_000_000.0))
    s.b.slow_start.warm_rate = 1e-9
    for e in s.b.endpoint_list.endpoints.values():
        e.tokens = 0.0
    s.b.endpoint_list.near.draw_by_size(s.b.rng, 10_000)
    watched(s)
    for _ in range(20):
        s.ask()
        s.wait(10.0)
    assert not s.sends() and Counted.touched < 20 * 20 * 400
    s.wait(600.0)
    assert len(s.of(interface.Refuse)) == 20


def test_one_of_ten_thousand_cold_ones_with_room_is_soon_found() -> None:
    s = BalancerHarness(settings(group_size=1), fleet(10_000, started_at=1_000_000.0))
    s.b.slow_start.warm_rate = 1e-9
    for n, e in enumerate(s.b.endpoint_list.near.ready):
        e.tokens = 1.0 if n % 50 == 7 else 0.0
    r = s.ask()
    s.wait(100.0)
    assert s.sends(r)


def cells(n: int, each: int) -> list[interface.ListedEndpoint]:
    return [interface.ListedEndpoint(f"e{x}", cell=x // each) for x in range(n)]


BOUND = replace(KEYED, group="cell")


@pytest.mark.parametrize("each", [2, 5, 63, 64, 65, 500, 10_000])
def test_a_retry_stays_in_its_cell_of_a_large_fleet(each: int) -> None:
    listed = cells(10_000, each)
    s = BalancerHarness(settings(BOUND), listed)
    of = {x.endpoint: x.cell for x in listed}
    s.ask()
    watched(s)
    for _ in range(30):
        for _ in range(6):  # answers between, or all is taken for a crowd
            s.end(s.ask(key="x"))
        r = s.ask(key="k")
        s.end(r, 0, "reset", complete=False)
        tried = [a.endpoint for a in s.sends(r)]
        assert len(tried) == 2 and of[tried[0]] == of[tried[1]] and tried[0] != tried[1]
        s.end(r, 1)
        s.wait(40.0)
    assert Counted.touched < 30 * 7 * 60


def test_a_group_without_another_member() -> None:
    """Alone in its cell, or the rest of it has drained: there is nowhere to go but back."""
    s = BalancerHarness(settings(BOUND), cells(300, 1))
    r = s.ask(key="k")
    home = s.sends(r)[0].endpoint
    s.end(r, 0, "reset", complete=False)
    assert {a.endpoint for a in s.sends(r)} == {home} or s.finals(r)
    s = BalancerHarness(settings(BOUND), cells(300, 2))
    r = s.ask(key="k")
    home = s.sends(r)[0].endpoint
    s.feed(
        interface.MembershipUpdate(
            "changes",
            [
                interface.ListedEndpoint(home, "draining", cell=int(home[1:]) // 2),
                interface.ListedEndpoint(f"e{int(home[1:]) ^ 1}", "gone", cell=int(home[1:]) // 2),
            ],
        )
    )
    s.end(r, 0, "reset", complete=False)
    s.wait(500.0)
    assert len(s.sends(r)) == 1 and isinstance(s.finals(r)[0], interface.Refuse | interface.Fail)


def test_two_thousand_drains_in_one_update_while_requests_are_out() -> None:
    """Nothing new goes to any of them: not copies, not retries, not what was held."""
    s = BalancerHarness(settings(SAFE, KEYED), fleet(4000))
    out = [s.ask(n % 2) for n in range(500)]
    out = [r for r in out if s.sends(r)]
    assert len(out) > 300
    drained = {f"e{n}" for n in range(0, 4000, 2)}
    s.feed(
        interface.MembershipUpdate("changes", [interface.ListedEndpoint(name, "draining") for name in sorted(drained)])
    )
    before = len(s.all)
    rng = Random(4)
    for r in out:
        s.wait(1.0)
        if not s.finals(r):
            outcome: interface.Outcome = rng.choice(["served", "reset", "full", "connect_failed"])
            s.end(r, 0, outcome)
        for _ in range(2):
            new = s.ask()
            if s.sends(new):
                s.end(new)
    s.wait(1000.0)
    after = [a for _, a in s.all[before:] if isinstance(a, interface.Send)]
    assert len(after) > 500 and not {a.endpoint for a in after} & drained


@pytest.mark.parametrize("group", [1, 20_000])
def test_alone_and_as_one_of_many(group: int) -> None:
    """Alone it draws from all; as one of 20,000 from a few that it comes to know."""
    s = BalancerHarness(settings(group_size=group), fleet(2000))
    s.serve(300)
    reached = {a.endpoint for a in s.sends()}
    assert len(reached) > 200 if group == 1 else len(reached) < 40


def test_a_hot_key_is_spread() -> None:
    """A quarter of the traffic bears one key, at 2,000 endpoints: several keepers take turns."""
    s, rng = BalancerHarness(settings(warm_keys=True), fleet(2000)), Random(6)
    hot: Counter[str] = Counter()
    for n in range(2000):
        is_hot = rng.random() < 0.25
        r = s.ask(key="hot" if is_hot else f"k{n}")
        if is_hot and s.sends(r):
            hot[s.sends(r)[0].endpoint] += 1
        s.wait(2.0)
        if s.sends(r):
            s.end(r)
    total = sum(hot.values())
    assert total > 400
    # Kept together where it can be, and yet no endpoint has more than a quarter of it: 6 % of the traffic.
    assert len(hot) >= 8 and hot.most_common(1)[0][1] < total / 4
    assert sum(count for _, count in hot.most_common(16)) > total / 2


def keepers(side: ZonePartition, n: int) -> list[str]:
    return [side.key_owner(zlib.crc32(f"key{k} 0".encode())).name for k in range(n)]


def test_keepers_are_even_by_size_and_a_change_moves_few_keys() -> None:
    sizes = [2.0 if n % 4 == 0 else 1.0 for n in range(200)]
    s = BalancerHarness(settings(), weights(sizes))
    side = s.b.endpoint_list.near
    before = keepers(side, 40_000)
    counts = Counter(before)
    large, small = ([counts[f"e{n}"] for n in range(200) if (n % 4 == 0) is big] for big in (True, False))
    assert 1.6 < (sum(large) / 50) / (sum(small) / 150) < 2.4
    assert max(small) < 1.6 * sum(small) / 150
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e7", "gone")]))
    after = keepers(side, 40_000)
    assert {a for a, b in zip(before, after, strict=True) if a != b} == {"e7"}
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e7", size=sizes[7])]))
    assert keepers(side, 40_000) == before
    other = BalancerHarness(settings(), weights(sizes)[::-1], seed=9)  # another balancer, told in another order
    assert keepers(other.b.endpoint_list.near, 40_000) == before


def test_a_keeper_of_a_large_fleet_is_no_walk() -> None:
    s = BalancerHarness(settings(warm_keys=True), fleet(10_000))
    s.ask(key="a")
    watched(s)
    ring = s.b.endpoint_list.near.ring
    assert ring is not None
    ring.owners = Counted(ring.owners)
    for n in range(50):
        s.end(s.ask(key=f"k{n}"))
        s.wait(1.0)
    assert Counted.touched < 50 * 60


def test_down_marks_end_by_time_without_a_walk() -> None:
    s = BalancerHarness(settings(), fleet(100))
    side, now = s.b.endpoint_list.near, s.now
    for n, e in enumerate(side.ready[:80]):
        e.down_until = now + 10.0 * n
        side.mark_down(now, e)
    assert side.is_mostly_down(now) and len(side.down.members) == 79
    assert side.is_mostly_down(now + 200.0) and len(side.down.members) == 59
    assert not side.is_mostly_down(now + 400.0) and len(side.down.members) == 39
    assert not side.is_mostly_down(now + 1000.0) and not side.down.members and not side.down.due


def test_marks_don_t_pile_up() -> None:
    """Guards against memory that grows with each failure."""
    side, now = ZonePartition(), 0.0
    s = BalancerHarness(settings(), fleet(3))
    side.replace_all(now, s.b.endpoint_list.near.ready, 0.0)
    for n in range(10_000):
        now = float(n)
        e = side.ready[n % 3]
        e.down_until = now + 5.0
        side.mark_down(now, e)
    assert len(side.down.due) < 10


@pytest.mark.parametrize("size", [0, 1, 2, 3, 5, 33, 2000])
def test_fleets_of_every_size(size: int) -> None:
    s = BalancerHarness(settings(SAFE, KEYED), fleet(size))
    for n in range(30):
        s.ask(n % 2)
        s.wait(5.0)
    sent = [a for _, a in s.all if isinstance(a, interface.Send)]
    assert bool(sent) == (size > 0)
    for request in {a.request for a in sent}:
        tried = [a.endpoint for a in sent if a.request == request]
        assert len(tried) == len(set(tried)) or size < 5


def test_a_list_that_flaps() -> None:
    """Two versions in turn, with requests out: what is drawn is always listed as ready."""
    one, two = fleet(2000), [x._replace(phase="draining") if n % 2 else x for n, x in enumerate(fleet(2000))]
    s = BalancerHarness(settings(), one)
    for n in range(60):
        listed = two if n % 2 else one
        s.feed(interface.MembershipUpdate("whole", listed))
        ready = {x.endpoint for x in listed if x.phase == "ready"}
        for _ in range(5):
            before = len(s.all)
            s.ask()
            assert all(a.endpoint in ready for _, a in s.all[before:] if isinstance(a, interface.Send))
        s.wait(1.0)


def test_a_fleet_replaced_at_once_while_requests_are_out() -> None:
    s = BalancerHarness(settings(), fleet(10_000))
    sent = [s.ask() for _ in range(20)]
    s.feed(interface.MembershipUpdate("whole", [interface.ListedEndpoint(f"new{n}") for n in range(10_000)]))
    before = len(s.all)
    for r in sent:
        s.feed(interface.AttemptEnded(r, 0, "", "connect_failed", 1.0, False))
    again = [a for _, a in s.all[before:] if isinstance(a, interface.Send)]
    assert again and all(a.endpoint.startswith("new") for a in again)
    assert len(s.b.endpoint_list.endpoints) <= 10_020


@pytest.mark.parametrize("seed", range(8))
def test_changes_one_by_one_come_to_what_a_whole_list_would(seed: int) -> None:
    """Against the oracle that puts everything in order anew, with attempts out on what goes."""
    rng = Random(seed)
    told = settings(SAFE, prices=interface.Prices(cross_zone=0.2))
    s, oracle = BalancerHarness(told, fleet(60)), BalancerHarness(told, fleet(60))
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
            out = rng.randrange(2)
            for b in (s.b, oracle.b):
                b.endpoint_list.endpoints[name].inflight = out
        s.b.rng.seed(rng.random())
        oracle.b.rng.setstate(s.b.rng.getstate())
        s.b.on_membership(s.now, interface.MembershipUpdate("changes", [x]))
        oracle.b.endpoint_list.rebuild(oracle.now, interface.MembershipUpdate("changes", [x]))
        for mine, theirs in (
            (s.b.endpoint_list.ready, oracle.b.endpoint_list.ready),
            (s.b.endpoint_list.near.ready, oracle.b.endpoint_list.near.ready),
            (s.b.endpoint_list.far.ready, oracle.b.endpoint_list.far.ready),
        ):
            assert [(e.name, e.zone, e.size) for e in mine] == [(e.name, e.zone, e.size) for e in theirs]
        mine_now, same = ({n: e.phase for n, e in x.b.endpoint_list.endpoints.items()} for x in (s, oracle))
        assert mine_now == same
        for side in (s.b.endpoint_list.near, s.b.endpoint_list.far):
            assert sorted(e.rank for e in side.up) == [e.rank for e in side.ready if e not in side.down.members]
            assert [e for e in side.ready if e.size] == [
                e for e in side.ready if e.is_near is (side is s.b.endpoint_list.near)
            ]
            if side.ready:
                side.draw_by_size(s.b.rng, len(side.ready))
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
            s.ask()
            s.wait(1.0)
    assert {e.name for e in s.b.endpoint_list.ready} == {f"new{n}" for n in range(2000)}
    assert len(s.b.endpoint_list.endpoints) <= 2000 + 40
