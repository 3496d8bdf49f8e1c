"""What an endpoint does with a request, scripted or drawn from a seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random


class Fault(enum.Enum):
    """The ways in which an endpoint may go wrong."""

    NONE = "runs it and answers"
    SILENCE = "never runs it and says nothing"
    SWALLOW = "runs it and says nothing"
    BREAK_BEFORE = "never runs it and ends the connection"
    BREAK_AT = "runs it and ends the connection after some bytes of the answer"
    SPOILT = "runs it and answers with what is no answer"
    BEYOND = "runs it, answers, and sends noise behind"
    ERROR = "runs it and tells of an internal error"
    DECLINE = "never runs it and says so"


#: Faults that leave the request undone.
UNDONE = frozenset({Fault.SILENCE, Fault.BREAK_BEFORE, Fault.DECLINE})


@dataclass(frozen=True, slots=True)
class Step:
    """What is done with one request."""

    fault: Fault = Fault.NONE
    delay: float = 0.0
    """s before the answer, or before whatever stands for it."""
    at_byte: int = 0
    """Bytes of the answer that go out before the connection breaks."""


#: Told of a request, says what is done with it.
Plan = Callable[[str], Step]


def always(fault: Fault = Fault.NONE, delay: float = 0.0, at_byte: int = 0) -> Plan:
    step = Step(fault, delay, at_byte)
    return lambda request: step


def in_turn(*steps: Step) -> Plan:
    """One step after another, then the last one for ever."""
    left = list(steps)
    return lambda request: left.pop(0) if len(left) > 1 else left[0]


def seeded(seed: int, shares: Mapping[Fault, float], most_delay: float) -> Plan:
    """Each request's step drawn from a seed: faults by their shares, the rest served, delays up to a bound.

    ``most_delay``: s.
    """
    rng = Random(seed)
    faults = list(shares)
    weights = [shares[f] for f in faults]
    calm = 1.0 - sum(weights)

    def plan(request: str) -> Step:
        fault = rng.choices([Fault.NONE, *faults], [calm, *weights])[0]
        return Step(fault, rng.random() * most_delay, rng.randrange(40))

    return plan
