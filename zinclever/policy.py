"""Every decision of the balancer. Settings, events and actions: see interface.py beside this file.

The ordinary path: a request goes to the better of two random unused ready endpoints by payoff over
(1 + own in-flight); after each fixed delay without an answer an idempotent one gets a copy on an unused
endpoint; the first good answer wins and the losers are cancelled. The rest of the file says what is ready,
when a copy is not sent, who waits when the fleet is full, and how the list of endpoints is kept up with.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random
import zlib
from collections import deque

from . import interface as i
from .fleet.limits import Budget, Calls

COPY_DELAY = 0.36  # share of a class's aim: late enough that most are answered, early enough to win in time
COPY_BUDGET = 0.2  # copies per request on the long run: what bounds the extra load
COPY_BURST = 10.0  # copies: what may be saved up of the budget
MEMORY = 2500.0  # ms: how fast payoffs forget; troubles come and go in seconds
PRIOR = 1.0  # answers: how many a server's payoff takes to outweigh the fleet's mean
PATIENCE = 1.5  # mean latencies an endpoint may be silent before its payoff drops
OVERDUE = 1.8  # mean latencies after which most attempts that are still out stay out
SLOW = 2.0  # times its own work that a request may take beyond that: a large one is not begun anew in vain
LONG = 1.5  # times the usual span after which one that is still out is taken for swallowed
SILENT = 0.08  # share of attempts that are out for so long from which on they are acted upon
SILENT_FROM = 20.0  # attempts: how many it takes to outweigh that none are
QUICK = 0.3  # share of the aim below which a class's answers show no crowd
FORGIVEN = 0.5  # of a window: as many overdue attempts at the most leave their place in it to others
FINISH = 0.7  # mean latencies that an attempt needs to have a chance of finishing
BASE_SHARE = 0.4  # share of the aim: an uncrowded fleet answers within it, or the aim would be out of reach
BASE_FROM = 50.0  # answers from which on the lowest mean is kept; before, the mean of the moment is taken
BASE_DRIFT = 0.0002  # part by which the uncrowded latency may rise again with each answer
RATE_FIRST = 100.0  # ms: the shortest record that a rate is told from
RATE_SPAN = 1000.0  # ms over which the rate of service is taken
CALM = 1.15  # times the uncrowded time for an answer below which a full window may grow
GROWTH = 0.02  # by which it then grows with each answer, to half as much again at most
SHRINK = 0.95  # factor by which that is taken back with each answer when it takes longer
PEAK_SPAN = 15000.0  # ms for which the best rate of service is remembered
SPREAD = 3.0  # deviations: room for chance above the fleet's mean number in flight
FAR_OWN = 1.0  # in flight to the other zones at least: with many balancers each, it adds up there
START_EACH = 10.0  # requests in flight an endpoint, of all balancers, that are sent before rates are known
START_SPAN = 2000.0  # ms for which a start is taken to last
START_BY = 1.5  # mean latencies before its aim by which a held request has to start
HOLD_STEP = 10.0  # ms between two looks at the held requests
RETRY_FIRST = 300.0  # ms before discovery is asked again, doubled each time
FEW = 3.0  # unused endpoints to draw two from, where hundreds of balancers share them
SHARED_BY = 10.0  # balancers to draw on each endpoint at least, so that their uneven loads even out
DEAR = 0.05  # price of crossing zones from which on home is preferred; below, the wider draw is worth more
SPILL_STEP = 0.25  # of the price: gain in aims from which on some leave the zone; it also relieves who stay
FULL_GAIN = 0.6  # chance of an answer in time that a request gains by leaving a home zone that is full
RETURN = 0.3  # answers that it takes to outweigh the guess that home is as good as the other zones
EASE = 0.5  # share of the aim that answers leave on average, below which some are held; all at half
SURE = 3.0  # attempts that tell nothing yet, and that it takes to outweigh what is usual
SHED_MOST = 0.95  # share of the demand held back at the most: the rest tells when the crowd has gone
SMALL = 4  # endpoints up to which a side is looked through: draws there hit what has been used too often
TRIES = 8  # draws that may hit what is not fit before a side is looked through
MEASURED = 256  # warm endpoints by whose answers the cold ones are measured at the most
LOOK = 64  # endpoints of a side that are looked through at the most: of more a part is, or they are drawn from
PROBES = 21  # places on a ring where a key's keeper is sought: loads differ by some 5 % then (Appleton, O'Reilly 2015)
CHANGED_FEW = 0.1  # share of the list up to which changes are taken one by one
KEYS = 32  # latest requests that a hot key is told from
WARM_GAIN = 1.4  # by how much better an endpoint counts for a key it is likely to have met
NEVER = math.inf


class Smooth:
    """A mean and a rate that forget by time, not by count."""

    __slots__ = ("at", "tau", "total", "weight")

    def __init__(self, tau: float) -> None:
        self.tau, self.total, self.weight, self.at = tau, 0.0, 0.0, -NEVER

    def add(self, now: float, value: float, weight: float = 1.0, count: float = 1.0) -> None:
        if now > self.at:
            kept = math.exp((self.at - now) / self.tau)
            self.total, self.weight, self.at = self.total * kept, self.weight * kept, now
        self.total += value * weight
        self.weight += weight * count

    def kept(self, now: float) -> float:
        return math.exp((self.at - now) / self.tau) if now > self.at else 1.0

    def mean(self, now: float, prior: float, strength: float) -> float:
        kept = self.kept(now)
        return (self.total * kept + prior * strength) / (self.weight * kept + strength)

    def rate(self, now: float) -> float:
        """Weight a millisecond."""
        return self.weight * self.kept(now) / self.tau


class Endpoint:
    """What this balancer knows of one endpoint."""

    __slots__ = (
        "cell", "down_until", "failures", "good", "inflight", "latency", "mark", "name", "near", "phase",
        "quiet_from", "quiet_to", "rank", "served", "served_at", "size", "started_at", "tokens", "tokens_at",
        "up_at", "zone",
    )

    def __init__(self, listed: i.Listed, now: float, rng: random.Random) -> None:
        self.name, self.rank, self.near = listed.endpoint, rng.random(), True
        self.mark = zlib.crc32(self.name.encode())
        self.inflight = 0
        self.up_at = -1  # place among those of its side that are up
        self.forget(listed, now, rng)

    def forget(self, listed: i.Listed, now: float, rng: random.Random) -> None:
        """A new process: nothing learnt of the old one holds."""
        self.good, self.latency, self.served = Smooth(MEMORY), Smooth(MEMORY), Smooth(MEMORY)
        self.quiet_from = self.quiet_to = NEVER
        self.served_at = -NEVER
        self.down_until, self.failures = -NEVER, 0
        self.tokens, self.tokens_at = rng.random(), now
        self.tell(listed)

    def tell(self, listed: i.Listed) -> None:
        self.phase, self.size, self.zone, self.cell = listed.phase, listed.size, listed.zone, listed.cell
        self.started_at = listed.started_at

    def silence(self, now: float) -> float:
        """How long it was asked without a word; once nothing is out this wears off as fast as it grew."""
        if self.quiet_from == NEVER:
            return 0.0
        if self.inflight:
            return now - self.quiet_from
        return max(0.0, 2 * self.quiet_to - self.quiet_from - now)


def rank_of(e: Endpoint) -> float:
    return e.rank


def mix(x: int) -> int:
    """32 bits in, 32 well-mixed bits out: the finalizer of MurmurHash3 (Appleby)."""
    x = (x ^ x >> 16) * 0x85EBCA6B % 2**32
    x = (x ^ x >> 13) * 0xC2B2AE35 % 2**32
    return x ^ x >> 16


def ring_mark(e: Endpoint) -> int:
    return mix(e.mark)


def cut(listed: list[Endpoint], e: Endpoint) -> None:
    """Take an endpoint out of a list by rank; others may be of the same rank."""
    at = bisect.bisect_left(listed, e.rank, key=rank_of)
    while listed[at] is not e:
        at += 1
    del listed[at]


class Timed:
    """Endpoints of which something holds until an instant; it ends by time, not by a look at all."""

    __slots__ = ("due", "members")

    def __init__(self) -> None:
        self.members: set[Endpoint] = set()
        self.due: list[tuple[float, float, Endpoint]] = []

    def add(self, until: float, e: Endpoint) -> None:
        self.members.add(e)
        heapq.heappush(self.due, (until, e.rank, e))

    def over(self, now: float) -> list[Endpoint]:
        """Whose time has passed: each is to be looked at, as it may have been prolonged."""
        ended: list[Endpoint] = []
        while self.due and self.due[0][0] <= now:
            ended.append(heapq.heappop(self.due)[2])
        return ended


class Side:
    """The ready endpoints of the home zone, or of the others: each can carry so much.

    Guards against a home zone that is full, and requests that wait for it, while others have room: what one
    zone answers tells nothing of what the others could.
    """

    __slots__ = (
        "began", "cold", "down", "extra", "inflight", "load", "marks", "overdue", "peak", "ready", "ring", "served",
        "steered_at", "sums", "up", "window",
    )

    def __init__(self) -> None:
        self.ready: list[Endpoint] = []  # in this balancer's own random order
        self.sums: list[float] = []  # of their sizes, one after another; empty: not made yet
        self.down, self.cold = Timed(), Timed()  # of these, those that are taken to be down; those that are cold
        self.up: list[Endpoint] = []  # the others than those down, in no order
        self.marks: list[int] = []  # of all, in order, where keys have keepers; empty: not made yet
        self.ring: list[Endpoint] = []  # whose they are
        self.inflight = 0
        self.overdue = 0  # of these, where attempts are being swallowed
        self.served, self.load = Smooth(RATE_SPAN), Smooth(RATE_SPAN)
        self.peak = self.extra = self.steered_at = self.window = 0.0
        self.began = NEVER  # first answer

    def take(self, now: float, ready: list[Endpoint], cold_for: float) -> None:
        """Take another list. Costs its length; draws between two lists don't."""
        self.ready, self.sums, self.marks, self.ring, self.up = ready, [], [], [], []
        self.down, self.cold = Timed(), Timed()
        for e in ready:
            self.enter(now, e, cold_for)

    def insert(self, now: float, e: Endpoint, cold_for: float) -> None:
        bisect.insort(self.ready, e, key=rank_of)
        self.sums = []
        if self.marks:
            at = bisect.bisect(self.marks, ring_mark(e))
            self.marks.insert(at, ring_mark(e))
            self.ring.insert(at, e)
        self.enter(now, e, cold_for)

    def enter(self, now: float, e: Endpoint, cold_for: float) -> None:
        e.up_at = len(self.up)
        self.up.append(e)
        if e.down_until > now:
            self.fell(now, e)
        if e.started_at + cold_for > now:
            self.cold.add(e.started_at + cold_for, e)

    def remove(self, e: Endpoint) -> None:
        cut(self.ready, e)
        self.sums = []
        if self.marks:
            at = bisect.bisect_left(self.marks, ring_mark(e))
            while self.ring[at] is not e:
                at += 1
            del self.marks[at], self.ring[at]
        self.down.members.discard(e)
        self.cold.members.discard(e)
        self.leave_up(e)

    def leave_up(self, e: Endpoint) -> None:
        """Out of those that are up: the last one takes its place."""
        if e.up_at >= 0:
            last = self.up.pop()
            if last is not e:
                self.up[e.up_at] = last
                last.up_at = e.up_at
            e.up_at = -1

    def one(self, rng: random.Random, among: int) -> Endpoint:
        """Any one of so many first ones, by size. The running sums are made once after each change of the list."""
        if not self.sums:
            self.sums = list(itertools.accumulate(e.size for e in self.ready))
        return self.ready[bisect.bisect(self.sums, rng.random() * self.sums[among - 1], 0, among - 1)]

    def fell(self, now: float, e: Endpoint) -> None:
        """An endpoint is taken to be down."""
        self.revive(now)
        self.down.add(e.down_until, e)
        self.leave_up(e)

    def rise(self, e: Endpoint) -> None:
        """It has answered, or it has been left alone for long enough."""
        if e in self.down.members:
            self.down.members.discard(e)
            e.up_at = len(self.up)
            self.up.append(e)

    def mostly_down(self, now: float) -> bool:
        self.revive(now)
        return 2 * len(self.down.members) > len(self.ready)

    def revive(self, now: float) -> None:
        """Those whose time has passed count as up again."""
        for e in self.down.over(now):
            if e.down_until <= now:
                self.rise(e)

    def warm(self, now: float) -> int:
        """How many are not cold."""
        for e in self.cold.over(now):
            self.cold.members.discard(e)
        return len(self.ready) - len(self.cold.members)

    def keeper(self, seed: int) -> Endpoint:
        """Whose mark on the ring comes soonest after one of some places that a seed gives, by size.

        Each endpoint has one place, and one more or less moves the keys next to it only (multi-probe consistent
        hashing, Appleton and O'Reilly 2015).
        """
        if not self.marks:
            self.ring = sorted(self.ready, key=ring_mark)
            self.marks = [ring_mark(e) for e in self.ring]
        best, least = self.ring[0], NEVER
        for n in range(PROBES):
            at = mix(seed ^ n * 0x9E3779B1)
            e = self.ring[bisect.bisect_left(self.marks, at) % len(self.ring)]
            distance = float((ring_mark(e) - at) % 2**32) / e.size
            if distance < least:
                best, least = e, distance
        return best

    def room(self) -> bool:
        """Whether one more may go out."""
        forgiven = min(self.overdue, FORGIVEN * self.window)
        return bool(self.ready) and self.inflight - forgiven < self.window


