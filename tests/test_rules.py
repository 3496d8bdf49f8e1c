"""The rules on final answers, repeated execution, drains and slow start, for every kind of repeat."""

import itertools
from dataclasses import replace

import pytest
from helpers import KEYED, LIMITS, RULES, SAFE, UNSAFE, BalancerHarness, fleet, settings

from zinclever import Balancer, Settings, interface
from zinclever.policy import HEDGE_DELAY_SHARE
from zinclever.policy.slow_start import CAPACITY_FACTOR

# --- exactly one final answer ---


def test_request_without_an_endpoint_is_held_then_refused_once() -> None:
    for klass in (SAFE, UNSAFE, KEYED):
        s = BalancerHarness(settings(klass), [])
        r, started_at = s.submit(), s.now
        assert not s.final_answers(r)
        s.wait(500)
        assert len(s.final_answers(r)) == 1 and isinstance(s.final_answers(r)[0], interface.Refuse)
        refused_at = next(t for t, a in s.all if isinstance(a, interface.Refuse))
        assert started_at < refused_at < started_at + 500


def test_held_request_is_sent_when_an_endpoint_is_listed() -> None:
    s = BalancerHarness(settings(), [])
    r = s.submit()
    s.wait(40)
    s.feed(interface.MembershipUpdate("whole", fleet(1)))
    assert len(s.sends(r)) == 1


def test_timeout_at_the_deadline_ends_in_one_final_answer() -> None:
    for klass, kind in (
        (SAFE, interface.Refuse),
        (UNSAFE, interface.Fail),
        (replace(KEYED, group="zone"), interface.Fail),
    ):
        s = BalancerHarness(settings(klass), fleet(1))
        r = s.submit()
        s.wait(500)
        assert s.end(r, 0, "timeout", complete=False)
        assert [type(a) for a in s.final_answers(r)] == [kind]
        s.wait(100)
        assert len(s.final_answers(r)) == 1 and not s.b.requests


def test_closed_request_gets_no_attempt_and_no_answer() -> None:
    s = BalancerHarness(settings(), fleet(3))
    r = s.submit()
    assert s.feed(interface.RequestClosed(r)) == [interface.Cancel(r, 0)]
    s.wait(400)
    assert len(s.sends(r)) == 1 and not s.final_answers(r)
    held = BalancerHarness(settings(), [])
    held_request = held.submit()
    held.feed(interface.RequestClosed(held_request))
    held.wait(600)
    assert not held.final_answers(held_request) and held.b.admission.held_count == 0


def test_request_with_a_short_deadline_is_answered_before_older_ones() -> None:
    # Guards against checking the oldest held request only: a later one may have less time.
    s = BalancerHarness(settings(), [])
    s.submit(deadline=500)
    r, started_at = s.submit(deadline=50), s.now
    s.wait(49)
    assert s.final_answers(r) and s.now - started_at < 50


# --- no repeated execution ---


def test_at_most_once_is_resent_only_if_it_never_ran() -> None:
    for outcome in ("full", "connect_failed", "not_sent"):
        s = BalancerHarness(settings(UNSAFE), fleet(3))
        r = s.submit()
        s.end(r, 0, outcome)
        assert len(s.sends(r)) == (1 if outcome == "not_sent" else 2)
    for outcome in ("error", "reset", "timeout", "cancelled"):
        s = BalancerHarness(settings(UNSAFE), fleet(3))
        r = s.submit()
        s.end(r, 0, outcome)  # type: ignore[arg-type]
        assert len(s.sends(r)) == 1
        assert s.final_answers(r) == [interface.Fail(r)]


