"""Subsets of a large fleet: deterministic, even over servers, stable under churn, as wide as needed."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random
from statistics import fmean, pstdev

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever import interface
from zinclever.fleet.layout import EMPTIEST, FULLEST, SMALLEST, Layout, table_size
from zinclever.fleet.subset import FAILED_FOR, FAR_LEAST, PER_SERVER, SHRINK_AFTER, Subset, SubsetSpec

GROUP = 2000


def servers(n: int) -> list[interface.ListedEndpoint]:
    return [interface.ListedEndpoint(f"10.0.{x >> 8}.{x & 255}:80") for x in range(n)]


def well_formed(layout: Layout) -> None:
    """Every server sits in the slot it says, and no server and slot would both rather have each other."""
    places = layout.places()
    assert sorted(places.values()) == [n for n, seat in enumerate(layout.table) if seat is not None]
    for name, seat in layout.placements.items():
        assert layout.table[places[name]] is seat
        for number in range(seat.tried):
            slot = seat.proposal(number, layout.size)
            holder = layout.table[slot]
            assert holder is not None and holder.rank(holder.tried, slot) < seat.rank(number, slot)


NAMES = st.integers(0, 40).map(lambda n: f"s{n}")


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.booleans(), NAMES), max_size=80))
def test_a_layout_depends_on_the_names_alone(steps: list[tuple[bool, str]]) -> None:
    """However it came about: against the oracle that is laid out at once, where both are of the same size."""
    layout = Layout()
    for there, name in steps:
        if there:
            layout.put(interface.ListedEndpoint(name))
        else:
            layout.drop(name)
        well_formed(layout)
        if layout.size > SMALLEST:
            assert EMPTIEST <= len(layout) / layout.size <= FULLEST
    names = list(layout.placements)
    Random(3).shuffle(names)
    anew = Layout(map(interface.ListedEndpoint, names))
    if anew.size == layout.size:
        assert anew.places() == layout.places()
    assert sum(map(len, layout.wanting.values())) == sum(s.tried for s in layout.placements.values())


def test_a_layout_that_flaps_over_a_step_of_its_size_stays() -> None:
    listed = servers(200)
    edge = next(n for n in range(100, 200) if table_size(n + 1) > table_size(n))
    layout = Layout(listed[: edge + 1])
    size, places = layout.size, layout.places()
    for _ in range(10):
        layout.drop(listed[edge].endpoint)
        layout.put(listed[edge])
    assert (layout.size, layout.places()) == (size, places)


def subsets(layout: Layout, least: int, group: int = GROUP) -> list[set[str]]:
    return [set(Subset(SubsetSpec(least, me, group), layout).wanted()) for me in range(group)]


def variation(counts: Counter[str], names: list[str]) -> float:
    loads = [counts[n] for n in names]
    return pstdev(loads) / fmean(loads)


def test_all_instances_together_meet_each_server_about_as_often() -> None:
    layout = Layout(servers(200))
    names = list(layout.placements)
    chosen = subsets(layout, 12)
    assert {len(s) for s in chosen} == {12}
    counts = Counter(n for s in chosen for n in s)
    rng = Random(5)
    by_chance = Counter(n for _ in chosen for n in rng.sample(names, 12))
    assert len(counts) == 200
    assert variation(counts, names) < 0.5 * variation(by_chance, names)


def test_a_change_moves_few() -> None:
    """One server less moves those that met it and a few more; instances that shared it go different ways."""
    layout = Layout(servers(200))
    before = subsets(layout, 12)
    lost = next(iter(layout.placements))
    met = [me for me, s in enumerate(before) if lost in s]
    layout.drop(lost)
    after = subsets(layout, 12)
    moves = sum(len(b - a) for a, b in zip(before, after, strict=True))
    assert len(met) <= moves <= 5 * len(met)
    # A layout in which each server has a place by its number would move every second instance.
    assert moves < GROUP / 3
    assert len({n for me in met for n in after[me] - before[me]}) > 30


def test_instances_that_share_a_server_share_little_else() -> None:
    chosen = subsets(Layout(servers(200)), 12)
    together = [len(a & b) for a, b in pairwise(chosen)]
    assert fmean(together) < 3 * 12 * 12 / 200  # three times what chance has two of them share


def told(least: int = 12, group: int = GROUP, n: int = 200, **more: object) -> Subset:
    subset = Subset(SubsetSpec(least, 7, group, **more))  # type: ignore[arg-type]
    subset.replace_list(servers(n))
    subset.changes(0.0)
    return subset


@pytest.mark.parametrize("n", [0, 1, 2, 11, 12, 24, 25, 2000, 10_000])
def test_any_size_of_the_fleet(n: int) -> None:
    subset = told(n=n)
    width = max(12, -(-10 * n // GROUP))
    assert len(subset.members) == (n if 2 * width >= n else width)
    subset.replace_list([])
    assert all(x.phase == "gone" for x in subset.changes(1.0)) and not subset.members


def test_an_instance_alone_knows_all_and_one_of_many_a_part() -> None:
    assert len(told(group=1, n=2000).members) == 2000
    assert len(told(group=20_000, n=2000).members) == 12
    assert len(told(group=400, n=2000).members) == 50  # ten instances for each server


def test_no_more_is_known_than_connections_are_left_for() -> None:
    assert len(told(least=20, group=20_000, n=2000, connections=100.0).members) == 5
    assert len(told(least=20, group=20_000, n=2000, connections=10.0).members) == 3
    assert len(told(least=20, group=20_000, n=2000, connections=1000.0).members) == 20


def test_the_same_list_gives_the_same_subset() -> None:
    one, other = told(), Subset(SubsetSpec(12, 7, GROUP))
    for x in reversed(servers(200)):
        other.apply_changes([x])
    other.changes(0.0)
    assert one.home.size == other.home.size
    assert one.members.keys() == other.members.keys()


def test_it_grows_with_the_load_at_once_and_shrinks_step_by_step() -> None:
    subset = told()
    assert not subset.load(0.0, int(12 * PER_SERVER))
    assert subset.load(1.0, 60)
    known = set(subset.members)
    subset.changes(1.0)
    assert len(subset.members) == 30 and known < set(subset.members)
    now, widths = 1.0, []
    while subset.wide:
        now += SHRINK_AFTER
        subset.load(now, 1)
        subset.changes(now)
        widths.append(len(subset.members))
    assert widths == sorted(widths, reverse=True) and widths[0] >= 26 and set(subset.members) == known


def test_what_cannot_be_reached_is_made_up_for_until_it_can() -> None:
    subset = told()
    first, *_ = before = list(subset.members)
    assert subset.failed(0.0, first) and not subset.failed(1.0, first)
    subset.changes(0.0)
    assert len(subset.members) == 13 and set(before) < set(subset.members)
    subset.served(first)
    gone = subset.changes(2.0)
    assert [x.phase for x in gone] == ["gone"] and list(subset.members) == before
    subset.failed(3.0, first)
    subset.changes(3.0)
    subset.changes(3.0 + FAILED_FOR)
    assert list(subset.members) == before


def test_with_all_but_one_unreachable_the_one_is_found() -> None:
    subset = told(n=500)
    one, tries = servers(500)[123].endpoint, 0
    while one not in subset.members:
        tries += 1
        subset.failed(0.0, next(n for n in subset.members if n not in subset.failing))
        subset.changes(0.0)
    assert tries <= 250  # from half of the fleet on all is tried


def test_a_server_that_drains_or_goes_is_left_and_one_that_comes_back_is_as_before() -> None:
    subset = told()
    before = set(subset.members)
    one = next(iter(subset.members.values()))
    subset.apply_changes([one._replace(phase="draining")])
    left = subset.changes(1.0)
    assert (one._replace(phase="gone") in left) and one.endpoint not in subset.members
    subset.apply_changes([one._replace(started_at=5.0)])
    subset.changes(2.0)
    assert set(subset.members) == before and subset.members[one.endpoint].started_at == 5.0


def test_news_of_a_member_is_told_and_of_others_not() -> None:
    subset = told()
    one = next(iter(subset.members.values()))
    other = next(x for x in servers(200) if x.endpoint not in subset.members)
    subset.apply_changes([one._replace(size=2.0), other._replace(size=2.0)])
    assert subset.changes(1.0) == [one._replace(size=2.0)]


def test_the_home_zone_comes_first_and_others_are_there() -> None:
    subset = Subset(SubsetSpec(12, 7, GROUP, 1))
    listed = [x._replace(zone=n % 3) for n, x in enumerate(servers(300))]
    subset.replace_list(listed)
    subset.changes(0.0)
    zones = Counter(x.zone == 1 for x in subset.members.values())
    assert zones == {True: 12, False: FAR_LEAST}
    subset.apply_changes([x._replace(phase="gone") for x in listed if x.zone == 1])
    subset.load(0.0, 100)
    subset.changes(1.0)
    assert len(subset.members) == 50 and all(x.zone != 1 for x in subset.members.values())


def test_a_cell_that_is_met_is_met_twice() -> None:
    subset = Subset(SubsetSpec(12, 7, GROUP, mates=True))
    listed = [x._replace(cell=n // 3) for n, x in enumerate(servers(300))]
    subset.replace_list(listed)
    subset.changes(0.0)
    cells = Counter(x.cell for x in subset.members.values())
    assert len(cells) >= 10 and min(cells.values()) >= 2 and len(subset.members) <= 36
    moved = next(iter(subset.members.values()))
    subset.apply_changes([moved._replace(cell=999)])  # a cell of its own: there is no mate to be had
    subset.changes(1.0)
    assert subset.cells[999].keys() == {moved.endpoint}


def test_ten_thousand_replaced_one_by_one_and_all_at_once() -> None:
    subset = Subset(SubsetSpec(12, 7, 20_000))
    old = servers(10_000)
    subset.replace_list(old)
    subset.changes(0.0)
    for x in old[:500]:
        subset.apply_changes([x._replace(phase="gone"), x._replace(endpoint="new." + x.endpoint)])
        subset.changes(1.0)
    well_formed(subset.home)
    assert len(subset.home) == 10_000 and len(subset.members) == 12
    subset.replace_list([x._replace(endpoint="next." + x.endpoint) for x in old])
    news = subset.changes(2.0)
    assert len(news) == 24 and all(n.startswith("next.") for n in subset.members)
