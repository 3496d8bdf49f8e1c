"""A process's figures, in statsd's line format as its protocol page has it: ``name:value|c`` and ``name:value|g``.

No I/O and no clock. Counts begin at 0 with the process; names hold a class's name as it is told, with what the format
itself uses replaced.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ..core.counts import Counts
from ..policy import Balancer

PREFIX = "lb"
NAME = re.compile(r"[^A-Za-z0-9_-]")  # dots part names, colons and bars end them


class Levels(NamedTuple):
    """What holds at this moment, and what the wire has counted."""

    dispatches: int
    """Attempts whose last byte was handed over to endpoints, since the start."""

    concurrent: int
    """Requests taken and not yet ended."""
    targets: int
    """Endpoints in the list, draining ones among them."""
    disabled: int
    """Of these, those that are avoided."""


def avoided(balancer: Balancer, now: float) -> int:
    """Listed endpoints that get nothing new at this instant (ms): they drain or are taken to be down."""
    return sum(1 for e in balancer.endpoint_list.endpoints.values() if e.phase == "draining" or e.down_until > now)


def lines(counts: Counts, classes: Mapping[str, int], levels: Levels) -> Iterator[str]:
    """The lines of one answer. ``classes``: those that are told now, with no count of theirs yet perhaps."""
    for name in sorted({*classes, *counts.replies}):
        replies = counts.of(name)
        at = f"{PREFIX}.replies.{NAME.sub('_', name)}"
        yield f"{at}.success:{replies.served}|c"
        yield f"{at}.overload:{replies.refused}|c"
        yield f"{at}.error:{replies.failed}|c"
    yield f"{PREFIX}.dispatches:{levels.dispatches}|c"
    yield f"{PREFIX}.concurrent:{levels.concurrent}|g"
    yield f"{PREFIX}.targets:{levels.targets}|g"
    yield f"{PREFIX}.targets_disabled:{levels.disabled}|g"


def text(counts: Counts, classes: Mapping[str, int], levels: Levels) -> bytes:
    return "".join(f"{line}\n" for line in lines(counts, classes, levels)).encode()
