"""Loss and return of much of the fleet, in simulated time: no rule is broken and the remaining capacity is used."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from zinclever.sim.days import draw
from zinclever.sim.model import Day, FaultEvent
from zinclever.sim.world import World

FLEET: Any = {"sidecars": 10, "endpoints": 6, "seconds": 20.0}
Change = Callable[[Day], Day]


def scale_group_size(factor: float) -> Change:
    """Configure the sidecars with a multiple of the actual number of sidecars."""
    return lambda day: replace(day, sidecar=replace(day.sidecar, told_group=round(factor * day.sidecars)))


def only_at_most_once(day: Day) -> Day:
    """Keep only the requests that may not be resent, nor refused once they may have been executed."""
    return replace(day, classes=tuple(k for k in day.classes if k.repeat == "at_most_once"))


def retry_immediately(day: Day) -> Day:
    return replace(day, applications=replace(day.applications, retries=5, backoff_ms=(0.0, 1.0), honour=0.0))


def silent_servers_and_late_reports(day: Day) -> Day:
    troubles = FaultEvent("silent", 4.0, 14.0, 0.17), FaultEvent("late_reports", 4.0, 14.0, factor=5000.0)
    return replace(day, troubles=troubles)


def isolate_zone(day: Day) -> Day:
    """Cut the sidecars of one zone off from the servers of both zones."""
    return replace(day, troubles=(FaultEvent("partition", 6.0, 5.0), FaultEvent("zone_lost", 6.0, 5.0, zone="rvk")))


@pytest.mark.parametrize(
    ("kind", "change", "min_share"),
    [
        ("herd", scale_group_size(0.1), 0.4),
        ("herd", scale_group_size(10.0), 0.4),
        ("datacentre", scale_group_size(0.1), 0.5),
        ("collapse", only_at_most_once, 0.3),
        ("collapse", retry_immediately, 0.4),
        ("calm", silent_servers_and_late_reports, 0.7),
        ("calm", isolate_zone, 0.4),
        ("killed", retry_immediately, 0.6),
    ],
)
def test_service_recovers_from_a_collapse(kind: str, change: Change, min_share: float) -> None:
    """``min_share`` is relative to the highest value that any balancer could have served in time."""
    result = World(change(draw(kind, 2, **FLEET))).play()
    assert result["breaches"] == [] and result["fallen"] == 0, result
    assert result["worth_in_time"] > min_share * result["bound"], result


def test_cold_servers_are_not_overloaded() -> None:
    """Guards against many sidecars that together overload a server although each knows that it is cold."""
    result = World(draw("waves", 216, 40, 10, 30.0)).play()
    assert result["breaches"] == [] and result["fallen"] == 0, result
