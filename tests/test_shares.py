"""Each instance's share of the group's limits: connections, handshakes, retries, hedges and discovery calls."""

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
from test_fault_day import CLASSES, RULE_PARAMETERS, SETTINGS, Side
from test_program import config
from test_program import started as started_program

from zinclever import interface
from zinclever.fleet.limits import (
    ALIVE_WINDOW,
    BACKOFF_INTERVAL,
    DECREASE_AFTER,
    MAX_WATCH_TIMEOUT,
    Budget,
    ConnectionLimiter,
    DiscoveryCallPacer,
    TokenBucket,
)
from zinclever.standins import audit
from zinclever.standins.clients import HttpClient
from zinclever.standins.day import send_http_requests
from zinclever.standins.http_endpoint import HttpEndpoint

CAPS = interface.Shares(connections=400.0, handshakes_per_s=100.0, busy=4)
GROUP, SERVERS, WIDTH = 20_000, 2000, 20


# --- buckets and budgets ---


@pytest.mark.parametrize(("rate", "interval"), [(0.05, 50.0), (1.0, 3.0), (0.0002, 900.0)])
def test_bucket_keeps_its_rate_in_the_long_run(rate: float, interval: float) -> None:
    """Also if its capacity is less than one token."""
    bucket, taken, span = TokenBucket(Random(1)), 0, 4_000_000.0 if rate < 0.001 else 40_000.0
    bucket.configure(1.5 * rate)
    now = 0.0
    while now < span:
        taken += bucket.take(now)
        now += interval
    assert taken <= rate * span + max(1.0, 1000.0 * rate)
    assert taken >= 0.4 * min(rate * span, span / interval)  # tokens beyond the capacity are lost


def test_buckets_that_are_emptied_together_stay_within_the_total() -> None:
    """20,000 buckets that hold a tenth of a token each, at the start and after a long idle time."""
    rng = Random(2)
    buckets = [TokenBucket(rng) for _ in range(GROUP)]
    for bucket in buckets:
        bucket.configure(0.0003)
    for now in (0.0, 1e7):
        burst = sum(b.take(now) for b in buckets)
        assert 0.08 * GROUP < burst < 0.12 * GROUP
        first_second = burst + sum(b.take(now + t) for t in range(10, 1000, 30) for b in buckets)
        assert first_second <= 0.3 * GROUP


def test_bucket_with_a_lower_rate_drops_saved_tokens() -> None:
    bucket = TokenBucket(Random(1))
    bucket.configure(1.0)
    assert bucket.take(0.0)
    bucket.take(10_000.0)
    bucket.configure(0.001)
    assert bucket.tokens <= 0.5


def test_budget_is_a_share_of_requests_and_a_floor() -> None:
    budget = Budget(0.2, Random(1))
    assert not any(budget.take(float(n)) for n in range(100))
    for n in range(100):
        budget.on_request(100.0 + n)
    assert sum(budget.take(200.0) for _ in range(100)) in (18, 19)
    budget.configure(0.01)
    assert sum(budget.take(200.0 + n) for n in range(10_000)) in range(60, 80)


def test_budget_decays() -> None:
    """What is saved under high load is not available later under low load."""
    budget = Budget(0.5, Random(1))
    for n in range(1000):
        budget.on_request(float(n))
    assert budget.take(200_000.0) and not budget.take(200_000.0)


# --- the balancer's retries and hedges ---


NO_HEDGES = replace(LIMITS, second_copies=False)


def count_retries(s: BalancerHarness, requests: int) -> int:
    """Let the first attempt of each request fail. Returns the number of retries."""
    retried = 0
    for _ in range(requests):
        r = s.submit()
        ended = 0
        while not s.final_answers(r):
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
    unlimited = BalancerHarness(settings(limits=NO_HEDGES), fleet(50))
    limited = BalancerHarness(settings(limits=NO_HEDGES, shares=interface.Shares(retry_ratio=0.2)), fleet(50))
    assert count_retries(unlimited, 200) > 150
    assert 20 <= count_retries(limited, 200) <= 40


