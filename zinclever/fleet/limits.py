"""One instance's part of what all instances together may use, so that totals stay under stated caps at any size.

Nobody counts the total: each instance knows how many there are and takes its part. Where that was told wrongly
the servers' own refusals take the part back (additive increase, multiplicative decrease, as in RFC 5681), and a
part that grows does so slowly, so that a change of the group is no burst.
"""

from __future__ import annotations

import math
from random import Random

from ..interface import Shares

SPAN = 10_000.0  # ms over which a ratio holds: as long as the usual window of retry budgets
KEEP = 500.0  # ms of a rate that may be saved up: all instances may spend theirs at the same instant
STEADY = 2.0 / 3.0  # of a cap by the second that is the steady rate: with what is saved no second has more than the cap
EQUAL = 0.5  # of the cap on connections is shared evenly
HOT = 0.25  # of it is for the busy ones; the rest is room for unevenness
UNEVEN = 1.5  # times its even part that an instance may hold to one server: EQUAL * UNEVEN + HOT = 1
STEP_EACH = 1_000.0  # ms between two steps up of who lacks connections
STEP = 0.15  # that such a step adds to its part: a trouble of seconds makes nobody a busy one, a minute does
CALM_FOR = 30_000.0  # ms without lack after which what is above the equal part is given back, step by step
BACK_OFF = 0.7  # factor for each refusal
BACK_OFF_EACH = 250.0  # ms between two of them: refusals of one burst are one piece of news
START_PART = 0.8  # of the time within which the list has to be asked for: the rest is for a slow answer
RETRY_FIRST = 300.0  # ms
RETRY_MOST = 1.0 / 3.0  # of that time, between two tries where discovery has room for them
FAILED_PART = 3.5  # times it, at the most: the rules allow four after a failed call
LONGEST_WATCH = 120_000.0  # ms: a discovery that has fallen silent is noticed no sooner
DEAD_PART = 0.3  # of the connections begun that may fail by servers which have died: a data centre's part is more
DEAD_FEW = 10.0  # connections begun that it takes to outweigh that none fails
ALIVE_FOR = 2_000.0  # ms after its last answer for which a server that can't be reached is taken to be full, not dead
LEAST = 1.0 / 64.0  # of its equal part that an instance goes down to: below, it could not find out that all is well


class Bucket:
    """So many a second on the long run, and what is saved up of them; parts below one are taken by chance.

    Guards the quiet: where an instance's part is one in a hundred seconds, all of them together still have their
    rate, at once after a pause as much as later.
    """

    __slots__ = ("at", "capacity", "rate", "rng", "tokens")

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.rate = self.capacity = self.tokens = 0.0
        self.at = -math.inf

    def configure(self, most: float) -> None:
        """No more than ``most`` a ms over any second from now on, what is saved up included."""
        first = self.capacity == 0.0
        self.rate = STEADY * most
        self.capacity = self.rate * KEEP
        self.tokens = self.capacity if first else min(self.tokens, self.capacity)

    def take(self, now: float) -> bool:
        """Whether one may be spent now. On the average, and in the long run, no more than told."""
        if now > self.at:
            if self.at > -math.inf:
                self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.at))
            self.at = now
        if self.tokens < 1.0:  # a try uses up what there is, won or not: else who tries often enough wins always
            part, self.tokens = self.tokens, 0.0
            return self.rng.random() < part
        self.tokens -= 1.0
        return True


class Budget:
    """Retries or copies: a share of the requests over some seconds, and a floor for the quiet.

    One may be saved up for as long as it takes: guards those who ask less than once in some seconds, and who could
    else never retry at all.
    """

    __slots__ = ("at", "floor", "ratio", "saved")

    def __init__(self, ratio: float, rng: Random) -> None:
        self.ratio, self.floor = ratio, Bucket(rng)
        self.saved, self.at = 0.0, -math.inf

    def configure(self, floor: float) -> None:
        """``floor``: so many a ms are free."""
        self.floor.configure(floor)

    def asked(self, now: float) -> None:
        """A request has come."""
        self.fade(now)
        self.saved += self.ratio

    def fade(self, now: float) -> None:
        if now > self.at:
            if self.saved > 1.0:
                self.saved = 1.0 + (self.saved - 1.0) * math.exp((self.at - now) / SPAN)
            self.at = now

    def take(self, now: float) -> bool:
        """Whether one more may go out."""
        self.fade(now)
        if self.saved >= 1.0:
            self.saved -= 1.0
            return True
        return self.floor.take(now)


