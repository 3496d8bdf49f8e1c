"""The usual path of a request: selection, hedges, cancellation, and learning from outcomes."""

from dataclasses import replace

from helpers import KEYED, LIMITS, SAFE, UNSAFE, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.policy import HEDGE_DELAY_SHARE

DELAY = HEDGE_DELAY_SHARE * SAFE.aim


def warmed(*classes: interface.RequestClass, n: int = 6, seed: int = 1, **more: object) -> BalancerHarness:
    """Return a harness past its first second, with a history of answers."""
    s = BalancerHarness(settings(*classes, **more), fleet(n), seed)
    s.serve(60, latency=20.0, gap=30.0)
    return s


def test_request_is_sent_once_and_answered() -> None:
    s = BalancerHarness(settings(), fleet(3))
    r = s.submit()
    assert len(s.sends(r)) == 1
    s.wait(30)
    s.end(r)
    assert not s.final_answers(r) and not s.b.requests and s.b.endpoint_list.inflight() == 0


def test_selection_prefers_the_better_payoff() -> None:
    s = BalancerHarness(settings(), fleet(2))
    for _ in range(40):
        r = s.submit()
        slow = s.sends(r)[0].endpoint == "e0"
        s.wait(120 if slow else 20)
        if r in s.b.requests:
            s.end(r)
        s.wait(20)
    late = [s.sends(s.submit())[0].endpoint for _ in range(1)]
    assert late == ["e1"]


def test_selection_counts_own_requests_in_flight() -> None:
    s = BalancerHarness(settings(), fleet(2))
    used = [s.sends(s.submit())[0].endpoint for _ in range(10)]
    assert abs(used.count("e0") - used.count("e1")) <= 1


def test_selection_is_the_better_of_two_not_of_all() -> None:
    s = BalancerHarness(settings(), fleet(8))
    for _ in range(4):
        s.submit()
    busy = {a.endpoint for a in s.sends()}
    assert len(busy) >= 3
    # With the best of all, eight requests would always go to eight endpoints, whatever the seed.
    hits = 0
    for seed in range(40):
        other = BalancerHarness(settings(), fleet(8), seed)
        picks = [other.sends(other.submit())[0].endpoint for _ in range(8)]
        hits += len(set(picks)) < 8
    assert hits > 20


def test_equal_seeds_give_equal_actions_and_others_do_not() -> None:
    runs = []
    for seed in (5, 5, 6):
        s = BalancerHarness(settings(), fleet(6), seed)
        s.serve(30)
        runs.append(s.all)
    assert runs[0] == runs[1] != runs[2]


def test_hedge_after_each_delay_on_unused_endpoints() -> None:
    s = warmed()
    r, started_at = s.submit(), s.now
    s.wait(150)
    times = [t - started_at for t, a in s.all if isinstance(a, interface.Send) and a.request == r]
    assert times == [0.0, DELAY, 2 * DELAY]
    assert len({a.endpoint for a in s.sends(r)}) == 3
    for seed in range(10):
        small = warmed(n=2, seed=seed)
        r = small.submit()
        small.wait(150)
        assert len(small.sends(r)) == len({a.endpoint for a in small.sends(r)}) == 2


def test_first_answer_wins_and_other_attempts_are_cancelled() -> None:
    s = warmed()
    r = s.submit()
    s.wait(DELAY + 10)
    actions = s.end(r, 1)
    assert [a for a in actions if isinstance(a, interface.Cancel)] == [interface.Cancel(r, 0)]
    before = len(s.sends(r))
    s.wait(400)
    assert len(s.sends(r)) == before and not s.final_answers(r)
    s.end(r, 0, "cancelled", complete=True)
    assert s.b.endpoint_list.inflight() == 0 and not s.b.requests


def test_nothing_is_cancelled_if_the_limits_forbid_it() -> None:
    s = warmed(limits=replace(LIMITS, cancel=False))
    r = s.submit()
    s.wait(DELAY + 10)
    s.end(r, 1)
    assert not s.actions_of(interface.Cancel)


def test_attempt_limit_covers_hedges_and_retries() -> None:
    s = warmed(limits=replace(LIMITS, max_attempts=2))
    r = s.submit()
    s.wait(DELAY + 10)
    s.end(r, 0, "error")
    s.wait(300)
    assert len(s.sends(r)) == 2