def test_request_is_answered_at_once_if_the_budget_is_empty() -> None:
    s = BalancerHarness(settings(SAFE, UNSAFE, shares=interface.Shares(retry_ratio=0.01)), fleet(50))
    idempotent, at_most_once = s.submit(0), s.submit(1)
    s.end(idempotent, 0, "error", complete=False)
    s.end(at_most_once, 0, "error", complete=False)
    assert isinstance(s.final_answers(idempotent)[0], interface.Refuse) and isinstance(
        s.final_answers(at_most_once)[0], interface.Fail
    )


def test_retry_floor_is_shared_by_all_instances() -> None:
    """With 20,000 instances and 2 retries/s for each of 50 endpoints, each instance has one retry in 200 s."""
    shares = interface.Shares(retry_ratio=0.001, floor_per_s=2.0)
    instances = [
        BalancerHarness(settings(shares=shares, group_size=GROUP, limits=NO_HEDGES), fleet(50), seed)
        for seed in range(200)
    ]
    assert sum(count_retries(s, 1) for s in instances) <= 4
    single = BalancerHarness(settings(shares=shares, limits=NO_HEDGES), fleet(50))
    assert count_retries(single, 200) > 150


def count_hedges(s: BalancerHarness, requests: int) -> int:
    """Serve requests whose first attempt is slow. Returns the number of hedges."""
    s.serve(150)  # no hedge is sent before the window is known
    hedges = 0
    for _ in range(requests):
        r = s.submit()
        s.wait(100.0)
        for n in range(len(s.sends(r))):
            s.end(r, n, "served" if n == 0 else "cancelled", complete=True)
            hedges += n > 0
        s.wait(50.0)
    return hedges


def test_hedges_stay_within_their_ratio() -> None:
    unlimited, limited = (
        count_hedges(BalancerHarness(settings(), fleet(50)), 20),
        count_hedges(BalancerHarness(settings(shares=interface.Shares(copy_ratio=0.02)), fleet(50)), 20),
    )
    assert limited <= 4 < unlimited


# --- connections ---


def connections(
    shares: interface.Shares = CAPS, group: int = GROUP, servers: int = SERVERS, width: int = WIDTH, seed: int = 1
) -> ConnectionLimiter:
    """Return a configured limiter."""
    limiter = ConnectionLimiter(Random(seed))
    limiter.configure(shares, group, servers, width)
    return limiter


