"""The four rules, checked on a log. Pure: it reads a log and names every breach."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from .log import Answered, Asked, Log, Received


class Breach(NamedTuple):
    """One rule broken once."""

    rule: int
    """1: one final answer in time; 2: no effect twice; 3: drains; 4: cold endpoints."""
    about: str
    """The request or the endpoint."""
    what: str


ROUNDING = 1e-9  # what a sum of works may be off by


@dataclass(frozen=True, slots=True)
class Terms:
    """The figures of the rules, in ms."""

    slack: float = 250.0
    """What the machine may take between a write and the reader's noting it."""
    drain_grace: float = 1000.0
    cold_share: float = 0.2
    cold_for: float = 10000.0
    overload_factor: float = 3.0
    overload_for: float = 2000.0


def audit(log: Log, terms: Terms | None = None) -> list[Breach]:
    """Every breach of the four rules that the log shows, by rule."""
    held = terms or Terms()
    return [*_answers(log, held), *_effects(log, held), *_drains(log, held), *_cold(log, held)]


# --- rule 1 ---


def _answers(log: Log, terms: Terms) -> Iterator[Breach]:
    """Each request taken gets one final answer in its time, made for it; nothing goes out for it after."""
    answers: dict[str, list[Answered]] = defaultdict(list)
    for answer in log.answered:
        answers[answer.request].append(answer)
    received = _by_request(log)
    left = {x.request: x.at for x in log.left}
    asked = {a.request: a for a in log.asked}
    for request in answers.keys() - asked.keys():
        yield Breach(1, request, "answered, but never asked")
    for request in received.keys() - asked.keys():
        yield Breach(1, request, "sent to an endpoint, but never asked")
    for request, ask in asked.items():
        got = answers[request]
        if not ask.answered:
            if got:
                yield Breach(1, request, "an answer to what is owed none")
            continue
        if len(got) > 1:
            yield Breach(1, request, f"{len(got)} final answers")
        if not got:
            if request not in left:
                yield Breach(1, request, "no final answer")
            over = left.get(request)
        else:
            over = got[0].at
            if got[0].at > ask.at + ask.wait + terms.slack:
                yield Breach(1, request, f"answered {got[0].at - ask.at - ask.wait:.0f} ms late")
            if got[0].kind == "served" and got[0].made not in {r.made for r in received[request] if r.made}:
                yield Breach(1, request, "served with what no endpoint made for it")
        for attempt in received[request]:
            if over is not None and attempt.first > over + terms.slack:
                late = attempt.first - over
                yield Breach(1, request, f"sent to {attempt.endpoint} {late:.0f} ms after its end")


# --- rule 2 ---


def _effects(log: Log, terms: Terms) -> Iterator[Breach]:
    """No effect twice, and no refusal of what may have had one."""
    received = _by_request(log)
    refused = {a.request for a in log.answered if a.kind == "refused"}
    keyed: dict[str, list[tuple[Asked, Received]]] = defaultdict(list)
    for ask in log.asked:
        attempts = received[ask.request]
        doubtful = [a for a in attempts if not a.proved]
        if ask.effect == "at_most_once":
            yield from _unsafe(ask, attempts, doubtful)
            if ask.request in refused and doubtful:
                yield Breach(2, ask.request, f"refused, but {doubtful[0].endpoint} may have run it")
        elif ask.effect == "deduplicated":
            keyed[ask.key].extend((ask, a) for a in attempts if a.ran)
            if ask.request in refused and doubtful and ask.group != "all":
                yield Breach(2, ask.request, "refused, but a repeat may reach another group")
            yield from _late_copies(ask, doubtful, terms)
    for key, runs in keyed.items():
        yield from _keyed(key, runs)


def _unsafe(ask: Asked, attempts: list[Received], doubtful: list[Received]) -> Iterator[Breach]:
    runs = sum(a.ran for a in attempts)
    if runs > 1:
        yield Breach(2, ask.request, f"unsafe, and ran {runs} times")
    if doubtful:
        later = attempts[attempts.index(doubtful[0]) + 1 :]
        if later:
            yield Breach(2, ask.request, f"sent to {later[0].endpoint} again, though it may have run")


def _late_copies(ask: Asked, doubtful: list[Received], terms: Terms) -> Iterator[Breach]:
    """A keyed request goes again inside its group and window only, from the first that may have run."""
    for again in doubtful[1:]:
        first = doubtful[0]
        if again.first > first.at + ask.window + terms.slack:
            yield Breach(2, ask.request, f"keyed, sent again {again.first - first.at:.0f} ms later")
        if ask.group == "zone" and again.zone != first.zone:
            yield Breach(2, ask.request, f"keyed, sent to zone {again.zone} after {first.zone}")


def _keyed(key: str, runs: list[tuple[Asked, Received]]) -> Iterator[Breach]:
    """The same request run twice under one key has one effect only inside the group and the window."""
    for n, (ask, run) in enumerate(runs):
        for other, earlier in runs[:n]:
            if other.request != ask.request:
                continue  # a client's own repeat: what it may do is its own to know
            apart = ask.group == "zone" and run.zone != earlier.zone
            if apart or abs(run.at - earlier.at) > ask.window:
                yield Breach(2, ask.request, f"key {key}: a second effect on {run.endpoint}")


# --- rules 3 and 4 ---


def _drains(log: Log, terms: Terms) -> Iterator[Breach]:
    """Nothing new to an endpoint later than its grace after it is told to drain or go."""
    bans: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for told in log.told:
        spans = bans[told.to, told.endpoint]
        open_now = bool(spans) and spans[-1][1] == float("inf")
        if told.phase == "ready":
            if open_now:
                spans[-1] = spans[-1][0], told.at
        elif not open_now:
            spans.append((told.at, float("inf")))
    for attempt in log.received:
        for since, until in bans.get((attempt.via, attempt.endpoint), ()):
            if since + terms.drain_grace + terms.slack < attempt.first < until:
                late = attempt.first - since
                yield Breach(3, attempt.endpoint, f"sent {attempt.request} {late:.0f} ms after the telling")


def _cold(log: Log, terms: Terms) -> Iterator[Breach]:
    """No cold endpoint gets more than the multiple of its present capacity for as long as pushes it over."""
    for start in log.started:
        got = sorted(
            (r.at, r.work)
            for r in log.received
            if r.endpoint == start.endpoint and start.at <= r.at < start.at + terms.cold_for
        )
        begin, sent = 0, 0.0
        for at, work in got:
            sent += work
            while got[begin][0] <= at - terms.overload_for:
                sent -= got[begin][1]
                begin += 1
            warm = min(1.0, (at - start.at) / terms.cold_for)
            capacity = start.capacity * (terms.cold_share + (1.0 - terms.cold_share) * warm)
            most = max(1.0, terms.overload_factor * capacity * terms.overload_for / 1000.0)
            if sent > most + ROUNDING:
                what = f"{sent:g} requests in {terms.overload_for:.0f} ms; {most:.0f} push it over"
                yield Breach(4, start.endpoint, what)
                break


def _by_request(log: Log) -> dict[str, list[Received]]:
    found: dict[str, list[Received]] = defaultdict(list)
    for attempt in sorted(log.received, key=lambda r: r.first):
        found[attempt.request].append(attempt)
    return found
