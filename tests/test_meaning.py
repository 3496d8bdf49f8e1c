"""Configurations that pass the check never let a request run twice that may not, under simulated faults."""

from __future__ import annotations

from random import Random

import pytest

from zinclever import Balancer, interface
from zinclever.configuration.check import check_operator
from zinclever.configuration.operator import build
from zinclever.policy.endpoint_list import EndpointList
from zinclever.policy.requests import Request
from zinclever.standins import Fault, RuleParameters, audit
from zinclever.standins.simulation import Simulation

CONFIGURATIONS = 300
SHARES = {
    Fault.SILENCE: 0.05,
    Fault.SWALLOW: 0.05,
    Fault.BREAK_BEFORE: 0.05,
    Fault.BREAK_AT: 0.05,
    Fault.ERROR: 0.1,
    Fault.DECLINE: 0.1,
}


def generated(rng: Random) -> str:
    """Return a random operator file, valid or not."""
    aim = rng.choice([50, 200, 1000])
    deadline = rng.choice([aim, 2 * aim, 5 * aim, aim - 10])
    window = rng.choice([300, 1000, 3000, 12000])
    group = rng.choice(["all", "zone", "cell"])
    endpoints = ", ".join(
        f'{{ address = "127.0.0.1:{9001 + n}", zone = "z{rng.randrange(2)}", cell = {1 + rng.randrange(2)} }}'
        for n in range(rng.randrange(2, 6))
    )
    default = rng.choice(["", 'default_class = "tip"', 'default_class = "read"'])
    return f"""
version = 1
[services.x]
protocol = "jsonrpc"
listen = "127.0.0.1:7001"
endpoints = [{endpoints}]
max_attempts = {rng.randrange(0, 7)}
connect_timeout_ms = {rng.choice([10, 250, 900])}
copies = {rng.choice(["true", "true", "false"])}
{default}
[services.x.classes.read]
repeat = "idempotent"
aim_ms = {aim}
deadline_ms = {deadline}
[services.x.classes.unlock]
repeat = "deduplicated"
aim_ms = {aim}
deadline_ms = {deadline}
window_ms = {window}
group = "{group}"
[services.x.classes.tip]
repeat = "at_most_once"
aim_ms = {aim}
deadline_ms = {deadline}
[services.x.methods]
a = {{ class = "read" }}
b = {{ class = "unlock", key = "/k" }}
c = {{ class = "tip" }}
"""


def play(settings: interface.Settings, entries: tuple[interface.ListedEndpoint, ...], seed: int) -> list[object]:
    """Simulate a service under faults and return the breaches of the rules on repeated execution."""
    log = Simulation(settings, entries, SHARES, seed).run(80, 100.0)
    assert len(log.sent_requests) == 80
    return [b for b in audit(log, RuleParameters(slack=1.0)) if b.rule in (1, 2)]


def test_valid_configuration_never_repeats_what_may_not_run_twice() -> None:
    rng, valid = Random(11), 0
    seed = 0
    while valid < CONFIGURATIONS:
        seed += 1
        report = check_operator(generated(rng).encode())
        if report.errors:
            continue
        valid += 1
        service = build(report.clean).services["x"]
        breaches = play(service.settings, tuple(endpoint for endpoint, _ in service.endpoints), seed)
        assert not breaches, (seed, breaches)
    assert seed > valid, "some configurations are invalid"


@pytest.mark.parametrize("violated", ["at_most_once", "deduplicated"])
def test_simulation_detects_a_balancer_that_repeats_requests(monkeypatch: pytest.MonkeyPatch, violated: str) -> None:
    """A balancer that resends what may not run twice is detected."""
    original = Balancer.may_send

    def may_send(self: Balancer, now: float, request: object) -> bool:
        assert isinstance(request, Request)
        if request.klass.settings.repeat == violated and not request.is_closed and not request.open_attempts:
            return len(request.attempts) < self.limits.max_attempts
        return original(self, now, request)

    monkeypatch.setattr(Balancer, "may_send", may_send)
    monkeypatch.setattr(EndpointList, "is_same_group", lambda self, request, endpoint: True)
    rng = Random(5)
    breaches: list[object] = []
    for seed in range(40):
        report = check_operator(generated(rng).encode())
        if not report.errors:
            service = build(report.clean).services["x"]
            breaches += play(service.settings, tuple(endpoint for endpoint, _ in service.endpoints), seed)
    assert breaches
