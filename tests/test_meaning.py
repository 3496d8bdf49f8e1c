"""What a checked configuration means: no tip and no late unlock is resent, whatever day it meets."""

from __future__ import annotations

from random import Random

import pytest

from zinclever import Balancer, interface
from zinclever.configuration.check import check_operator
from zinclever.configuration.operator import build
from zinclever.policy.endpoint_list import EndpointList
from zinclever.policy.requests import Request
from zinclever.standins import Fault, Terms, audit
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
    """An operator file at random, good or not."""
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
    log = Simulation(settings, entries, SHARES, seed).run(80, 100.0)
    assert len(log.asked) == 80
    return [b for b in audit(log, Terms(slack=1.0)) if b.rule in (1, 2)]


def test_no_checked_configuration_lets_a_tip_or_a_late_unlock_be_resent() -> None:
    rng, passed = Random(11), 0
    seed = 0
    while passed < CONFIGURATIONS:
        seed += 1
        report = check_operator(generated(rng).encode())
        if report.errors:
            continue
        passed += 1
        service = build(report.clean).services["x"]
        breaches = play(service.settings, tuple(e for e, _ in service.endpoints), seed)
        assert not breaches, (seed, breaches)
    assert seed > passed, "some were refused"


@pytest.mark.parametrize("forgotten", ["at_most_once", "deduplicated"])
def test_the_day_shows_what_would_run_twice(monkeypatch: pytest.MonkeyPatch, forgotten: str) -> None:
    """The proof of the proof: a module that resends what it may not is caught."""
    kept = Balancer.may_send

    def may_send(self: Balancer, now: float, r: object) -> bool:
        assert isinstance(r, Request)
        if r.klass.settings.repeat == forgotten and not r.is_closed and not r.open_attempts:
            return len(r.attempts) < self.limits.max_attempts
        return kept(self, now, r)

    monkeypatch.setattr(Balancer, "may_send", may_send)
    monkeypatch.setattr(EndpointList, "is_same_group", lambda self, r, e: True)
    rng = Random(5)
    found: list[object] = []
    for seed in range(40):
        report = check_operator(generated(rng).encode())
        if not report.errors:
            service = build(report.clean).services["x"]
            found += play(service.settings, tuple(e for e, _ in service.endpoints), seed)
    assert found
