"""The simulator's wire: lines of JSON to and from many balancers. It decides nothing."""

from __future__ import annotations

import base64
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from . import interface
from .policy import Balancer
from .settings import read_settings

OUTCOMES: dict[str, interface.Outcome] = {
    "done": "served",
    "err": "error",
    "busy": "full",
    "etimedout": "timeout",
    "econnrefused": "connect_failed",
    "econnreset": "reset",
    "ecanceled": "cancelled",
    "skipped": "not_sent",
}
PHASES: dict[str, interface.Phase] = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
SCOPES: dict[str, interface.ListKind] = {
    "changes": "changes",
    "all": "whole",
    "remembered": "remembered",
    "refused": "refused",
}


SHOWN = 120  # characters of a malformed line that are shown


class WireError(Exception):
    """A line that the wire's description does not allow."""


def _shown(e: list[Any]) -> str:
    return "bad event " + orjson.dumps(e)[:SHOWN].decode(errors="replace")


def _entry(e: list[Any]) -> interface.ListedEndpoint:
    started, endpoint, zone, size, cell, _kind, phase = e[:7]
    return interface.ListedEndpoint(endpoint, PHASES[phase], size or 1.0, zone or 0, cell or 0, started or 0.0)


def _arrival(e: list[Any]) -> interface.Event:
    _, _, rid, klass, tenant, key, deadline, work, again = e[:9]
    return interface.RequestArrived(rid, klass, deadline, tenant or 0, key or "", work or 0.0, bool(again))


def _report(told: Any) -> dict[str, float]:
    """The numbers of a load report; what is no number is skipped."""
    pairs = told.items() if isinstance(told, dict) else told or ()
    return {k: float(v) for k, v in pairs if isinstance(v, int | float)}


def _answer(e: list[Any]) -> interface.Event:
    gauge = _report(e[8] if len(e) > 8 else None)
    return interface.AttemptEnded(e[2], e[3], e[6], OUTCOMES[e[7]], e[4] or 0.0, bool(e[5]), gauge)


EVENTS: dict[str, Callable[[list[Any]], interface.Event]] = {
    "arrival": _arrival,
    "answer": _answer,
    "ring": lambda e: interface.TimerFired(e[2]),
    "expired": lambda e: interface.RequestClosed(e[2]),
    "begun": lambda e: interface.StreamStarted(e[2], e[3], e[4], e[5] or 0.0),
    "mail": lambda e: interface.PeerMessage(e[2], base64.b64decode(e[3] or "")),
    "checked": lambda e: interface.ProbeEnded(e[3], OUTCOMES[e[4]], e[2] or 0.0, _report(e[5] if len(e) > 5 else None)),
}

ACTIONS: dict[type, Callable[[int, Any], list[Any]]] = {
    interface.Send: lambda n, a: ["call-out", n, a.request, a.endpoint, a.expires_at],
    interface.Cancel: lambda n, a: ["drop-attempt", n, a.request, a.attempt],
    interface.Refuse: lambda n, a: ["not-now", n, a.request, a.retry_after],
    interface.Fail: lambda n, a: ["lose", n, a.request],
    interface.SetTimer: lambda n, a: ["wake-me", n, a.at, a.token],
    interface.FetchMembership: lambda n, a: ["refresh", n],
    interface.WatchMembership: lambda n, a: ["subscribe", n, a.on],
    interface.Probe: lambda n, a: ["touch", n, a.endpoint],
    interface.TellPeers: lambda n, a: [
        "broadcast-to",
        n,
        "all" if a.peer is None else a.peer,
        base64.b64encode(a.payload).decode(),
    ],
    interface.CloseIdle: lambda n, a: ["release", n, a.endpoint],
    interface.LogMessage: lambda n, a: ["say-log", n, a.text],
}


class Host:
    """Many balancers behind one wire."""

    def __init__(self) -> None:
        self.now = 0.0
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[interface.ListedEndpoint, ...]] = {}

    def event(self, e: list[Any], out: list[bytes]) -> None:
        """One event of the batch; its actions go to ``out`` as lines."""
        name = e[0]
        number = e[1]
        try:
            if name == "mark":
                self.now = float(e[1])
                return
            if name == "catalog":
                self.lists[e[1]] = tuple(_entry(x) for x in e[2])
                return
            if name == "launch":
                self.balancers[number] = Balancer(read_settings(e[3]), e[2])
                return
            if name == "kill":
                self.balancers.pop(number)
                return
            if number not in self.balancers:
                raise WireError(f"{_shown(e)}: no instance {number}")
            if name == "view":
                scope = SCOPES[e[2]]
                told: interface.Event = interface.MembershipUpdate(
                    scope, () if scope == "refused" else self.lists[e[4]]
                )
            else:
                told = EVENTS[name](e)
        except (LookupError, TypeError, ValueError, AttributeError) as wrong:
            raise WireError(f"{_shown(e)}: {wrong}") from wrong
        for a in self.balancers[number].handle(self.now, told):
            out.append(orjson.dumps(ACTIONS[type(a)](number, a)))

    def batch(self, lines: list[bytes]) -> list[bytes]:
        """The reply to the lines of one batch, ``your-turn`` left out."""
        out: list[bytes] = []
        for line in lines:
            try:
                e = orjson.loads(line)
            except orjson.JSONDecodeError as wrong:
                raise WireError(f"not JSON: {line[:SHOWN]!r}: {wrong}") from wrong
            if not isinstance(e, list) or len(e) < 2 or not isinstance(e[0], str):
                raise WireError(f"not a message: {line[:SHOWN]!r}")
            try:
                self.event(e, out)
            except WireError:
                raise
            except Exception as wrong:  # the decision code failed: say so, never fall silent
                text = f"{type(wrong).__name__}: {wrong}"
                print(text, file=sys.stderr)
                out = [orjson.dumps(["broken", e[1], text])]
                break
        out.append(b'["end"]\n')
        return out


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    lines: list[bytes] = []
    for line in source:
        if line[:40].replace(b" ", b"").startswith(b'["your-turn"'):
            sink.write(b"\n".join(host.batch(lines)))
            sink.flush()
            lines.clear()
        elif line.strip():
            lines.append(line)


def main() -> int:
    """Serve standard input; 1 after input that is not the wire."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
