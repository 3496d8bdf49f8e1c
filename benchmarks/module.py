"""CPU time per request of the balancer alone, in µs, by the number of endpoints; compares checkouts.

python -m benchmarks.module [DIR]
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

SIZES = (8, 50, 500, 2000, 10000)
ROUNDS = 5
SCRIPT = r"""
import sys, time
from zinclever import (Balancer, Settings)
from zinclever import interface

size, inflight = int(sys.argv[1]), int(sys.argv[2])
limits = interface.Limits(max_attempts=3, cancel=True, second_copies=True, connect_timeout=250.0)
classes = (interface.RequestClass(aim=200.0, deadline=900.0, repeat="idempotent", name="read"),)
b = Balancer(Settings(classes=classes, limits=limits), 1)
b.handle(0.0, interface.MembershipUpdate("whole", [interface.ListedEndpoint(f"e{n}", zone=n % 2) for n in range(size)]))
now, in_flight, count, spent = 1000.0, [], 0, 0.0
total = 3000 if size < 5000 else 1500
while count < total:
    now += 1.0
    name = f"r{count}"
    began = time.process_time_ns()
    for a in b.handle(now, interface.RequestArrived(name, 0, now + 900.0)):
        if isinstance(a, interface.Send):
            in_flight.append((a.request, a.endpoint, now))
    if len(in_flight) > inflight:
        request, endpoint, at = in_flight.pop(0)
        b.handle(now, interface.AttemptEnded(request, 0, endpoint, "served", now - at, True))
    spent += time.process_time_ns() - began
    count += 1
print(spent / total / 1000.0)
"""


def cost(tree: Path, size: int, inflight: int) -> float:
    """Returns µs per request: the minimum of several runs, since other load on the machine only adds to it."""
    runs = [
        subprocess.run(
            [sys.executable, "-c", SCRIPT, str(size), str(inflight)],
            cwd=tree,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for _ in range(ROUNDS)
    ]
    return min(map(float, runs))


def main() -> None:
    """Prints the CPU time for each size and number of requests in flight."""
    trees = {"this": Path(__file__).parent.parent} | {n: Path(n) for n in sys.argv[1:]}
    for inflight in (4, 64, 512):
        for size in SIZES:
            results = "   ".join(f"{name}: {cost(tree, size, inflight):7.1f} us" for name, tree in trees.items())
            print(f"{size:6} endpoints, {inflight:3} in flight   {results}", flush=True)


if __name__ == "__main__":
    main()
