"""Checks the four rules on a recorded log. Pure functions: they read the log and report every violation."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from .log import Answered, Log, Received, SentRequest


class Breach(NamedTuple):
    """One violation of one rule."""

    rule: int
    """1: one final answer in time; 2: no effect twice; 3: draining endpoints; 4: cold endpoints."""
    subject: str
    """Name of the request or of the endpoint."""
    description: str
    """Description of the violation."""


ROUNDING = 1e-9  # tolerance for rounding errors in a sum of work amounts


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Parameters of the rules. Times are in ms."""

    slack: float = 250.0
    """Tolerance for the delay between a write and the reader's log entry."""
    drain_grace: float = 1000.0
    cold_share: float = 0.2
    cold_for: float = 10000.0
    overload_factor: float = 3.0
    overload_for: float = 2000.0


def audit(log: Log, parameters: RuleParameters | None = None) -> list[Breach]:
    """Returns every violation of the four rules in the log, ordered by rule."""
    effective_parameters = parameters or RuleParameters()
    return [
        *_final_answer_violations(log, effective_parameters),
        *_effect_violations(log, effective_parameters),
        *_drain_violations(log, effective_parameters),
        *_cold_endpoint_overloads(log, effective_parameters),
    ]


# --- rule 1 ---


def _final_answer_violations(log: Log, parameters: RuleParameters) -> Iterator[Breach]:
    """Checks that each request gets one final answer, in time and produced for it, and that no attempt follows it."""
    answers: dict[str, list[Answered]] = defaultdict(list)
    for answer in log.answered:
        answers[answer.request].append(answer)
    received = _by_request(log)
    abandoned_at = {x.request: x.at for x in log.abandoned_requests}
    sent_by_request = {a.request: a for a in log.sent_requests}
    for request in answers.keys() - sent_by_request.keys():
        yield Breach(1, request, "answered, but no client sent it")
    for request in received.keys() - sent_by_request.keys():
        yield Breach(1, request, "sent to an endpoint, but no client sent it")
    for request, sent in sent_by_request.items():
        final_answers = answers[request]
        if not sent.answered:
            if final_answers:
                yield Breach(1, request, "answered, although it is a notification")
            continue
        if len(final_answers) > 1:
            yield Breach(1, request, f"{len(final_answers)} final answers")
        if not final_answers:
            if request not in abandoned_at:
                yield Breach(1, request, "no final answer")
            ended_at = abandoned_at.get(request)
        else:
            ended_at = final_answers[0].at
            if final_answers[0].at > sent.at + sent.wait + parameters.slack:
                yield Breach(1, request, f"answered {final_answers[0].at - sent.at - sent.wait:.0f} ms late")
            if final_answers[0].kind == "served" and final_answers[0].execution_id not in {
                r.execution_id for r in received[request] if r.execution_id
            }:
                yield Breach(1, request, "served with a response that no endpoint produced for it")
        for attempt in received[request]:
            if ended_at is not None and attempt.first_byte_at > ended_at + parameters.slack:
                late = attempt.first_byte_at - ended_at
                yield Breach(1, request, f"sent to {attempt.endpoint} {late:.0f} ms after it had ended")


# --- rule 2 ---


def _effect_violations(log: Log, parameters: RuleParameters) -> Iterator[Breach]:
    """Checks that no request takes effect twice and that none is refused that may have been executed."""
    received = _by_request(log)
    refused = {a.request for a in log.answered if a.kind == "refused"}
    executions_by_key: dict[str, list[tuple[SentRequest, Received]]] = defaultdict(list)
    for sent in log.sent_requests:
        attempts = received[sent.request]
        possibly_executed = [a for a in attempts if not a.declined]
        if sent.effect == "at_most_once":
            yield from _at_most_once_violations(sent, attempts, possibly_executed)
            if sent.request in refused and possibly_executed:
                yield Breach(2, sent.request, f"refused, but {possibly_executed[0].endpoint} may have run it")
        elif sent.effect == "deduplicated":
            executions_by_key[sent.key].extend((sent, a) for a in attempts if a.executed)
            if sent.request in refused and possibly_executed and sent.group != "all":
                yield Breach(
                    2, sent.request, "refused, but a retry by the client may reach another deduplication group"
                )
            yield from _deduplicated_resends(sent, possibly_executed, parameters)
    for key, executions in executions_by_key.items():
        yield from _deduplicated_effects(key, executions)


