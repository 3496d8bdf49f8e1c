"""The program with an injected defect, which the first argument names: the rig has to detect each of them."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))
os.environ["ZINCLEVER_NATIVE"] = "text"  # a compiled module can't be patched

from zinclever import __main__, discovery, interface, policy


def resends() -> None:
    """Retry requests that may have been executed, whatever their class."""
    original = policy.balancer.Balancer.on_ended

    def on_ended(self: Any, now: float, event: interface.AttemptEnded) -> None:
        original(self, now, event._replace(outcome="connect_failed") if event.outcome == "reset" else event)

    policy.balancer.Balancer.on_ended = on_ended  # type: ignore[method-assign]


def drains_ignored() -> None:
    """Treat terminating endpoints as ready."""
    discovery.catalog.PHASES["terminating"] = "ready"


def answers_twice() -> None:
    """Write a second response after each response."""
    from zinclever.http1.server import ServerConnection

    original = ServerConnection.respond

    def respond(self: Any, response: Any) -> None:
        original(self, response)
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")

    ServerConnection.respond = respond  # type: ignore[method-assign]


def dies() -> None:
    """Exit at once with a message and status 3."""
    print("no luck today", file=sys.stderr)
    raise SystemExit(3)


{f.__name__: f for f in (resends, drains_ignored, answers_twice, dies)}[sys.argv.pop(1)]()
sys.exit(__main__.main())
