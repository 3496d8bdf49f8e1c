"""Adapter between the simulator's wire protocol and the balancers: one JSON array a line in both directions.

It translates messages into events and actions into replies, and makes no decision of its own.
"""

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


MAX_SHOWN = 120  # characters of a malformed message in an error text


class WireError(Exception):
    """A line that the wire protocol does not allow."""


def _describe(message: list[Any]) -> str:
    return "bad event " + orjson.dumps(message)[:MAX_SHOWN].decode(errors="replace")


def _entry(fields: list[Any]) -> interface.ListedEndpoint:
    started_at, endpoint, zone, size, cell, _kind, phase = fields[:7]
    return interface.ListedEndpoint(endpoint, PHASES[phase], size or 1.0, zone or 0, cell or 0, started_at or 0.0)


def _arrival(message: list[Any]) -> interface.Event:
    _, _, request, klass, tenant, key, deadline, work, client_retry = message[:9]
    return interface.RequestArrived(request, klass, deadline, tenant or 0, key or "", work or 0.0, bool(client_retry))


def _report(raw: Any) -> dict[str, float]:
    """Return the numbers of a load report; other values are skipped."""
    pairs = raw.items() if isinstance(raw, dict) else raw or ()
    return {k: float(v) for k, v in pairs if isinstance(v, int | float)}


def _answer(message: list[Any]) -> interface.Event:
    report = _report(message[8] if len(message) > 8 else None)
    return interface.AttemptEnded(
        message[2], message[3], message[6], OUTCOMES[message[7]], message[4] or 0.0, bool(message[5]), report
    )


EVENTS: dict[str, Callable[[list[Any]], interface.Event]] = {
    "arrival": _arrival,
    "answer": _answer,
    "ring": lambda message: interface.TimerFired(message[2]),
    "expired": lambda message: interface.RequestClosed(message[2]),
    "begun": lambda message: interface.StreamStarted(message[2], message[3], message[4], message[5] or 0.0),
    "mail": lambda message: interface.PeerMessage(message[2], base64.b64decode(message[3] or "")),
    "checked": lambda message: interface.ProbeEnded(
        message[3], OUTCOMES[message[4]], message[2] or 0.0, _report(message[5] if len(message) > 5 else None)
    ),
}

ACTIONS: dict[type, Callable[[int, Any], list[Any]]] = {
    interface.Send: lambda number, action: ["call-out", number, action.request, action.endpoint, action.expires_at],
    interface.Cancel: lambda number, action: ["drop-attempt", number, action.request, action.attempt],
    interface.Refuse: lambda number, action: ["not-now", number, action.request, action.retry_after],
    interface.Fail: lambda number, action: ["lose", number, action.request],
    interface.SetTimer: lambda number, action: ["wake-me", number, action.at, action.token],
    interface.FetchMembership: lambda number, action: ["refresh", number],
    interface.WatchMembership: lambda number, action: ["subscribe", number, action.subscribe],
    interface.Probe: lambda number, action: ["touch", number, action.endpoint],
    interface.SendToPeers: lambda number, action: [
        "broadcast-to",
        number,
        "all" if action.peer is None else action.peer,
        base64.b64encode(action.payload).decode(),
    ],
    interface.CloseIdle: lambda number, action: ["release", number, action.endpoint],
    interface.LogMessage: lambda number, action: ["say-log", number, action.text],
}


class BalancerHost:
    """The balancers that one simulator connection drives, by number."""

    def __init__(self) -> None:
        self.now = 0.0
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[interface.ListedEndpoint, ...]] = {}

    def process_message(self, message: list[Any], replies: list[bytes]) -> None:
        """Process one message of a batch and append the resulting actions to ``replies``, one line each.

        Raises:
            WireError: the message is malformed.
        """
        name = message[0]
        number = message[1]
        try:
            if name == "mark":
                self.now = float(message[1])
                return
            if name == "catalog":
                self.lists[message[1]] = tuple(_entry(fields) for fields in message[2])
                return
            if name == "launch":
                self.balancers[number] = Balancer(read_settings(message[3]), message[2])
                return
            if name == "kill":
                self.balancers.pop(number)
                return
            if number not in self.balancers:
                raise WireError(f"{_describe(message)}: no instance {number}")
            if name == "view":
                scope = SCOPES[message[2]]
                event: interface.Event = interface.MembershipUpdate(
                    scope, () if scope == "refused" else self.lists[message[4]]
                )
            else:
                event = EVENTS[name](message)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            raise WireError(f"{_describe(message)}: {error}") from error
        for action in self.balancers[number].handle(self.now, event):
            replies.append(orjson.dumps(ACTIONS[type(action)](number, action)))

    def batch(self, lines: list[bytes]) -> list[bytes]:
        """Process the lines of one batch, without its ``your-turn``, and return the lines of the reply.

        Raises:
            WireError: a line is malformed.
        """
        replies: list[bytes] = []
        for line in lines:
            try:
                message = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise WireError(f"not JSON: {line[:MAX_SHOWN]!r}: {error}") from error
            if not isinstance(message, list) or len(message) < 2 or not isinstance(message[0], str):
                raise WireError(f"not a message: {line[:MAX_SHOWN]!r}")
            try:
                self.process_message(message, replies)
            except WireError:
                raise
            except Exception as error:  # a fault of the balancer: the simulator must get a reply
                description = f"{type(error).__name__}: {error}"
                print(description, file=sys.stderr)
                replies = [orjson.dumps(["broken", message[1], description])]
                break
        replies.append(b'["end"]\n')
        return replies


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches from ``source`` on ``sink`` until the input ends.

    Raises:
        WireError: the input is malformed.
    """
    host = BalancerHost()
    lines: list[bytes] = []
    for line in source:
        if line[:40].replace(b" ", b"").startswith(b'["your-turn"'):
            sink.write(b"\n".join(host.batch(lines)))
            sink.flush()
            lines.clear()
        elif line.strip():
            lines.append(line)


def main() -> int:
    """Serve standard input and output. Returns 1 if the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"zinclever: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
