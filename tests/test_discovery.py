"""The discovery client: watches and fetches of the endpoint list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from helpers import RULES
from loopback import CLASSES, SYSTEM, Message, Peer, closed_port, host, response, run, serving, sidecar

from zinclever import Settings, interface
from zinclever.discovery.catalog import Discovery


def list_response(seq: int, whole: bool, *hosts: dict[str, Any]) -> bytes:
    """An answer of the discovery service."""
    return response(200, json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode())


def watch(event: interface.Event) -> Iterable[interface.Action]:
    if isinstance(event, interface.MembershipUpdate) and event.kind == "remembered":
        yield interface.WatchMembership(True)


HANG = b"hang"


class Script:
    """Sends the given answers in turn, then none."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.request_times: list[float] = []

    async def __call__(self, message: Message, peer: Peer) -> bytes | None:
        self.request_times.append(asyncio.get_running_loop().time())
        answer = self.answers.pop(0) if self.answers else HANG
        if answer == HANG:
            await asyncio.Event().wait()
        return answer


def updates(s: Any) -> list[interface.MembershipUpdate]:
    return [e for _, e in s.balancer.received_events if isinstance(e, interface.MembershipUpdate)]


def queries(peer: Peer) -> list[str]:
    return [m.start.split()[1] for _, m in peer.requests]


def test_watch_continues_from_the_known_list() -> None:
    """Guards against a new watch for each change, missed updates, and endpoints that a whole list no longer has."""
    a, b = closed_port(), closed_port()
    changed = host("b", b, "terminating", site="b", block=3, share=2.0, born_ms=1234)
    script = Script(list_response(41, False), list_response(43, False, changed), list_response(44, True, host("a", a)))

    async def test() -> None:
        known = {"seq": 41, "whole": True, "hosts": [host("a", a), host("b", b)]}
        async with serving(script) as (peer, at), sidecar(watch, known, at) as s:
            await s.balancer.until(lambda: len(updates(s)) == 4)
            assert [n.kind for n in updates(s)] == ["remembered", "changes", "changes", "whole"]
            assert updates(s)[1].entries == []
            assert updates(s)[2].entries == [interface.ListedEndpoint("b", "draining", 2.0, 1, 3, 1234.0)]
            assert set(s.wire.pools) == {"a"}
            while len(peer.requests) < 4:
                await peer.arrived.get()
            path = "/catalog/members?index="
            assert queries(peer)[0] == f"{path}41&wait=0"
            assert queries(peer)[1:] == [f"{path}{n}&wait=3000" for n in (41, 43, 44)]
            assert peer.connections == 1

    run(test)


def test_without_a_known_list_the_whole_list_is_requested() -> None:
    a = closed_port()

    async def test() -> None:
        async with serving(Script(list_response(7, True, host("a", a)))) as (peer, at), sidecar(watch, {}, at) as s:
            await s.balancer.until(lambda: len(updates(s)) == 2)
            assert queries(peer)[0] == "/catalog/members"
            assert updates(s)[1] == interface.MembershipUpdate("whole", [interface.ListedEndpoint("a")])

    run(test)


