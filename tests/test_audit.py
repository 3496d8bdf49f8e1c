"""The auditor: for each rule, a log that breaks it is caught, and one that keeps it is not."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinclever.standins import Log, Terms, audit
from zinclever.standins.log import Answered, Asked, Effect, Left, Received, Started, Told

TERMS = Terms(slack=10.0, drain_grace=1000.0, overload_for=2000.0)


def good() -> Log:
    """One request of each class, served."""
    log = Log()
    kinds: list[Effect] = ["idempotent", "deduplicated", "at_most_once"]
    for n, effect in enumerate(kinds):
        at, name = 100.0 * n, f"r{n}"
        log.asked.append(Asked(at, name, effect, 50.0, key=f"k{n}", group="zone", window=1000.0))
        log.received.append(Received(at + 1.0, at + 2.0, name, "e", "a", True, False, f"m{n}"))
        log.answered.append(Answered(at + 20.0, name, "served", f"m{n}"))
    return log


def again(log: Log, request: str, after: float, zone: str = "a", ran: bool = True) -> None:
    """The same request at another endpoint, so long after the first."""
    first = next(r for r in log.received if r.request == request)
    log.received.append(
        Received(first.first + after, first.at + after, request, "f", zone, ran, False, f"{request}+{after}")
    )


def test_a_good_log_has_no_breach() -> None:
    assert audit(good(), TERMS) == []


def unanswered(log: Log) -> None:
    del log.answered[1]


def answered_twice(log: Log) -> None:
    log.answered.append(log.answered[1])


def late(log: Log) -> None:
    log.answered[1] = log.answered[1]._replace(at=161.0)


def made_by_nobody(log: Log) -> None:
    log.answered[1] = log.answered[1]._replace(made="m0")


def never_asked(log: Log) -> None:
    log.answered.append(Answered(0.0, "ghost", "failed"))


def sent_unasked(log: Log) -> None:
    log.received.append(Received(0.0, 0.0, "ghost", "e", "a", True, False, "x"))


def sent_after_the_answer(log: Log) -> None:
    again(log, "r0", 40.0)


def sent_after_its_client_left(log: Log) -> None:
    del log.answered[0]
    log.left.append(Left(5.0, "r0"))
    again(log, "r0", 30.0)


def notification_answered(log: Log) -> None:
    log.asked[0] = log.asked[0]._replace(answered=False)


def unsafe_ran_twice(log: Log) -> None:
    again(log, "r2", 5.0)


def unsafe_sent_again(log: Log) -> None:
    again(log, "r2", 5.0, ran=False)


def unsafe_sent_again_after_silence(log: Log) -> None:
    log.received[2] = log.received[2]._replace(ran=False, made="")
    again(log, "r2", 5.0)
    log.answered[2] = log.answered[2]._replace(made="r2+5.0")


def unsafe_refused(log: Log) -> None:
    log.answered[2] = log.answered[2]._replace(kind="refused")


def keyed_in_another_zone(log: Log) -> None:
    again(log, "r1", 5.0, zone="b")


def keyed_sent_to_another_zone(log: Log) -> None:
    again(log, "r1", 5.0, zone="b", ran=False)


def keyed_after_its_window(log: Log) -> None:
    log.asked[1] = log.asked[1]._replace(wait=5000.0)
    log.answered[1] = log.answered[1]._replace(at=3000.0)
    again(log, "r1", 1500.0)


def keyed_refused(log: Log) -> None:
    log.answered[1] = log.answered[1]._replace(kind="refused")


def drained(log: Log) -> None:
    log.told.append(Told(-950.0, "e", "draining"))


def gone(log: Log) -> None:
    log.told += [Told(-2000.0, "e", "ready"), Told(-950.0, "e", "gone"), Told(150.0, "e", "ready")]


def gone_after_a_drain(log: Log) -> None:
    log.told += [Told(-950.0, "e", "draining"), Told(-10.0, "e", "gone")]


def cold(log: Log) -> None:
    log.started.append(Started(-1.0, "e", 1.0))


BREAKS = {
    1: [
        unanswered,
        answered_twice,
        late,
        made_by_nobody,
        never_asked,
        sent_unasked,
        sent_after_the_answer,
        sent_after_its_client_left,
        notification_answered,
    ],
    2: [
        unsafe_ran_twice,
        unsafe_sent_again,
        unsafe_sent_again_after_silence,
        unsafe_refused,
        keyed_in_another_zone,
        keyed_sent_to_another_zone,
        keyed_after_its_window,
        keyed_refused,
    ],
    3: [drained, gone, gone_after_a_drain],
    4: [cold],
}


@pytest.mark.parametrize(("rule", "does"), [(rule, does) for rule, all in BREAKS.items() for does in all])
def test_each_way_to_break_a_rule_is_caught(rule: int, does: object) -> None:
    log = good()
    assert callable(does)
    does(log)
    assert {b.rule for b in audit(log, TERMS)} == {rule}


def refused_unsent(log: Log) -> None:
    del log.received[2]
    log.answered[2] = log.answered[2]._replace(kind="refused", made="")


def unsafe_sent_again_after_proof(log: Log) -> None:
    log.received[2] = log.received[2]._replace(ran=False, declined=True, made="")
    again(log, "r2", 5.0)
    log.answered[2] = log.answered[2]._replace(made="r2+5.0")


def keyed_sent_again(log: Log) -> None:
    again(log, "r1", 5.0)


def read_sent_again(log: Log) -> None:
    again(log, "r0", 5.0, zone="b")


def left(log: Log) -> None:
    del log.answered[2]
    log.left.append(Left(205.0, "r2"))


def drained_just_now(log: Log) -> None:
    log.told.append(Told(-900.0, "e", "draining"))
    del log.asked[1:], log.received[1:], log.answered[1:]


def ready_again(log: Log) -> None:
    log.told += [Told(-5000.0, "e", "gone"), Told(-1.0, "e", "ready")]


def cold_but_large(log: Log) -> None:
    log.started.append(Started(-1.0, "e", 100.0))


@pytest.mark.parametrize(
    "does",
    [
        refused_unsent,
        unsafe_sent_again_after_proof,
        keyed_sent_again,
        read_sent_again,
        left,
        drained_just_now,
        ready_again,
        cold_but_large,
    ],
)
def test_what_the_rules_allow_is_no_breach(does: object) -> None:
    log = good()
    assert callable(does)
    does(log)
    assert audit(log, TERMS) == []


@given(st.integers(0, 10_000))
@settings(derandomize=True, max_examples=150)
def test_the_count_of_effects_agrees_with_a_naive_one(seed: int) -> None:
    """Unsafe requests at random endpoints: a breach just where a walk through the attempts finds one."""
    rng = Random(seed)
    log, expected = Log(), set()
    for n in range(20):
        name, at = f"r{n}", 100.0 * n
        log.asked.append(Asked(at, name, "at_most_once", 50.0))
        doubtful = False
        for step in range(rng.randrange(4)):
            ran = rng.random() < 0.5
            declined = not ran and rng.random() < 0.5
            if doubtful:
                expected.add(name)
            doubtful = doubtful or not declined
            made = f"{name}.{step}" if ran else ""
            log.received.append(Received(at + step, at + step, name, f"e{step}", "a", ran, declined, made))
        if rng.random() < 0.5:
            log.answered.append(Answered(at + 40.0, name, "failed"))
        else:
            log.answered.append(Answered(at + 40.0, name, "refused"))
            if doubtful:
                expected.add(name)
    found = audit(log, TERMS)
    assert {b.about for b in found} == expected and {b.rule for b in found} <= {2}
