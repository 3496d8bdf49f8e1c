"""Subsets of a large fleet: deterministic, evenly spread, stable under changes, and sized by load."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random
from statistics import fmean, pstdev

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever import interface
from zinclever.fleet.layout import MAX_LOAD_FACTOR, MIN_LOAD_FACTOR, MIN_TABLE_SIZE, Layout, table_size
from zinclever.fleet.subset import INFLIGHT_PER_SERVER, MIN_FAR_SERVERS, NARROW_AFTER, REPLACED_FOR, Subset, SubsetSpec

GROUP = 2000


def servers(n: int) -> list[interface.ListedEndpoint]:
    """Return ``n`` list entries."""
    return [interface.ListedEndpoint(f"10.0.{x >> 8}.{x & 255}:80") for x in range(n)]


def check_layout(layout: Layout) -> None:
    """Check that each server has the slot it reports, and that no server and slot prefer each other (stability)."""
    slots_by_name = layout.slots_by_name()
    assert sorted(slots_by_name.values()) == [n for n, placement in enumerate(layout.table) if placement is not None]
    for name, placement in layout.placements.items():
        assert layout.table[slots_by_name[name]] is placement
        for number in range(placement.accepted):
            slot = placement.proposal(number, layout.size)
            occupant = layout.table[slot]
            assert occupant is not None and occupant.rank(occupant.accepted, slot) < placement.rank(number, slot)


NAMES = st.integers(0, 40).map(lambda n: f"s{n}")


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.booleans(), NAMES), max_size=80))
def test_layout_depends_on_the_names_alone(steps: list[tuple[bool, str]]) -> None:
    """Compares with a layout that is built at once, if both have the same size."""
    layout = Layout()
    for is_added, name in steps:
        if is_added:
            layout.put(interface.ListedEndpoint(name))
        else:
            layout.drop(name)
        check_layout(layout)
        if layout.size > MIN_TABLE_SIZE:
            assert MIN_LOAD_FACTOR <= len(layout) / layout.size <= MAX_LOAD_FACTOR
    names = list(layout.placements)
    Random(3).shuffle(names)
    rebuilt = Layout(map(interface.ListedEndpoint, names))
    if rebuilt.size == layout.size:
        assert rebuilt.slots_by_name() == layout.slots_by_name()
    assert sum(map(len, layout.rejected.values())) == sum(s.accepted for s in layout.placements.values())


def test_layout_is_stable_while_the_list_flaps_around_a_size_step() -> None:
    listed = servers(200)
    edge = next(n for n in range(100, 200) if table_size(n + 1) > table_size(n))
    layout = Layout(listed[: edge + 1])
    size, slots_by_name = layout.size, layout.slots_by_name()
    for _ in range(10):
        layout.drop(listed[edge].endpoint)
        layout.put(listed[edge])
    assert (layout.size, layout.slots_by_name()) == (size, slots_by_name)


def subsets(layout: Layout, min_servers: int, group: int = GROUP) -> list[set[str]]:
    """Return the subsets of all instances of a group."""
    return [set(Subset(SubsetSpec(min_servers, me, group), layout).select_members()) for me in range(group)]


def variation(counts: Counter[str], names: list[str]) -> float:
    """Return the coefficient of variation of the counts."""
    loads = [counts[n] for n in names]
    return pstdev(loads) / fmean(loads)


def test_all_instances_together_use_each_server_about_equally() -> None:
    layout = Layout(servers(200))
    names = list(layout.placements)
    chosen = subsets(layout, 12)
    assert {len(s) for s in chosen} == {12}
    counts = Counter(n for s in chosen for n in s)
    rng = Random(5)
    random_counts = Counter(n for _ in chosen for n in rng.sample(names, 12))
    assert len(counts) == 200
    assert variation(counts, names) < 0.5 * variation(random_counts, names)


def test_removing_a_server_changes_few_subsets() -> None:
    """Changes the subsets that contain it and a few more; instances that shared it get different replacements."""
    layout = Layout(servers(200))
    before = subsets(layout, 12)
    removed = next(iter(layout.placements))
    affected = [me for me, s in enumerate(before) if removed in s]
    layout.drop(removed)
    after = subsets(layout, 12)
    changed = sum(len(b - a) for a, b in zip(before, after, strict=True))
    assert len(affected) <= changed <= 5 * len(affected)
    # A layout that places each server by its number would change the subset of every second instance.
    assert changed < GROUP / 3
    assert len({n for me in affected for n in after[me] - before[me]}) > 30


def test_instances_that_share_a_server_share_few_others() -> None:
    chosen = subsets(Layout(servers(200)), 12)
    shared = [len(a & b) for a, b in pairwise(chosen)]
    assert fmean(shared) < 3 * 12 * 12 / 200  # three times the number that two random subsets share


def subset_of(min_servers: int = 12, group: int = GROUP, n: int = 200, **more: object) -> Subset:
    """Return the subset of one instance, with its list applied."""
    subset = Subset(SubsetSpec(min_servers, 7, group, **more))  # type: ignore[arg-type]
    subset.replace_list(servers(n))
    subset.changes(0.0)
    return subset


@pytest.mark.parametrize("n", [0, 1, 2, 11, 12, 24, 25, 2000, 10_000])
def test_subset_of_fleets_of_any_size(n: int) -> None:
    subset = subset_of(n=n)
    width = max(12, -(-10 * n // GROUP))
    assert len(subset.members) == (n if 2 * width >= n else width)
    subset.replace_list([])
    assert all(x.phase == "gone" for x in subset.changes(1.0)) and not subset.members


def test_single_instance_knows_all_servers_and_one_of_many_a_subset() -> None:
    assert len(subset_of(group=1, n=2000).members) == 2000
    assert len(subset_of(group=20_000, n=2000).members) == 12
    assert len(subset_of(group=400, n=2000).members) == 50  # ten instances for each server


def test_subset_is_bounded_by_the_connection_cap() -> None:
    assert len(subset_of(min_servers=20, group=20_000, n=2000, connections=100.0).members) == 5
    assert len(subset_of(min_servers=20, group=20_000, n=2000, connections=10.0).members) == 3
    assert len(subset_of(min_servers=20, group=20_000, n=2000, connections=1000.0).members) == 20


def test_subset_does_not_depend_on_the_order_of_changes() -> None:
    one, other = subset_of(), Subset(SubsetSpec(12, 7, GROUP))
    for x in reversed(servers(200)):
        other.apply_changes([x])
    other.changes(0.0)
    assert one.home.size == other.home.size
    assert one.members.keys() == other.members.keys()


def test_subset_grows_with_load_at_once_and_shrinks_stepwise() -> None:
    subset = subset_of()
    assert not subset.load(0.0, int(12 * INFLIGHT_PER_SERVER))
    assert subset.load(1.0, 60)
    known = set(subset.members)
    subset.changes(1.0)
    assert len(subset.members) == 30 and known < set(subset.members)
    now, widths = 1.0, []
    while subset.load_width:
        now += NARROW_AFTER
        subset.load(now, 1)
        subset.changes(now)
        widths.append(len(subset.members))
    assert widths == sorted(widths, reverse=True) and widths[0] >= 26 and set(subset.members) == known


def test_unreachable_server_is_replaced_until_it_answers() -> None:
    subset = subset_of()
    first, *_ = before = list(subset.members)
    assert subset.failed(0.0, first) and not subset.failed(1.0, first)
    subset.changes(0.0)
    assert len(subset.members) == 13 and set(before) < set(subset.members)
    subset.served(first)
    gone = subset.changes(2.0)
    assert [x.phase for x in gone] == ["gone"] and list(subset.members) == before
    subset.failed(3.0, first)
    subset.changes(3.0)
    subset.changes(3.0 + REPLACED_FOR)
    assert list(subset.members) == before


def test_the_only_reachable_server_is_found() -> None:
    subset = subset_of(n=500)
    reachable, tries = servers(500)[123].endpoint, 0
    while reachable not in subset.members:
        tries += 1
        subset.failed(0.0, next(n for n in subset.members if n not in subset.unreachable))
        subset.changes(0.0)
    assert tries <= 250  # with half of the fleet unreachable all servers are used


def test_draining_server_leaves_the_subset_and_returns_to_it() -> None:
    subset = subset_of()
    before = set(subset.members)
    member = next(iter(subset.members.values()))
    subset.apply_changes([member._replace(phase="draining")])
    changes = subset.changes(1.0)
    assert (member._replace(phase="gone") in changes) and member.endpoint not in subset.members
    subset.apply_changes([member._replace(started_at=5.0)])
    subset.changes(2.0)
    assert set(subset.members) == before and subset.members[member.endpoint].started_at == 5.0


def test_only_changes_of_members_are_reported() -> None:
    subset = subset_of()
    member = next(iter(subset.members.values()))
    other = next(x for x in servers(200) if x.endpoint not in subset.members)
    subset.apply_changes([member._replace(size=2.0), other._replace(size=2.0)])
    assert subset.changes(1.0) == [member._replace(size=2.0)]


def test_subset_prefers_the_home_zone_with_a_few_servers_of_others() -> None:
    subset = Subset(SubsetSpec(12, 7, GROUP, 1))
    listed = [x._replace(zone=n % 3) for n, x in enumerate(servers(300))]
    subset.replace_list(listed)
    subset.changes(0.0)
    zones = Counter(x.zone == 1 for x in subset.members.values())
    assert zones == {True: 12, False: MIN_FAR_SERVERS}
    subset.apply_changes([x._replace(phase="gone") for x in listed if x.zone == 1])
    subset.load(0.0, 100)
    subset.changes(1.0)
    assert len(subset.members) == 50 and all(x.zone != 1 for x in subset.members.values())


def test_each_cell_of_the_subset_has_two_servers() -> None:
    subset = Subset(SubsetSpec(12, 7, GROUP, has_cell_classes=True))
    listed = [x._replace(cell=n // 3) for n, x in enumerate(servers(300))]
    subset.replace_list(listed)
    subset.changes(0.0)
    cells = Counter(x.cell for x in subset.members.values())
    assert len(cells) >= 10 and min(cells.values()) >= 2 and len(subset.members) <= 36
    moved = next(iter(subset.members.values()))
    subset.apply_changes([moved._replace(cell=999)])  # a cell of its own: there is no other server in it
    subset.changes(1.0)
    assert subset.cells[999].keys() == {moved.endpoint}


def test_large_fleet_is_replaced_one_by_one_and_all_at_once() -> None:
    subset = Subset(SubsetSpec(12, 7, 20_000))
    old = servers(10_000)
    subset.replace_list(old)
    subset.changes(0.0)
    for x in old[:500]:
        subset.apply_changes([x._replace(phase="gone"), x._replace(endpoint="new." + x.endpoint)])
        subset.changes(1.0)
    check_layout(subset.home)
    assert len(subset.home) == 10_000 and len(subset.members) == 12
    subset.replace_list([x._replace(endpoint="next." + x.endpoint) for x in old])
    changes = subset.changes(2.0)
    assert len(changes) == 24 and all(n.startswith("next.") for n in subset.members)
