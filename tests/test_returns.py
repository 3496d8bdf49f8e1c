"""A zone that was out and is back: taken for cold before any list says so, and only with good reason."""

from __future__ import annotations

import itertools

import pytest
from helpers import RULES, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.fleet.returns import AS_USUAL, JUDGED, OUT_AFTER, OUT_FOR, Returns
from zinclever.policy.endpoints import Endpoint

ZONES = [interface.ListedEndpoint(f"e{n}", zone=n % 2, started_at=1.0) for n in range(12)]


def answer_from(s: BalancerHarness, zones: set[int], span: float, slow: float = 1.0) -> dict[str, list[float]]:
    """Traffic for some ms: one zone or both are there, zone 1 so many times as slow. When each endpoint was asked."""
    sent: dict[str, list[float]] = {}
    until = s.now + span
    while s.now < until:
        name = s.ask()
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
    return sum(len(at) for name, at in sent.items() if int(name[1:]) % 2 == zone)


def two_zones() -> BalancerHarness:
    s = BalancerHarness(settings(), ZONES, seed=4)
    answer_from(s, {0, 1}, 6000.0)
    return s


def test_a_zone_that_was_out_while_another_answered_is_cold_at_its_return() -> None:
    """Its endpoints answer slowly, as cold ones do: it gets its ramp's share until it is warm."""
    s = two_zones()
    usual = sends(answer_from(s, {0, 1}, 4000.0), 1)
    answer_from(s, {0}, 5000.0)
    s.wait(4000.0)  # no endpoint is held for down any more
    back = s.now
    answer_from(s, {0, 1}, 500.0, slow=3.0)
    assert all(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready if e.zone == 1 and e.served_at < back)
    first = sends(answer_from(s, {0, 1}, 4000.0, slow=3.0), 1)
    assert first < 0.6 * usual, (first, usual)
    s.wait(RULES.cold_for)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)


def test_a_zone_that_answers_as_quickly_as_before_has_not_started_anew() -> None:
    """The path to it was cut, say."""
    s = two_zones()
    answer_from(s, {0}, 5000.0)
    s.wait(4000.0)
    answer_from(s, {0, 1}, 6000.0)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)
    assert len(s.b.endpoint_list.near.cold.members) + len(s.b.endpoint_list.far.cold.members) == 0


def test_where_nothing_was_reached_the_fault_is_as_likely_here() -> None:
    s = two_zones()
    answer_from(s, set(), 5000.0)
    s.wait(4000.0)
    answer_from(s, {0, 1}, 100.0)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)


@pytest.mark.parametrize("failures, span", [(OUT_AFTER - 1, 10 * OUT_FOR), (OUT_AFTER, OUT_FOR / 2)])
def test_a_bad_moment_is_no_outage(failures: int, span: float) -> None:
    zones = Returns()
    for n in range(failures):
        zones.outage(1).failed(n * span / failures)
        zones.answered(n * span / failures + 1.0, 0)
    assert zones.answered(span, 1) is None


def test_the_presumption_ends_by_what_answers_say() -> None:
    for ratio, took in itertools.product((0.9 * AS_USUAL, 1.1 * AS_USUAL), (JUDGED, 5 * JUDGED)):
        zones = Returns()
        for n in range(OUT_AFTER):
            zones.outage(1).failed(float(n))
        zones.answered(10.0, 0)
        assert zones.answered(OUT_FOR + 1.0, 1) == 0.0
        said = [zones.outage(1).judge(ratio) for _ in range(took)]
        assert any(said) == (ratio < AS_USUAL) and not any(said[: JUDGED - 1])


@pytest.mark.parametrize("lost", [0, 1])
def test_a_zone_that_cannot_be_reached_gets_a_tenth_until_it_answers(lost: int) -> None:
    """At home in zone 0. Guards against each request paying the time to connect to one lost endpoint after another."""
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2)), ZONES, seed=2)
    answer_from(s, {0, 1}, 4000.0)
    answer_from(s, {1 - lost}, 1500.0)  # it is seen by then, if anything goes there at all
    sent = answer_from(s, {1 - lost}, 4000.0)
    assert sends(sent, 1 - lost) > 5 * sends(sent, lost)
    answer_from(s, {0, 1}, 8000.0)
    back = answer_from(s, {0, 1}, 3000.0)
    assert sends(back, 0) > sends(back, 1)  # home again


