"""The simulator's wire protocol, with batches written by hand."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from zinclever import drill, interface
from zinclever.policy import Balancer
from zinclever.settings import read_settings

PROFILE: dict[str, Any] = {
    "classes": [{"aim": 200.0, "deadline": 500.0, "repeat": "idempotent", "value": 2.0, "new-key": 1}],
    "limits": {"attempts-cap": 4, "cancel": True, "second-copies": True, "dial-timeout": 100.0, "unheard": 3},
    "registry-mode": "on_request",
    "rules": {"cold": 1000.0, "cold-share": 0.5},
    "something-new": {"a": 1},
}


def entry(name: str, phase: str = "Ready") -> list[Any]:
    """Return a list entry as the simulator sends it."""
    return [None, name, 0, 1, 0, 0, phase]


def run(*batches: list[list[Any]]) -> list[list[Any]]:
    """Return the actions of each batch."""
    text = "".join("".join(json.dumps(e) + "\n" for e in [*b, ["your-turn"]]) for b in batches)
    sink = io.BytesIO()
    drill.serve(io.BytesIO(text.encode()), sink)
    replies: list[list[Any]] = [[]]
    for line in sink.getvalue().decode().splitlines():
        if line == '["end"]':
            replies.append([])
        else:
            replies[-1].append(json.loads(line))
    return replies[:-1]


def start(n: int = 3, *names: str) -> list[list[Any]]:
    """Return the messages that start balancer ``n`` with a list of endpoints."""
    listed = [entry(x) for x in names or ("a:1", "b:1")]
    return [["catalog", 0, listed], ["launch", n, 7, PROFILE], ["view", n, "remembered", 1, 0]]


def test_empty_batch() -> None:
    assert run([["mark", 1.0]]) == [[]]


def test_request_and_answer() -> None:
    first, second = run(
        [["mark", 1000.0], *start(), ["arrival", 3, "r", 0, 0, None, 1500.0, None, False, False]],
        [["mark", 1030.0], ["answer", 3, "r", 0, 30.0, True, "a:1", "done", {"new": 1}]],
    )
    assert ["subscribe", 3, True] in first
    sent = [a for a in first if a[0] == "call-out"]
    assert len(sent) == 1 and sent[0][1:3] == [3, "r"] and sent[0][4] == 1500.0
    assert sent[0][3] in ("a:1", "b:1")
    assert not [a for a in second if a[0] in ("call-out", "lose", "not-now")]


def test_catalog_number_can_be_reused_within_a_batch() -> None:
    first, second = run(
        [
            ["mark", 1000.0],
            *start(3, "a:1"),
            ["catalog", 0, [entry("z:9")]],
            ["launch", 4, 8, PROFILE],
            ["view", 4, "remembered", 1, 0],
            ["arrival", 3, "r", 0, 0, "", 1500.0, None, False, False],
            ["arrival", 4, "q", 0, 0, "", 1500.0, None, False, False],
        ],
        [["mark", 1010.0], ["arrival", 4, "p", 0, 0, "", 1510.0, None, False, False]],
    )
    assert [a[3] for a in first if a[0] == "call-out"] == ["a:1", "z:9"]
    assert [a[3] for a in second if a[0] == "call-out"] == ["z:9"]


def test_balancer_can_be_replaced_within_a_batch() -> None:
    (_, second) = run(
        [["mark", 1000.0], *start()],
        [
            ["mark", 1010.0],
            ["kill", 3],
            *start(3, "n:1"),
            ["arrival", 3, "r", 0, 0, "", 1500.0, 1, False, False],
        ],
    )
    assert [a[3] for a in second if a[0] == "call-out"] == ["n:1"]


def test_balancers_of_one_host_do_not_affect_each_other() -> None:
    def batches(n: int) -> list[list[list[Any]]]:
        arrivals = [["arrival", n, f"r{n}-{x}", 0, 0, "", 1500.0, None, False, False] for x in range(20)]
        first = [["mark", 1000.0], *start(n, "a:1", "b:1", "c:1"), *arrivals]
        return [first, [["mark", 1060.0], ["ring", n, "due"]]]

    separate = [run(*batches(n)) for n in (3, 4)]
    together = run(*[a + b[1:] for a, b in zip(batches(3), batches(4), strict=True)])
    for n, alone in zip((3, 4), separate, strict=True):
        assert [[a for a in batch if a[1] == n] for batch in together] == alone


def test_exception_of_a_balancer_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise IndexError("out of range")

    monkeypatch.setattr(Balancer, "handle", fail)
    (reply,) = run([["mark", 1000.0], *start()])
    assert reply == [["broken", 3, "IndexError: out of range"]]


@pytest.mark.parametrize(
    "line",
    [
        "not json",
        '["arrival",9,"r",0,0,"",1500.0,null,false,false]',
        '["what",3]',
        "[]",
        '["view",3,"odd",1,0]',
        '["catalog",0,[[1]]]',
        '["mark","soon"]',
    ],
)
def test_malformed_input_is_reported_and_ends_the_process(line: str) -> None:
    valid = "\n".join(json.dumps(e) for e in [["mark", 1000.0], *start()])
    process = subprocess.run(
        [sys.executable, "-m", "zinclever.drill"],
        input=f'{valid}\n{line}\n["your-turn"]\n',
        text=True,
        capture_output=True,
        cwd=Path(__file__).parent.parent,
        timeout=60,
        check=False,
    )
    assert process.returncode == 1 and process.stderr.startswith("zinclever: ") and process.stdout == ""
    assert len(process.stderr.splitlines()) == 1 and line[:7] in process.stderr


def test_load_reports_reach_the_balancer_and_malformed_ones_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    reports = []
    original = Balancer.handle

    def handle(balancer: Balancer, now: float, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.AttemptEnded):
            reports.append(dict(event.report))
        return original(balancer, now, event)

    monkeypatch.setattr(Balancer, "handle", handle)
    first = [["mark", 1000.0], *start(), ["arrival", 3, "r", 0, 0, None, 1500.0, None, False, False]]
    sent: tuple[Any, ...] = ({"backlog": 4, "odd": "x"}, {}, None)
    answer = ["answer", 3, "r", 0, 30.0, True, "a:1", "done"]
    run(first, *[[["mark", 1030.0], [*answer, t]] for t in sent])
    assert reports == [{"backlog": 4.0}, {}, {}]


def test_settings_are_read_from_the_wire() -> None:
    result = read_settings(
        PROFILE
        | {
            "value-by": "work",
            "prices": {"cross-zone": 0.2},
            "family-info": {"warm-keys": True},
            "zone": 1,
            "report": {"how": "pull", "fields": ["backlog"]},
        }
    )
    assert (result.value_by, result.prices.cross_zone, result.warm_keys, result.zone) == ("work", 0.2, True, 1)
    assert (result.reports, tuple(result.report_fields)) == ("pull", ("backlog",))
