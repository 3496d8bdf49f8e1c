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

MOST_TRIED = 2_000_000  # states looked at before a history is given up


class Told(Enum):
    """What a call was answered with."""

    DONE = "200"
    STALE = "412: another version is current"
    UNCLEAR = "no clear answer"


@dataclass(slots=True)
class Call:
    """``generation``: of a change, the version that it makes; of a read, the one it was told. Instants in s."""

    began: float
    ended: float
    kind: str
    generation: int
    base: int = 0
    told: Told = Told.UNCLEAR


class Undecided(Exception):
    """The history is too long to be judged."""


State = tuple[int, int, frozenset[int]]
"""Which calls have had their turn (bits), the version in force, all versions that were taken."""


def linearizable(history: Sequence[Call], first: int = 0) -> bool:
    """Whether some order of the calls that keeps to their instants explains all answers; ``first``: the version that
    was in force before. Undecided where there are too many orders."""
    calls = [c for c in history if c.kind == "put" or c.told is Told.DONE]
    ends = [math.inf if c.told is Told.UNCLEAR else c.ended for c in calls]
    owed = sum(1 << n for n, c in enumerate(calls) if c.told is not Told.UNCLEAR)
    tried: set[State] = set()
    stack: list[State] = [(0, first, frozenset([first]))]
    while stack:
        state = stack.pop()
        done, version, taken = state
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
                follows = after(calls[n], version, taken)
                if follows is not None:
                    stack.append((done | 1 << n, *follows))
    return False


def after(call: Call, version: int, taken: frozenset[int]) -> tuple[int, frozenset[int]] | None:
    """What is in force after a call takes effect, and what was taken; None where it can't have been told what it
    was."""
    if call.kind == "get":
        return (version, taken) if call.generation == version else None
    again = call.generation in taken
    takes = version == call.base and not again
    if call.told is Told.STALE:
        return (version, taken) if version != call.base and not again else None
    if takes:
        return call.generation, taken | {call.generation}
    # The same change again is told the same; one without a clear answer that changes nothing need have no turn.
    return (version, taken) if again and call.told is Told.DONE else None
