"""CPU cost of the simulation, and of a callback of the real program (for ``[sidecar] callback_us`` of a day).

python -m benchmarks.simulated             # simulated requests per second on one core, by size of the world
python -m benchmarks.simulated profile     # shares of CPU time: program, simulated world, asyncio, libraries
python -m benchmarks.simulated callback    # CPU time of a real sidecar per callback that the simulation counts
python -m benchmarks.simulated soak        # one hour: objects and descriptors of 4 sidecars, every 10 minutes
"""

from __future__ import annotations

import cProfile
import gc
import os
import pstats
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from zinclever.native import TEXT, VARIABLE
from zinclever.sim.days import draw
from zinclever.sim.world import World
from zinclever.simnet.scheduler import NS

from .jsonrpc import ROOT, HttpCaller, HttpEcho, cpu_of, endpoints, measure, sidecar

SIZES = ((4, 4), (50, 12), (100, 18), (420, 51))  # sidecars and endpoints
SECONDS = 10.0
WORLD = ("/simnet/", "/sim/", "/standins/")
ROUNDS = 5
HOUR = 3600.0
SOAK_STEP = 600 * NS


def speed() -> None:
    """Prints the speed of the simulation for worlds of several sizes."""
    for sidecars, servers in SIZES:
        world = World(draw("calm", 1, sidecars, servers, SECONDS))
        started = time.process_time()
        figures = world.play()
        cpu_time = time.process_time() - started
        requests = figures["requests"]
        print(
            f"{sidecars:4} sidecars {servers:3} endpoints: {requests / cpu_time:6.0f} requests a second of a core, "
            f"{figures['attempts'] / requests:.2f} attempts and {world.scheduler.ran / requests:.0f} events a request",
            flush=True,
        )


def owner(file: str, name: str) -> str:
    """Returns which part a function belongs to; "" for a built-in or library function, which its callers own."""
    if "zinclever" in file and any(part in file for part in WORLD):
        return "world"
    if "zinclever" in file or "zinclever" in name:
        return "program"
    if "asyncio" in file:
        return "asyncio"
    return ""


def profile() -> None:
    """Prints the share of each part in the CPU time; time in built-ins and libraries counts for their callers.

    The program must run uncompiled, since the profiler can't distinguish calls of compiled functions.
    """
    if os.environ.get(VARIABLE) != TEXT:
        command = [sys.executable, "-m", "benchmarks.simulated", "profile"]
        os.execve(sys.executable, command, os.environ | {VARIABLE: TEXT})
    world = World(draw("calm", 1, 100, 18, SECONDS))
    profiler = cProfile.Profile()
    profiler.enable()
    world.play()
    profiler.disable()
    stats: dict[Any, Any] = pstats.Stats(profiler).stats  # type: ignore[attr-defined]
    spent: Counter[str] = Counter()
    for (file, _, name), (_, _, own, _, callers) in stats.items():
        if part_name := owner(file, name):
            spent[part_name] += own
        else:
            for (caller, _, caller_name), (_, _, share, _) in callers.items():
                spent[owner(caller, caller_name) or "libraries"] += share
    total = sum(spent.values())
    for name, own in spent.most_common():
        print(f"{name:<10}{own / total:6.1%}")


def callbacks_per_request() -> float:
    """Returns the callbacks per request of one sidecar on a calm day, with hardly any hedged requests."""
    world = World(draw("calm", 1, 1, 6, SECONDS, 60.0))
    figures = world.play()
    tries: int = figures["tries"]
    callbacks = sum(s.callbacks for s in world.sidecars)
    return float(callbacks / tries)


def callback() -> None:
    """Prints the CPU time of the real program with 1 and 32 busy clients, with compiled and uncompiled modules."""
    count = callbacks_per_request()
    print(f"{count:.1f} callbacks a request")
    native_setting = os.environ.get(VARIABLE)
    for name, value in (("compiled", native_setting), ("not compiled", TEXT)):
        if value is not None:
            os.environ[VARIABLE] = value
        with endpoints(HttpEcho, 6) as ports, sidecar(ROOT, [], ports, 4) as (pid, _, port):
            for clients in (1, 32):
                spent = []
                for _ in range(ROUNDS):
                    before = cpu_of(pid)
                    spans = measure(HttpCaller, port, clients, 5, 1.0)
                    spent.append(1e6 * (cpu_of(pid) - before) / len(spans))
                cpu = statistics.median(spent)
                print(f"{name}, {clients} clients: {cpu:.0f} us a request, {cpu / count:.1f} us a callback", flush=True)


def count_objects() -> Counter[str]:
    """Counts the program's own objects by class, in all sidecars together."""
    gc.collect()
    counts: Counter[str] = Counter()
    for x in gc.get_objects():
        module = str(type(x).__module__)
        if module.startswith("zinclever.") and not any(part in f"/{module.replace('.', '/')}/" for part in WORLD):
            counts[type(x).__name__] += 1
    return counts


def soak() -> None:
    """Simulates an hour and prints live objects and open descriptors."""
    world = World(draw("soak", 1, 4, 4, HOUR, 30.0))

    def print_sample() -> None:
        counts = count_objects()
        largest = ", ".join(f"{name} {count}" for name, count in counts.most_common(8))
        open_now = [len(s.loop.descriptors.open) if s.loop is not None else 0 for s in world.sidecars]
        print(f"{world.now() // NS:5} s: {counts.total()} objects ({largest}); descriptors {open_now}", flush=True)
        if not world.closing:
            world.scheduler.after(SOAK_STEP, print_sample)

    world.scheduler.after(SOAK_STEP // 10, print_sample)
    figures = world.play()
    print({name: figures[name] for name in ("requests", "goal", "breaches", "fallen", "descriptors_most")})


def main() -> None:
    """Runs the benchmark named on the command line."""
    benchmarks: dict[str, Callable[[], None]] = {"speed": speed, "profile": profile, "callback": callback, "soak": soak}
    benchmarks[sys.argv[1] if len(sys.argv) > 1 else "speed"]()


if __name__ == "__main__":
    main()