def test_deduplicated_request_stays_in_its_group() -> None:
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2, cell=x // 2) for x in range(8)]
    for group in ("zone", "cell"):
        for seed in range(8):
            s = BalancerHarness(settings(replace(KEYED, group=group)), listed, seed)
            r = s.submit()
            s.end(r, 0, "full")
            s.end(r, 1, "error")
            first, second = s.sends(r)[1:3]
            x, y = int(first.endpoint[1]), int(second.endpoint[1])
            assert (x % 2 == y % 2) if group == "zone" else (x // 2 == y // 2)
            s.end(r, 2, "error")
            s.wait(300)
            assert isinstance(s.final_answers(r)[0], interface.Fail) if s.final_answers(r) else len(s.sends(r)) == 4


def test_deduplicated_request_is_not_resent_after_its_window() -> None:
    for window, sends in ((30.0, 1), (100.0, 2)):
        s = BalancerHarness(settings(replace(KEYED, window=window)), fleet(4))
        r = s.submit()
        s.wait(50)
        s.end(r, 0, "error")
        assert len(s.sends(r)) == sends


def test_deduplicated_request_held_past_its_window_is_not_resent() -> None:
    # Guards against a window that ends while a retry is held.
    s = BalancerHarness(settings(replace(KEYED, group="zone", window=60.0)), fleet(2))
    r = s.submit()
    s.wait(10)
    s.b.endpoint_list.near.window.size = 0.0
    s.end(r, 0, "error")
    assert s.b.admission.held_count == 1
    s.wait(55)
    s.b.endpoint_list.near.window.size = 10.0
    s.wait(20)
    assert len(s.sends(r)) == 1 and s.final_answers(r) == [interface.Fail(r)]


REPEATS = ("idempotent", "deduplicated", "at_most_once")
ENDS = ("error", "reset", "timeout", "full", "connect_failed")


@pytest.mark.parametrize("in_window", [True, False])
@pytest.mark.parametrize("group", ["all", "zone", "cell"])
@pytest.mark.parametrize("outcome", ENDS)
@pytest.mark.parametrize("repeat", REPEATS)
def test_retry_or_final_answer_after_each_outcome(repeat: str, outcome: str, group: str, in_window: bool) -> None:
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2, cell=x // 2) for x in range(8)]
    klass = replace(SAFE, repeat=repeat, group=group, window=100.0)  # type: ignore[arg-type]
    for seed in range(4):
        s = BalancerHarness(settings(klass), listed, seed)
        r = s.submit()
        s.wait(20 if in_window else 110)
        s.end(r, 0, outcome)  # type: ignore[arg-type]
        may_have_run = outcome not in interface.NEVER_RAN
        deduplicated = repeat == "deduplicated"
        may_repeat = repeat == "idempotent" or not may_have_run
        assert len(s.sends(r)) == (2 if may_repeat or (deduplicated and in_window) else 1)
        if len(s.sends(r)) == 2:
            first, second = (listed[int(x.endpoint[1:])] for x in s.sends(r))
            assert may_repeat or group == "all" or getattr(first, group) == getattr(second, group)
            s.wait(500)
            s.end(r, 1, "timeout", complete=False)
            may_repeat = repeat == "idempotent"
        kind = interface.Refuse if may_repeat or (deduplicated and group == "all") else interface.Fail
        assert [type(x) for x in s.final_answers(r)] == [kind]


def test_actions_do_not_depend_on_the_start_of_the_clock() -> None:
    runs = []
    for base in (-5e6, 0.0, 1e9):
        balancer = Balancer(settings(discovery="on_request"), 3)
        actions = balancer.handle(base, interface.MembershipUpdate("remembered", fleet(400)))
        for n in range(20):
            now = base + 50.0 * n
            actions += balancer.handle(now, interface.RequestArrived(f"r{n}", 0, now + 500))
            sent = next(a for a in reversed(actions) if isinstance(a, interface.Send))
            actions += balancer.handle(
                now + 30, interface.AttemptEnded(f"r{n}", 0, sent.endpoint, "served", 30.0, True)
            )
        runs.append([(type(a), getattr(a, "endpoint", "")) for a in actions])
    assert runs[0] == runs[1] == runs[2]
    assert runs[0][0][0] is interface.WatchMembership


def test_one_final_answer_if_all_endpoints_are_draining_cold_or_down() -> None:
    for more in ({"phase": "draining"}, {"started_at": 1_000_000.0}, {"phase": "gone"}):
        s = BalancerHarness(settings(), fleet(3, **more))
        names = [s.submit() for _ in range(20)]
        s.wait(600)
        for r in names:
            for n in range(len(s.sends(r))):
                s.end(r, n, "connect_failed", complete=bool(s.final_answers(r)))
        s.wait(600)
        assert all(len(s.final_answers(r)) == 1 for r in names)


def test_deduplicated_request_is_refused_only_if_all_endpoints_discard_repeats() -> None:
    for group, kind in (("all", interface.Refuse), ("cell", interface.Fail)):
        s = BalancerHarness(settings(replace(KEYED, group=group, window=1.0)), fleet(4))  # type: ignore[arg-type]
        r = s.submit()
        s.wait(50)
        s.end(r, 0, "error")
        assert [type(a) for a in s.final_answers(r)] == [kind]


def test_no_hedge_unless_permitted() -> None:
    s = BalancerHarness(settings(limits=replace(LIMITS, second_copies=False)), fleet(4))
    s.serve(60, latency=20, gap=30)
    r = s.submit()
    s.wait(100)
    assert len(s.sends(r)) == 1
    s.end(r, 0, "error")
    assert len(s.sends(r)) == 2


def test_started_stream_is_neither_hedged_nor_answered() -> None:
    s = BalancerHarness(settings(replace(SAFE, streamed=True)), fleet(4))
    s.serve(60, latency=20, gap=30)
    r = s.submit()
    s.wait(HEDGE_DELAY_SHARE * SAFE.aim + 5)
    assert len(s.sends(r)) == 2
    actions = s.feed(interface.StreamStarted(r, 1, s.sends(r)[1].endpoint, 10.0))
    assert [a for a in actions if isinstance(a, interface.Cancel)] == [interface.Cancel(r, 0)]
    s.end(r, 0, "cancelled", complete=False)
    s.wait(5000)
    assert len(s.sends(r)) == 2 and not s.final_answers(r)
    s.end(r, 1, "served")
    assert not s.b.requests


# --- drains ---


def test_no_sends_to_draining_or_removed_endpoints() -> None:
    for phase in ("draining", "gone"):
        s = BalancerHarness(settings(), fleet(2))
        s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e0", phase=phase)]))
        for _ in range(10):
            s.submit()
            s.wait(20)
        assert {a.endpoint for a in s.sends()} == {"e1"}


def test_endpoint_missing_from_a_full_list_is_removed() -> None:
    s = BalancerHarness(settings(), fleet(3))
    s.feed(interface.MembershipUpdate("whole", fleet(1)))
    for _ in range(5):
        s.submit()
    assert {a.endpoint for a in s.sends()} == {"e0"}


def test_refused_discovery_calls_back_off_with_jitter() -> None:
    s = BalancerHarness(settings(discovery="on_request"), fleet(2))
    assert s.actions_of(interface.WatchMembership) == [interface.WatchMembership(True)]
    times = [s.now]
    for _ in range(6):
        s.feed(interface.MembershipUpdate("refused"))
        n = len(s.actions_of(interface.WatchMembership))
        while len(s.actions_of(interface.WatchMembership)) == n:
            s.wait(10)
        times.append(s.now)
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert gaps[0] < 700 and max(gaps) > 1000
    assert max(gaps) < RULES.ask_within
    s.feed(interface.MembershipUpdate("changes", []))
    n = len(s.actions_of(interface.WatchMembership))
    s.wait(60000)
    assert len(s.actions_of(interface.WatchMembership)) == n


def test_unanswered_subscription_is_repeated_within_the_rule() -> None:
    s = BalancerHarness(settings(discovery="on_request"), fleet(2))
    s.wait(RULES.ask_within)
    assert len(s.actions_of(interface.WatchMembership)) >= 2


def test_pushed_discovery_is_never_called() -> None:
    s = BalancerHarness(settings(), fleet(2))
    s.wait(30000)
    assert not s.actions_of(interface.WatchMembership) and not s.actions_of(interface.FetchMembership)


# --- cold endpoints ---


def test_cold_endpoint_gets_its_slow_start_share() -> None:
    s = BalancerHarness(settings(limits=replace(LIMITS, max_attempts=1)), fleet(4))
    s.serve_many(40, 8, 50)
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e3", started_at=s.now)]))
    start, shares = s.now, []
    for _ in range(5):
        n = len(s.sends())
        s.serve_many(40, 8, 50)
        sends = s.sends()[n:]
        shares.append(sum(a.endpoint == "e3" for a in sends) / (len(sends) / 4))
        age = s.now - start
        ramp = RULES.cold_share + (1 - RULES.cold_share) * min(1.0, age / RULES.cold_for)
        assert shares[-1] <= ramp * 1.4 + 0.05
    assert shares[0] < 0.45 and shares[-1] > 0.5


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.0, 4.0])
def test_cold_endpoint_gets_at_most_half_of_what_overloads_it(factor: float) -> None:
    """If that is a lot, it gets at most CAPACITY_FACTOR times its slow-start share of what warm endpoints answer."""
    rules = replace(RULES, overload_factor=factor)
    s = BalancerHarness(settings(limits=replace(LIMITS, max_attempts=1), rules=rules), fleet(4))
    s.serve_many(40, 8, 50)
    s.feed(
        interface.MembershipUpdate(
            "changes", [interface.ListedEndpoint(f"e{n}", started_at=s.now) for n in range(1, 4)]
        )
    )
    n, start = len(s.sends()), s.now
    s.serve_many(40, 8, 50)
    span = s.now - start
    ramp = RULES.cold_share + (1 - RULES.cold_share) * span / RULES.cold_for / 2  # on average
    sent = sum(a.endpoint == "e1" for a in s.sends()[n:])
    limit = min(factor / 2, CAPACITY_FACTOR) * ramp * 8 / 50 / 4 * span
    assert 0 < sent <= limit, (sent, limit)


