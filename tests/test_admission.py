"""Who waits, who is refused, and what is bounded when the fleet is full."""

from dataclasses import replace

import pytest
from helpers import LIMITS, SAFE, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.policy import stalled_attempts

BUSY = replace(LIMITS, retry_after=True, max_retry_after=700.0)


def full(told: interface.RequestClass = SAFE, **more: object) -> BalancerHarness:
    """A sidecar whose window is full of requests that no endpoint answers."""
    s = BalancerHarness(settings(told, **more), fleet(4))
    s.serve(60, took=20.0, gap=30.0)
    while not s.b.admission.held_count:
        s.ask()
    return s


def test_first_seconds_are_bounded_for_the_group() -> None:
    # Guards against a fleet in overload that is full, and slow for it, before any rate is known.
    sent = []
    for group in (1, 5):
        s = BalancerHarness(settings(group_size=group), fleet(4))
        for _ in range(200):
            s.ask()
        sent.append(len(s.sends()))
    assert sent[0] == 40 and sent[1] == 8


def test_no_copies_in_the_first_second() -> None:
    # Guards against copies that push over a fleet which is barely up to its load (i50b99e).
    s = BalancerHarness(settings(), fleet(4))
    s.serve(3)
    r = s.ask()
    s.wait(190)
    assert len(s.sends(r)) == 1


def test_no_copies_while_requests_are_held() -> None:
    s = full()
    s.wait(140)
    assert all(len(s.sends(r)) <= 1 for r in s.b.requests)


def test_window_follows_the_best_rate_not_the_latency() -> None:
    # Guards against starving a fleet that has turned slow (ic4351a).
    s = BalancerHarness(settings(), fleet(4))
    s.serve_many(60, 4, 50)
    before = s.b.endpoint_list.near.window.size
    s.serve_many(20, 4, 150)
    assert s.b.endpoint_list.near.window.size > 0.6 * before


def test_newest_held_request_goes_first() -> None:
    # Guards against serving in lasting overload only those that are about to miss their aim (ie790c4).
    s = full()
    old = next(r for r in s.b.requests.values() if r.is_held)
    new = s.ask()
    s.end(s.sends()[-1].request)
    assert s.sends(new) and not s.sends(old.id)


def test_held_request_is_refused_while_a_retry_is_still_cheap(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stalled_attempts, "STALLED_THRESHOLD", 1.0)  # a crowd, not endpoints that swallow what they get
    s = full(limits=BUSY)
    held = [r.id for r in s.b.requests.values() if r.is_held]
    s.wait(SAFE.aim)
    for r in held:
        assert s.finals(r) == [interface.Refuse(r, 700.0)]


def test_attempts_in_a_crowd_expire_at_the_aim() -> None:
    s = full()
    new = s.ask()
    t0 = s.now
    s.end(s.sends()[-1].request)
    assert s.sends(new)[0].expires_at == t0 + SAFE.aim


def test_marked_retry_is_refused_at_once_in_a_crowd_only() -> None:
    # Guards against retries that come past the aim and take the turn of fresh requests (h1b74b3).
    calm = BalancerHarness(settings(), fleet(4))
    assert calm.sends(calm.ask(client_retry=True))
    s = full()
    r = s.ask(client_retry=True)
    assert s.finals(r) and not s.sends(r)
    worth = full(replace(SAFE, late_worth=0.5))
    assert not worth.finals(worth.ask(client_retry=True))


def test_over_share_tenant_waits_in_a_crowd() -> None:
    tenants = (interface.Tenant(quota_per_s=10.0), interface.Tenant(quota_per_s=10.0))
    dear = replace(SAFE, value=5.0)
    s = BalancerHarness(settings(dear, SAFE, tenants=tenants, over_share_worth=0.05), fleet(4))
    s.serve(60, took=20.0, gap=30.0)
    while not s.b.admission.held_count:
        s.ask(tenant=0)
    small, big = s.ask(1, tenant=1), s.ask(0, tenant=0)
    s.end(s.sends()[-1].request)
    assert s.sends(small) and not s.sends(big)


