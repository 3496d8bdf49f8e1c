"""What each instance takes of what all may use: connections, handshakes, retries, copies, calls of discovery."""

from __future__ import annotations

import asyncio
import math
import signal
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import fmean

import pytest
from helpers import LIMITS, SAFE, UNSAFE, BalancerHarness, fleet, settings
from loopback import always, host, response, run_real, serving, sidecar, silence
from test_fault_day import CLASSES, SETTINGS, TERMS, Side
from test_program import config
from test_program import started as started_program

from zinclever import interface
from zinclever.fleet.limits import (
    ALIVE_FOR,
    BACK_OFF_EACH,
    CALM_FOR,
    LONGEST_WATCH,
    Bucket,
    Budget,
    ConnectionLimiter,
    DiscoveryCallPacer,
)
from zinclever.standins import audit
from zinclever.standins.clients import HttpClient
from zinclever.standins.day import ask_http
from zinclever.standins.http_endpoint import HttpEndpoint

CAPS = interface.Shares(connections=400.0, handshakes_per_s=100.0, busy=4)
GROUP, SERVERS, WIDTH = 20_000, 2000, 20


# --- buckets and budgets ---


@pytest.mark.parametrize(("rate", "each"), [(0.05, 50.0), (1.0, 3.0), (0.0002, 900.0)])
def test_a_bucket_keeps_its_rate_in_the_long_run(rate: float, each: float) -> None:
    """Also where its part is less than one in all that it may save up."""
    bucket, taken, span = Bucket(Random(1)), 0, 4_000_000.0 if rate < 0.001 else 40_000.0
    bucket.configure(1.5 * rate)
    now = 0.0
    while now < span:
        taken += bucket.take(now)
        now += each
    assert taken <= rate * span + max(1.0, 1000.0 * rate)
    assert taken >= 0.4 * min(rate * span, span / each)  # what is beyond its second of saving is lost


def test_buckets_that_are_emptied_together_spend_no_more_than_all_may_save() -> None:
    """20,000 of them at one instant, after a long quiet, and at their start: each holds a tenth of one."""
    rng = Random(2)
    buckets = [Bucket(rng) for _ in range(GROUP)]
    for bucket in buckets:
        bucket.configure(0.0003)
    for now in (0.0, 1e7):
        burst = sum(b.take(now) for b in buckets)
        assert 0.08 * GROUP < burst < 0.12 * GROUP
        second = burst + sum(b.take(now + t) for t in range(10, 1000, 30) for b in buckets)
        assert second <= 0.3 * GROUP


def test_a_bucket_that_is_told_less_gives_up_what_it_saved() -> None:
    bucket = Bucket(Random(1))
    bucket.configure(1.0)
    assert bucket.take(0.0)
    bucket.take(10_000.0)
    bucket.configure(0.001)
    assert bucket.tokens <= 0.5


def test_a_budget_is_a_share_of_the_requests_and_a_floor() -> None:
    budget = Budget(0.2, Random(1))
    assert not any(budget.take(float(n)) for n in range(100))
    for n in range(100):
        budget.asked(100.0 + n)
    assert sum(budget.take(200.0) for _ in range(100)) in (18, 19)
    budget.configure(0.01)
    assert sum(budget.take(200.0 + n) for n in range(10_000)) in range(60, 80)


def test_a_budget_is_forgotten() -> None:
    """What a busy hour saved is not there for the quiet one after it."""
    budget = Budget(0.5, Random(1))
    for n in range(1000):
        budget.asked(float(n))
    assert budget.take(200_000.0) and not budget.take(200_000.0)


# --- the module's retries and copies ---


NO_COPIES = replace(LIMITS, second_copies=False)


def failing(s: BalancerHarness, requests: int) -> int:
    """Requests whose first attempt fails; how many retries went out."""
    retried = 0
    for _ in range(requests):
        r = s.ask()
        ended = 0
        while not s.finals(r):
            if ended < len(s.sends(r)):
                s.end(r, ended, "error" if ended == 0 else "served", complete=ended > 0)
                ended += 1
                if ended == 2:
                    break
            else:
                s.wait(5.0)  # held
        retried += max(0, ended - 1)
        s.wait(20.0)
    return retried


