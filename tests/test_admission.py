"""Admission control: which requests are held, refused or limited when the fleet is full."""

from dataclasses import replace

import pytest
from helpers import LIMITS, SAFE, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.policy import stalled_attempts

BUSY = replace(LIMITS, retry_after=True, max_retry_after=700.0)


def full(request_class: interface.RequestClass = SAFE, **more: object) -> BalancerHarness:
    """Return a harness whose in-flight window is full of requests that no endpoint answers."""
    s = BalancerHarness(settings(request_class, **more), fleet(4))
    s.serve(60, latency=20.0, gap=30.0)
    while not s.b.admission.held_count:
        s.submit()
    return s


def test_initial_window_is_shared_by_the_group() -> None:
    # Guards against an overloaded fleet that is full before any rate is known.
    sent = []
    for group in (1, 5):
        s = BalancerHarness(settings(group_size=group), fleet(4))
        for _ in range(200):
            s.submit()
        sent.append(len(s.sends()))
    assert sent[0] == 40 and sent[1] == 8


def test_no_hedges_in_the_first_second() -> None:
    # Guards against hedges that overload a fleet which just carries its load (i50b99e).
    s = BalancerHarness(settings(), fleet(4))
    s.serve(3)
    r = s.submit()
    s.wait(190)
    assert len(s.sends(r)) == 1


def test_no_hedges_while_requests_are_held() -> None:
    s = full()
    s.wait(140)
    assert all(len(s.sends(r)) <= 1 for r in s.b.requests)


def test_window_follows_the_service_rate_not_the_latency() -> None:
    # Guards against starving a fleet that has become slow (ic4351a).
    s = BalancerHarness(settings(), fleet(4))
    s.serve_many(60, 4, 50)
    before = s.b.endpoint_list.near.window.size
    s.serve_many(20, 4, 150)
    assert s.b.endpoint_list.near.window.size > 0.6 * before


def test_newest_held_request_is_sent_first() -> None:
    # Guards against serving only requests that are about to miss their target in lasting overload (ie790c4).
    s = full()
    old = next(r for r in s.b.requests.values() if r.is_held)
    new = s.submit()
    s.end(s.sends()[-1].request)
    assert s.sends(new) and not s.sends(old.id)


def test_held_request_is_refused_before_its_target(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stalled_attempts, "STALLED_THRESHOLD", 1.0)  # overload, not endpoints that lose requests
    s = full(limits=BUSY)
    held = [r.id for r in s.b.requests.values() if r.is_held]
    s.wait(SAFE.aim)
    for r in held:
        assert s.final_answers(r) == [interface.Refuse(r, 700.0)]


def test_attempts_in_overload_expire_at_the_target() -> None:
    s = full()
    new = s.submit()
    started_at = s.now
    s.end(s.sends()[-1].request)
    assert s.sends(new)[0].expires_at == started_at + SAFE.aim


def test_client_retry_is_refused_at_once_in_overload_only() -> None:
    # Guards against late retries that displace fresh requests (h1b74b3).
    idle = BalancerHarness(settings(), fleet(4))
    assert idle.sends(idle.submit(client_retry=True))
    s = full()
    r = s.submit(client_retry=True)
    assert s.final_answers(r) and not s.sends(r)
    late_worth = full(replace(SAFE, late_worth=0.5))
    assert not late_worth.final_answers(late_worth.submit(client_retry=True))


def test_tenant_over_its_share_waits_in_overload() -> None:
    tenants = (interface.Tenant(quota_per_s=10.0), interface.Tenant(quota_per_s=10.0))
    valuable = replace(SAFE, value=5.0)
    s = BalancerHarness(settings(valuable, SAFE, tenants=tenants, over_share_worth=0.05), fleet(4))
    s.serve(60, latency=20.0, gap=30.0)
    while not s.b.admission.held_count:
        s.submit(tenant=0)
    within_share, over_share = s.submit(1, tenant=1), s.submit(0, tenant=0)
    s.end(s.sends()[-1].request)
    assert s.sends(within_share) and not s.sends(over_share)