def test_all_zones_lost_are_tried_as_before() -> None:
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2)), ZONES, seed=2)
    answer_from(s, {0, 1}, 2000.0)
    answer_from(s, set(), 2000.0)
    assert sends(answer_from(s, set(), 2000.0), 0) > 0


def test_one_zone_alone_presumes_nothing() -> None:
    s = BalancerHarness(settings(), fleet(6))
    answer_from(s, {0, 1}, 2000.0)
    answer_from(s, set(), 3000.0)
    answer_from(s, {0, 1}, 500.0)
    assert not any(s.b.slow_start.is_cold(s.now, e) for e in s.b.endpoint_list.ready)


def meet(s: BalancerHarness, endpoint: str, outcome: interface.Outcome, span: float = 0.0) -> bool:
    """Traffic until an attempt goes to an endpoint and ends so; all others answer. Whether one went within a span."""
    until = s.now + (span or 60_000.0)
    while s.now < until:
        name = s.ask()
        number, met = 0, False
        while number < len(s.sends(name)):
            here = s.sends(name)[number].endpoint == endpoint
            s.wait(s.jitter.uniform(25.0, 55.0))
            s.end(name, number, outcome if here else "served")
            met, number = met or here, number + 1
        s.feed(interface.RequestClosed(name))
        if met:
            return True
        s.wait(10.0)
    return False


def lost_one(s: BalancerHarness, failures: int) -> Endpoint:
    """The endpoint that is drawn most can't be reached so often, while the others answer."""
    answer_from(s, {0, 1}, 3000.0)
    lost = s.b.endpoint_list.ready[0]
    for _ in range(failures):
        assert meet(s, lost.name, "connect_failed")
        s.wait(8500.0)  # longer than it is taken to be down
    return lost


def test_an_endpoint_that_was_out_by_itself_is_met_again_as_a_cold_one() -> None:
    """Found at 200 and 420 sidecars: each sent one that had vanished, and come back unseen, its first try at once."""
    s = two_zones()
    usual = sum(meet(s, s.b.endpoint_list.ready[0].name, "served", 1500.0) for _ in range(20))
    e = lost_one(s, 2)
    assert s.b.slow_start.is_cold(s.now, e)
    tries = sum(meet(s, e.name, "connect_failed", 1500.0) for _ in range(20))
    assert tries < 0.5 * usual, (tries, usual)
    assert meet(s, e.name, "served")
    assert (
        s.b.slow_start.is_cold(s.now, e) and s.b.slow_start.capacity_share(s.now, e) < 0.3
    )  # it has started by now, at the latest
    s.wait(RULES.cold_for + 1.0)
    assert not s.b.slow_start.is_cold(s.now, e)


def test_once_is_a_bad_moment_unless_discovery_is_silent() -> None:
    """Before or after: all that counts is that nobody would tell of a start now."""
    s = two_zones()
    e = lost_one(s, 1)
    assert not s.b.slow_start.is_cold(s.now, e)
    s.feed(interface.MembershipUpdate("refused", []))
    assert s.b.slow_start.is_cold(s.now, e)
    s.feed(interface.MembershipUpdate("changes", []))
    assert meet(s, e.name, "served") and not s.b.slow_start.is_cold(s.now, e)


def test_the_list_is_believed_about_what_has_started() -> None:
    s = two_zones()
    e = lost_one(s, 2)
    s.feed(
        interface.MembershipUpdate(
            "changes", [interface.ListedEndpoint(e.name, zone=e.zone, started_at=s.now - RULES.cold_for)]
        )
    )
    assert not s.b.slow_start.is_cold(s.now, e)


def test_what_is_listed_as_cold_stays_so_whatever_failed() -> None:
    s = two_zones()
    e = lost_one(s, 1)
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint(e.name, zone=e.zone, started_at=s.now)]))
    assert meet(s, e.name, "connect_failed") and s.b.slow_start.is_cold(s.now, e)


def test_a_zone_that_is_out_says_nothing_of_its_endpoints() -> None:
    zones = Returns()
    said = [zones.outage(1).failed(float(n)) for n in range(OUT_AFTER + 2)]
    assert said == [n < OUT_AFTER - 1 for n in range(OUT_AFTER + 2)]