def test_failed_calls_are_reported_and_not_retried_by_themselves() -> None:
    """Guards against sidecars that overload a failing discovery service by retries."""
    script = Script(response(503), None, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", list_response(1, False))

    async def test() -> None:
        def react(event: interface.Event) -> Iterable[interface.Action]:
            if isinstance(event, interface.MembershipUpdate) and event.kind == "refused":
                yield interface.SetTimer(0.0, "again")
            elif isinstance(event, interface.TimerFired):
                calls_made.append(len(script.request_times))
                yield interface.WatchMembership(True)
            yield from watch(event)

        calls_made: list[int] = []
        async with serving(script) as (_, at), sidecar(react, {}, at) as s:
            await s.balancer.until(lambda: len(updates(s)) == 5)
            assert [n.kind for n in updates(s)] == ["remembered", "refused", "refused", "refused", "changes"]
            assert calls_made == [1, 2, 3]

    run(test)


def test_unreachable_discovery_is_a_failed_call() -> None:
    async def test() -> None:
        async with sidecar(watch, {}, closed_port()) as s:
            await s.balancer.until(lambda: len(updates(s)) == 2)
            assert updates(s)[1].kind == "refused"

    run(test)


def test_new_watch_replaces_a_hanging_call() -> None:
    """Guards against waiting forever for a call that discovery has lost."""

    async def test() -> None:
        script = Script(HANG, list_response(5, True))
        async with serving(script) as (peer, at), sidecar(watch, {}, at) as s:
            await peer.arrived.get()
            s.balancer.react = lambda event: (
                [interface.WatchMembership(True)] if updates(s)[-1].kind == "changes" else []
            )
            s.discovery.apply_update("changes", [])
            await s.balancer.until(lambda: updates(s)[-1].kind == "whole")
            assert peer.connections == 2 and await peer.ended.get() == 0

    run(test)


def test_fetch_after_the_watch_is_stopped() -> None:
    async def test() -> None:
        script = Script(list_response(5, True), HANG, list_response(6, True, host("a", closed_port())))
        async with serving(script) as (peer, at), sidecar(watch, {}, at) as s:
            while len(peer.requests) < 2:
                await peer.arrived.get()
            s.balancer.react = lambda event: (
                [interface.WatchMembership(False), interface.FetchMembership()]
                if isinstance(event, interface.TimerFired)
                else []
            )
            s.sidecar.feed(interface.TimerFired("x"))
            await s.balancer.until(lambda: len(updates(s)) == 3)
            assert updates(s)[2].kind == "whole" and [e.endpoint for e in updates(s)[2].entries] == ["a"]
            assert queries(peer)[-1] == "/catalog/members"
            assert await peer.ended.get() == 0

    run(test)


def test_pushed_mode_watches_without_a_request_of_the_balancer() -> None:
    async def test() -> None:
        script = Script(None, list_response(2, True, host("a", closed_port())))
        async with (
            serving(script) as (_, at),
            sidecar(lambda event: (), {}, at, discovery_mode="pushed") as s,
        ):
            await s.balancer.until(lambda: len(updates(s)) == 2)
            assert [n.kind for n in updates(s)] == ["remembered", "whole"]

    run(test)


def test_endpoint_moves_to_a_new_address() -> None:
    """Guards against connections to an old address: ``host`` identifies an endpoint, ``dial`` is its address."""

    async def test() -> None:
        first, second = closed_port(), closed_port()
        async with sidecar(lambda event: (), {"seq": 1, "hosts": [host("a", first)]}, rules=RULES) as s:
            old = s.wire.pools["a"]
            s.discovery.apply_update("changes", [host("a", second)])
            assert s.wire.pools["a"].address[1] == int(second.rpartition(":")[2])
            assert old.removed

    run(test)


def test_watch_duration_grows_with_the_group_size() -> None:
    """A small group notices a silent discovery service soon; a large one calls it less often."""

    async def test() -> None:
        for group_size, wait in ((2, 3000.0), (50, 10000.0), (400, 20000.0)):
            async with sidecar(watch, {}, group_size=group_size) as s:
                assert s.discovery.wait == wait

    run(test)


def test_reload_may_change_the_zone_numbers() -> None:
    """Guards against zone numbers of an earlier configuration: the list is stored with the zones' names."""

    async def test() -> None:
        sites = {"x": "a", "y": "b", "z": "?"}
        hosts = [host(name, "127.0.0.1:1", site=site) for name, site in sites.items()]
        saved = {"seq": 1, "hosts": hosts}
        reported: list[Any] = []
        settings = Settings(classes=CLASSES, discovery="on_request")
        discovery = Discovery(
            ("127.0.0.1", 1), settings, ["a", "b"], saved, lambda kind, entries: reported.append(entries), SYSTEM
        )
        discovery.start()
        assert [x.zone for x, _ in reported[0]] == [0, 1, 0] and reported[0] == discovery.remembered()
        assert "hosts" not in saved  # the parsed text of a long list is released
        discovery.configure(settings, ["b", "a"])
        assert [(x.endpoint, x.zone) for x, _ in discovery.remembered()] == [("x", 1), ("y", 0), ("z", 0)]

    run(test)