def test_down_endpoint_is_left_alone_and_full_table_is_not() -> None:
    # Guards against taking a full connection table for a dead endpoint.
    s = BalancerHarness(settings(), fleet(3))
    r = s.ask()
    where = s.b.endpoint_list.endpoints[s.sends(r)[0].endpoint]
    s.end(r, 0, "connect_failed")
    assert where.down_until > s.now
    assert where.name not in {s.sends(s.ask())[0].endpoint for _ in range(9)}
    t = BalancerHarness(settings(), fleet(1))
    a, b = t.ask(), t.ask()
    t.wait(10)
    t.end(a)
    t.wait(10)
    t.end(b, 0, "connect_failed")
    assert t.b.endpoint_list.endpoints["e0"].down_until < t.now


def test_most_endpoints_down_ejects_none() -> None:
    # Guards against ejecting a whole fleet for a fault on this side.
    s = BalancerHarness(settings(), fleet(4))
    for e in list(s.b.endpoint_list.endpoints.values())[:3]:
        e.down_until = s.now + 10000
    got = {s.sends(s.ask())[0].endpoint for _ in range(10)}
    assert len(got) > 1


def test_fleets_of_one_and_two_retry_where_they_have_been() -> None:
    for n in (1, 2):
        s = BalancerHarness(settings(), fleet(n))
        r = s.ask()
        for k in range(3):
            s.wait(5)
            s.end(r, k, "error")
        assert len(s.sends(r)) == 4


def crowd(answers: float, **more: object) -> BalancerHarness:
    """A quiet sidecar of many whose answers come after this share of the aim."""
    told = settings(replace(SAFE, value=9.0), replace(SAFE, value=1.0), group_size=300, **more)
    s = BalancerHarness(told, fleet(30))
    for n in range(60):
        r = s.ask(n % 2)
        s.wait(answers * SAFE.aim)
        if s.sends(r) and r in s.b.requests:
            s.end(r, 0)
            for k in range(1, len(s.sends(r))):
                s.end(r, k, "cancelled", complete=True)
        s.wait(100)
    return s


def leave(s: BalancerHarness, r: str) -> None:
    """The client leaves, and its attempts end as if never sent."""
    s.feed(interface.RequestClosed(r))
    for n in range(len(s.sends(r))):
        s.end(r, n, "not_sent", complete=True)


def test_quiet_sidecar_sheds_the_least_worth_first_in_a_crowd() -> None:
    # Guards against a crowd that no window shows: hundreds of sidecars with a request or two each.
    s = crowd(0.65)
    sent = [0, 0]
    for n in range(20):
        r = s.ask(n % 2)
        sent[n % 2] += len(s.sends(r))
        leave(s, r)
    assert sent[0] >= 9 and sent[1] <= 5


def test_nothing_is_shed_while_answers_come_well_within_the_aim() -> None:
    s = crowd(0.3)
    for n in range(20):
        r = s.ask(n % 2)
        assert s.sends(r)
        leave(s, r)


def test_full_home_zone_leaves_to_the_others() -> None:
    """Guards against requests that wait, and are refused, while the other zone stands idle."""
    prices = interface.Prices(cross_zone=0.2)
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(8)]
    s = BalancerHarness(settings(prices=prices, group_size=2), listed)
    zone = {x.endpoint: x.zone for x in listed}
    names = [s.ask() for _ in range(30)]
    sends = [zone[s.sends(n)[0].endpoint] for n in names]
    assert sends == [0] * 20 + [1] * 10, "ten for each endpoint, shared by two balancers"
    assert s.b.endpoint_list.near.inflight == 20 and s.b.endpoint_list.far.inflight == 10
    s.wait(5)
    for n in names:
        s.end(n)
    assert s.b.endpoint_list.near.inflight == s.b.endpoint_list.far.inflight == s.b.endpoint_list.inflight() == 0


def test_timers_do_not_multiply() -> None:
    """Guards against setting again a timer that an earlier one overtook: they would wake the balancer ever
    more often."""
    s = full()
    s.wait(1)
    assert s.b.timer_at > s.now, "another timer is to come"
    assert not any(isinstance(a, interface.SetTimer) for a in s.feed(interface.TimerFired("due")))