class Dials:
    """Of late: how many connections were begun, and how many of them didn't come up."""

    __slots__ = ("at", "begun", "failed")

    def __init__(self) -> None:
        self.begun = self.failed = 0.0
        self.at = -math.inf

    def fade(self, now: float) -> None:
        if now > self.at:
            kept = math.exp((self.at - now) / SPAN)
            self.begun, self.failed, self.at = self.begun * kept, self.failed * kept, now

    def mostly(self) -> bool:
        """Whether so many fail that servers which have died don't account for them."""
        return self.failed > DEAD_PART * (self.begun + DEAD_FEW)


class ConnectionLimiter:
    """How many connections one instance may hold and open.

    Each begins with its equal part of both caps. Who lacks connections or handshakes goes beyond it step by step, up
    to a busy one's part; a server's refusal takes back at once, of busy ones and of all. A part of less than one
    connection to a server counts as one, so that the cap that holds is at least the number of instances that share
    a server.
    """

    __slots__ = (
        "bucket",
        "cap",
        "dialled",
        "group",
        "hot_each",
        "lacked_at",
        "most",
        "share_factor",
        "refused_at",
        "servers",
        "shares",
        "stepped_at",
        "width",
    )

    def __init__(self, rng: Random) -> None:
        self.shares, self.group, self.servers, self.width = Shares(), 1, 0, 1
        self.share_factor = self.most = 1.0
        """Times its equal part that this instance may have now, and ever."""
        self.cap, self.hot_each = 0.0, math.inf
        self.lacked_at = self.refused_at = self.stepped_at = -math.inf
        self.bucket = Bucket(rng)
        self.dialled = Dials()

    def configure(self, shares: Shares, group: int, servers: int, width: int) -> None:
        """Take the caps on each of ``servers``, in a group of so many, of which this one meets ``width``.

        A smaller part takes effect at once; a larger one is gone up to by steps, as news of the group may be wrong.
        """
        before, now = self.servers / self.group, servers / group
        busy = min(shares.busy, group)
        self.shares, self.group, self.servers, self.width = shares, group, servers, max(1, width)
        self.most = 1.0 + HOT / EQUAL * group / busy
        if self.cap and now > before > 0.0:
            self.share_factor *= before / now
        self.share_factor = min(self.share_factor, self.most)
        self.cap = shares.connections if servers else 0.0
        self.hot_each = HOT * self.cap / busy
        self.fill()

    def fill(self) -> None:
        """Let the part hold for handshakes."""
        if self.shares.handshakes_per_s and self.servers:
            equal = EQUAL * self.shares.handshakes_per_s / 1000.0 * self.servers / self.group
            self.bucket.configure(equal * self.share_factor)

    @property
    def equal(self) -> float:
        """Connections of an instance that is as busy as the rest."""
        return max(1.0, EQUAL * self.cap * self.servers / self.group) if self.cap else math.inf

    @property
    def level(self) -> float:
        """Connections at once to all servers."""
        return max(1.0, self.equal * self.share_factor)

    def most_each(self) -> float:
        """Connections at once to one server."""
        even = UNEVEN * self.equal / self.width
        return max(1.0, min(even * self.share_factor, even + self.hot_each))

    def may_open(self, now: float, to_server: int, in_all: int) -> bool:
        """Whether one more may be opened to a server that has ``to_server``; takes its handshake."""
        if self.cap and (self.is_exhausted(now, in_all) or to_server >= self.most_each()):
            return False
        if not self.shares.handshakes_per_s or self.bucket.take(now):
            if self.cap or self.shares.handshakes_per_s:
                self.dialled.fade(now)
                self.dialled.begun += 1.0
            return True
        self.lack(now)
        return False

    def is_exhausted(self, now: float, in_all: int) -> bool:
        """Whether all that it may hold is open: an idle connection elsewhere is to make room then."""
        if not self.cap:
            return False
        self.settle(now)
        if in_all < self.level:
            return False
        self.lack(now)
        return True

    def settle(self, now: float) -> None:
        """Go back towards the equal part, from below and, after a calm, from above."""
        if self.stepped_at == -math.inf:
            self.stepped_at = now
        if now - self.stepped_at < STEP_EACH:
            return
        steps = min(100.0, (now - self.stepped_at) / STEP_EACH)
        if self.share_factor < 1.0:
            self.share_factor = min(1.0, self.share_factor + STEP * steps)
        elif now - self.lacked_at > CALM_FOR:
            self.share_factor = max(1.0, self.share_factor / (1.0 + STEP) ** steps)
        self.stepped_at = now
        self.fill()

    def lack(self, now: float) -> None:
        """All that it may have is in use: a step up, for as long as that lasts."""
        self.settle(now)
        since = now - self.lacked_at
        if since < STEP_EACH:
            return
        self.lacked_at = now
        if since < 3.0 * STEP_EACH and self.share_factor >= 1.0:
            self.share_factor = min(self.most, (1.0 + STEP) * self.share_factor)
            self.fill()

    def on_connect_failed(self, now: float, answered_at: float) -> None:
        """A connection didn't come up, to a server that last answered at ``answered_at``.

        Its table is full if it has answered a moment ago. Else it may have died, which tells nothing of the totals,
        unless more fail than die at once.
        """
        self.dialled.fade(now)
        self.dialled.failed += 1.0
        if now - answered_at <= ALIVE_FOR or self.dialled.mostly():
            self.on_server_refused(now)

    def on_server_refused(self, now: float) -> None:
        """A server had no room: the totals are higher than this instance was told."""
        if now - self.refused_at >= BACK_OFF_EACH:
            self.refused_at = self.stepped_at = now
            self.share_factor = max(LEAST, BACK_OFF * self.share_factor)
            self.fill()