def test_no_burst_on_the_only_endpoint_if_it_is_cold() -> None:
    # Guards against overloading the only endpoint that a restarted balancer knows, hedges included.
    s = BalancerHarness(settings(), fleet(4))
    s.serve(200, latency=10, gap=10)
    s.feed(interface.MembershipUpdate("whole", [interface.ListedEndpoint("e9", started_at=s.now)]))
    n = len(s.sends())
    for _ in range(100):
        s.submit()
        s.wait(10)
    warm_rate = 100 / 4
    assert len(s.sends()) - n <= warm_rate * RULES.overload_factor


def test_slow_start_follows_answers_not_attempts_in_overload() -> None:
    # Guards against refused attempts in overload raising what a cold endpoint is sent.
    s = BalancerHarness(settings(limits=replace(LIMITS, max_attempts=8)), fleet(6))
    s.serve(60, latency=20.0, gap=30.0)
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e3", started_at=s.now)]))
    n, start = len(s.sends()), s.now
    while s.now < start + 2000:
        r = s.submit()
        for k in range(3):
            if len(s.sends(r)) > k:
                s.end(r, k, "full")
        s.wait(10)
    sent = sum(a.endpoint == "e3" for a in s.sends()[n:])
    answered_each = 1000 / 30 / 6  # per second, before the overload
    assert sent <= RULES.overload_factor * 2 * answered_each * 0.36  # its slow-start share after 2 s


