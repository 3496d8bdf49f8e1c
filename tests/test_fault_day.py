"""The same fault scenario over HTTP and over JSON-RPC, through the real program, violates no rule."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any

import pytest
from loopback import closed_port, run_real
from rpc import operator
from test_jsonrpc_program import started, write
from test_program import config

from zinclever.standins import Log, RuleParameters, audit, seeded
from zinclever.standins.clients import ClientRequestClass, HttpClient, JsonRpcClient
from zinclever.standins.day import MAX_DELAY, SHARES, Day, change_endpoints, send_http_requests, send_jsonrpc_calls
from zinclever.standins.discovery import Discovery
from zinclever.standins.endpoint import Endpoint
from zinclever.standins.http_endpoint import HttpEndpoint
from zinclever.standins.jsonrpc_endpoint import JsonRpcEndpoint

SEEDS = [1, 2, 3]
WAIT = 1200.0  # ms
WINDOW = 2000.0  # ms: the shortest that the configuration check accepts
CLASSES = [
    ClientRequestClass("read", "page.get", "idempotent", WAIT),
    ClientRequestClass("unlock", "unlock.buy", "deduplicated", WAIT, window=WINDOW, group="zone"),
    ClientRequestClass("tip", "tip.send", "at_most_once", WAIT),
]
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": k.name, "aim": WAIT / 4, "deadline": WAIT, "repeat": k.effect, "window": k.window, "group": k.group}
        for k in CLASSES
    ],
    "limits": {
        "attempts-cap": 3,
        "cancel": True,
        "second-copies": True,
        "dial-timeout": 250.0,
        "retry-after": True,
        "max-retry-after": 1000.0,
    },
    "rules": {
        "stop-sending-within": 1000.0,
        "cold-share": 0.2,
        "cold": 10000.0,
        "overload-factor": 3.0,
        "fall": 2000.0,
    },
    "registry-mode": "on_request",
    "zones": ["a", "b"],
    "zone": 0,
}
#: Tolerates stalls of a CI machine; real violations exceed it by far.
RULE_PARAMETERS = RuleParameters(slack=600.0)


class Side:
    """Discovery, endpoints and log of one protocol."""

    def __init__(self, stack: AsyncExitStack, kind: type[Endpoint], seed: int) -> None:
        self.stack, self.kind, self.seed = stack, kind, seed
        self.log = Log()

    async def open(self, count: int = 4) -> Side:
        self.discovery = await self.stack.enter_async_context(Discovery(self.log))
        self.endpoints = []
        for n in range(count):
            plan = seeded(10 * self.seed + n, SHARES, MAX_DELAY)
            endpoint = self.kind(self.log, plan, "ab"[n % 2])
            self.endpoints.append(await self.stack.enter_async_context(endpoint))
            await self.discovery.set(endpoint)
        return self

    async def known(self) -> None:
        """Waits until the sidecar has received all endpoints."""
        for endpoint in self.endpoints:
            await self.discovery.wait_until_announced(endpoint)


def audit_side(side: Side) -> tuple[Sequence[Any], dict[str, int]]:
    kinds: dict[str, int] = {}
    for answer in side.log.answered:
        kinds[answer.kind] = kinds.get(answer.kind, 0) + 1
    return audit(side.log, RULE_PARAMETERS), kinds


@pytest.mark.parametrize("seed", SEEDS)
def test_fault_scenario_violates_no_rule(tmp_path: Path, seed: int) -> None:
    """Guards against a rule that holds for one protocol only."""

    async def test() -> None:
        rpc_address = closed_port()
        async with AsyncExitStack() as stack:
            http = await Side(stack, HttpEndpoint, seed).open()
            rpc = await Side(stack, JsonRpcEndpoint, seed).open()
            text = operator(
                f'discovery = "{rpc.discovery.address}"',
                listen=rpc_address,
                deadline=WAIT,
                aim=WAIT / 4,
                group="zone",
                more='zones = ["a", "b"]\nzone = "a"\nmax_attempts = 3',
            ).replace("window_ms = 12000", f"window_ms = {WINDOW}")
            env = write(tmp_path, text)
            env |= config(tmp_path, settings=SETTINGS, discovery=http.discovery.address)
            async with started(env, rpc_address) as program:
                day_over, rng = asyncio.Event(), Random(seed)
                http_clients = [HttpClient(http.log, env["LB_LISTEN"]) for _ in range(6)]
                rpc_clients = [JsonRpcClient(rpc.log) for _ in range(4)]
                await http.known()
                await rpc.known()
                client_tasks = [
                    asyncio.ensure_future(send_http_requests(c, CLASSES, Random(rng.random()), day_over))
                    for c in http_clients
                ] + [
                    asyncio.ensure_future(send_jsonrpc_calls(c, rpc_address, CLASSES, Random(rng.random()), day_over))
                    for c in rpc_clients
                ]

                def reload() -> None:
                    path = Path(env["ZINCLEVER_OPERATOR"])
                    text = path.read_text()
                    assert "max_attempts = 3" in text or "max_attempts = 4" in text
                    path.write_text(text.replace("max_attempts = 3", "max_attempts = 4"))
                    program.send_signal(signal.SIGHUP)

                day = Day()
                await asyncio.gather(
                    change_endpoints(day, http.discovery, http.endpoints, reload),
                    change_endpoints(day, rpc.discovery, rpc.endpoints, reload),
                )
                day_over.set()
                # Far longer than a client waits: a request without an answer by then is a violation.
                _, unanswered = await asyncio.wait(client_tasks, timeout=4 * WAIT / 1000.0)
                for task in unanswered:
                    task.cancel()
            for side in (http, rpc):
                breaches, kinds = audit_side(side)
                assert not breaches, (seed, breaches)
                # The run must have served requests and seen failures to be meaningful.
                assert kinds["served"] > 100 and kinds["failed"] > 5, kinds
                assert all(
                    side.log.execution_count(a.request) <= 1
                    for a in side.log.sent_requests
                    if a.effect == "at_most_once"
                )

    run_real(test)
