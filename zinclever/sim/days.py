"""The kinds of days: each is a generator that draws the injected faults of a day from a seed."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from .model import READER_REQUESTS, UPSTREAM_SERVERS, Day, FaultEvent

DEFAULT_LOAD = 0.62  # fraction of the fleet's capacity that is requested if no rate is given
CACHE_SAVING = 0.15  # fraction of the work that the servers' key caches save on an ordinary day

FaultGenerator = Callable[[Random, float], Sequence[FaultEvent]]
"""Takes a random generator and the length of the day in seconds; returns the faults to inject."""


def uniform(rng: Random, low: float, high: float) -> float:
    """Return a uniform random number, rounded so that day files stay readable."""
    return round(rng.uniform(low, high), 2)


def start_time(rng: Random, seconds: float) -> float:
    """Draw the start of a fault in seconds, early enough for the recovery to fall within the day."""
    return uniform(rng, 0.15 * seconds, 0.3 * seconds)


def calm(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """No faults."""
    return ()


def silent(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Up to 17 % of the servers accept requests but do not answer for 7 to 23 s."""
    return [FaultEvent("silent", start_time(rng, seconds), uniform(rng, 7.2, 23.0), uniform(rng, 0.1, 0.17))]


def late(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Load reports are delayed by an additional 0.5 to 5 s."""
    return [
        FaultEvent(
            "late_reports", start_time(rng, seconds), uniform(rng, 11.0, 26.0), factor=uniform(rng, 540.0, 5000.0)
        )
    ]


def keys(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """One to three keys receive 4 to 25 % of all traffic."""
    return [
        FaultEvent(
            "hot_keys",
            start_time(rng, seconds),
            uniform(rng, 5.3, 19.0),
            uniform(rng, 0.04, 0.25),
            count=rng.randint(1, 3),
        )
    ]


def hot(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """One or a few sidecars carry 5 to 20 % of all traffic."""
    return [
        FaultEvent(
            "hot_sidecars",
            start_time(rng, seconds),
            uniform(rng, 10.0, 24.0),
            uniform(rng, 0.05, 0.2),
            count=rng.randint(1, 3),
        )
    ]


def single(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """One sidecar carries 100 times the traffic of each of the others."""
    return [FaultEvent("hot_sidecars", start_time(rng, seconds), 0.5 * seconds, count=1, factor=100.0)]


def shrink(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Traffic is halved and the fleet shrinks to 36 to 59 % of its size within 11 to 24 s."""
    return [
        FaultEvent("shrink", start_time(rng, seconds), uniform(rng, 11.0, 24.0), uniform(rng, 0.36, 0.59), factor=0.5)
    ]


def collapse(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """The fleet shrinks to 36 % within 11 s and grows again, at constant traffic."""
    start = start_time(rng, seconds)
    return [FaultEvent("shrink", start, 11.0, 0.36), FaultEvent("grow", start + 18.0, 6.0, count=-1)]


def release(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """A popular release: more traffic, concentrated on a few hot keys."""
    start, duration = start_time(rng, seconds), uniform(rng, 10.0, 20.0)
    return [
        FaultEvent("spike", start, duration, factor=uniform(rng, 1.5, 2.2)),
        FaultEvent("hot_keys", start, duration, uniform(rng, 0.1, 0.25), count=rng.randint(1, 3)),
    ]


def update(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Every sidecar is restarted within a second."""
    return [FaultEvent("restart", start_time(rng, seconds), 1.0, 1.0)]


def killed(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Every sidecar is killed with SIGKILL within a second."""
    return [FaultEvent("kill", start_time(rng, seconds), 1.0, 1.0)]


def rolling(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """A rolling restart of the sidecars, while others reload their configuration."""
    return [
        FaultEvent("restart", 0.1 * seconds, 0.6 * seconds, 0.6),
        FaultEvent("reload", 0.1 * seconds, 0.6 * seconds, 0.4),
    ]


def datacentre(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """A zone's servers vanish and come back cold."""
    return [
        FaultEvent("zone_lost", start_time(rng, seconds), uniform(rng, 10.0, 16.0), zone=rng.choice(("rvk", "kef")))
    ]


def cut(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """The network between the zones is partitioned while discovery is overloaded."""
    start, duration = start_time(rng, seconds), uniform(rng, 6.0, 14.0)
    return [FaultEvent("partition", start, duration), FaultEvent("discovery_crowded", start, duration, factor=0.3)]


def oneway(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """One-way partition: traffic enters one zone, but none leaves it."""
    return [FaultEvent("one_way", start_time(rng, seconds), uniform(rng, 3.0, 8.0), zone=rng.choice(("rvk", "kef")))]


def paused(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Some sidecar processes are paused while servers are being replaced, then resumed."""
    start = start_time(rng, seconds)
    return [
        FaultEvent("pause", start, uniform(rng, 0.5, 6.0), uniform(rng, 0.2, 0.5)),
        FaultEvent("waves", start + 0.2, 3.0, 0.3, count=1),
    ]


def slow(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """A few servers run at a hundredth of their speed."""
    return [FaultEvent("slow", start_time(rng, seconds), uniform(rng, 5.0, 10.0), uniform(rng, 0.1, 0.2), factor=100.0)]


def flapping(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Discovery repeatedly fails and recovers while servers are being replaced."""
    start = start_time(rng, seconds)
    return [
        FaultEvent("flapping", start, 0.5 * seconds, factor=uniform(rng, 0.5, 2.0)),
        FaultEvent("waves", start, 0.4 * seconds, 0.3, count=1),
    ]


def loops(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """One sidecar is in a crash loop: it dies every three seconds."""
    return [FaultEvent("restart_loop", start_time(rng, seconds), 0.6 * seconds, count=1, factor=3.0)]


def power(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """All machines lose power for 1 to 4 s."""
    return [FaultEvent("power", start_time(rng, seconds), uniform(rng, 1.0, 4.0))]


def waves(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """All servers are replaced by new ones, a few at a time."""
    return [FaultEvent("waves", start_time(rng, seconds), 0.5 * seconds, 1.0, count=rng.randint(2, 4))]


def herd(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """The whole fleet is replaced by cold servers within 9 s."""
    return [FaultEvent("waves", start_time(rng, seconds), 9.0, 1.0, count=rng.randint(3, 6))]


def directory(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Discovery is down for a while, then overloaded, while some servers vanish."""
    start, duration = start_time(rng, seconds), uniform(rng, 8.0, 14.0)
    return [
        FaultEvent("discovery_down", start, duration),
        FaultEvent("vanish", start + 1.0, 20.0, 0.1),
        FaultEvent("discovery_crowded", start + duration, 10.0, factor=0.25),
    ]


def vanish(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Machines vanish without closing their connections, and come back cold."""
    return [FaultEvent("vanish", start_time(rng, seconds), uniform(rng, 6.0, 15.0), uniform(rng, 0.1, 0.25))]


def faults(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Servers fail requests in every way that :class:`~zinclever.standins.faults.Fault` lists."""
    return [FaultEvent("faults", start_time(rng, seconds), uniform(rng, 10.0, 25.0), uniform(rng, 0.05, 0.15))]


def soak(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Soak test: servers are replaced and sidecars reload and restart throughout the day."""
    events: list[FaultEvent] = []
    for start in range(5, max(6, round(seconds)), 60):
        events += [
            FaultEvent("waves", float(start), 20.0, 0.1, count=1),
            FaultEvent("reload", start + 25.0, 10.0, 0.1),
            FaultEvent("restart", start + 30.0, 10.0, 0.02),
        ]
    return [t for t in events if t.at_s < 0.9 * seconds]


def mixed(rng: Random, seconds: float) -> Sequence[FaultEvent]:
    """Two or three of the other kinds at once."""
    kinds = [silent, late, keys, hot, shrink, release, rolling, cut, waves, vanish, faults, directory, killed]
    return [t for kind in rng.sample(kinds, rng.randint(2, 3)) for t in kind(rng, seconds)]


KINDS: dict[str, FaultGenerator] = {
    generator.__name__: generator
    for generator in (
        calm,
        silent,
        late,
        keys,
        hot,
        single,
        shrink,
        collapse,
        release,
        update,
        killed,
        rolling,
        datacentre,
        cut,
        waves,
        herd,
        directory,
        vanish,
        faults,
        soak,
        mixed,
        oneway,
        paused,
        slow,
        flapping,
        loops,
        power,
    )
}


def capacity(endpoints: int) -> float:
    """Return the requests per second that ``endpoints`` warm servers can process."""
    speed = sum(k.share * (k.speed[0] + k.speed[1]) / 2 for k in UPSTREAM_SERVERS.kinds) / sum(
        k.share for k in UPSTREAM_SERVERS.kinds
    )
    work = sum(k.share * k.work_ms for k in READER_REQUESTS) / sum(k.share for k in READER_REQUESTS) / 1000.0
    return endpoints * speed / (work * (1.0 - CACHE_SAVING))


def draw(kind: str, seed: int, sidecars: int, endpoints: int, seconds: float, rate: float = 0.0) -> Day:
    """Generate a day of the given kind.

    Raises:
        KeyError: The kind does not exist.
    """
    rng = Random(f"{kind}/{seed}")
    troubles = tuple(
        t if t.count >= 0 else FaultEvent(t.kind, t.at_s, t.for_s, count=round(0.64 * endpoints))
        for t in KINDS[kind](rng, seconds)
    )
    return Day(
        kind,
        seed,
        seconds,
        sidecars,
        endpoints,
        rate or round(DEFAULT_LOAD * capacity(endpoints), 1),
        READER_REQUESTS,
        UPSTREAM_SERVERS,
        troubles=troubles,
    )
