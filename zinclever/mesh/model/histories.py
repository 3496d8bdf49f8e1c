"""Histories of operators' calls, and whether one order of them explains what each was told. Pure.

The configuration is a register: a change names the version that it builds on, a read gives the version in force. Each
call takes effect at one instant between its beginning and its end; one without a clear answer at any instant after its
beginning, or never. Source: Testing for Linearizability (Wing and Gong, 1993), with what has been tried remembered
(Lowe, 2017).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MOST_TRIED = 2_000_000  # states looked at before a history is given up


class Told(Enum):
    """What a call was answered with."""

    DONE = "200"
    STALE = "412: another version is current"
    GENERATION_TOO_LOW = "400: the number is not above the current one"
    INDETERMINATE = "no clear answer"


@dataclass(slots=True, unsafe_hash=True)
class Call:
    """``generation``: of a change, the version that it makes; of a read, the one it was told. ``variant``: which of
    several texts under that number. Instants in s."""

    began: float
    ended: float
    kind: str
    generation: int
    base: int = 0
    told: Told = Told.INDETERMINATE
    variant: int = 0


class Undecided(Exception):
    """The history is too long to be judged."""


class Version(NamedTuple):
    """A configuration in force."""

    generation: int
    variant: int = 0


class Change(NamedTuple):
    """What makes two calls the same change."""

    base: int
    version: Version


class State(NamedTuple):
    """Which calls with a clear answer have had their turn (bits), the version in force, all changes that were taken."""

    done: int
    version: Version
    taken: frozenset[Change]


def is_linearizable(history: Sequence[Call], first: int = 0) -> bool:
    """Whether some order of the calls that keeps to their instants explains all answers; ``first``: the version that
    was in force before. Undecided where there are too many orders."""
    calls = [c for c in history if c.kind == "put" or c.told is Told.DONE]
    ends = [math.inf if c.told is Told.INDETERMINATE else c.ended for c in calls]
    owed = sum(1 << n for n, c in enumerate(calls) if c.told is not Told.INDETERMINATE)
    tried: set[State] = set()
    stack = [State(0, Version(first), frozenset())]
    while stack:
        state = stack.pop()
        done = state.done
        if done & owed == owed:
            return True
        if state in tried:
            continue
        tried.add(state)
        if len(tried) > MOST_TRIED:
            raise Undecided(f"{len(calls)} calls")
        left = [n for n in range(len(calls)) if not done >> n & 1]
        before = min(ends[n] for n in left)
        for n in left:
            if calls[n].began <= before:
                follows = after(calls[n], state)
                if follows is not None:
                    stack.append(follows._replace(done=done | (1 << n & owed)))
    return False


def after(call: Call, state: State) -> State | None:
    """What is in force after a call takes effect, and what was taken; None where it can't have been told what it
    was."""
    version = Version(call.generation, call.variant)
    if call.kind == "get":
        return state if version == state.version else None
    change = Change(call.base, version)
    current = state.version.generation
    if change in state.taken:  # the same change again is told the same, or nothing that is clear
        return state if call.told is Told.DONE else None
    if call.told is Told.STALE:
        return state if call.base != current else None
    if call.told is Told.GENERATION_TOO_LOW:
        return state if call.base == current and call.generation <= current else None
    if call.base != current or call.generation <= current:
        return None  # without a clear answer it need have no turn
    return state._replace(version=version, taken=state.taken | {change})
