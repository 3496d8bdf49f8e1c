"""The list of endpoints, asked for over loopback sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from helpers import RULES
from loopback import CLASSES, SYSTEM, Message, Peer, closed_port, host, response, run, serving, sidecar

from zinclever import Settings, interface
from zinclever.discovery.catalog import Discovery


def told(seq: int, whole: bool, *hosts: dict[str, Any]) -> bytes:
    return response(200, json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode())


def watch(event: interface.Event) -> Iterable[interface.Action]:
    if isinstance(event, interface.MembershipNews) and event.kind == "remembered":
        yield interface.WatchMembership(True)


HANG = b"hang"


class Script:
    """Answers in turn, then silence."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.at: list[float] = []

    async def __call__(self, message: Message, peer: Peer) -> bytes | None:
        self.at.append(asyncio.get_running_loop().time())
        answer = self.answers.pop(0) if self.answers else HANG
        if answer == HANG:
            await asyncio.Event().wait()
        return answer


def news(s: Any) -> list[interface.MembershipNews]:
    return [e for _, e in s.balancer.told if isinstance(e, interface.MembershipNews)]


def queries(peer: Peer) -> list[str]:
    return [m.start.split()[1] for _, m in peer.requests]


def test_watch_goes_on_from_the_known_list() -> None:
    """Guards against a new watch for each change, news that are missed, and an endpoint that is gone from
    the whole list but kept."""
    a, b = closed_port(), closed_port()
    changed = host("b", b, "terminating", site="b", block=3, share=2.0, born_ms=1234)
    script = Script(told(41, False), told(43, False, changed), told(44, True, host("a", a)))

    async def test() -> None:
        known = {"seq": 41, "whole": True, "hosts": [host("a", a), host("b", b)]}
        async with serving(script) as (peer, at), sidecar(watch, known, at) as s:
            await s.balancer.until(lambda: len(news(s)) == 4)
            assert [n.kind for n in news(s)] == ["remembered", "changes", "changes", "whole"]
            assert news(s)[1].entries == []
            assert news(s)[2].entries == [interface.Listed("b", "draining", 2.0, 1, 3, 1234.0)]
            assert set(s.wire.pools) == {"a"}
            while len(peer.requests) < 4:
                await peer.arrived.get()
            path = "/catalog/members?index="
            assert queries(peer)[0] == f"{path}41&wait=0"
            assert queries(peer)[1:] == [f"{path}{n}&wait=3000" for n in (41, 43, 44)]
            assert peer.connections == 1

    run(test)


def test_nothing_known_asks_for_the_whole_list() -> None:
    a = closed_port()

    async def test() -> None:
        async with serving(Script(told(7, True, host("a", a)))) as (peer, at), sidecar(watch, {}, at) as s:
            await s.balancer.until(lambda: len(news(s)) == 2)
            assert queries(peer)[0] == "/catalog/members"
            assert news(s)[1] == interface.MembershipNews("whole", [interface.Listed("a")])

    run(test)


