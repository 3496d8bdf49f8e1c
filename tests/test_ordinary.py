"""The ordinary path: the draw, copies after the fixed delay, cancelled losers, what outcomes teach."""

from dataclasses import replace

from helpers import KEYED, LIMITS, SAFE, UNSAFE, BalancerHarness, fleet, settings

from zinclever import interface
from zinclever.policy import HEDGE_DELAY_SHARE

DELAY = HEDGE_DELAY_SHARE * SAFE.aim


def warmed(*classes: interface.RequestClass, n: int = 6, seed: int = 1, **more: object) -> BalancerHarness:
    """A sidecar past its first second, with a record of service."""
    s = BalancerHarness(settings(*classes, **more), fleet(n), seed)
    s.serve(60, took=20.0, gap=30.0)
    return s


def test_one_send_and_one_answer() -> None:
    s = BalancerHarness(settings(), fleet(3))
    r = s.ask()
    assert len(s.sends(r)) == 1
    s.wait(30)
    s.end(r)
    assert not s.finals(r) and not s.b.requests and s.b.endpoint_list.inflight() == 0


def test_draw_prefers_the_better_payoff() -> None:
    s = BalancerHarness(settings(), fleet(2))
    for _ in range(40):
        r = s.ask()
        slow = s.sends(r)[0].endpoint == "e0"
        s.wait(120 if slow else 20)
        if r in s.b.requests:
            s.end(r)
        s.wait(20)
    late = [s.sends(s.ask())[0].endpoint for _ in range(1)]
    assert late == ["e1"]


def test_draw_counts_own_in_flight() -> None:
    s = BalancerHarness(settings(), fleet(2))
    got = [s.sends(s.ask())[0].endpoint for _ in range(10)]
    assert abs(got.count("e0") - got.count("e1")) <= 1


def test_draw_is_of_two_not_of_all() -> None:
    s = BalancerHarness(settings(), fleet(8))
    for _ in range(4):
        s.ask()
    busy = {a.endpoint for a in s.sends()}
    assert len(busy) >= 3
    # With the best of all, four more sends would all go to idle endpoints, whatever the seed.
    hits = 0
    for seed in range(40):
        t = BalancerHarness(settings(), fleet(8), seed)
        picks = [t.sends(t.ask())[0].endpoint for _ in range(8)]
        hits += len(set(picks)) < 8
    assert hits > 20


def test_same_seed_same_actions_other_seed_others() -> None:
    runs = []
    for seed in (5, 5, 6):
        s = BalancerHarness(settings(), fleet(6), seed)
        s.serve(30)
        runs.append(s.all)
    assert runs[0] == runs[1] != runs[2]


def test_copy_after_each_fixed_delay_on_unused_endpoints() -> None:
    s = warmed()
    r, t0 = s.ask(), s.now
    s.wait(150)
    times = [t - t0 for t, a in s.all if isinstance(a, interface.Send) and a.request == r]
    assert times == [0.0, DELAY, 2 * DELAY]
    assert len({a.endpoint for a in s.sends(r)}) == 3
    for seed in range(10):
        small = warmed(n=2, seed=seed)
        r = small.ask()
        small.wait(150)
        assert len(small.sends(r)) == len({a.endpoint for a in small.sends(r)}) == 2


def test_first_answer_wins_and_losers_are_cancelled() -> None:
    s = warmed()
    r = s.ask()
    s.wait(DELAY + 10)
    out = s.end(r, 1)
    assert [a for a in out if isinstance(a, interface.Cancel)] == [interface.Cancel(r, 0)]
    before = len(s.sends(r))
    s.wait(400)
    assert len(s.sends(r)) == before and not s.finals(r)
    s.end(r, 0, "cancelled", complete=True)
    assert s.b.endpoint_list.inflight() == 0 and not s.b.requests


def test_no_cancel_where_it_is_not_allowed() -> None:
    s = warmed(limits=replace(LIMITS, cancel=False))
    r = s.ask()
    s.wait(DELAY + 10)
    s.end(r, 1)
    assert not s.of(interface.Cancel)


def test_attempt_limit_holds_for_copies_and_retries() -> None:
    s = warmed(limits=replace(LIMITS, max_attempts=2))
    r = s.ask()
    s.wait(DELAY + 10)
    s.end(r, 0, "error")
    s.wait(300)
    assert len(s.sends(r)) == 2


