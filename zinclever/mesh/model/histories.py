"""Histories of operators' calls, and a check whether a history is linearizable. No I/O.

The configuration is a register: a change names the version that it is based on, and a read returns the current version.
Each call takes effect at one instant between its beginning and its end; a call without a clear answer takes effect at
any instant after its beginning, or never. The algorithm is that of Testing for Linearizability (Wing and Gong, 1993),
with memoized search states (Lowe, 2017).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MAX_SEARCH_STATES = 2_000_000  # search states after which the check of a history is given up


class CallOutcome(Enum):
    """How a call was answered."""

    DONE = "200"
    STALE = "412: another version is current"
    GENERATION_TOO_LOW = "400: the number is not above the current one"
    INDETERMINATE = "no clear answer"


@dataclass(slots=True, unsafe_hash=True)
class Call:
    """An operator's change (``put``) or read (``get``), and how it was answered.

    ``generation`` is the one that a change creates, or the one that a read returned; ``variant`` distinguishes
    texts of the same generation. Instants are in s.
    """

    began: float
    ended: float
    kind: str
    generation: int
    base: int = 0
    outcome: CallOutcome = CallOutcome.INDETERMINATE
    variant: int = 0


class SearchLimitExceeded(Exception):
    """The check of a history took too many search states."""


class Version(NamedTuple):
    """A version of the configuration."""

    generation: int
    variant: int = 0


class ChangeId(NamedTuple):
    """Identifies a change: calls with the same id are retries of one change."""

    base: int
    version: Version


class SearchState(NamedTuple):
    """What a prefix of an order of the calls has led to."""

    done: int
    """A bit for each call with a clear answer that is in the prefix."""
    version: Version
    """The current version."""
    applied: frozenset[ChangeId]


def is_linearizable(history: Sequence[Call], initial_generation: int = 0) -> bool:
    """Return whether some order of the calls, consistent with their beginnings and ends, explains all answers.

    ``initial_generation`` is the generation that was current before the first call.

    Raises:
        SearchLimitExceeded: the history allows too many orders.
    """
    calls = [c for c in history if c.kind == "put" or c.outcome is CallOutcome.DONE]
    ends = [math.inf if c.outcome is CallOutcome.INDETERMINATE else c.ended for c in calls]
    required = sum(1 << n for n, c in enumerate(calls) if c.outcome is not CallOutcome.INDETERMINATE)
    visited: set[SearchState] = set()
    stack = [SearchState(0, Version(initial_generation), frozenset())]
    while stack:
        state = stack.pop()
        done = state.done
        if done & required == required:
            return True
        if state in visited:
            continue
        visited.add(state)
        if len(visited) > MAX_SEARCH_STATES:
            raise SearchLimitExceeded(f"{len(calls)} calls allow too many orders to check")
        remaining = [n for n in range(len(calls)) if not done >> n & 1]
        first_end = min(ends[n] for n in remaining)
        for n in remaining:
            if calls[n].began <= first_end:
                successor = apply_call(calls[n], state)
                if successor is not None:
                    stack.append(successor._replace(done=done | (1 << n & required)))
    return False


def apply_call(call: Call, state: SearchState) -> SearchState | None:
    """Return the state after a call takes effect, or None if its answer is impossible in this state."""
    version = Version(call.generation, call.variant)
    if call.kind == "get":
        return state if version == state.version else None
    change = ChangeId(call.base, version)
    current = state.version.generation
    if change in state.applied:  # a retry gets the same answer, or no clear one
        return state if call.outcome is CallOutcome.DONE else None
    if call.outcome is CallOutcome.STALE:
        return state if call.base != current else None
    if call.outcome is CallOutcome.GENERATION_TOO_LOW:
        return state if call.base == current and call.generation <= current else None
    if call.base != current or call.generation <= current:
        return None  # a call without a clear answer need not take effect
    return state._replace(version=version, applied=state.applied | {change})
