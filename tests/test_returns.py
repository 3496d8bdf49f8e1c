"""Zones that return from an outage are presumed cold before a list says so, but only with good reason."""

from __future__ import annotations

import itertools

import pytest
from helpers import RULES, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.fleet.zone_reachability import (
    MAX_WARM_RATIO,
    MIN_JUDGED_ANSWERS,
    MIN_OUTAGE,
    OUTAGE_FAILURES,
    ZoneReachability,
)
from zinclever.policy.endpoints import Endpoint

ZONES = [interface.ListedEndpoint(f"e{n}", zone=n % 2, started_at=1.0) for n in range(12)]


def answer_from(s: BalancerHarness, zones: set[int], span: float, slow: float = 1.0) -> dict[str, list[float]]:
    """Serve requests for ``span`` ms where only some zones can be reached and zone 1 is slower by a factor.

    Returns the instants of the sends to each endpoint.
    """
    sent: dict[str, list[float]] = {}
    until = s.now + span
    while s.now < until:
        name = s.submit()
        number = 0
        while number < len(s.sends(name)):
            endpoint = s.sends(name)[number].endpoint
            sent.setdefault(endpoint, []).append(s.now)
            zone = int(endpoint[1:]) % 2
            s.wait(40.0 * (slow if zone else 1.0))
            s.end(name, number, "served" if zone in zones else "connect_failed")
            number += 1
        s.feed(interface.RequestClosed(name))
        s.wait(10.0)
    return sent


def sends(sent: dict[str, list[float]], zone: int) -> int:
    """Return the number of sends to a zone."""
    return sum(len(at) for name, at in sent.items() if int(name[1:]) % 2 == zone)


def two_zones() -> BalancerHarness:
    """Return a harness with two zones and a history of answers."""
    s = BalancerHarness(settings(), ZONES, seed=4)
    answer_from(s, {0, 1}, 6000.0)
    return s


def test_zone_that_was_out_while_another_answered_is_presumed_cold() -> None:
    """Its endpoints answer slowly, as cold ones do, so it gets its slow-start share until it is warm."""
    s = two_zones()
    usual = sends(answer_from(s, {0, 1}, 4000.0), 1)
    answer_from(s, {0}, 5000.0)
    s.wait(4000.0)  # no endpoint is marked as down any more
    returned_at = s.now
    answer_from(s, {0, 1}, 500.0, slow=3.0)
    assert all(
        s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready if e.zone == 1 and e.served_at < returned_at
    )
    sent = sends(answer_from(s, {0, 1}, 4000.0, slow=3.0), 1)
    assert sent < 0.6 * usual, (sent, usual)
    s.wait(RULES.cold_for)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)


def test_zone_that_answers_as_quickly_as_before_is_not_cold() -> None:
    """A network path was cut, for instance."""
    s = two_zones()
    answer_from(s, {0}, 5000.0)
    s.wait(4000.0)
    answer_from(s, {0, 1}, 6000.0)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)
    assert len(s.b.endpoint_list.near.cold.members) + len(s.b.endpoint_list.far.cold.members) == 0


def test_nothing_is_presumed_cold_if_no_zone_was_reached() -> None:
    s = two_zones()
    answer_from(s, set(), 5000.0)
    s.wait(4000.0)
    answer_from(s, {0, 1}, 100.0)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)


@pytest.mark.parametrize("failures, span", [(OUTAGE_FAILURES - 1, 10 * MIN_OUTAGE), (OUTAGE_FAILURES, MIN_OUTAGE / 2)])
def test_few_or_brief_failures_are_no_outage(failures: int, span: float) -> None:
    zones = ZoneReachability()
    for n in range(failures):
        zones.state_of(1).on_failure(n * span / failures)
        zones.on_answer(n * span / failures + 1.0, 0)
    assert zones.on_answer(span, 1) is None


def test_quick_answers_end_the_presumption() -> None:
    for ratio, count in itertools.product(
        (0.9 * MAX_WARM_RATIO, 1.1 * MAX_WARM_RATIO), (MIN_JUDGED_ANSWERS, 5 * MIN_JUDGED_ANSWERS)
    ):
        zones = ZoneReachability()
        for n in range(OUTAGE_FAILURES):
            zones.state_of(1).on_failure(float(n))
        zones.on_answer(10.0, 0)
        assert zones.on_answer(MIN_OUTAGE + 1.0, 1) == 0.0
        results = [zones.state_of(1).confirms_warm(ratio) for _ in range(count)]
        assert any(results) == (ratio < MAX_WARM_RATIO) and not any(results[: MIN_JUDGED_ANSWERS - 1])


