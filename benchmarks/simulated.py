"""What simulated time costs, and what a callback of the real program costs (for ``[sidecar] callback_us`` of a day).

python -m benchmarks.simulated             # requests a second of one core, by size of the world
python -m benchmarks.simulated profile     # whose CPU it is: the program's or the world's
python -m benchmarks.simulated callback    # CPU of a real sidecar for each callback that the same load makes here
python -m benchmarks.simulated soak        # an hour: what 4 sidecars hold, and their descriptors, every 10 minutes
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
    for sidecars, servers in SIZES:
        world = World(draw("calm", 1, sidecars, servers, SECONDS))
        began = time.process_time()
        found = world.play()
        spent = time.process_time() - began
        requests = found["requests"]
        print(
            f"{sidecars:4} sidecars {servers:3} endpoints: {requests / spent:6.0f} requests a second of a core, "
            f"{found['attempts'] / requests:.2f} attempts and {world.scheduler.ran / requests:.0f} events a request",
            flush=True,
        )


def owner(file: str, name: str) -> str:
    """Whose code a function is; "" for one of the interpreter's, which belongs to its callers."""
    if "zinclever" in file and any(part in file for part in WORLD):
        return "world"
    if "zinclever" in file or "zinclever" in name:
        return "program"
    if "asyncio" in file:
        return "asyncio"
    return ""


def profile() -> None:
    """Own time of each function; what the interpreter and libraries do is their callers'.

    The program has to run as text: calls of compiled functions can't be told apart.
    """
    if os.environ.get(VARIABLE) != TEXT:
        again = [sys.executable, "-m", "benchmarks.simulated", "profile"]
        os.execve(sys.executable, again, os.environ | {VARIABLE: TEXT})
    world = World(draw("calm", 1, 100, 18, SECONDS))
    profiler = cProfile.Profile()
    profiler.enable()
    world.play()
    profiler.disable()
    stats: dict[Any, Any] = pstats.Stats(profiler).stats  # type: ignore[attr-defined]
    spent: Counter[str] = Counter()
    for (file, _, name), (_, _, own, _, callers) in stats.items():
        if mine := owner(file, name):
            spent[mine] += own
        else:
            for (caller, _, said), (_, _, part, _) in callers.items():
                spent[owner(caller, said) or "libraries"] += part
    whole = sum(spent.values())
    for name, own in spent.most_common():
        print(f"{name:<10}{own / whole:6.1%}")


def callbacks_a_request() -> float:
    """Of one sidecar on a calm day with no copies to speak of."""
    world = World(draw("calm", 1, 1, 6, SECONDS, 60.0))
    found = world.play()
    tries: int = found["tries"]
    callbacks = sum(s.callbacks for s in world.sidecars)
    return float(callbacks / tries)


def callback() -> None:
    """The real program under one busy client and under 32, with its modules compiled and not."""
    count = callbacks_a_request()
    print(f"{count:.1f} callbacks a request")
    told = os.environ.get(VARIABLE)
    for name, value in (("compiled", told), ("not compiled", TEXT)):
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


def held() -> Counter[str]:
    """The program's own objects, by class, in all sidecars together."""
    gc.collect()
    found: Counter[str] = Counter()
    for x in gc.get_objects():
        module = str(type(x).__module__)
        if module.startswith("zinclever.") and not any(part in f"/{module.replace('.', '/')}/" for part in WORLD):
            found[type(x).__name__] += 1
    return found


def soak() -> None:
    world = World(draw("soak", 1, 4, 4, HOUR, 30.0))

    def look() -> None:
        counts = held()
        most = ", ".join(f"{name} {count}" for name, count in counts.most_common(8))
        open_now = [len(s.loop.descriptors.open) if s.loop is not None else 0 for s in world.sidecars]
        print(f"{world.now() // NS:5} s: {counts.total()} objects ({most}); descriptors {open_now}", flush=True)
        if not world.closing:
            world.scheduler.after(SOAK_STEP, look)

    world.scheduler.after(SOAK_STEP // 10, look)
    found = world.play()
    print({name: found[name] for name in ("requests", "goal", "breaches", "fallen", "descriptors_most")})


def main() -> None:
    shown: dict[str, Callable[[], None]] = {"speed": speed, "profile": profile, "callback": callback, "soak": soak}
    shown[sys.argv[1] if len(sys.argv) > 1 else "speed"]()


if __name__ == "__main__":
    main()