def test_cold_endpoints_are_not_overloaded_by_many_balancers_together() -> None:
    # Guards against one send each from hundreds of balancers, none of which sees more than its own.
    sent = 0
    for seed in range(150):
        s = BalancerHarness(settings(group_size=150), fleet(8), seed)
        s.serve(40, latency=20.0, gap=250.0)
        s.feed(
            interface.MembershipUpdate("changes", [interface.ListedEndpoint(e, started_at=s.now) for e in ("e0", "e1")])
        )
        n = len(s.sends())
        s.serve(8, latency=20.0, gap=250.0)
        sent += sum(a.endpoint in ("e0", "e1") for a in s.sends()[n:])
    fair = 150 * 8 / 8 * 2
    ramp = RULES.cold_share + (1 - RULES.cold_share) * 2000 / RULES.cold_for / 2
    assert 0 < sent < ramp * fair


def test_slow_start_of_a_cold_zone_is_measured_by_the_warm_one() -> None:
    # Guards against taking the demand for the capacity of a zone that has just returned from an outage (if08e7a).
    listed = [interface.ListedEndpoint(f"e{x}", zone=x % 2) for x in range(12)]
    s = BalancerHarness(settings(prices=interface.Prices(cross_zone=0.2)), listed)
    s.serve(40, latency=20.0, gap=250.0)
    s.feed(interface.MembershipUpdate("changes", [x._replace(started_at=s.now) for x in listed if x.zone == 1]))
    n, start = len(s.sends()), s.now
    while s.now < start + 2000:
        r = s.submit()
        for k in range(3):
            if len(s.sends(r)) > k:
                s.end(r, k, "full")
        s.wait(10)
    sent = sum(int(a.endpoint[1:]) % 2 for a in s.sends()[n:])
    assert sent <= 6 * RULES.overload_factor * 0.36 * 2 * 4 / 6 + 6  # 4 answers a second over 6 endpoints


def test_restart_discards_what_was_learned() -> None:
    s = BalancerHarness(settings(), fleet(2))
    s.serve_many(10, 2, 40.0)
    assert s.b.endpoint_list.endpoints["e0"].success.weight > 0
    s.feed(interface.MembershipUpdate("changes", [interface.ListedEndpoint("e0", started_at=s.now)]))
    assert s.b.endpoint_list.endpoints["e0"].success.weight == 0


# --- settings ---


@pytest.mark.parametrize(
    ("name", "make"),
    [
        ("classes", lambda: Settings(classes=())),
        ("classes[0].aim", lambda: Settings(classes=(replace(SAFE, aim=0.0),))),
        ("classes[0].repeat", lambda: Settings(classes=(replace(SAFE, repeat="maybe"),))),  # type: ignore[arg-type]
        ("limits.max_attempts", lambda: Settings(classes=(SAFE,), limits=interface.Limits(max_attempts=0))),
        ("rules.cold_share", lambda: Settings(classes=(SAFE,), rules=interface.Rules(cold_share=0.0))),
        ("group_size", lambda: Settings(classes=(SAFE,), group_size=0)),
    ],
)
def test_invalid_settings_are_named(name: str, make: object) -> None:
    with pytest.raises(ValueError, match=name.replace("[", r"\[")):
        make()  # type: ignore[operator]