class Attempt:
    __slots__ = ("begun", "endpoint", "given_up", "live", "long", "overdue_at", "passed", "sent_at", "side")

    def __init__(self, endpoint: Endpoint, side: Side, sent_at: float, overdue_at: float) -> None:
        self.endpoint, self.side, self.sent_at, self.live = endpoint, side, sent_at, True
        self.overdue_at = overdue_at
        self.begun = False  # counted in flight: not while its body is still coming in
        self.long = False  # out for so long that it counts as swallowed
        self.passed = False  # counted among the side's overdue ones
        self.given_up = False  # cancelled so that the request may go elsewhere


class Request:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "aim_at", "attempts", "begun", "bound", "closed", "deadline", "held", "id", "key", "klass", "live",
        "place", "tenant", "uploading", "work",
    )

    def __init__(self, told: i.RequestArrived, klass: Klass, tenant: Share, now: float) -> None:
        self.id, self.klass, self.tenant, self.key = told.request, klass, tenant, told.key
        self.work, self.uploading = told.work, told.uploading
        self.deadline = self.aim_at = NEVER
        if not told.uploading:
            self.start(now, told.deadline)
        self.attempts: list[Attempt] = []
        self.live = 0
        self.bound: Attempt | None = None  # the first attempt that may have run
        self.closed = self.begun = self.held = False
        self.place = 1.0  # where its worth ranks in this balancer's demand: 0 for the least

    def start(self, now: float, deadline: float) -> None:
        """Its time begins."""
        self.deadline = deadline
        aim = now + self.klass.told.aim + self.klass.told.aim_stretch * self.work
        self.aim_at = min(aim, deadline) if self.klass.told.late_worth == 0 else deadline