def _at_most_once_violations(
    sent: SentRequest, attempts: list[Received], possibly_executed: list[Received]
) -> Iterator[Breach]:
    """Checks that a request is executed once at most and never resent after an attempt that may have run."""
    runs = sum(a.executed for a in attempts)
    if runs > 1:
        yield Breach(2, sent.request, f"at most once, but executed {runs} times")
    if possibly_executed:
        later = attempts[attempts.index(possibly_executed[0]) + 1 :]
        if later:
            yield Breach(2, sent.request, f"sent to {later[0].endpoint} again, though it may have run")


def _deduplicated_resends(
    sent: SentRequest, possibly_executed: list[Received], parameters: RuleParameters
) -> Iterator[Breach]:
    """Checks that a deduplicated request is resent within its group and window only.

    The window begins with the first attempt that may have run.
    """
    for resent in possibly_executed[1:]:
        first = possibly_executed[0]
        if resent.first_byte_at > first.at + sent.window + parameters.slack:
            yield Breach(2, sent.request, f"deduplicated, resent {resent.first_byte_at - first.at:.0f} ms later")
        if sent.group == "zone" and resent.zone != first.zone:
            yield Breach(2, sent.request, f"deduplicated, sent to zone {resent.zone} after {first.zone}")


def _deduplicated_effects(key: str, executions: list[tuple[SentRequest, Received]]) -> Iterator[Breach]:
    """Checks that executions of a request under one key stay within its group and window.

    Only there do the endpoints discard the repetition.
    """
    for n, (sent, execution) in enumerate(executions):
        for earlier_request, earlier in executions[:n]:
            if earlier_request.request != sent.request:
                continue  # repeated by the client itself, which is responsible for its effect
            outside_group = sent.group == "zone" and execution.zone != earlier.zone
            if outside_group or abs(execution.at - earlier.at) > sent.window:
                yield Breach(2, sent.request, f"key {key}: a second effect on {execution.endpoint}")


# --- rules 3 and 4 ---


def _drain_violations(log: Log, parameters: RuleParameters) -> Iterator[Breach]:
    """Checks that no attempt starts at an endpoint after the grace period of its drain or removal."""
    drain_intervals: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for announcement in log.announcements:
        intervals = drain_intervals[announcement.to, announcement.endpoint]
        is_draining = bool(intervals) and intervals[-1][1] == float("inf")
        if announcement.phase == "ready":
            if is_draining:
                intervals[-1] = intervals[-1][0], announcement.at
        elif not is_draining:
            intervals.append((announcement.at, float("inf")))
    for attempt in log.received:
        for began, ended in drain_intervals.get((attempt.via, attempt.endpoint), ()):
            if began + parameters.drain_grace + parameters.slack < attempt.first_byte_at < ended:
                late = attempt.first_byte_at - began
                yield Breach(
                    3,
                    attempt.endpoint,
                    f"sent {attempt.request} {late:.0f} ms after discovery had announced its drain or removal",
                )


def _cold_endpoint_overloads(log: Log, parameters: RuleParameters) -> Iterator[Breach]:
    """Checks that no cold endpoint is overloaded.

    It is when it receives more than ``overload_factor`` times its current capacity over ``overload_for``.
    """
    for start in log.started:
        arrivals = sorted(
            (r.at, r.work)
            for r in log.received
            if r.endpoint == start.endpoint and start.at <= r.at < start.at + parameters.cold_for
        )
        window_start, load = 0, 0.0
        for at, work in arrivals:
            load += work
            while arrivals[window_start][0] <= at - parameters.overload_for:
                load -= arrivals[window_start][1]
                window_start += 1
            warm_fraction = min(1.0, (at - start.at) / parameters.cold_for)
            capacity = start.capacity * (parameters.cold_share + (1.0 - parameters.cold_share) * warm_fraction)
            max_load = max(1.0, parameters.overload_factor * capacity * parameters.overload_for / 1000.0)
            if load > max_load + ROUNDING:
                description = (
                    f"{load:g} requests in {parameters.overload_for:.0f} ms; "
                    f"{max_load:.0f} is the most that it can take"
                )
                yield Breach(4, start.endpoint, description)
                break


def _by_request(log: Log) -> dict[str, list[Received]]:
    """Groups the attempts by request, each group ordered by the time of the first byte."""
    attempts_by_request: dict[str, list[Received]] = defaultdict(list)
    for attempt in sorted(log.received, key=lambda r: r.first_byte_at):
        attempts_by_request[attempt.request].append(attempt)
    return attempts_by_request