def test_shares_of_all_instances_stay_within_the_cap() -> None:
    """Each instance holds all connections that it may to each server, with some busy instances."""
    for group, servers in ((20_000, 2000), (500, 2000), (20_000, 50), (10, 4), (1, 1)):
        width = min(servers, max(20, 10 * servers // group))
        limiter = connections(group=group, servers=servers, width=width)
        balancers_per_endpoint = group * width / servers
        assert balancers_per_endpoint * limiter.max_per_server() <= max(400.0, balancers_per_endpoint)
        limiter.share_factor = limiter.max_share_factor
        busy = min(4, group)
        assert (balancers_per_endpoint - busy) * connections(
            group=group, servers=servers, width=width
        ).max_per_server() + busy * limiter.max_per_server() <= (
            400.0 if balancers_per_endpoint <= 300.0 else balancers_per_endpoint + busy * limiter.busy_extra_per_server
        )
        assert group * connections(group=group, servers=servers, width=width).max_total <= max(200.0 * servers, group)


def test_share_grows_stepwise_while_exhausted_and_shrinks_again() -> None:
    limiter = connections()
    now, factors = 0.0, []
    for _ in range(100):
        now += 1000.0
        limiter.is_exhausted(now, 10**6)
        factors.append(limiter.share_factor)
    assert factors[3] < 2.0 < factors[10] < factors[-1] == limiter.max_share_factor
    assert limiter.max_per_server() <= 1.5 + 25.0  # to a single server: a busy instance's share of the cap
    limiter.may_open(now + 0.9 * DECREASE_AFTER, 0, 0)
    assert limiter.share_factor == limiter.max_share_factor
    limiter.may_open(now + 2.0 * DECREASE_AFTER, 0, 0)
    assert 1.0 < limiter.share_factor < limiter.max_share_factor
    for n in range(100):
        limiter.may_open(now + (3.0 + n) * DECREASE_AFTER, 0, 0)
    assert limiter.max_total == limiter.equal_share


def test_busy_instance_gets_more_handshakes() -> None:
    limiter = connections(interface.Shares(handshakes_per_s=100.0, busy=4))
    taken, now = Counter[int](), 0.0
    while now < 40_000.0:
        now += 5.0
        taken[int(now // 10_000)] += limiter.may_open(now, 0, 0)
    # Its equal share is 5 per second, of which two thirds are the steady rate.
    assert 30 <= taken[0] <= 130 and taken[3] > 5 * taken[0]


def test_refusals_reduce_the_share_at_once_and_it_recovers_slowly() -> None:
    limiter = connections(replace(CAPS, handshakes_per_s=0.0))
    limiter.on_server_refused(0.0)
    limiter.on_server_refused(1.0)  # of the same burst
    assert limiter.max_total == pytest.approx(0.7 * limiter.equal_share)
    now = 0.0
    for _ in range(60):
        now += BACKOFF_INTERVAL
        limiter.on_server_refused(now)
    assert limiter.max_total == 1.0 and limiter.may_open(now, 0, 0) and not limiter.may_open(now, 0, 1)
    limiter.may_open(now + 2000.0, 0, 0)
    assert limiter.max_total < 0.5 * limiter.equal_share
    limiter.may_open(now + 20_000.0, 0, 0)
    assert limiter.max_total == limiter.equal_share


def test_share_grows_slowly_with_a_smaller_group_and_shrinks_at_once() -> None:
    limiter = connections()
    max_total = limiter.max_total
    limiter.configure(CAPS, GROUP // 10, SERVERS, WIDTH)
    assert limiter.max_total == pytest.approx(max_total) and max_total < limiter.equal_share
    assert not limiter.may_open(0.0, 0, round(max_total))
    limiter.may_open(2000.0, 0, 0)
    assert max_total < limiter.max_total < limiter.equal_share
    limiter.configure(CAPS, 100 * GROUP, SERVERS, WIDTH)
    assert limiter.max_total == 1.0


def test_refusals_correct_a_group_size_that_is_ten_times_too_small() -> None:
    """2,000 instances assume a group of 200 and have more requests than connections, while 20 servers refuse more than
    100 connections each. The refusals bring the shares down to about that, instead of ten times as much."""
    rng = Random(3)
    shares = interface.Shares(connections=100.0)
    limiters = [connections(shares, 200, 20, 20, n) for n in range(2000)]
    held = [0] * len(limiters)
    total, cap, now = 0, 20 * 100, 0.0
    rounds = []
    for _ in range(60):
        now += 500.0
        for n in rng.sample(range(len(limiters)), len(limiters)):
            while held[n] > limiters[n].max_total:
                held[n] -= 1
                total -= 1
            if limiters[n].may_open(now, 0, held[n]):
                if total < cap:
                    held[n] += 1
                    total += 1
                else:
                    limiters[n].on_server_refused(now)
        rounds.append(fmean(c.max_total for c in limiters))
    assert rounds[-1] < 0.5 * rounds[0]


def test_connections_are_unlimited_without_caps() -> None:
    limiter = connections(interface.Shares())
    assert all(limiter.may_open(0.0, n, n) for n in range(1000))


def test_attempt_beyond_the_connection_share_is_barred() -> None:
    """On real sockets, with two connections permitted: the third attempt ends as never run, with an outcome other than
    that of an unreachable endpoint."""

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
            assert s.sidecar.connections.equal_share == 2.0
            clients = [await s.client() for _ in range(3)]
            for n, client in enumerate(clients[:2]):
                client.send(Req_Id=f"r{n}")
                await peer.arrived.get()
            assert (await clients[2].fetch(Req_Id="r2")).status == 503
            assert [e.outcome for e in s.balancer.ends()] == ["barred"] and peer.connections == 2
            assert s.wire.pools["a"].open == s.wire.open == 2

    run_real(test)


def test_connections_are_counted_to_their_end() -> None:
    """Connections that are kept, closed by the endpoint or refused: the count returns to zero."""

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
                await client.fetch(Req_Id=name)
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
    small = [DiscoveryCallPacer(400.0, 1000, 10_000.0, rng).initial_delay() for _ in range(1000)]
    assert max(small) <= 5000.0 and 2300.0 < fmean(small) < 2700.0
    large = [DiscoveryCallPacer(400.0, GROUP, 10_000.0, rng).initial_delay() for _ in range(1000)]
    assert 7500.0 < max(large) <= 8000.0  # the list must be fetched every 10 s


def test_refused_calls_back_off_with_jitter_within_the_rule() -> None:
    calls = DiscoveryCallPacer(400.0, GROUP, 10_000.0, Random(4))
    for refusals in (1, 5, 60):
        pauses = [calls.retry_delay(refusals) for _ in range(500)]
        assert 17_500.0 <= min(pauses) < 18_000.0 and 34_000.0 < max(pauses) <= 35_000.0
    few = DiscoveryCallPacer(400.0, 10, 10_000.0, Random(4))
    assert [max(few.retry_delay(n) for _ in range(200)) // 100 for n in (1, 2, 9)] == [5, 11, 33]


def test_watch_timeout_follows_the_cap_on_calls() -> None:
    rng = Random(4)
    assert 2700.0 < DiscoveryCallPacer(400.0, 10, 10_000.0, rng).watch_timeout(3000.0) < 3300.0
    assert 90_000.0 <= DiscoveryCallPacer(400.0, GROUP, 10_000.0, rng).watch_timeout(20_000.0) <= 110_000.0
    assert DiscoveryCallPacer(1.0, GROUP, 10_000.0, rng).watch_timeout(20_000.0) <= 1.1 * MAX_WATCH_TIMEOUT


def test_first_discovery_call_is_spread_with_a_list_and_immediate_without() -> None:
    shares = interface.Shares(list_calls_per_s=400.0)
    config = settings(shares=shares, group_size=GROUP, discovery="on_request")
    empty = BalancerHarness(config)
    assert empty.actions_of(interface.WatchMembership)
    called_at = []
    for seed in range(50):
        s = BalancerHarness(config, fleet(5), seed)
        assert not s.actions_of(interface.WatchMembership)
        s.wait(8000.0)
        called_at.append(next(at for at, a in s.all if isinstance(a, interface.WatchMembership)) - 1_000_000.0)
    assert max(called_at) <= 8000.0 and max(called_at) - min(called_at) > 6500.0


# --- a subset in service ---


def test_change_of_the_subset_is_no_answer_of_discovery() -> None:
    """Discovery has refused, then the subset changes because an endpoint is unreachable: the balancer gets the change
    and goes on calling discovery."""
    updates: list[interface.MembershipUpdate] = []

    def react(event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.MembershipUpdate):
            updates.append(event)
        if isinstance(event, interface.RequestArrived):
            return [interface.Send(event.request, updates[-1].entries[0].endpoint, 0.0)]
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
            assert (await (await s.client()).fetch()).status == 503
            assert len(updates) == 2 and len(updates[1].entries) == 7 and updates[1].total == 60
            real.feed(updates[1])
            before = len(real.actions_of(interface.WatchMembership))
            real.wait(10_000.0)
            assert len(real.actions_of(interface.WatchMembership)) > before

    run_real(test)


def test_program_with_a_subset_keeps_the_rules(tmp_path: Path) -> None:
    """Runs the program with an operator file on 24 endpoints: two instances that know three endpoints of the home zone
    and four of the other zone, with faults, a draining and removed member, and a reload of the configuration. No rule
    is broken, and no endpoint outside the subsets is reached."""

    async def test() -> None:
        async with AsyncExitStack() as stack:
            side = await Side(stack, HttpEndpoint, 5).open(24)
            operator = tmp_path / "operator.toml"
            operator.write_text(
                "version = 1\n[shares]\nsubset = 3\nconnections = 4000\nhandshakes_per_s = 100000\n"
                "list_calls_per_s = 100000\nretry_ratio = 0.5\ncopy_ratio = 0.2\nfloor_per_s = 100\n"
            )
            clients, finished, programs = [], asyncio.Event(), []
            for n in range(2):
                folder = tmp_path / str(n)
                folder.mkdir()
                platform_settings = SETTINGS | {"group-size": 400, "me": 200 * n, "prices": {"cross-zone": 0.1}}
                env = config(folder, settings=platform_settings, discovery=side.discovery.address)
                env["ZINCLEVER_OPERATOR"] = str(operator)
                programs.append(await stack.enter_async_context(started_program(env)))
                clients += [HttpClient(side.log, env["LB_LISTEN"]) for _ in range(3)]
            await side.known()
            tasks = [
                asyncio.ensure_future(send_http_requests(c, CLASSES, Random(n), finished))
                for n, c in enumerate(clients)
            ]
            await asyncio.sleep(1.0)
            member = max(side.endpoints, key=lambda e: len(e.requests()))
            await side.discovery.set(member, "draining")
            await asyncio.sleep(1.5)
            for program in programs:
                program.send_signal(signal.SIGHUP)
            await side.discovery.set(member, "gone")
            await asyncio.sleep(1.0)
            finished.set()
            await asyncio.wait(tasks, timeout=5.0)
            assert not audit(side.log, RULE_PARAMETERS)
            reached = {r.endpoint for r in side.log.received}
            assert 4 <= len(reached) <= 2 * (3 + 4) + 2, "the subsets and the replacement of the drained endpoint"
            answered = [a.kind for a in side.log.answered]
            assert answered.count("served") > 0.8 * len(answered) > 100

    run_real(test)


# --- failed connects ---


def test_many_failed_connects_count_as_refusals() -> None:
    limiter = connections(replace(CAPS, handshakes_per_s=0.0))
    for n in range(20):
        limiter.may_open(100.0 * n, 0, 0)
        limiter.on_connect_failed(100.0 * n, -math.inf)
    assert limiter.max_total < 0.5 * limiter.equal_share


def test_connect_to_a_dead_server_is_no_refusal_and_to_a_full_one_is() -> None:
    limiter = connections(replace(CAPS, handshakes_per_s=0.0))
    for n in range(50):
        for _ in range(5):
            assert limiter.may_open(1000.0 * n, 0, 0)
        limiter.on_connect_failed(1000.0 * n, 1000.0 * n - ALIVE_WINDOW - 1.0 if n % 2 else -math.inf)
    assert limiter.max_total == limiter.equal_share
    limiter.on_connect_failed(60_000.0, 60_000.0 - ALIVE_WINDOW)
    assert limiter.max_total == pytest.approx(0.7 * limiter.equal_share)


def test_endpoint_that_answered_and_refuses_connections_counts_as_full() -> None:
    """On real sockets: an endpoint that never answered leaves the share unchanged; one that answered recently and can't
    be reached any more reduces it."""

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
                    assert (await c.fetch(Req_Id=f"none{n}")).status == 503
                assert s.sidecar.connections.share_factor == 1.0
                assert (await c.fetch(Req_Id="e1")).status == 200
                pool = s.wire.pools["e"]
                s.wire.close_idle("e")
                pool.address = ("127.0.0.1", 1)
                assert (await c.fetch(Req_Id="e2")).status == 503
                assert s.sidecar.connections.share_factor == pytest.approx(0.7)

    run_real(test)