def test_retries_stay_within_their_ratio() -> None:
    free = BalancerHarness(settings(limits=NO_COPIES), fleet(50))
    bound = BalancerHarness(settings(limits=NO_COPIES, shares=interface.Shares(retry_ratio=0.2)), fleet(50))
    assert failing(free, 200) > 150
    assert 20 <= failing(bound, 200) <= 40


def test_a_request_without_a_retry_left_is_answered_at_once() -> None:
    s = BalancerHarness(settings(SAFE, UNSAFE, shares=interface.Shares(retry_ratio=0.01)), fleet(50))
    safe, unsafe = s.ask(0), s.ask(1)
    s.end(safe, 0, "error", complete=False)
    s.end(unsafe, 0, "error", complete=False)
    assert isinstance(s.finals(safe)[0], interface.Refuse) and isinstance(s.finals(unsafe)[0], interface.Fail)


def test_the_floor_is_for_all_together() -> None:
    """With 20,000 instances and 2 a second for each of 50 endpoints a retry is one in 200 s of each."""
    shares = interface.Shares(retry_ratio=0.001, floor_per_s=2.0)
    instances = [
        BalancerHarness(settings(shares=shares, group_size=GROUP, limits=NO_COPIES), fleet(50), seed)
        for seed in range(200)
    ]
    assert sum(failing(s, 1) for s in instances) <= 4
    alone = BalancerHarness(settings(shares=shares, limits=NO_COPIES), fleet(50))
    assert failing(alone, 200) > 150


def copies(s: BalancerHarness, requests: int) -> int:
    s.serve(150)  # until the window is known: before, no copy goes out at all
    copied = 0
    for _ in range(requests):
        r = s.ask()
        s.wait(100.0)
        for n in range(len(s.sends(r))):
            s.end(r, n, "served" if n == 0 else "cancelled", complete=True)
            copied += n > 0
        s.wait(50.0)
    return copied


def test_copies_stay_within_their_ratio() -> None:
    free, bound = (
        copies(BalancerHarness(settings(), fleet(50)), 20),
        copies(BalancerHarness(settings(shares=interface.Shares(copy_ratio=0.02)), fleet(50)), 20),
    )
    assert bound <= 4 < free


# --- connections ---


def connections(
    shares: interface.Shares = CAPS, group: int = GROUP, servers: int = SERVERS, width: int = WIDTH, seed: int = 1
) -> ConnectionLimiter:
    made = ConnectionLimiter(Random(seed))
    made.configure(shares, group, servers, width)
    return made