class DiscoveryCallPacer:
    """When one instance calls discovery: spread at the start, spaced after, backed off with jitter.

    The rules come first: without a subscription the list has to be asked for within ``ask_within`` (four times that
    after a failed call), so that the cap on calls can be kept by spacing only as far as that allows.
    """

    __slots__ = ("ask_within", "rng", "span")

    def __init__(self, per_s: float, group: int, ask_within: float, rng: Random) -> None:
        self.ask_within, self.rng = ask_within, rng
        self.span = 1000.0 * group / per_s if per_s else 0.0
        """ms between two calls of one instance, where all of them make use of the cap."""

    def start(self) -> float:
        """ms until the first call of an instance that begins with a list it remembers; a watch follows it."""
        return self.rng.random() * min(2.0 * self.span, START_PART * self.ask_within)

    def retry_delay(self, refusals: int) -> float:
        """ms until the next call after so many refusals in a row: half of it jitter, under a bound that doubles."""
        most = min(max(RETRY_MOST * self.ask_within, 2.0 * self.span), FAILED_PART * self.ask_within)
        bound = min(max(RETRY_FIRST, self.span) * 2.0 ** min(refusals, 16), most)
        return bound * (0.5 + 0.5 * self.rng.random())

    def watch_timeout(self, least: float) -> float:
        """ms that a watch may wait for changes, so that the watches of all stay under half of the cap."""
        return max(least, min(2.0 * self.span, LONGEST_WATCH)) * (0.9 + 0.2 * self.rng.random())

    def watch_pause(self) -> float:
        """ms between the news that a watch brought and the next one: all hear the same news at once."""
        return self.rng.random() * min(self.span, START_PART * self.ask_within)
