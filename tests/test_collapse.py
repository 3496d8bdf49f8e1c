"""Much of the fleet goes and comes back, in simulated time: no rule is broken, and what can be served is."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from zinclever.sim.days import draw
from zinclever.sim.model import Day, FaultEvent
from zinclever.sim.world import World

SIZE: Any = {"sidecars": 10, "endpoints": 6, "seconds": 20.0}
Change = Callable[[Day], Day]


def group_told(factor: float) -> Change:
    """Each is told that so many times as many sidecars share the servers as do."""
    return lambda day: replace(day, sidecar=replace(day.sidecar, told_group=round(factor * day.sidecars)))


def tips_only(day: Day) -> Day:
    """What may not be resent, and may not be refused once it may have run."""
    return replace(day, classes=tuple(k for k in day.classes if k.repeat == "at_most_once"))


def again_at_once(day: Day) -> Day:
    return replace(day, applications=replace(day.applications, retries=5, backoff_ms=(0.0, 1.0), honour=0.0))


def silent_and_late(day: Day) -> Day:
    troubles = FaultEvent("silent", 4.0, 14.0, 0.17), FaultEvent("late_reports", 4.0, 14.0, factor=5000.0)
    return replace(day, troubles=troubles)


def alone(day: Day) -> Day:
    """The one zone that has sidecars is cut from both zones' servers."""
    return replace(day, troubles=(FaultEvent("partition", 6.0, 5.0), FaultEvent("zone_lost", 6.0, 5.0, zone="rvk")))


@pytest.mark.parametrize(
    ("kind", "change", "least"),
    [
        ("herd", group_told(0.1), 0.4),
        ("herd", group_told(10.0), 0.4),
        ("datacentre", group_told(0.1), 0.5),
        ("collapse", tips_only, 0.3),
        ("collapse", again_at_once, 0.4),
        ("calm", silent_and_late, 0.7),
        ("calm", alone, 0.4),
        ("killed", again_at_once, 0.6),
    ],
)
def test_collapse_and_return(kind: str, change: Change, least: float) -> None:
    """``least``: of what any balancer could have had answered in time, by worth."""
    found = World(change(draw(kind, 2, **SIZE))).play()
    assert found["breaches"] == [] and found["fallen"] == 0, found
    assert found["worth_in_time"] > least * found["bound"], found


def test_cold_servers_stay_up_where_the_warm_ones_are_overrun() -> None:
    """Found by hunting: 20 sidecars that knew it to be cold pushed one over, with twice what answers tell."""
    found = World(draw("waves", 216, 40, 10, 30.0)).play()
    assert found["breaches"] == [] and found["fallen"] == 0, found