def test_down_endpoint_is_avoided_but_one_with_full_connections_is_not() -> None:
    # Guards against treating an endpoint whose connections are used up as dead.
    s = BalancerHarness(settings(), fleet(3))
    r = s.submit()
    endpoint = s.b.endpoint_list.endpoints[s.sends(r)[0].endpoint]
    s.end(r, 0, "connect_failed")
    assert endpoint.down_until > s.now
    assert endpoint.name not in {s.sends(s.submit())[0].endpoint for _ in range(9)}
    single = BalancerHarness(settings(), fleet(1))
    first, second = single.submit(), single.submit()
    single.wait(10)
    single.end(first)
    single.wait(10)
    single.end(second, 0, "connect_failed")
    assert single.b.endpoint_list.endpoints["e0"].down_until < single.now


def test_no_endpoint_is_ejected_if_most_are_down() -> None:
    # Guards against ejecting a whole fleet for a fault on this balancer's side.
    s = BalancerHarness(settings(), fleet(4))
    for e in list(s.b.endpoint_list.endpoints.values())[:3]:
        e.down_until = s.now + 10000
    used = {s.sends(s.submit())[0].endpoint for _ in range(10)}
    assert len(used) > 1


def test_small_fleets_retry_on_used_endpoints() -> None:
    for n in (1, 2):
        s = BalancerHarness(settings(), fleet(n))
        r = s.submit()
        for k in range(3):
            s.wait(5)
            s.end(r, k, "error")
        assert len(s.sends(r)) == 4


def overloaded(latency_share: float, **more: object) -> BalancerHarness:
    """Return a harness of a group of 300 with little traffic, whose answers take ``latency_share`` of the target."""
    config = settings(replace(SAFE, value=9.0), replace(SAFE, value=1.0), group_size=300, **more)
    s = BalancerHarness(config, fleet(30))
    for n in range(60):
        r = s.submit(n % 2)
        s.wait(latency_share * SAFE.aim)
        if s.sends(r) and r in s.b.requests:
            s.end(r, 0)
            for k in range(1, len(s.sends(r))):
                s.end(r, k, "cancelled", complete=True)
        s.wait(100)
    return s


def close(s: BalancerHarness, r: str) -> None:
    """Close a request, and end its attempts as not sent."""
    s.feed(interface.RequestClosed(r))
    for n in range(len(s.sends(r))):
        s.end(r, n, "not_sent", complete=True)


def test_low_traffic_balancer_sheds_the_least_valuable_first() -> None:
    # Guards against overload that no window shows: hundreds of balancers with a request or two each.
    s = overloaded(0.65)
    sent = [0, 0]
    for n in range(20):
        r = s.submit(n % 2)
        sent[n % 2] += len(s.sends(r))
        close(s, r)
    assert sent[0] >= 9 and sent[1] <= 5


def test_nothing_is_shed_while_answers_are_well_within_the_target() -> None:
    s = overloaded(0.3)
    for n in range(20):
        r = s.submit(n % 2)
        assert s.sends(r)
        close(s, r)


def test_full_home_zone_spills_over_to_the_others() -> None:
    """Guards against requests that wait or are refused while the other zone is idle."""
    prices = interface.Prices(cross_zone=0.2)
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(8)]
    s = BalancerHarness(settings(prices=prices, group_size=2), listed)
    zone = {x.endpoint: x.zone for x in listed}
    names = [s.submit() for _ in range(30)]
    zones = [zone[s.sends(n)[0].endpoint] for n in names]
    assert zones == [0] * 20 + [1] * 10, "ten for each endpoint, shared by two balancers"
    assert s.b.endpoint_list.near.inflight == 20 and s.b.endpoint_list.far.inflight == 10
    s.wait(5)
    for n in names:
        s.end(n)
    assert s.b.endpoint_list.near.inflight == s.b.endpoint_list.far.inflight == s.b.endpoint_list.inflight() == 0


def test_replaced_timer_is_not_set_again() -> None:
    """Guards against setting a replaced timer again, which would wake the balancer ever more often."""
    s = full()
    s.wait(1)
    assert s.b.timer_at > s.now, "a later timer is pending"
    assert not any(isinstance(a, interface.SetTimer) for a in s.feed(interface.TimerFired("due")))