def test_no_hedges_unless_idempotent_and_permitted() -> None:
    for klass, limits in ((UNSAFE, LIMITS), (KEYED, LIMITS), (SAFE, replace(LIMITS, second_copies=False))):
        s = warmed(klass, limits=limits)
        r = s.submit()
        s.wait(190)
        assert len(s.sends(r)) == 1


def test_hedge_that_cannot_meet_the_target_is_not_sent() -> None:
    s = warmed()
    r = s.submit()
    s.wait(499)
    last_sent_at = max(t for t, a in s.all if isinstance(a, interface.Send) and a.request == r)
    assert last_sent_at <= s.now - 499 + SAFE.aim


def test_hedges_stay_within_their_budget() -> None:
    # Guards against hedges that add to an overload: a fleet that answers nothing gets few of them.
    s = warmed(n=40)
    s.b.endpoint_list.near.window.size = 1e9
    first = len(s.all)
    s.b.hedge_tokens = 0.0
    for _ in range(40):
        s.submit()
        s.wait(5)
    s.wait(300)
    sends = [a for _, a in s.all[first:] if isinstance(a, interface.Send)]
    assert 40 < len(sends) <= 40 * 1.6


def test_idempotent_request_is_retried_elsewhere_at_once() -> None:
    for outcome in ("error", "full", "connect_failed", "reset"):
        s = BalancerHarness(settings(), fleet(4))
        r = s.submit()
        s.wait(5)
        s.end(r, 0, outcome)
        assert len(s.sends(r)) == 2 and s.sends(r)[0].endpoint != s.sends(r)[1].endpoint
        assert not s.final_answers(r)


def test_errors_lower_the_score() -> None:
    # Guards against an endpoint that fails fast and so looks idle.
    s = BalancerHarness(settings(), fleet(3))
    failures = 0
    for _ in range(60):
        r = s.submit()
        s.wait(2)
        for n in range(3):
            if s.sends(r)[n].endpoint != "e0":
                s.wait(30)
                s.end(r, n)
                break
            failures += 1
            s.end(r, n, "error")
        s.wait(10)
    assert failures <= 10
    endpoint = s.b.endpoint_list.endpoints["e1"]
    before = s.b.selector.score(s.now, endpoint)
    r = s.submit()
    while s.sends(r)[-1].endpoint != "e1":
        s.end(r, len(s.sends(r)) - 1, "full")
    s.end(r, len(s.sends(r)) - 1, "error")
    assert s.b.selector.score(s.now, endpoint) < before


def test_silence_lowers_the_score_before_timeouts() -> None:
    # Guards against an endpoint that loses requests: without answers it must not look idle.
    s = warmed(n=4)
    lost = []
    for _ in range(20):
        r = s.submit()
        s.wait(30)
        for n, a in enumerate(s.sends(r)):
            if a.endpoint == "e0":
                lost.append(r)
            elif r in s.b.requests and not s.b.requests[r].is_closed:
                s.end(r, n)
    assert len(lost) <= 3
    single = warmed(n=1)
    endpoint = single.b.endpoint_list.endpoints["e0"]
    single.submit()
    before = single.b.selector.score(single.now, endpoint)
    single.wait(100)
    assert single.b.selector.score(single.now, endpoint) < before / 2


def test_attempt_cancelled_right_after_its_send_does_not_look_fast() -> None:
    s = warmed(n=3)
    endpoint = s.b.endpoint_list.endpoints["e0"]
    r = s.submit()
    while s.sends(r)[-1].endpoint != "e0":
        s.wait(DELAY)
    n = len(s.sends(r)) - 1
    s.wait(1)
    before = endpoint.latency.weight
    s.end(r, n, "cancelled", complete=False)
    assert endpoint.latency.weight < before + 0.1


def test_outcome_after_the_final_answer_is_learned_from() -> None:
    s = warmed(n=3)
    r = s.submit()
    endpoint = s.b.endpoint_list.endpoints[s.sends(r)[0].endpoint]
    s.wait(DELAY + 5)
    s.end(r, 1)
    before = endpoint.latency.weight
    s.wait(100)
    s.end(r, 0, "cancelled", complete=True)
    assert endpoint.latency.weight > before * 0.9
    assert endpoint.inflight == 0