def test_parts_add_up_to_less_than_the_cap() -> None:
    """Every instance holding all that it may, toward each server: the even ones, and the busy ones on top."""
    for group, servers in ((20_000, 2000), (500, 2000), (20_000, 50), (10, 4), (1, 1)):
        width = min(servers, max(20, 10 * servers // group))
        one = connections(group=group, servers=servers, width=width)
        balancers_per_endpoint = group * width / servers
        assert balancers_per_endpoint * one.most_each() <= max(400.0, balancers_per_endpoint)
        one.share_factor = one.most
        busy = min(4, group)
        assert (balancers_per_endpoint - busy) * connections(
            group=group, servers=servers, width=width
        ).most_each() + busy * one.most_each() <= (
            400.0 if balancers_per_endpoint <= 300.0 else balancers_per_endpoint + busy * one.hot_each
        )
        assert group * connections(group=group, servers=servers, width=width).level <= max(200.0 * servers, group)


def test_who_lacks_connections_gets_more_step_by_step_and_gives_them_back() -> None:
    one = connections()
    now, seen = 0.0, []
    for _ in range(100):
        now += 1000.0
        one.is_exhausted(now, 10**6)
        seen.append(one.share_factor)
    assert seen[3] < 2.0 < seen[10] < seen[-1] == one.most
    assert one.most_each() <= 1.5 + 25.0  # to a single server a busy one's part of the cap
    one.may_open(now + 0.9 * CALM_FOR, 0, 0)
    assert one.share_factor == one.most
    one.may_open(now + 2.0 * CALM_FOR, 0, 0)
    assert 1.0 < one.share_factor < one.most
    for n in range(100):
        one.may_open(now + (3.0 + n) * CALM_FOR, 0, 0)
    assert one.level == one.equal


def test_a_busy_one_gets_handshakes_too() -> None:
    one = connections(interface.Shares(handshakes_per_s=100.0, busy=4))
    taken, now = Counter[int](), 0.0
    while now < 40_000.0:
        now += 5.0
        taken[int(now // 10_000)] += one.may_open(now, 0, 0)
    # 5 a second are its equal part, of which two thirds are steady.
    assert 30 <= taken[0] <= 130 and taken[3] > 5 * taken[0]


def test_refusals_take_back_at_once_and_it_comes_back_slowly() -> None:
    one = connections(replace(CAPS, handshakes_per_s=0.0))
    one.on_server_refused(0.0)
    one.on_server_refused(1.0)  # of the same burst
    assert one.level == pytest.approx(0.7 * one.equal)
    now = 0.0
    for _ in range(60):
        now += BACK_OFF_EACH
        one.on_server_refused(now)
    assert one.level == 1.0 and one.may_open(now, 0, 0) and not one.may_open(now, 0, 1)
    one.may_open(now + 2000.0, 0, 0)
    assert one.level < 0.5 * one.equal
    one.may_open(now + 20_000.0, 0, 0)
    assert one.level == one.equal


def test_a_group_that_shrinks_is_no_burst_and_one_that_grows_counts_at_once() -> None:
    one = connections()
    level = one.level
    one.configure(CAPS, GROUP // 10, SERVERS, WIDTH)
    assert one.level == pytest.approx(level) and level < one.equal
    assert not one.may_open(0.0, 0, round(level))
    one.may_open(2000.0, 0, 0)
    assert level < one.level < one.equal
    one.configure(CAPS, 100 * GROUP, SERVERS, WIDTH)
    assert one.level == 1.0


def test_a_group_told_ten_times_too_small_ends_within_the_cap() -> None:
    """2,000 instances that were told they are 200, each with more to do than it may hold, toward 20 servers that
    refuse what is beyond 100: refusals bring them down to about that, instead of ten times as much."""
    rng = Random(3)
    shares = interface.Shares(connections=100.0)
    all_ = [connections(shares, 200, 20, 20, n) for n in range(2000)]
    held = [0] * len(all_)
    total, most, now = 0, 20 * 100, 0.0
    rounds = []
    for _ in range(60):
        now += 500.0
        for n in rng.sample(range(len(all_)), len(all_)):
            while held[n] > all_[n].level:
                held[n] -= 1
                total -= 1
            if all_[n].may_open(now, 0, held[n]):
                if total < most:
                    held[n] += 1
                    total += 1
                else:
                    all_[n].on_server_refused(now)
        rounds.append(fmean(c.level for c in all_))
    assert rounds[-1] < 0.5 * rounds[0]


def test_without_caps_nothing_is_bounded() -> None:
    one = connections(interface.Shares())
    assert all(one.may_open(0.0, n, n) for n in range(1000))


def test_a_wire_bars_what_is_beyond_the_part() -> None:
    """On real sockets: two connections may be open; the third attempt ends as never run, and is told apart from
    an endpoint that can't be reached."""

    def react(event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, "a", 0.0)]
        if isinstance(event, interface.AttemptEnded) and event.outcome == "barred":
            return [interface.Refuse(event.request, 500.0)]
        return []

    async def test() -> None:
        async with (
            serving(silence) as (peer, at),
            sidecar(
                react, {"seq": 1, "whole": True, "hosts": [host("a", at)]}, shares=interface.Shares(connections=4.0)
            ) as s,
        ):
            assert s.sidecar.connections.equal == 2.0
            clients = [await s.client() for _ in range(3)]
            for n, client in enumerate(clients[:2]):
                client.send(Req_Id=f"r{n}")
                await peer.arrived.get()
            assert (await clients[2].ask(Req_Id="r2")).status == 503
            assert [e.outcome for e in s.balancer.ends()] == ["barred"] and peer.connections == 2
            assert s.wire.pools["a"].open == s.wire.open == 2

    run_real(test)


def test_connections_are_counted_to_their_end() -> None:
    """Kept, closed by the endpoint, refused at the dial: what is counted comes back to none."""

    def react(event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, event.request, 0.0)]
        if isinstance(event, interface.AttemptEnded) and event.outcome != "served":
            return [interface.Refuse(event.request)]
        return []

    async def test() -> None:
        async with (
            serving(always(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) as (_, good),
            serving(always(None)) as (_, ends),
            sidecar(
                react,
                {
                    "seq": 1,
                    "whole": True,
                    "hosts": [host("good", good), host("ends", ends), host("none", "127.0.0.1:1")],
                },
            ) as s,
        ):
            client = await s.client()
            for name in ("good", "ends", "none", "good"):
                await client.ask(Req_Id=name)
            assert (s.wire.open, s.wire.pools["good"].open) == (1, 1)
            assert s.wire.pools["ends"].open == s.wire.pools["none"].open == 0
            s.wire.close_idle("good")
            while s.wire.open:
                await asyncio.sleep(0)
            assert s.wire.descriptors.open == 0

    run_real(test)


# --- discovery ---


def test_starts_are_spread_and_stay_within_the_rule() -> None:
    rng = Random(4)
    small = [DiscoveryCallPacer(400.0, 1000, 10_000.0, rng).start() for _ in range(1000)]
    assert max(small) <= 5000.0 and 2300.0 < fmean(small) < 2700.0
    large = [DiscoveryCallPacer(400.0, GROUP, 10_000.0, rng).start() for _ in range(1000)]
    assert 7500.0 < max(large) <= 8000.0  # the list has to be asked for within ten


def test_refused_calls_back_off_with_jitter_up_to_what_the_rule_allows() -> None:
    calls = DiscoveryCallPacer(400.0, GROUP, 10_000.0, Random(4))
    for refusals in (1, 5, 60):
        pauses = [calls.retry_delay(refusals) for _ in range(500)]
        assert 17_500.0 <= min(pauses) < 18_000.0 and 34_000.0 < max(pauses) <= 35_000.0
    few = DiscoveryCallPacer(400.0, 10, 10_000.0, Random(4))
    assert [max(few.retry_delay(n) for _ in range(200)) // 100 for n in (1, 2, 9)] == [5, 11, 33]


def test_watches_last_as_long_as_the_cap_asks() -> None:
    rng = Random(4)
    assert 2700.0 < DiscoveryCallPacer(400.0, 10, 10_000.0, rng).watch_timeout(3000.0) < 3300.0
    assert 90_000.0 <= DiscoveryCallPacer(400.0, GROUP, 10_000.0, rng).watch_timeout(20_000.0) <= 110_000.0
    assert DiscoveryCallPacer(1.0, GROUP, 10_000.0, rng).watch_timeout(20_000.0) <= 1.1 * LONGEST_WATCH


def test_the_module_asks_after_a_spread_where_it_has_a_list_and_at_once_where_it_has_none() -> None:
    shares = interface.Shares(list_calls_per_s=400.0)
    told = settings(shares=shares, group_size=GROUP, discovery="on_request")
    empty = BalancerHarness(told)
    assert empty.of(interface.WatchMembership)
    asked = []
    for seed in range(50):
        s = BalancerHarness(told, fleet(5), seed)
        assert not s.of(interface.WatchMembership)
        s.wait(8000.0)
        asked.append(next(at for at, a in s.all if isinstance(a, interface.WatchMembership)) - 1_000_000.0)
    assert max(asked) <= 8000.0 and max(asked) - min(asked) > 6500.0


# --- a subset in service ---


def test_a_subset_that_moves_is_no_answer_of_discovery() -> None:
    """Discovery has refused; then an endpoint can't be reached, and the subset moves for it: the module is told, and
    goes on asking."""
    told: list[interface.MembershipUpdate] = []

    def react(event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.MembershipUpdate):
            told.append(event)
        if isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, told[-1].entries[0].endpoint, 0.0)]
        return [interface.Refuse(event.request)] if isinstance(event, interface.AttemptEnded) else []

    async def test() -> None:
        hosts = [host(f"e{n}", "127.0.0.1:1") for n in range(60)]
        async with sidecar(
            react,
            {"seq": 1, "whole": True, "hosts": hosts},
            shares=interface.Shares(subset=6),
            group_size=400,
        ) as s:
            real = BalancerHarness(settings(discovery="on_request", shares=interface.Shares(subset=6), group_size=400))
            real.feed(interface.MembershipUpdate("refused"))
            assert (await (await s.client()).ask()).status == 503
            assert len(told) == 2 and len(told[1].entries) == 7 and told[1].of == 60
            real.feed(told[1])
            before = len(real.of(interface.WatchMembership))
            real.wait(10_000.0)
            assert len(real.of(interface.WatchMembership)) > before

    run_real(test)


def test_subset_in_service(tmp_path: Path) -> None:
    """The program with an operator file: 24 endpoints, two instances that know three of the home zone and four of
    the other one, a day of faults in which a member drains, goes, and the configuration is read again. No rule
    breaks, and what is not to be known isn't reached."""

    async def test() -> None:
        async with AsyncExitStack() as stack:
            side = await Side(stack, HttpEndpoint, 5).open(24)
            operator = tmp_path / "operator.toml"
            operator.write_text(
                "version = 1\n[shares]\nsubset = 3\nconnections = 4000\nhandshakes_per_s = 100000\n"
                "list_calls_per_s = 100000\nretry_ratio = 0.5\ncopy_ratio = 0.2\nfloor_per_s = 100\n"
            )
            clients, over, programs = [], asyncio.Event(), []
            for n in range(2):
                folder = tmp_path / str(n)
                folder.mkdir()
                told = SETTINGS | {"group-size": 400, "me": 200 * n, "prices": {"cross-zone": 0.1}}
                env = config(folder, settings=told, discovery=side.discovery.address)
                env["ZINCLEVER_OPERATOR"] = str(operator)
                programs.append(await stack.enter_async_context(started_program(env)))
                clients += [HttpClient(side.log, env["LB_LISTEN"]) for _ in range(3)]
            await side.known()
            asking = [asyncio.ensure_future(ask_http(c, CLASSES, Random(n), over)) for n, c in enumerate(clients)]
            await asyncio.sleep(1.0)
            member = max(side.endpoints, key=lambda e: len(e.requests()))
            await side.discovery.set(member, "draining")
            await asyncio.sleep(1.5)
            for program in programs:
                program.send_signal(signal.SIGHUP)
            await side.discovery.set(member, "gone")
            await asyncio.sleep(1.0)
            over.set()
            await asyncio.wait(asking, timeout=5.0)
            assert not audit(side.log, TERMS)
            reached = {r.endpoint for r in side.log.received}
            assert 4 <= len(reached) <= 2 * (3 + 4) + 2, "a subset, and who came in the drained one's place"
            answered = [a.kind for a in side.log.answered]
            assert answered.count("served") > 0.8 * len(answered) > 100

    run_real(test)


# --- what a failed dial tells ---


def test_more_failed_dials_than_servers_die_are_refusals() -> None:
    one = connections(replace(CAPS, handshakes_per_s=0.0))
    for n in range(20):
        one.may_open(100.0 * n, 0, 0)
        one.on_connect_failed(100.0 * n, -math.inf)
    assert one.level < 0.5 * one.equal


def test_a_dead_server_is_no_refusal_and_a_full_one_is() -> None:
    one = connections(replace(CAPS, handshakes_per_s=0.0))
    for n in range(50):
        for _ in range(5):
            assert one.may_open(1000.0 * n, 0, 0)
        one.on_connect_failed(1000.0 * n, 1000.0 * n - ALIVE_FOR - 1.0 if n % 2 else -math.inf)
    assert one.level == one.equal
    one.on_connect_failed(60_000.0, 60_000.0 - ALIVE_FOR)
    assert one.level == pytest.approx(0.7 * one.equal)


def test_an_endpoint_that_has_answered_and_takes_no_more_counts_as_full() -> None:
    """On real sockets: one that was never there leaves the part as it is; one that answered a moment ago, and can't be
    reached now, lowers it."""

    def react(event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, "e" if event.request.startswith("e") else "none", 0.0)]
        if isinstance(event, interface.AttemptEnded) and event.outcome != "served":
            return [interface.Refuse(event.request)]
        return []

    async def test() -> None:
        async with serving(always(response())) as (_, at):
            hosts = {"seq": 1, "whole": True, "hosts": [host("e", at), host("none", "127.0.0.1:1")]}
            async with sidecar(react, hosts, shares=interface.Shares(connections=10.0)) as s:
                c = await s.client()
                for n in range(3):
                    assert (await c.ask(Req_Id=f"none{n}")).status == 503
                assert s.sidecar.connections.share_factor == 1.0
                assert (await c.ask(Req_Id="e1")).status == 200
                pool = s.wire.pools["e"]
                s.wire.close_idle("e")
                pool.address = ("127.0.0.1", 1)
                assert (await c.ask(Req_Id="e2")).status == 503
                assert s.sidecar.connections.share_factor == pytest.approx(0.7)

    run_real(test)
