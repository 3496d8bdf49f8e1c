"""Faults that a test endpoint injects into its handling of requests, scripted or drawn from a seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random


class Fault(enum.Enum):
    """Faults of an endpoint. The value describes what it does with the request."""

    NONE = "runs it and answers"
    SILENCE = "never runs it and says nothing"
    SWALLOW = "runs it and says nothing"
    BREAK_BEFORE = "never runs it and ends the connection"
    BREAK_AT = "runs it and ends the connection after some bytes of the answer"
    SPOILT = "runs it and answers with what is no answer"
    BEYOND = "runs it, answers, and sends noise behind"
    ERROR = "runs it and tells of an internal error"
    DECLINE = "never runs it and says so"


#: Faults with which the request is not executed.
UNDONE = frozenset({Fault.SILENCE, Fault.BREAK_BEFORE, Fault.DECLINE})


@dataclass(frozen=True, slots=True)
class Step:
    """How one request is handled."""

    fault: Fault = Fault.NONE
    delay: float = 0.0
    """Delay in s before the answer, or before the fault in its place."""
    at_byte: int = 0
    """Number of bytes of the answer that are sent before the connection is closed."""


#: Maps the name of a request to the step with which it is handled.
Plan = Callable[[str], Step]


def always(fault: Fault = Fault.NONE, delay: float = 0.0, at_byte: int = 0) -> Plan:
    """Returns a plan that handles all requests in the same way."""
    step = Step(fault, delay, at_byte)
    return lambda request: step


def in_turn(*steps: Step) -> Plan:
    """Returns a plan that uses one step per request, in order, and the last step for all further requests."""
    remaining = list(steps)
    return lambda request: remaining.pop(0) if len(remaining) > 1 else remaining[0]


def seeded(seed: int, shares: Mapping[Fault, float], max_delay: float) -> Plan:
    """Returns a plan that draws the step of each request from a seed.

    Args:
        seed: Seed of the random numbers.
        shares: Probability of each fault; all other requests are served.
        max_delay: Upper bound of the delay, in s.
    """
    rng = Random(seed)
    faults = list(shares)
    weights = [shares[f] for f in faults]
    fault_free_share = 1.0 - sum(weights)

    def plan(request: str) -> Step:
        fault = rng.choices([Fault.NONE, *faults], [fault_free_share, *weights])[0]
        return Step(fault, rng.random() * max_delay, rng.randrange(40))

    return plan