def test_no_copies_for_other_repeat_kinds_or_where_forbidden() -> None:
    for told, limits in ((UNSAFE, LIMITS), (KEYED, LIMITS), (SAFE, replace(LIMITS, second_copies=False))):
        s = warmed(told, limits=limits)
        r = s.ask()
        s.wait(190)
        assert len(s.sends(r)) == 1


def test_a_copy_that_cannot_make_the_aim_is_not_sent() -> None:
    s = warmed()
    r = s.ask()
    s.wait(499)
    last = max(t for t, a in s.all if isinstance(a, interface.Send) and a.request == r)
    assert last <= s.now - 499 + SAFE.aim


def test_copies_keep_to_their_budget() -> None:
    # Guards against copies that feed an overload: a fleet that answers nothing gets few of them.
    s = warmed(n=40)
    s.b.endpoint_list.near.window.size = 1e9
    first = len(s.all)
    s.b.hedge_tokens = 0.0
    for _ in range(40):
        s.ask()
        s.wait(5)
    s.wait(300)
    sends = [a for _, a in s.all[first:] if isinstance(a, interface.Send)]
    assert 40 < len(sends) <= 40 * 1.6


def test_error_moves_a_safe_request_on_at_once() -> None:
    for outcome in ("error", "full", "connect_failed", "reset"):
        s = BalancerHarness(settings(), fleet(4))
        r = s.ask()
        s.wait(5)
        s.end(r, 0, outcome)
        assert len(s.sends(r)) == 2 and s.sends(r)[0].endpoint != s.sends(r)[1].endpoint
        assert not s.finals(r)


def test_errors_cost_standing() -> None:
    # Guards against an endpoint that fails fast and so looks idle.
    s = BalancerHarness(settings(), fleet(3))
    bad = 0
    for _ in range(60):
        r = s.ask()
        s.wait(2)
        for n in range(3):
            if s.sends(r)[n].endpoint != "e0":
                s.wait(30)
                s.end(r, n)
                break
            bad += 1
            s.end(r, n, "error")
        s.wait(10)
    assert bad <= 10
    e = s.b.endpoint_list.endpoints["e1"]
    before = s.b.selector.score(s.now, e)
    r = s.ask()
    while s.sends(r)[-1].endpoint != "e1":
        s.end(r, len(s.sends(r)) - 1, "full")
    s.end(r, len(s.sends(r)) - 1, "error")
    assert s.b.selector.score(s.now, e) < before


def test_silent_endpoint_loses_standing_before_its_timeouts() -> None:
    # Guards against an endpoint that swallows requests: without answers it must not look idle.
    s = warmed(n=4)
    swallowed = []
    for _ in range(20):
        r = s.ask()
        s.wait(30)
        for n, a in enumerate(s.sends(r)):
            if a.endpoint == "e0":
                swallowed.append(r)
            elif r in s.b.requests and not s.b.requests[r].is_closed:
                s.end(r, n)
    assert len(swallowed) <= 3
    t = warmed(n=1)
    e = t.b.endpoint_list.endpoints["e0"]
    t.ask()
    before = t.b.selector.score(t.now, e)
    t.wait(100)
    assert t.b.selector.score(t.now, e) < before / 2


def test_a_loser_cancelled_at_once_does_not_look_fast() -> None:
    s = warmed(n=3)
    e = s.b.endpoint_list.endpoints["e0"]
    r = s.ask()
    while s.sends(r)[-1].endpoint != "e0":
        s.wait(DELAY)
    n = len(s.sends(r)) - 1
    s.wait(1)
    before = e.latency.weight
    s.end(r, n, "cancelled", complete=False)
    assert e.latency.weight < before + 0.1


def test_late_outcome_after_the_final_answer_teaches() -> None:
    s = warmed(n=3)
    r = s.ask()
    where = s.b.endpoint_list.endpoints[s.sends(r)[0].endpoint]
    s.wait(DELAY + 5)
    s.end(r, 1)
    before = where.latency.weight
    s.wait(100)
    s.end(r, 0, "cancelled", complete=True)
    assert where.latency.weight > before * 0.9
    assert where.inflight == 0


def test_events_of_what_is_no_longer_held_are_passed_over() -> None:
    s = BalancerHarness(settings(), fleet(2))
    assert s.feed(interface.AttemptEnded("gone", 0, "e0", "served", 5.0, True)) == []
    assert s.feed(interface.RequestClosed("gone")) == []
    assert s.feed(interface.StreamStarted("gone", 0, "e0", 5.0)) == []
    s.feed(interface.TimerFired("never set"))
    r = s.ask()
    s.end(r)
    assert s.end(r) == []
    assert s.b.endpoint_list.inflight() == 0