def test_failures_are_told_and_not_repeated_unasked() -> None:
    """Guards against a crowd of sidecars that all ask a discovery again which is overloaded."""
    script = Script(response(503), None, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", told(1, False))

    async def test() -> None:
        def react(event: interface.Event) -> Iterable[interface.Action]:
            if isinstance(event, interface.MembershipNews) and event.kind == "refused":
                yield interface.SetTimer(0.0, "again")
            elif isinstance(event, interface.TimerFired):
                asked.append(len(script.at))
                yield interface.WatchMembership(True)
            yield from watch(event)

        asked: list[int] = []
        async with serving(script) as (_, at), sidecar(react, {}, at) as s:
            await s.balancer.until(lambda: len(news(s)) == 5)
            assert [n.kind for n in news(s)] == ["remembered", "refused", "refused", "refused", "changes"]
            assert asked == [1, 2, 3]

    run(test)


def test_no_discovery_is_a_failed_call() -> None:
    async def test() -> None:
        async with sidecar(watch, {}, closed_port()) as s:
            await s.balancer.until(lambda: len(news(s)) == 2)
            assert news(s)[1].kind == "refused"

    run(test)


def test_asked_again_while_a_call_hangs() -> None:
    """Guards against waiting for ever on a call that discovery has forgotten."""

    async def test() -> None:
        script = Script(HANG, told(5, True))
        async with serving(script) as (peer, at), sidecar(watch, {}, at) as s:
            await peer.arrived.get()
            s.balancer.react = lambda event: [interface.WatchMembership(True)] if news(s)[-1].kind == "changes" else []
            s.discovery.tell("changes", [])
            await s.balancer.until(lambda: news(s)[-1].kind == "whole")
            assert peer.connections == 2 and await peer.ended.get() == 0

    run(test)


def test_fetch_and_leaving_the_watch() -> None:
    async def test() -> None:
        script = Script(told(5, True), HANG, told(6, True, host("a", closed_port())))
        async with serving(script) as (peer, at), sidecar(watch, {}, at) as s:
            while len(peer.requests) < 2:
                await peer.arrived.get()
            s.balancer.react = lambda event: (
                [interface.WatchMembership(False), interface.FetchMembership()]
                if isinstance(event, interface.TimerFired)
                else []
            )
            s.sidecar.feed(interface.TimerFired("x"))
            await s.balancer.until(lambda: len(news(s)) == 3)
            assert news(s)[2].kind == "whole" and [e.endpoint for e in news(s)[2].entries] == ["a"]
            assert queries(peer)[-1] == "/catalog/members"
            assert await peer.ended.get() == 0

    run(test)


def test_pushed_lists_are_followed_unasked() -> None:
    async def test() -> None:
        script = Script(None, told(2, True, host("a", closed_port())))
        async with (
            serving(script) as (_, at),
            sidecar(lambda event: (), {}, at, discovery_mode="pushed") as s,
        ):
            await s.balancer.until(lambda: len(news(s)) == 2)
            assert [n.kind for n in news(s)] == ["remembered", "whole"]

    run(test)


def test_same_name_at_a_new_address() -> None:
    """Guards against an endpoint that is looked for where it was: ``host`` tells who, ``dial`` where."""

    async def test() -> None:
        first, second = closed_port(), closed_port()
        async with sidecar(lambda event: (), {"seq": 1, "hosts": [host("a", first)]}, rules=RULES) as s:
            old = s.wire.pools["a"]
            s.discovery.tell("changes", [host("a", second)])
            assert s.wire.pools["a"].address[1] == int(second.rpartition(":")[2])
            assert old.removed

    run(test)


def test_few_sidecars_watch_for_a_short_while() -> None:
    """Guards against a discovery that has gone silent and is waited for while the fleet is replaced; many
    sidecars, that share what it can answer, ask less often."""

    async def test() -> None:
        for sharing, wait in ((2, 3000.0), (50, 10000.0), (400, 20000.0)):
            async with sidecar(watch, {}, group_size=sharing) as s:
                assert s.discovery.wait == wait

    run(test)


def test_zones_that_a_reload_numbers_otherwise() -> None:
    """The list is kept as it was read; zones are told by their names."""

    async def test() -> None:
        sites = {"x": "a", "y": "b", "z": "?"}
        hosts = [host(name, "127.0.0.1:1", site=site) for name, site in sites.items()]
        told = {"seq": 1, "hosts": hosts}
        heard: list[Any] = []
        settings = Settings(classes=CLASSES, discovery="on_request")
        made = Discovery(
            ("127.0.0.1", 1), settings, ["a", "b"], told, lambda kind, entries: heard.append(entries), SYSTEM
        )
        made.start()
        assert [x.zone for x, _ in heard[0]] == [0, 1, 0] and heard[0] == made.remembered()
        assert "hosts" not in told  # the text of a long list is let go
        made.configure(settings, ["b", "a"])
        assert [(x.endpoint, x.zone) for x, _ in made.remembered()] == [("x", 1), ("y", 0), ("z", 0)]

    run(test)
