"""Test harness: what a client's request asks of the endpoint that executes it.

The endpoint reads it from a header, so that it works on a request in the same way however often the request is sent.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from mesh.early_endpoint import Way

WORK_HEADER = "X-Work"
DEFAULT_DEADLINE = 2.0  # s; longer than the silence after which a link is aborted (1 s)
LONG_DEADLINE = 3.0  # s; that of the routes of cluster.config
DEFAULT_SERVICE_TIME = 0.01  # s
LONG_SERVICE_TIME = 2.7  # s
BODY_SIZES = (0, 600, 70_000, 1 << 20, 8 << 20)  # bytes
BODY_WEIGHTS = (60, 20, 12, 6, 2)
ORDINARY_SHARE = 0.8  # of the requests
LONG_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Work:
    """How long a request takes, how its endpoint works on it, and how large its body is."""

    way: Way = Way.READ_FIRST
    service_time: float = DEFAULT_SERVICE_TIME
    body_size: int = 0
    """Bytes in addition to those that name the request."""
    deadline: float = DEFAULT_DEADLINE

    def header(self) -> str:
        """Return the header of the request."""
        return f"{WORK_HEADER}: {self.way.name} {self.service_time}"


ORDINARY = Work()


def parse(header: str) -> Work:
    """Return the work of a request by its header; ordinary work if it has none."""
    if not header:
        return ORDINARY
    way, service_time = header.split()
    return Work(Way[way], float(service_time))


def draw(rng: random.Random) -> Work:
    """Draw work: mostly ordinary, at times long, with a long body, or on an endpoint that works before it is in."""
    body_size = rng.choices(BODY_SIZES, BODY_WEIGHTS)[0]
    if rng.random() < LONG_SHARE:
        return Work(Way.READ_FIRST, LONG_SERVICE_TIME, body_size, LONG_DEADLINE)
    if rng.random() < ORDINARY_SHARE:
        return Work(body_size=body_size)
    return Work(rng.choice(list(Way)), rng.choice((0.0, DEFAULT_SERVICE_TIME, 0.3)), body_size)
