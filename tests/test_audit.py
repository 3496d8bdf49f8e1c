"""The auditor of the four rules reports logs that break a rule and accepts logs that keep all of them."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever.standins import Log, RuleParameters, audit
from zinclever.standins.log import (
    AbandonedRequest,
    Answered,
    Effect,
    EndpointAnnouncement,
    Received,
    SentRequest,
    Started,
)

RULE_PARAMETERS = RuleParameters(slack=10.0, drain_grace=1000.0, overload_for=2000.0)


def valid_log() -> Log:
    """Returns a log with one served request of each effect."""
    log = Log()
    kinds: list[Effect] = ["idempotent", "deduplicated", "at_most_once"]
    for n, effect in enumerate(kinds):
        at, name = 100.0 * n, f"r{n}"
        log.sent_requests.append(SentRequest(at, name, effect, 50.0, key=f"k{n}", group="zone", window=1000.0))
        log.received.append(Received(at + 1.0, at + 2.0, name, "e", "a", True, False, f"m{n}"))
        log.answered.append(Answered(at + 20.0, name, "served", f"m{n}"))
    return log


def resend(log: Log, request: str, after: float, zone: str = "a", executed: bool = True) -> None:
    """Adds an attempt of the same request at another endpoint, ``after`` ms later."""
    first = next(r for r in log.received if r.request == request)
    log.received.append(
        Received(
            first.first_byte_at + after, first.at + after, request, "f", zone, executed, False, f"{request}+{after}"
        )
    )


def test_valid_log_has_no_violation() -> None:
    assert audit(valid_log(), RULE_PARAMETERS) == []


def unanswered(log: Log) -> None:
    del log.answered[1]


def answered_twice(log: Log) -> None:
    log.answered.append(log.answered[1])


def answered_late(log: Log) -> None:
    log.answered[1] = log.answered[1]._replace(at=161.0)


def served_with_foreign_answer(log: Log) -> None:
    log.answered[1] = log.answered[1]._replace(execution_id="m0")


def answered_without_request(log: Log) -> None:
    log.answered.append(Answered(0.0, "ghost", "failed"))


def sent_without_request(log: Log) -> None:
    log.received.append(Received(0.0, 0.0, "ghost", "e", "a", True, False, "x"))


def sent_after_the_answer(log: Log) -> None:
    resend(log, "r0", 40.0)


def sent_after_its_client_left(log: Log) -> None:
    del log.answered[0]
    log.abandoned_requests.append(AbandonedRequest(5.0, "r0"))
    resend(log, "r0", 30.0)


def notification_answered(log: Log) -> None:
    log.sent_requests[0] = log.sent_requests[0]._replace(answered=False)


def at_most_once_executed_twice(log: Log) -> None:
    resend(log, "r2", 5.0)


def at_most_once_resent(log: Log) -> None:
    resend(log, "r2", 5.0, executed=False)


def at_most_once_resent_after_silence(log: Log) -> None:
    log.received[2] = log.received[2]._replace(executed=False, execution_id="")
    resend(log, "r2", 5.0)
    log.answered[2] = log.answered[2]._replace(execution_id="r2+5.0")


def at_most_once_refused_after_execution(log: Log) -> None:
    log.answered[2] = log.answered[2]._replace(kind="refused")


def deduplicated_executed_in_another_zone(log: Log) -> None:
    resend(log, "r1", 5.0, zone="b")


def deduplicated_sent_to_another_zone(log: Log) -> None:
    resend(log, "r1", 5.0, zone="b", executed=False)


def deduplicated_resent_after_window(log: Log) -> None:
    log.sent_requests[1] = log.sent_requests[1]._replace(wait=5000.0)
    log.answered[1] = log.answered[1]._replace(at=3000.0)
    resend(log, "r1", 1500.0)


def deduplicated_refused_after_execution(log: Log) -> None:
    log.answered[1] = log.answered[1]._replace(kind="refused")


def sent_after_drain(log: Log) -> None:
    log.announcements.append(EndpointAnnouncement(-950.0, "e", "draining"))


def sent_after_removal(log: Log) -> None:
    log.announcements += [
        EndpointAnnouncement(-2000.0, "e", "ready"),
        EndpointAnnouncement(-950.0, "e", "gone"),
        EndpointAnnouncement(150.0, "e", "ready"),
    ]


def sent_after_drain_and_removal(log: Log) -> None:
    log.announcements += [EndpointAnnouncement(-950.0, "e", "draining"), EndpointAnnouncement(-10.0, "e", "gone")]


def cold_endpoint_overloaded(log: Log) -> None:
    log.started.append(Started(-1.0, "e", 1.0))


VIOLATIONS = {
    1: [
        unanswered,
        answered_twice,
        answered_late,
        served_with_foreign_answer,
        answered_without_request,
        sent_without_request,
        sent_after_the_answer,
        sent_after_its_client_left,
        notification_answered,
    ],
    2: [
        at_most_once_executed_twice,
        at_most_once_resent,
        at_most_once_resent_after_silence,
        at_most_once_refused_after_execution,
        deduplicated_executed_in_another_zone,
        deduplicated_sent_to_another_zone,
        deduplicated_resent_after_window,
        deduplicated_refused_after_execution,
    ],
    3: [sent_after_drain, sent_after_removal, sent_after_drain_and_removal],
    4: [cold_endpoint_overloaded],
}


@pytest.mark.parametrize(
    ("rule", "change"), [(rule, change) for rule, changes in VIOLATIONS.items() for change in changes]
)
def test_violation_is_reported_under_its_rule(rule: int, change: object) -> None:
    log = valid_log()
    assert callable(change)
    change(log)
    assert {b.rule for b in audit(log, RULE_PARAMETERS)} == {rule}


def refused_without_attempt(log: Log) -> None:
    del log.received[2]
    log.answered[2] = log.answered[2]._replace(kind="refused", execution_id="")


def at_most_once_resent_after_decline(log: Log) -> None:
    log.received[2] = log.received[2]._replace(executed=False, declined=True, execution_id="")
    resend(log, "r2", 5.0)
    log.answered[2] = log.answered[2]._replace(execution_id="r2+5.0")


def deduplicated_resent_in_time(log: Log) -> None:
    resend(log, "r1", 5.0)


def idempotent_resent(log: Log) -> None:
    resend(log, "r0", 5.0, zone="b")


def client_disconnected(log: Log) -> None:
    del log.answered[2]
    log.abandoned_requests.append(AbandonedRequest(205.0, "r2"))


def sent_within_drain_grace(log: Log) -> None:
    log.announcements.append(EndpointAnnouncement(-900.0, "e", "draining"))
    del log.sent_requests[1:], log.received[1:], log.answered[1:]


def sent_after_return(log: Log) -> None:
    log.announcements += [EndpointAnnouncement(-5000.0, "e", "gone"), EndpointAnnouncement(-1.0, "e", "ready")]


def large_cold_endpoint(log: Log) -> None:
    log.started.append(Started(-1.0, "e", 100.0))


@pytest.mark.parametrize(
    "change",
    [
        refused_without_attempt,
        at_most_once_resent_after_decline,
        deduplicated_resent_in_time,
        idempotent_resent,
        client_disconnected,
        sent_within_drain_grace,
        sent_after_return,
        large_cold_endpoint,
    ],
)
def test_allowed_behaviour_is_not_reported(change: object) -> None:
    log = valid_log()
    assert callable(change)
    change(log)
    assert audit(log, RULE_PARAMETERS) == []


@given(st.integers(0, 10_000))
@settings(derandomize=True, max_examples=150)
def test_at_most_once_violations_match_a_simple_model(seed: int) -> None:
    """For random at-most-once requests the auditor reports the same violations as a simple pass over the attempts."""
    rng = Random(seed)
    log, expected = Log(), set()
    for n in range(20):
        name, at = f"r{n}", 100.0 * n
        log.sent_requests.append(SentRequest(at, name, "at_most_once", 50.0))
        possibly_executed = False
        for step in range(rng.randrange(4)):
            executed = rng.random() < 0.5
            declined = not executed and rng.random() < 0.5
            if possibly_executed:
                expected.add(name)
            possibly_executed = possibly_executed or not declined
            execution_id = f"{name}.{step}" if executed else ""
            log.received.append(Received(at + step, at + step, name, f"e{step}", "a", executed, declined, execution_id))
        if rng.random() < 0.5:
            log.answered.append(Answered(at + 40.0, name, "failed"))
        else:
            log.answered.append(Answered(at + 40.0, name, "refused"))
            if possibly_executed:
                expected.add(name)
    found = audit(log, RULE_PARAMETERS)
    assert {b.subject for b in found} == expected and {b.rule for b in found} <= {2}