def test_balancers_agree_on_the_endpoint_that_is_warm_for_a_key() -> None:
    agreed = []
    for warm in (True, False):
        first = []
        for seed in range(20):
            s = BalancerHarness(settings(group_size=50, warm_keys=warm), fleet(20), seed)
            first += [s.sends(s.ask(key=key))[0].endpoint for key in ("k1", "k2")]
        agreed.append(max(first[::2].count(e) for e in first) + max(first[1::2].count(e) for e in first))
    assert agreed[0] > 30 and agreed[1] < 15


def test_a_hot_key_spreads() -> None:
    # Guards against a key that draws much of the traffic and is sent to one endpoint by all.
    s = BalancerHarness(settings(warm_keys=True), fleet(20))
    for _ in range(40):
        r = s.ask(key="hot")
        s.wait(20)
        s.end(r)
    assert len({a.endpoint for a in s.sends()[20:]}) > 6


def test_home_zone_first_where_crossing_is_dear_and_spill_when_it_is_worse() -> None:
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(20)]
    for price, home_took, least, most in ((0.2, 40, 0.0, 0.0), (0.0, 40, 0.3, 0.7), (0.2, 180, 0.2, 0.98)):
        limits = replace(LIMITS, max_attempts=1)
        s = BalancerHarness(settings(prices=interface.Prices(cross_zone=price), limits=limits), listed)
        for _ in range(80):
            r = s.ask()
            away = [int(a.endpoint[1:]) % 2 for a in s.sends(r)]
            s.wait(30 if away == [1] else home_took)
            if away and r in s.b.requests:
                s.end(r)
            s.wait(200)
        sent = [int(a.endpoint[1:]) % 2 for a in s.sends()]
        assert least <= sum(sent) / len(sent) <= most


def test_many_balancers_draw_on_a_few_endpoints_each_and_make_up_for_the_lost() -> None:
    # Guards against hundreds of sidecars that each connect to the whole fleet.
    s = BalancerHarness(settings(group_size=300), fleet(60))
    s.serve(80)
    few = {a.endpoint for a in s.sends()}
    assert 2 < len(few) <= LIMITS.max_attempts + 3
    gone = sorted(few)[:3]
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint(e, phase="gone") for e in gone]))
    n = len(s.sends())
    s.serve(80)
    assert len({a.endpoint for a in s.sends()[n:]} - few) >= 2


def test_draw_follows_the_told_size() -> None:
    # Guards against small endpoints drowning in an even share.
    got = 0
    for seed in range(200):
        s = BalancerHarness(
            settings(), [interface.ListedEndpoint(f"e{x}", size=1.0 + 2.0 * (x < 5)) for x in range(10)], seed
        )
        got += int(s.sends(s.ask())[0].endpoint[1:]) < 5
    assert 130 < got < 175


def test_what_crosses_zones_is_worth_the_crossing() -> None:
    # Guards against paying as much for a light request to leave a home that is full as for a heavy one.
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(8)]
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2), value_by="work"), listed)
    s.serve(60, took=20.0, gap=30.0)
    while not s.b.admission.held_count:
        s.ask(work=40.0)
        if not s.b.endpoint_list.near.has_capacity():
            light = s.ask(work=1.0)
    heavy = s.ask(work=40.0)
    assert not s.sends(light)
    (where,) = s.sends(heavy)
    assert int(where.endpoint[1:]) % 2 == 1


def test_a_home_that_falls_behind_keeps_what_is_worth_little() -> None:
    # Guards against a home zone left by all, which is then not heard of for long.
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(8)]
    slow = replace(SAFE, aim=400.0)
    s = BalancerHarness(settings(slow, prices=interface.Prices(cross_zone=0.2), value_by="work"), listed)
    sent: dict[float, list[int]] = {1.0: [], 40.0: []}
    for _ in range(150):
        for work in sent:
            r = s.ask(work=work)
            away = int(s.sends(r)[0].endpoint[1:]) % 2
            sent[work].append(away)
            s.wait(30 if away else 190)
            s.end(r)
    assert sum(sent[1.0][50:]) < 0.2 * 100 < 0.5 * 100 < sum(sent[40.0][50:])