def test_events_of_unknown_requests_are_ignored() -> None:
    s = BalancerHarness(settings(), fleet(2))
    assert s.feed(interface.AttemptEnded("gone", 0, "e0", "served", 5.0, True)) == []
    assert s.feed(interface.RequestClosed("gone")) == []
    assert s.feed(interface.StreamStarted("gone", 0, "e0", 5.0)) == []
    s.feed(interface.TimerFired("never set"))
    r = s.submit()
    s.end(r)
    assert s.end(r) == []
    assert s.b.endpoint_list.inflight() == 0


def test_balancers_agree_on_the_endpoint_of_a_key() -> None:
    agreed = []
    for warm in (True, False):
        first = []
        for seed in range(20):
            s = BalancerHarness(settings(group_size=50, warm_keys=warm), fleet(20), seed)
            first += [s.sends(s.submit(key=key))[0].endpoint for key in ("k1", "k2")]
        agreed.append(max(first[::2].count(e) for e in first) + max(first[1::2].count(e) for e in first))
    assert agreed[0] > 30 and agreed[1] < 15


def test_hot_key_is_spread_over_endpoints() -> None:
    # Guards against sending a key with much of the traffic to a single endpoint.
    s = BalancerHarness(settings(warm_keys=True), fleet(20))
    for _ in range(40):
        r = s.submit(key="hot")
        s.wait(20)
        s.end(r)
    assert len({a.endpoint for a in s.sends()[20:]}) > 6


def test_home_zone_is_preferred_if_crossing_costs_until_it_is_slower() -> None:
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(20)]
    for price, home_latency, lowest, highest in ((0.2, 40, 0.0, 0.0), (0.0, 40, 0.3, 0.7), (0.2, 180, 0.2, 0.98)):
        limits = replace(LIMITS, max_attempts=1)
        s = BalancerHarness(settings(prices=interface.Prices(cross_zone=price), limits=limits), listed)
        for _ in range(80):
            r = s.submit()
            away = [int(a.endpoint[1:]) % 2 for a in s.sends(r)]
            s.wait(30 if away == [1] else home_latency)
            if away and r in s.b.requests:
                s.end(r)
            s.wait(200)
        sent = [int(a.endpoint[1:]) % 2 for a in s.sends()]
        assert lowest <= sum(sent) / len(sent) <= highest


def test_each_of_many_balancers_uses_few_endpoints_and_replaces_removed_ones() -> None:
    # Guards against hundreds of balancers that each connect to the whole fleet.
    s = BalancerHarness(settings(group_size=300), fleet(60))
    s.serve(80)
    used = {a.endpoint for a in s.sends()}
    assert 2 < len(used) <= LIMITS.max_attempts + 3
    gone = sorted(used)[:3]
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint(e, phase="gone") for e in gone]))
    n = len(s.sends())
    s.serve(80)
    assert len({a.endpoint for a in s.sends()[n:]} - used) >= 2


def test_selection_follows_the_listed_size() -> None:
    # Guards against overloading small endpoints with an even share.
    large = 0
    for seed in range(200):
        s = BalancerHarness(
            settings(), [interface.ListedEndpoint(f"e{x}", size=1.0 + 2.0 * (x < 5)) for x in range(10)], seed
        )
        large += int(s.sends(s.submit())[0].endpoint[1:]) < 5
    assert 130 < large < 175


def test_only_valuable_requests_cross_zones() -> None:
    # Guards against paying the price of crossing for a light request that leaves a full home zone.
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(8)]
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2), value_by="work"), listed)
    s.serve(60, latency=20.0, gap=30.0)
    while not s.b.admission.held_count:
        s.submit(work=40.0)
        if not s.b.endpoint_list.near.has_capacity():
            light = s.submit(work=1.0)
    heavy = s.submit(work=40.0)
    assert not s.sends(light)
    (send,) = s.sends(heavy)
    assert int(send.endpoint[1:]) % 2 == 1


def test_slow_home_zone_keeps_requests_of_little_value() -> None:
    # Guards against a home zone without any requests, whose recovery would go unnoticed.
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(8)]
    slow = replace(SAFE, aim=400.0)
    s = BalancerHarness(settings(slow, prices=interface.Prices(cross_zone=0.2), value_by="work"), listed)
    sent: dict[float, list[int]] = {1.0: [], 40.0: []}
    for _ in range(150):
        for work in sent:
            r = s.submit(work=work)
            away = int(s.sends(r)[0].endpoint[1:]) % 2
            sent[work].append(away)
            s.wait(30 if away else 190)
            s.end(r)
    assert sum(sent[1.0][50:]) < 0.2 * 100 < 0.5 * 100 < sum(sent[40.0][50:])