@pytest.mark.parametrize("lost", [0, 1])
def test_unreachable_zone_gets_a_tenth_of_the_draws_until_it_answers(lost: int) -> None:
    """Guards against each request paying the connect timeout at one unreachable endpoint after another."""
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2)), ZONES, seed=2)
    answer_from(s, {0, 1}, 4000.0)
    answer_from(s, {1 - lost}, 1500.0)  # time enough for the outage to be noticed
    sent = answer_from(s, {1 - lost}, 4000.0)
    assert sends(sent, 1 - lost) > 5 * sends(sent, lost)
    answer_from(s, {0, 1}, 8000.0)
    after = answer_from(s, {0, 1}, 3000.0)
    assert sends(after, 0) > sends(after, 1)  # the home zone is preferred again


def test_home_zone_is_still_tried_if_all_zones_are_unreachable() -> None:
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2)), ZONES, seed=2)
    answer_from(s, {0, 1}, 2000.0)
    answer_from(s, set(), 2000.0)
    assert sends(answer_from(s, set(), 2000.0), 0) > 0


def test_single_zone_is_never_presumed_cold() -> None:
    s = BalancerHarness(settings(), fleet(6))
    answer_from(s, {0, 1}, 2000.0)
    answer_from(s, set(), 3000.0)
    answer_from(s, {0, 1}, 500.0)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)


def send_until_met(s: BalancerHarness, endpoint: str, outcome: interface.Outcome, span: float = 0.0) -> bool:
    """Serve requests until an attempt goes to an endpoint, and end that one with ``outcome``; all others are served.

    Returns whether an attempt went there within ``span`` ms.
    """
    until = s.now + (span or 60_000.0)
    while s.now < until:
        name = s.submit()
        number, met = 0, False
        while number < len(s.sends(name)):
            is_there = s.sends(name)[number].endpoint == endpoint
            s.wait(s.jitter.uniform(25.0, 55.0))
            s.end(name, number, outcome if is_there else "served")
            met, number = met or is_there, number + 1
        s.feed(interface.RequestClosed(name))
        if met:
            return True
        s.wait(10.0)
    return False


def fail_one(s: BalancerHarness, failures: int) -> Endpoint:
    """Let connects to the most used endpoint fail a number of times while the others answer. Returns the endpoint."""
    answer_from(s, {0, 1}, 3000.0)
    lost = s.b.endpoint_list.ready[0]
    for _ in range(failures):
        assert send_until_met(s, lost.name, "connect_failed")
        s.wait(8500.0)  # longer than it is marked as down
    return lost


def test_endpoint_that_was_unreachable_by_itself_is_treated_as_cold() -> None:
    """Guards against hundreds of balancers that each send a first attempt to a returned endpoint at once."""
    s = two_zones()
    usual = sum(send_until_met(s, s.b.endpoint_list.ready[0].name, "served", 1500.0) for _ in range(20))
    e = fail_one(s, 2)
    assert s.b.slow_start.is_cold(s.now, e)
    tries = sum(send_until_met(s, e.name, "connect_failed", 1500.0) for _ in range(20))
    assert tries < 0.5 * usual, (tries, usual)
    assert send_until_met(s, e.name, "served")
    assert (
        s.b.slow_start.is_cold(s.now, e) and s.b.slow_start.capacity_share(s.now, e) < 0.3
    )  # it has started by now at the latest
    s.wait(RULES.cold_for + 1.0)
    assert not s.b.slow_start.is_cold(s.now, e)


def test_single_failure_counts_only_while_discovery_refuses() -> None:
    """The order doesn't matter: what counts is that discovery would not report a start now."""
    s = two_zones()
    e = fail_one(s, 1)
    assert not s.b.slow_start.is_cold(s.now, e)
    s.feed(interface.MembershipUpdate("refused", []))
    assert s.b.slow_start.is_cold(s.now, e)
    s.feed(interface.MembershipUpdate("changes", []))
    assert send_until_met(s, e.name, "served") and not s.b.slow_start.is_cold(s.now, e)


def test_listed_start_overrides_the_presumption() -> None:
    s = two_zones()
    e = fail_one(s, 2)
    s.feed(
        interface.MembershipUpdate(
            "changes", [interface.ListedEndpoint(e.name, zone=e.zone, started_at=s.now - RULES.cold_for)]
        )
    )
    assert not s.b.slow_start.is_cold(s.now, e)


def test_endpoint_listed_as_cold_stays_cold_after_failures() -> None:
    s = two_zones()
    e = fail_one(s, 1)
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint(e.name, zone=e.zone, started_at=s.now)]))
    assert send_until_met(s, e.name, "connect_failed") and s.b.slow_start.is_cold(s.now, e)


def test_failures_in_an_unreachable_zone_mark_no_endpoint() -> None:
    zones = ZoneReachability()
    results = [zones.state_of(1).on_failure(float(n)) for n in range(OUTAGE_FAILURES + 2)]
    assert results == [n < OUTAGE_FAILURES - 1 for n in range(OUTAGE_FAILURES + 2)]