class Klass:
    """A class of requests: its settings, its mean latency over the fleet, its copies to come."""

    __slots__ = ("copies", "delay", "demand", "idempotent", "latency", "low", "mean", "occupied", "told")

    def __init__(self, told: i.RequestClass) -> None:
        self.told = told
        self.idempotent = told.repeat == "idempotent"
        self.delay = COPY_DELAY * told.aim
        self.mean = BASE_SHARE * told.aim
        self.low = self.mean  # time that attempts are out for an answer while the fleet is uncrowded
        self.latency, self.occupied = Smooth(2 * MEMORY), Smooth(2 * MEMORY)
        self.demand = Smooth(2 * MEMORY)  # by time in flight
        self.copies: deque[tuple[float, Request]] = deque()


class Share:
    """A tenant: its quota, what it was served of late, its requests that wait, a queue for each class."""

    __slots__ = ("queues", "quota", "used")

    def __init__(self, quota: float, classes: int) -> None:
        self.quota, self.used = max(quota, 1e-9), Smooth(MEMORY)
        self.queues: list[deque[Request]] = [deque() for _ in range(classes)]


class Balancer:
    """The decisions of one balancer: feed :meth:`handle` every event, carry out what it returns, in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.limits, self.rules = settings.limits, settings.rules
        self.classes = [Klass(c) for c in settings.classes]
        tenants = [t.quota_per_s for t in settings.tenants] or [1.0]
        self.tenants = [Share(q, len(self.classes)) for q in tenants]
        self.quota = sum((t.quota for t in self.tenants), 0.0)
        self.used = Smooth(MEMORY)
        self.requests: dict[str, Request] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.leaving: set[Endpoint] = set()  # gone, and with attempts out
        self.by_cell = any(c.group == "cell" for c in settings.classes)
        self.cells: dict[int, list[Endpoint]] = {}  # those ready, where a class is bound to cells
        self.near, self.far = Side(), Side()  # far: those that are dear to cross to
        self.home, self.away = Smooth(2 * MEMORY), Smooth(2 * MEMORY)  # share of the aim that answers left
        self.asked = Smooth(2 * MEMORY)  # worth of a request
        self.recent: deque[str] = deque(maxlen=KEYS)
        self.late: list[tuple[float, int, Request, Attempt]] = []  # attempts by when they are overdue
        self.silent = Smooth(MEMORY)  # share of attempts that came to be overdue
        self.held = 0
        self.patience: list[tuple[float, int, Request]] = []  # held requests by when waiting stops to help
        self.count = 0
        self.inflight = 0
        self.began = NEVER  # first answer
        self.copy_tokens = COPY_BURST
        self.demand = Smooth(MEMORY)
        self.warm_rate = 0.0  # answers a millisecond and size of a warm endpoint
        self.warm_at = -NEVER
        self.ask_at = -NEVER if settings.discovery == "on_request" else NEVER
        self.refusals = 0
        self.sharing = float(settings.group_size)  # balancers that share each endpoint: fewer than all, of a subset
        shares, part = settings.shares, random.Random(seed)
        self.calls = Calls(shares.list_calls_per_s, settings.group_size, self.rules.ask_within, part)
        self.retries = Budget(shares.retry_ratio, part) if shares.retry_ratio else None
        self.copies = Budget(shares.copy_ratio, part) if shares.copy_ratio else None
        self.timer_at = NEVER
        self.out: list[i.Action] = []

    # --- events ---

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Take in one event and return what to do, in order."""
        self.out = []
        if isinstance(event, i.AttemptEnded):
            self.on_ended(now, event)
        elif isinstance(event, i.RequestArrived):
            self.on_arrived(now, event)
        elif isinstance(event, i.TimerFired):
            if now >= self.timer_at:  # else one that an earlier timer overtook: it is not to be set again
                self.timer_at = NEVER
            self.run_copies(now)
        elif isinstance(event, i.MembershipNews):
            self.on_membership(now, event)
        elif isinstance(event, i.RequestClosed):
            if event.request in self.requests:
                self.close(now, self.requests[event.request])
        elif isinstance(event, i.StreamStarted):
            self.on_stream(now, event)
        elif isinstance(event, i.UploadEnded):
            self.on_uploaded(now, event)
        self.run_overdue(now)
        if self.held:
            self.serve_held(now)
        if now >= self.ask_at:
            self.ask(now)
        self.set_timer(now)
        return self.out

    def on_arrived(self, now: float, event: i.RequestArrived) -> None:
        klass = self.classes[event.klass]
        r = Request(event, klass, self.tenants[event.tenant], now)
        self.requests[r.id] = r
        self.demand.add(now, 0.0)
        klass.demand.add(now, 0.0, klass.mean)
        self.asked.add(now, self.gives(r))
        r.place = self.place(now, r)
        self.recent.append(r.key)
        self.copy_tokens = min(COPY_BURST, self.copy_tokens + COPY_BUDGET)
        for budget in (self.retries, self.copies):
            if budget is not None:
                budget.asked(now)
        if r.uploading:
            self.send_early(now, r)
        elif event.client_retry and klass.told.late_worth == 0 and self.crowded():
            # Its first try waited out most of the aim: in a crowd others can still be served in time.
            self.conclude(now, r)
        elif not self.admits(now, r) or not self.send(now, r):
            self.hold(r)

    def on_ended(self, now: float, event: i.AttemptEnded) -> None:
        r = self.requests.get(event.request)
        if r is None or event.attempt >= len(r.attempts):
            return
        a = r.attempts[event.attempt]
        if not a.live:
            return
        if not a.begun:  # its body was still coming in: it was nowhere in flight, and took no time
            self.begin(now, r, a)
            event = event._replace(elapsed=0.0)
        a.live = False
        r.live -= 1
        self.inflight -= 1
        a.side.inflight -= 1
        if a.passed:
            a.side.overdue -= 1
        if event.outcome == "served" and self.tells(r) and not a.long:
            self.silent.add(now, 0.0)
        outcome: i.Outcome = "timeout" if a.given_up and event.outcome == "cancelled" else event.outcome
        self.learn(now, r, a, event, outcome)
        if outcome not in i.NEVER_RAN and r.bound is None:
            r.bound = a
        if r.closed or event.complete:
            self.close(now, r)
        elif r.uploading:
            if r.bound is not None and not r.klass.idempotent:
                self.conclude(now, r)
            elif not r.live:
                self.send_early(now, r)
        elif not r.begun and not r.held and not self.move_on(now, r, outcome) and not r.live:
            self.conclude(now, r)

    def send_early(self, now: float, r: Request) -> None:
        """An attempt for a body that is still coming in, where there is room: what it has of it by the end is not
        waited for then. One attempt is left for when it is whole."""
        if len(r.attempts) < self.limits.max_attempts - 1 and self.admits(now, r):
            self.send(now, r)

    def on_uploaded(self, now: float, event: i.UploadEnded) -> None:
        """A body is whole: the request's time begins, and its attempts are in flight from now on."""
        r = self.requests.get(event.request)
        if r is None or r.closed or not r.uploading:
            return
        r.uploading = False
        r.start(now, event.deadline)
        for a in r.attempts:
            if a.live:
                a.sent_at, a.overdue_at = now, now + self.usual(r)
                self.begin(now, r, a)
        if r.live:
            self.plan_copy(now, r)
        elif r.attempts and not self.may_send(now, r):
            self.conclude(now, r)
        elif not self.admits(now, r) or not self.send(now, r):
            self.hold(r)

    def on_stream(self, now: float, event: i.StreamStarted) -> None:
        r = self.requests.get(event.request)
        if r is None or r.closed or event.attempt >= len(r.attempts):
            return
        r.begun = True
        winner = r.attempts[event.attempt]
        winner.endpoint.quiet_from = NEVER
        self.cancel_others(r, winner)

    # --- requests ---

    def move_on(self, now: float, r: Request, outcome: str) -> bool:
        """An attempt failed: try elsewhere, or wait for room. False where nothing may be sent."""
        if outcome in ("cancelled", "not_sent") or not self.may_send(now, r):
            return False
        if self.retries is not None and outcome != "barred" and not self.retries.take(now):
            return False  # what was barred has reached nobody: another try adds to no load
        if not self.admits(now, r) or not self.send(now, r):
            if r.live:
                return True
            self.hold(r)
        return True

    def may_send(self, now: float, r: Request) -> bool:
        """Whether the rules allow one more attempt and it can still be of use."""
        if r.closed or r.begun or len(r.attempts) >= self.limits.max_attempts:
            return False
        if now + FINISH * r.klass.mean > r.aim_at and (r.attempts or now >= r.aim_at):
            return False
        if r.live and (not r.klass.idempotent or not self.limits.second_copies):
            return False
        if r.bound is None or r.klass.idempotent:
            return True
        return r.klass.told.repeat == "deduplicated" and now < r.bound.sent_at + r.klass.told.window

    def may_refuse(self, r: Request) -> bool:
        """A refusal says that a repeat is harmless."""
        if r.klass.idempotent or (r.bound is None and not r.live):
            return True
        return r.klass.told.repeat == "deduplicated" and r.klass.told.group == "all"

    def conclude(self, now: float, r: Request) -> None:
        """The final answer, where no attempt will bring one."""
        # A late answer is worth nothing to some classes: their clients are asked not to come back in vain.
        vain = self.limits.retry_after and r.klass.told.late_worth == 0
        advice = self.limits.max_retry_after if vain else 0.0
        self.out.append(i.Refuse(r.id, advice) if self.may_refuse(r) else i.Fail(r.id))
        self.close(now, r)

    def close(self, now: float, r: Request) -> None:
        """Nothing more is owed; what is still out is cancelled, and its outcome will still teach."""
        if not r.closed:
            r.closed = True
            if r.held:
                self.release(r)
            if not r.begun:
                self.cancel_others(r, None)
        if not r.live:
            self.requests.pop(r.id, None)

    def cancel_others(self, r: Request, kept: Attempt | None) -> None:
        if self.limits.cancel and r.live:
            for n, a in enumerate(r.attempts):
                if a.live and a is not kept:
                    self.out.append(i.Cancel(r.id, n))

    # --- picking ---

    def send(self, now: float, r: Request) -> bool:
        """Start an attempt on the endpoint that the draw gives; False where none is to be had."""
        e = self.draw(now, r)
        if e is None:
            return False
        if self.cold(now, e):
            e.tokens -= 1.0
        if not r.attempts:
            r.tenant.used.add(now, 0.0)
            self.used.add(now, 0.0)
        a = Attempt(e, self.side(e), now, now + self.usual(r))
        r.attempts.append(a)
        r.live += 1
        if not r.uploading:
            self.begin(now, r, a)
        # In a crowd work that misses its aim is stopped; else it may run on: a late answer spares a retry.
        self.out.append(i.Send(r.id, e.name, r.aim_at if self.crowded() else r.deadline))
        if not r.uploading:
            self.plan_copy(now, r)
        return True

    def begin(self, now: float, r: Request, a: Attempt) -> None:
        """An attempt is in flight from now on, and is to be heard of in its time."""
        e = a.endpoint
        if not e.inflight:
            e.quiet_from = now - e.silence(now)
        e.inflight += 1
        a.side.inflight += 1
        self.inflight += 1
        a.begun = True
        self.count += 1
        heapq.heappush(self.late, (a.overdue_at, self.count, r, a))

    def plan_copy(self, now: float, r: Request) -> None:
        if r.klass.idempotent and self.limits.second_copies:
            r.klass.copies.append((now + r.klass.delay, r))

    def draw(self, now: float, r: Request) -> Endpoint | None:
        """The better of two random unused ready endpoints, drawn by told size.

        Guards against small endpoints drowning in an even share: a quiet balancer hears too little of each
        to tell it by the payoff.
        """
        drawn: tuple[Endpoint, Endpoint, float] | None = None
        for side in self.sides(now, r):
            if side.room():
                drawn = self.draw_two(now, r, side)
                if drawn is not None:
                    break
        drawn = drawn or self.choose_two(now, r, self.used_again(now, r))
        if drawn is None:
            return None
        first, second, gain = drawn
        return first if gain * self.standing(now, first) >= self.standing(now, second) else second

    def choose_two(self, now: float, r: Request, pool: list[Endpoint]) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a pool, by size, and by how much the first counts for more; None where it is empty."""
        if not pool:
            return None
        shares = [e.size for e in pool]
        first = self.keeper(now, r, pool[0].near)
        gain = WARM_GAIN if first else 1.0
        first = first or self.weighted(pool, shares)
        if first in pool:
            shares[pool.index(first)] = 0.0
        return first, self.weighted(pool, shares) if any(shares) else first, gain

    def weighted(self, pool: list[Endpoint], shares: list[float]) -> Endpoint:
        """As ``random.choices`` draws one, without its calls in Python."""
        sums = list(itertools.accumulate(shares))
        return pool[bisect.bisect(sums, self.rng.random() * sums[-1], 0, len(pool) - 1)]

    def draw_two(self, now: float, r: Request, side: Side) -> tuple[Endpoint, Endpoint, float] | None:
        """Two of a side at a cost that doesn't grow with it: by draws, or by a look at LOOK or ``enough`` of it."""
        count = len(side.ready)
        part = int(min(self.enough(), count))
        if count <= LOOK:
            drawn = None
            if part == count > SMALL and not side.mostly_down(now):
                drawn = self.sample_two(now, r, side, count)
            return drawn or self.choose_two(now, r, self.fit(now, r, side.ready))
        if self.bound_to_cell(r):
            assert r.bound is not None
            near = side is self.near
            cell = [e for e in self.look(self.cells.get(r.bound.endpoint.cell, [])) if e.near is near]
            return self.choose_two(now, r, self.fit(now, r, cell))
        if side.mostly_down(now):
            return self.try_all(now, r, side)
        if part > LOOK:
            drawn = self.sample_two(now, r, side, part)
            return drawn or self.choose_two(now, r, self.fit(now, r, self.look(side.ready)))
        drawn = self.choose_two(now, r, self.fit(now, r, side.ready[:LOOK]))
        return drawn or self.sample_two(now, r, side, count)

    def look(self, listed: list[Endpoint]) -> list[Endpoint]:
        """As many as are looked through, from a random place on."""
        at = int(self.rng.random() * len(listed)) if len(listed) > LOOK else 0
        return listed[at : at + LOOK] + listed[: max(0, min(at, at + LOOK - len(listed)))]

    def bound_to_cell(self, r: Request) -> bool:
        return r.bound is not None and not r.klass.idempotent and r.klass.told.group == "cell"

    def try_all(self, now: float, r: Request, side: Side) -> tuple[Endpoint, Endpoint, float] | None:
        """Where most of a large side looks down the fault is as likely on this side: any one, and one of those that
        don't, so that a single one that answers is found at once."""
        other = self.fit_one(now, r, [side.one(self.rng, len(side.ready)) for _ in range(TRIES)])
        up = self.fit_one(now, r, [side.up[int(self.rng.random() * len(side.up))] for _ in range(TRIES)]
                          if side.up else [])
        first, second = up or other, other or up
        return (first, second, 1.0) if first is not None and second is not None else None

    def fit_one(self, now: float, r: Request, drawn: list[Endpoint]) -> Endpoint | None:
        used = [a.endpoint for a in r.attempts]
        for e in drawn:
            if e not in used and self.same_group(r, e) and self.warm_enough(now, e):
                return e
        return None

    def sample_two(self, now: float, r: Request, side: Side, among: int) -> tuple[Endpoint, Endpoint, float] | None:
        """The same draw from so many first ones of a side, at a cost that doesn't grow with it.

        Endpoints are drawn by size from the list, and again while they are not fit: what remains has the shares
        that it would have in a pool of the fit ones. None where few are fit.
        """
        first = self.keeper(now, r, side is self.near)
        gain = WARM_GAIN if first else 1.0
        first = first or self.sample(now, r, side, among, None)
        second = self.sample(now, r, side, among, first) if first is not None else None
        return (first, second, gain) if first is not None and second is not None else None

    def sample(self, now: float, r: Request, side: Side, among: int, other: Endpoint | None) -> Endpoint | None:
        """One that is fit and not the other; None after a few tries."""
        used = [a.endpoint for a in r.attempts]
        for _ in range(TRIES):
            e = side.one(self.rng, among)
            if e is other or e.down_until > now or e in used:
                continue
            if self.same_group(r, e) and self.warm_enough(now, e):
                return e
        return None

    def keeper(self, now: float, r: Request, near: bool) -> Endpoint | None:
        """The endpoint that all balancers send a key to, so that it is warm there: one of the two drawn.

        The more of this balancer's latest requests bear the key, the more endpoints take turns: guards
        against a hot key that all send to one.
        """
        if not r.key or not self.settings.warm_keys:
            return None
        turn = int(self.rng.random() * self.recent.count(r.key))
        seed = zlib.crc32(f"{r.key} {turn}".encode())
        side = self.near if near else self.far
        e = side.keeper(seed) if len(side.ready) > LOOK else max(
            side.ready, key=lambda e: (((e.mark ^ seed) * 0x9E3779B1 % 2**32) / 2**32) ** (1.0 / e.size)
        )
        used = any(a.endpoint is e for a in r.attempts)
        fit = not used and e.down_until <= now and self.same_group(r, e) and self.warm_enough(now, e)
        return e if fit else None

    def sides(self, now: float, r: Request) -> list[Side]:
        """What to draw from: the home zone, or the others where it is full or they are better by more than
        the crossing."""
        sides = [self.near]
        if not self.near.ready or FULL_GAIN * self.weighs(now, r) >= self.settings.prices.cross_zone:
            sides.append(self.far)
            if self.far.ready and self.spills(now, r):
                sides.reverse()
        return sides

    def used_again(self, now: float, r: Request) -> list[Endpoint]:
        """Where a retry may go back to: a fleet may be smaller than the attempts allowed."""
        if r.live:
            return []
        used = [a.endpoint for a in r.attempts]
        return [
            e for e in used
            if e.phase == "ready" and self.side(e).room()
            and self.warm_enough(now, e) and self.same_group(r, e)
        ]

    def side(self, e: Endpoint) -> Side:
        return self.near if e.near else self.far

    def fit(self, now: float, r: Request, side: list[Endpoint]) -> list[Endpoint]:
        """The first of this balancer's own order that are unused by the request, not down, not cold and full.

        Guards against hundreds of balancers that each connect to the whole fleet and learn little of each
        endpoint. Those that drop out are made up for by the next in order; with more in flight it grows.
        """
        used = [a.endpoint for a in r.attempts]
        enough = self.enough()
        up: list[Endpoint] = []
        down: list[Endpoint] = []
        for e in side:
            if e in used or not self.same_group(r, e) or not self.warm_enough(now, e):
                continue
            if e.down_until > now:
                down.append(e)
            else:
                up.append(e)
                if len(up) >= enough:
                    break
        # Where most of the fleet looks down the fault is as likely on this side: everything is tried.
        return up if len(up) >= len(down) else up + down

    def enough(self) -> float:
        """How many unused endpoints to draw from: few, each shared with others, more with more in flight."""
        shared = SHARED_BY * len(self.ready) / self.sharing
        return max(FEW, shared) + self.inflight

    def gives(self, r: Request) -> float:
        """What an answer in time to this request is worth."""
        return r.klass.told.value * ((r.work or r.klass.mean) if self.settings.value_by == "work" else 1.0)

    def weighs(self, now: float, r: Request) -> float:
        """What an answer to this request is worth, over the usual."""
        return self.gives(r) / self.asked.mean(now, self.gives(r), 1.0)

    def spills(self, now: float, r: Request) -> bool:
        """Whether an attempt leaves the zone: the likelier the further home falls behind and the more the
        request is worth, as crossing costs the same for all.

        Guards against a home zone with more traffic than its endpoints can carry, and against one that is
        left by all, stands idle and is not heard of again: what is worth little stays.
        """
        step = SPILL_STEP * self.settings.prices.cross_zone
        away = self.away.mean(now, 1.0 - BASE_SHARE, 1.0)
        gain = away - self.home.mean(now, away, RETURN)  # a home not heard of lately is given another chance
        gain *= self.weighs(now, r)
        return gain > step and gain > step * (1.0 + self.rng.random())

    def same_group(self, r: Request, e: Endpoint) -> bool:
        """Whether ``e`` discards a repeat of what may have run."""
        if r.bound is None or r.klass.idempotent or r.klass.told.group == "all":
            return True
        home = r.bound.endpoint
        return e.zone == home.zone if r.klass.told.group == "zone" else e.cell == home.cell

    def standing(self, now: float, e: Endpoint) -> float:
        """Payoff over (1 + own in-flight). The payoff: share of good answers over relative latency."""
        payoff = e.good.mean(now, 1.0, PRIOR) / e.latency.mean(now, 1.0, PRIOR)
        silence = e.silence(now)
        if silence > 0.0:
            # A server that swallows requests looks idle: its silence counts before any attempt times out.
            over = silence / (PATIENCE * max(k.mean for k in self.classes))
            if over > 1.0:
                payoff /= over * over
        return payoff / (1 + e.inflight)

    def learn(self, now: float, r: Request, a: Attempt, event: i.AttemptEnded, outcome: i.Outcome) -> None:
        """What an outcome teaches of the endpoint, of the class and of the fleet."""
        e, k = a.endpoint, r.klass
        e.inflight -= 1
        if outcome == "barred":
            # It reached nobody and tells of no crowd; but those that are connected are to be drawn now.
            e.good.add(now, 0.0)
            if not e.inflight:
                e.quiet_to = now
            return
        # An answer costs what all its attempts were out for, losers included.
        count = 1.0 if outcome == "served" else 0.0
        span = min(event.elapsed, a.overdue_at - a.sent_at) if a.passed else event.elapsed
        k.occupied.add(now, span, 1.0, count)
        if not a.passed:  # what is swallowed makes no crowd
            a.side.load.add(now, span / k.low, 1.0, count)
        ratio = event.elapsed / k.mean
        if outcome == "cancelled":
            # A loser counts as served at the time it had waited, and for less if that was short: one
            # cancelled right after its send would else make the endpoint look fast.
            weight = min(1.0, ratio)
            e.good.add(now, 1.0, weight)
            e.latency.add(now, max(1.0, ratio), weight)
        elif outcome != "not_sent":
            e.good.add(now, count)
        if outcome != "not_sent" and not a.passed and (outcome != "cancelled" or ratio >= 1.0):
            # The short wait of a loser says nothing of the crowd, nor does what was swallowed.
            zone = self.home if e.zone == self.settings.zone else self.away
            answered = outcome in ("served", "cancelled")
            zone.add(now, max(0.0, 1.0 - event.elapsed / k.told.aim) if answered else 0.0)
        if outcome == "served":
            e.latency.add(now, ratio)
            e.served_at = now
            e.served.add(now, 0.0)
            e.down_until, e.failures = -NEVER, 0
            if e.phase == "ready":
                self.side(e).rise(e)
            k.latency.add(now, event.elapsed)
            k.mean = k.latency.mean(now, BASE_SHARE * k.told.aim, 0.3)
            known = k.occupied.weight > BASE_FROM
            per_answer = k.occupied.mean(now, BASE_SHARE * k.told.aim, 0.3)
            k.low = min(k.low * (1.0 + BASE_DRIFT) if known else BASE_SHARE * k.told.aim, per_answer)
            a.side.served.add(now, 0.0, k.low)
            self.began = min(self.began, now)
            self.steer(now, a.side)
        elif outcome == "connect_failed" and e.served_at < a.sent_at:
            # No word since the send: down. With answers in between, its connection table is full.
            e.failures += 1
            span = self.limits.connect_timeout * 2.0 ** min(e.failures, 5)
            e.down_until = now + span * (0.5 + self.rng.random())
            if e.phase == "ready":
                self.side(e).fell(now, e)
        if outcome in ("served", "error", "full"):
            e.quiet_from = now if e.inflight else NEVER
        elif not e.inflight:
            e.quiet_to = now

    # --- speculation ---

    def run_copies(self, now: float) -> None:
        """A copy for each request whose fixed delay has passed unanswered.

        None in a crowd, nor before the window is known: they could push over a fleet that is barely up
        to its load.
        """
        barred = self.crowded() or now < self.began + RATE_SPAN
        for k in self.classes:
            while k.copies and k.copies[0][0] <= now:
                r = k.copies.popleft()[1]
                if r.closed or not r.live or barred or self.copy_tokens < 1.0 or not self.may_send(now, r):
                    continue
                if (self.copies is None or self.copies.take(now)) and self.send(now, r):
                    self.copy_tokens -= 1.0

    # --- attempts that are swallowed ---

    def usual(self, r: Request) -> float:
        """The time within which an attempt is answered, if it is at all."""
        return max(r.klass.delay, OVERDUE * r.klass.mean) + SLOW * r.work

    def tells(self, r: Request) -> bool:
        """Whether a request's attempts show what is swallowed: keyed ones are given up before."""
        return r.klass.told.repeat != "deduplicated"

    def swallowing(self, now: float, k: Klass) -> bool:
        """Whether more attempts are overdue than slow answers account for, while those that come are quick.

        In a crowd they are not: guards against pushing on what is overrun already.
        """
        return k.mean < QUICK * k.told.aim and self.silent.mean(now, 0.0, SILENT_FROM) > SILENT

    def run_overdue(self, now: float) -> None:
        """Attempts without a word in their time, where too many are: they leave their place in the window to
        others, and a keyed request goes elsewhere within its group.

        Guards against endpoints, connections or paths that swallow part of what they are sent, on as much of
        the fleet as may be: answers are as quick as ever, so that no latency shows it, each attempt stays in
        flight until its request's time is up, and what looks like a crowd bars the very copies that help. It
        should cover requests lost on the way and endpoints that freeze, too. It could hurt where a fleet is
        overrun so fast that the mean latency doesn't follow: bounded by FORGIVEN, and by the time that a
        request has to have left.
        """
        while self.late and (self.late[0][0] <= now or not self.late[0][3].live):
            _, _, r, a = heapq.heappop(self.late)
            if not a.live:
                continue
            long_at = a.sent_at + LONG * (a.overdue_at - a.sent_at)
            a.long = now >= long_at
            if a.long and self.tells(r):
                self.silent.add(now, 1.0)
            if not a.long:
                self.count += 1
                heapq.heappush(self.late, (long_at, self.count, r, a))
            if r.begun or a.passed or not self.swallowing(now, r.klass):
                continue
            a.passed = True
            a.side.overdue += 1
            if self.may_hand_over(now, r, a):
                r.bound = r.bound or a
                a.given_up = True
                self.out.append(i.Cancel(r.id, r.attempts.index(a)))

    def may_hand_over(self, now: float, r: Request, a: Attempt) -> bool:
        """Whether a keyed request gains by going to another endpoint of its group."""
        told, bound = r.klass.told, r.bound or a
        if told.repeat != "deduplicated" or not self.limits.cancel or r.closed or r.live > 1:
            return False
        if len(r.attempts) >= self.limits.max_attempts or now >= bound.sent_at + told.window:
            return False
        return now + FINISH * r.klass.mean + r.work <= r.aim_at and a.side.room()

    # --- cold endpoints ---

    def cold(self, now: float, e: Endpoint) -> bool:
        # A start at 0 is long past: guards against a clock near 0, by which all would be cold.
        return e.started_at != 0.0 and e.started_at + self.rules.cold_for > now

    def ramp(self, now: float, e: Endpoint) -> float:
        """Share of its capacity that a cold endpoint has at least."""
        age = max(0.0, now - e.started_at)
        return self.rules.cold_share + (1.0 - self.rules.cold_share) * age / self.rules.cold_for

    def warm_enough(self, now: float, e: Endpoint) -> bool:
        """A cold endpoint gets its ramp's share of what a warm one of its size answers to this balancer.

        Answers, not sends: guards against a crowd whose many attempts would set the measure. What is saved
        up starts at a random part of one send, as one each from hundreds of balancers is a burst.
        """
        if not self.cold(now, e):
            return True
        if now - self.warm_at > HOLD_STEP:
            self.measure_warm(now)
        rate = self.ramp(now, e) * e.size * self.warm_rate
        burst = max(1.0, rate * self.rules.overload_for / 8)
        e.tokens = min(burst, e.tokens + rate * (now - e.tokens_at))
        e.tokens_at = now
        return e.tokens >= 1.0

    def measure_warm(self, now: float) -> None:
        """Answers of the warm endpoints in use, by size. Where few are warm the last figure stands.

        A zone that is all cold is measured by the others: guards against taking the demand for what it can
        do, when it comes back from an outage to clients that repeat all they ask.
        """
        self.warm_at = now
        enough = int(min(self.enough(), MEASURED))
        rates: list[float] = []
        for side in (self.near, self.far):
            if 3 * side.warm(now) >= len(side.ready) > 0:
                warm = list(itertools.islice((e for e in side.ready if not self.cold(now, e)), enough))
                served = sum((e.served.rate(now) for e in warm), 0.0)
                rates.append(served / sum((e.size for e in warm), 0.0))
        if rates:
            self.warm_rate = max(rates)
        elif self.ready and self.warm_rate == 0.0:  # all is cold: it starts with an even part of the demand
            self.warm_rate = self.demand.rate(now) / sum((e.size for e in self.ready[:enough]), 0.0)

    # --- admission ---

    def room(self) -> bool:
        """Whether one more may go out somewhere."""
        return self.near.room() or self.far.room()

    def crowded(self) -> bool:
        return self.held > 0 or not self.room()

    def admits(self, now: float, r: Request) -> bool:
        """Whether a request may go out: there is room, and its worth ranks above what is to be shed."""
        return self.room() and r.place >= self.shed(now)

    def shed(self, now: float) -> float:
        """Share of the demand that is held back, least worth first, as answers leave little of their aim.

        Guards against a crowd that no window shows: hundreds of balancers with one or two requests each.
        """
        near, far = self.home.kept(now), self.away.kept(now)
        weight = self.home.weight * near + self.away.weight * far
        if weight <= SURE:
            return 0.0
        total = self.home.total * near + self.away.total * far
        ease = (total + SURE * (1.0 - BASE_SHARE)) / (weight + SURE)
        return min(SHED_MOST, max(0.0, 2.0 - 2.0 * ease / EASE))

    def worth(self, k: Klass) -> float:
        return k.told.value / (1.0 if self.settings.value_by == "work" else k.mean)

    def place(self, now: float, r: Request) -> float:
        """Where a request's worth ranks in the demand, from 0 to 1; at random within its class."""
        level = 1.2 * self.used.rate(now) / self.quota
        over = self.settings.over_share_worth if r.tenant.used.rate(now) / r.tenant.quota > level else 1.0
        worth = over * self.worth(r.klass)
        below = own = whole = 1e-9
        for k in self.classes:
            part = k.demand.rate(now)
            whole += part
            if k is r.klass:
                own = part * over
            elif self.worth(k) < worth:
                below += part
        return (below + own * self.rng.random()) / whole

    def steer(self, now: float, side: Side) -> None:
        """Set a side's window: what its best rate of service needs in flight at the uncrowded latency, and
        chance.

        What goes out beyond that only waits at the endpoints, where it does harm. Aimed at a latency
        instead, the window would starve a fleet that is slow for other reasons than a queue.
        """
        side.began = min(side.began, now)
        age = max(now - side.began, RATE_FIRST)
        busy = side.served.rate(now) / (1.0 - math.exp(-age / RATE_SPAN))
        if age >= RATE_SPAN:
            side.peak = busy = max(busy, side.peak * math.exp((side.steered_at - now) / PEAK_SPAN))
        if side.load.mean(now, 1.0, 3.0) >= CALM:
            side.extra *= SHRINK
        elif self.held:
            side.extra = min(side.extra + GROWTH, 0.5 * busy)
        side.steered_at = now
        # The room for chance is one for all balancers together: each takes a part as if loads were even.
        own = 2.0 if side is self.near else FAR_OWN
        side.window = busy + side.extra + SPREAD * math.sqrt(busy / self.sharing) + own
        if age < START_SPAN:
            # A short record tells little; without any bound a fleet in overload is full within a second.
            side.window = max(side.window, self.first_window(side))

    def first_window(self, side: Side) -> float:
        return START_EACH * len(side.ready) / self.sharing

    def hold(self, r: Request) -> None:
        """Keep a request until there is room, or until it could no longer be served in time."""
        r.held = True
        self.held += 1
        self.count += 1
        r.tenant.queues[self.classes.index(r.klass)].append(r)
        heapq.heappush(self.patience, (r.aim_at - START_BY * r.klass.mean, self.count, r))

    def release(self, r: Request) -> None:
        r.held = False
        self.held -= 1

    def serve_held(self, now: float) -> None:
        """A refusal for who can no longer be served in time, and room for who is worth most."""
        while self.patience and (self.patience[0][0] <= now or not self.patience[0][2].held):
            r = heapq.heappop(self.patience)[2]
            if r.held:
                self.release(r)
                self.conclude(now, r)
        if not self.room():
            return
        level = 1.2 * self.used.rate(now) / self.quota
        order: list[tuple[float, float, deque[Request]]] = []
        for t in self.tenants:
            use = t.used.rate(now) / t.quota
            for k, queue in zip(self.classes, t.queues, strict=True):
                while queue and not queue[0].held:
                    queue.popleft()
                while queue and not queue[-1].held:
                    queue.pop()
                if queue:
                    over = self.settings.over_share_worth if use > level else 1.0
                    order.append((-over * self.worth(k), use, queue))
        order.sort(key=lambda x: x[:2])
        for _, _, queue in order:
            while queue and self.room():
                r = queue[-1]  # the newest: under lasting overload the oldest would all be served too late
                if r.held and not self.may_send(now, r):
                    # Guards against a repeat past the window, which may have closed while it was held.
                    self.release(r)
                    self.conclude(now, r)
                elif r.held:
                    if not self.admits(now, r):
                        break
                    if not self.send(now, r):
                        break
                    self.release(r)
                queue.pop()

    # --- discovery ---

    def on_membership(self, now: float, news: i.MembershipNews) -> None:
        if news.kind == "refused":
            self.refusals += 1
            pause = min(RETRY_FIRST * 2.0**self.refusals, self.rules.ask_within / 3)
            pause *= 0.5 + 0.5 * self.rng.random()
            self.ask_at = now + (self.calls.again(self.refusals) if self.calls.span else pause)
            return
        if news.kind != "remembered":
            self.refusals, self.ask_at = 0, NEVER
        elif news.entries and self.ask_at == -NEVER and self.calls.span:
            # Guards discovery against all that start at once: each begins with the list that it remembers.
            self.ask_at = now + self.calls.start()
        if news.kind == "changes" and len(news.entries) < CHANGED_FEW * len(self.endpoints):
            for x in news.entries:
                self.change(now, x)
        else:
            self.relist(now, news)
        self.leaving = {e for e in self.leaving if e.phase == "gone" and e.inflight}
        part = min(1.0, len(self.ready) / news.of) if news.of else 1.0
        self.sharing = max(1.0, part * self.settings.group_size)
        floor = self.settings.shares.floor_per_s / 1000.0 * (news.of or len(self.ready)) / self.settings.group_size
        for budget in (self.retries, self.copies):
            if budget is not None:
                budget.configure(floor)
        for side in (self.near, self.far):
            if side.began == NEVER:
                side.window = self.first_window(side)

    def relist(self, now: float, news: i.MembershipNews) -> None:
        """A whole list, or changes to much of it: everything is put in order anew."""
        if news.kind != "changes":
            present = {x.endpoint for x in news.entries}
            for name, e in self.endpoints.items():
                if name not in present:
                    e.phase = "gone"
        for x in news.entries:
            self.hear(now, x)
        self.endpoints = {n: e for n, e in self.endpoints.items() if e.phase != "gone" or e.inflight}
        self.leaving = {e for e in self.endpoints.values() if e.phase == "gone"}
        self.ready = [e for e in self.endpoints.values() if e.phase == "ready"]
        self.ready.sort(key=rank_of)
        for e in self.ready:
            e.near = self.is_near(e)
        self.near.take(now, [e for e in self.ready if e.near], self.rules.cold_for)
        self.far.take(now, [e for e in self.ready if not e.near], self.rules.cold_for)
        self.cells.clear()
        if self.by_cell:
            for e in self.ready:
                self.cells.setdefault(e.cell, []).append(e)

    def change(self, now: float, x: i.Listed) -> None:
        """One endpoint's news, at a cost that doesn't grow with the list but for moving its tail."""
        known = self.endpoints.get(x.endpoint)
        if known is not None and known.phase == "ready":
            cut(self.ready, known)
            self.side(known).remove(known)
            if self.by_cell:
                cut(self.cells[known.cell], known)
        e = self.hear(now, x)
        if e.phase == "ready":
            e.near = self.is_near(e)
            bisect.insort(self.ready, e, key=rank_of)
            self.side(e).insert(now, e, self.rules.cold_for)
            if self.by_cell:
                bisect.insort(self.cells.setdefault(e.cell, []), e, key=rank_of)
        elif e.phase == "gone":
            self.leaving.add(e)
        for left in [e for e in self.leaving if e.phase == "gone" and not e.inflight]:
            self.leaving.discard(left)
            self.endpoints.pop(left.name, None)

    def hear(self, now: float, x: i.Listed) -> Endpoint:
        known = self.endpoints.get(x.endpoint)
        if known is None:
            known = self.endpoints[x.endpoint] = Endpoint(x, now, self.rng)
        elif known.started_at != x.started_at:
            known.forget(x, now, self.rng)
        else:
            known.tell(x)
        return known

    def is_near(self, e: Endpoint) -> bool:
        return self.settings.prices.cross_zone < DEAR or e.zone == self.settings.zone

    def ask(self, now: float) -> None:
        """Subscribe, and again if no answer comes within half the time that the rules give."""
        self.out.append(i.WatchMembership(True))
        self.ask_at = now + self.rules.ask_within / 2

    # --- time ---

    def set_timer(self, now: float) -> None:
        """One timer is kept, for whatever is due first."""
        due = self.ask_at
        if self.held:
            due = min(due, now + HOLD_STEP, max(now, self.patience[0][0]))
        if self.late:
            due = min(due, self.late[0][0])
        for k in self.classes:
            copies = k.copies
            while copies and copies[0][1].closed:
                copies.popleft()
            if copies and copies[0][0] < due:
                due = copies[0][0]
        if due < self.timer_at:
            self.timer_at = due
            self.out.append(i.SetTimer(due, "due"))
