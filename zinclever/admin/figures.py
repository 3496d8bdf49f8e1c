"""Metrics of a process in the statsd line format: ``name:value|c`` for counters, ``name:value|g`` for gauges.

No I/O and no clock. Counters start at 0 with the process. Metric names include the class's name, with the characters
that the format reserves replaced.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ..core.counts import Counts
from ..policy import Balancer

PREFIX = "lb"
RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")  # dots separate the parts of a name, colons and bars end it


class Gauges(NamedTuple):
    """Current values, and the dispatch counter of the wire."""

    dispatches: int
    """Attempts whose last byte was sent to an endpoint, since the start of the process."""
    concurrent: int
    """Requests in progress."""
    targets: int
    """Endpoints in the list, including draining ones."""
    disabled: int
    """Endpoints in the list that get no new requests."""


def count_disabled(balancer: Balancer, now: float) -> int:
    """Returns the number of listed endpoints that get no new requests at ``now`` (ms): draining or presumed down."""
    return sum(1 for e in balancer.endpoint_list.endpoints.values() if e.phase == "draining" or e.down_until > now)


def lines(counts: Counts, classes: Mapping[str, int], gauges: Gauges) -> Iterator[str]:
    """Yields the metric lines. ``classes`` are those of the current settings, also those without any count yet."""
    for name in sorted({*classes, *counts.replies}):
        replies = counts.of(name)
        prefix = f"{PREFIX}.replies.{RESERVED_CHARACTERS.sub('_', name)}"
        yield f"{prefix}.success:{replies.served}|c"
        yield f"{prefix}.overload:{replies.refused}|c"
        yield f"{prefix}.error:{replies.failed}|c"
    yield f"{PREFIX}.dispatches:{gauges.dispatches}|c"
    yield f"{PREFIX}.concurrent:{gauges.concurrent}|g"
    yield f"{PREFIX}.targets:{gauges.targets}|g"
    yield f"{PREFIX}.targets_disabled:{gauges.disabled}|g"


def render(counts: Counts, classes: Mapping[str, int], gauges: Gauges) -> bytes:
    """Returns the metrics as the body of one answer."""
    return "".join(f"{line}\n" for line in lines(counts, classes, gauges)).encode()
