"""One instance's part of what all instances together may use, so that totals stay under stated caps at any size.

Nobody counts the total: each instance knows how many there are and takes its part. Where that was told wrongly
the servers' own refusals take the part back (additive increase, multiplicative decrease, as in RFC 5681), and a
part that grows does so slowly, so that a change of the group is no burst.
"""

from __future__ import annotations

import math
from random import Random

from ..interface import Shares

RATIO_WINDOW = 10_000.0  # ms over which a ratio holds: as long as the usual window of retry budgets
BURST_WINDOW = 500.0  # ms of a rate that may be saved up: all instances may spend theirs at the same instant
STEADY_SHARE = (
    2.0 / 3.0
)  # of a cap by the second that is the steady rate: with what is saved no second has more than the cap
EQUAL_SHARE = 0.5  # of the cap on connections is shared evenly
BUSY_SHARE = 0.25  # of it is for the busy ones; the rest is room for unevenness
UNEVEN_FACTOR = 1.5  # times its even part that an instance may hold to one server: EQUAL * UNEVEN + HOT = 1
INCREASE_INTERVAL = 1_000.0  # ms between two steps up of who lacks connections
INCREASE_STEP = 0.15  # that such a step adds to its part: a trouble of seconds makes nobody a busy one, a minute does
DECREASE_AFTER = 30_000.0  # ms without lack after which what is above the equal part is given back, step by step
BACKOFF_FACTOR = 0.7  # factor for each refusal
BACKOFF_INTERVAL = 250.0  # ms between two of them: refusals of one burst are one piece of news
MAX_SPREAD_SHARE = 0.8  # of the time within which the list has to be asked for: the rest is for a slow answer
MIN_RETRY_DELAY = 300.0  # ms
MAX_RETRY_SHARE = 1.0 / 3.0  # of that time, between two tries where discovery has room for them
MAX_FAILED_FACTOR = 3.5  # times it, at the most: the rules allow four after a failed call
MAX_WATCH_TIMEOUT = 120_000.0  # ms: a discovery that has fallen silent is noticed no sooner
MAX_DEAD_SHARE = 0.3  # of the connections begun that may fail by servers which have died: a data centre's part is more
DEAD_PRIOR = 10.0  # connections begun that it takes to outweigh that none fails
ALIVE_WINDOW = (
    2_000.0  # ms after its last answer for which a server that can't be reached is taken to be full, not dead
)
MIN_SHARE_FACTOR = (
    1.0 / 64.0
)  # of its equal part that an instance goes down to: below, it could not find out that all is well


class TokenBucket:
    """So many a second on the long run, and what is saved up of them; parts below one are taken by chance.

    Guards the quiet: where an instance's part is one in a hundred seconds, all of them together still have their
    rate, at once after a pause as much as later.
    """

    __slots__ = ("capacity", "rate", "rng", "tokens", "updated_at")

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.rate = self.capacity = self.tokens = 0.0
        self.updated_at = -math.inf

    def configure(self, max_rate: float) -> None:
        """No more than ``most`` a ms over any second from now on, what is saved up included."""
        is_first = self.capacity == 0.0
        self.rate = STEADY_SHARE * max_rate
        self.capacity = self.rate * BURST_WINDOW
        self.tokens = self.capacity if is_first else min(self.tokens, self.capacity)

    def take(self, now: float) -> bool:
        """Whether one may be spent now. On the average, and in the long run, no more than told."""
        if now > self.updated_at:
            if self.updated_at > -math.inf:
                self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.updated_at))
            self.updated_at = now
        if self.tokens < 1.0:  # a try uses up what there is, won or not: else who tries often enough wins always
            probability, self.tokens = self.tokens, 0.0
            return self.rng.random() < probability
        self.tokens -= 1.0
        return True


class Budget:
    """Retries or copies: a share of the requests over some seconds, and a floor for the quiet.

    One may be saved up for as long as it takes: guards those who ask less than once in some seconds, and who could
    else never retry at all.
    """

    __slots__ = ("balance", "floor", "ratio", "updated_at")

    def __init__(self, ratio: float, rng: Random) -> None:
        self.ratio, self.floor = ratio, TokenBucket(rng)
        self.balance, self.updated_at = 0.0, -math.inf

    def configure(self, floor: float) -> None:
        """``floor``: so many a ms are free."""
        self.floor.configure(floor)

    def on_request(self, now: float) -> None:
        """A request has come."""
        self.decay(now)
        self.balance += self.ratio

    def decay(self, now: float) -> None:
        if now > self.updated_at:
            if self.balance > 1.0:
                self.balance = 1.0 + (self.balance - 1.0) * math.exp((self.updated_at - now) / RATIO_WINDOW)
            self.updated_at = now

    def take(self, now: float) -> bool:
        """Whether one more may go out."""
        self.decay(now)
        if self.balance >= 1.0:
            self.balance -= 1.0
            return True
        return self.floor.take(now)


class ConnectStatistics:
    """Of late: how many connections were begun, and how many of them didn't come up."""

    __slots__ = ("attempted", "failed", "updated_at")

    def __init__(self) -> None:
        self.attempted = self.failed = 0.0
        self.updated_at = -math.inf

    def decay(self, now: float) -> None:
        if now > self.updated_at:
            factor = math.exp((self.updated_at - now) / RATIO_WINDOW)
            self.attempted, self.failed, self.updated_at = self.attempted * factor, self.failed * factor, now

    def is_failing_widely(self) -> bool:
        """Whether so many fail that servers which have died don't account for them."""
        return self.failed > MAX_DEAD_SHARE * (self.attempted + DEAD_PRIOR)


class Connections:
    """How many connections one instance may hold and open.

    Each begins with its equal part of both caps. Who lacks connections or handshakes goes beyond it step by step, up
    to a busy one's part; a server's refusal takes back at once, of busy ones and of all. A part of less than one
    connection to a server counts as one, so that the cap that holds is at least the number of instances that share
    a server.
    """

    __slots__ = (
        "adjusted_at",
        "busy_extra_per_server",
        "connection_cap",
        "connects",
        "exhausted_at",
        "group_size",
        "handshake_tokens",
        "max_share_factor",
        "refused_at",
        "servers",
        "share_factor",
        "shares",
        "subset_size",
    )

    def __init__(self, rng: Random) -> None:
        self.shares, self.group_size, self.servers, self.subset_size = Shares(), 1, 0, 1
        self.share_factor = self.max_share_factor = 1.0
        """Times its equal part that this instance may have now, and ever."""
        self.connection_cap, self.busy_extra_per_server = 0.0, math.inf
        self.exhausted_at = self.refused_at = self.adjusted_at = -math.inf
        self.handshake_tokens = TokenBucket(rng)
        self.connects = ConnectStatistics()

    def configure(self, shares: Shares, group_size: int, servers: int, subset_size: int) -> None:
        """Take the caps on each of ``servers``, in a group of so many, of which this one meets ``subset_size``.

        A smaller part takes effect at once; a larger one is gone up to by steps, as news of the group may be wrong.
        """
        old_ratio, new_ratio = self.servers / self.group_size, servers / group_size
        busy = min(shares.busy, group_size)
        self.shares, self.group_size, self.servers, self.subset_size = shares, group_size, servers, max(1, subset_size)
        self.max_share_factor = 1.0 + BUSY_SHARE / EQUAL_SHARE * group_size / busy
        if self.connection_cap and new_ratio > old_ratio > 0.0:
            self.share_factor *= old_ratio / new_ratio
        self.share_factor = min(self.share_factor, self.max_share_factor)
        self.connection_cap = shares.connections if servers else 0.0
        self.busy_extra_per_server = BUSY_SHARE * self.connection_cap / busy
        self.update_handshake_rate()

    def update_handshake_rate(self) -> None:
        """Let the part hold for handshakes."""
        if self.shares.handshakes_per_s and self.servers:
            equal_share = EQUAL_SHARE * self.shares.handshakes_per_s / 1000.0 * self.servers / self.group_size
            self.handshake_tokens.configure(equal_share * self.share_factor)

    @property
    def equal_share(self) -> float:
        """Connections of an instance that is as busy as the rest."""
        return (
            max(1.0, EQUAL_SHARE * self.connection_cap * self.servers / self.group_size)
            if self.connection_cap
            else math.inf
        )

    @property
    def max_total(self) -> float:
        """Connections at once to all servers."""
        return max(1.0, self.equal_share * self.share_factor)

    def max_per_server(self) -> float:
        """Connections at once to one server."""
        even = UNEVEN_FACTOR * self.equal_share / self.subset_size
        return max(1.0, min(even * self.share_factor, even + self.busy_extra_per_server))

    def may_open(self, now: float, to_server: int, total: int) -> bool:
        """Whether one more may be opened to a server that has ``to_server``; takes its handshake."""
        if self.connection_cap and (self.lacks(now, total) or to_server >= self.max_per_server()):
            return False
        if not self.shares.handshakes_per_s or self.handshake_tokens.take(now):
            if self.connection_cap or self.shares.handshakes_per_s:
                self.connects.decay(now)
                self.connects.attempted += 1.0
            return True
        self.on_exhausted(now)
        return False

    def lacks(self, now: float, total: int) -> bool:
        """Whether all that it may hold is open: an idle connection elsewhere is to make room then."""
        if not self.connection_cap:
            return False
        self.approach_equal_share(now)
        if total < self.max_total:
            return False
        self.on_exhausted(now)
        return True

    def approach_equal_share(self, now: float) -> None:
        """Go back towards the equal part, from below and, after a calm, from above."""
        if self.adjusted_at == -math.inf:
            self.adjusted_at = now
        if now - self.adjusted_at < INCREASE_INTERVAL:
            return
        steps = min(100.0, (now - self.adjusted_at) / INCREASE_INTERVAL)
        if self.share_factor < 1.0:
            self.share_factor = min(1.0, self.share_factor + INCREASE_STEP * steps)
        elif now - self.exhausted_at > DECREASE_AFTER:
            self.share_factor = max(1.0, self.share_factor / (1.0 + INCREASE_STEP) ** steps)
        self.adjusted_at = now
        self.update_handshake_rate()

    def on_exhausted(self, now: float) -> None:
        """All that it may have is in use: a step up, for as long as that lasts."""
        self.approach_equal_share(now)
        elapsed = now - self.exhausted_at
        if elapsed < INCREASE_INTERVAL:
            return
        self.exhausted_at = now
        if elapsed < 3.0 * INCREASE_INTERVAL and self.share_factor >= 1.0:
            self.share_factor = min(self.max_share_factor, (1.0 + INCREASE_STEP) * self.share_factor)
            self.update_handshake_rate()

    def not_connected(self, now: float, answered_at: float) -> None:
        """A connection didn't come up, to a server that last answered at ``answered_at``.

        Its table is full if it has answered a moment ago. Else it may have died, which tells nothing of the totals,
        unless more fail than die at once.
        """
        self.connects.decay(now)
        self.connects.failed += 1.0
        if now - answered_at <= ALIVE_WINDOW or self.connects.is_failing_widely():
            self.refused(now)

    def refused(self, now: float) -> None:
        """A server had no room: the totals are higher than this instance was told."""
        if now - self.refused_at >= BACKOFF_INTERVAL:
            self.refused_at = self.adjusted_at = now
            self.share_factor = max(MIN_SHARE_FACTOR, BACKOFF_FACTOR * self.share_factor)
            self.update_handshake_rate()


class Calls:
    """When one instance calls discovery: spread at the start, spaced after, backed off with jitter.

    The rules come first: without a subscription the list has to be asked for within ``ask_within`` (four times that
    after a failed call), so that the cap on calls can be kept by spacing only as far as that allows.
    """

    __slots__ = ("ask_within", "rng", "span")

    def __init__(self, per_s: float, group_size: int, ask_within: float, rng: Random) -> None:
        self.ask_within, self.rng = ask_within, rng
        self.span = 1000.0 * group_size / per_s if per_s else 0.0
        """ms between two calls of one instance, where all of them make use of the cap."""

    def start(self) -> float:
        """ms until the first call of an instance that begins with a list it remembers; a watch follows it."""
        return self.rng.random() * min(2.0 * self.span, MAX_SPREAD_SHARE * self.ask_within)

    def again(self, refusals: int) -> float:
        """ms until the next call after so many refusals in a row: half of it jitter, under a bound that doubles."""
        upper = min(max(MAX_RETRY_SHARE * self.ask_within, 2.0 * self.span), MAX_FAILED_FACTOR * self.ask_within)
        bound = min(max(MIN_RETRY_DELAY, self.span) * 2.0 ** min(refusals, 16), upper)
        return bound * (0.5 + 0.5 * self.rng.random())

    def watch_for(self, minimum: float) -> float:
        """ms that a watch may wait for changes, so that the watches of all stay under half of the cap."""
        return max(minimum, min(2.0 * self.span, MAX_WATCH_TIMEOUT)) * (0.9 + 0.2 * self.rng.random())

    def gap(self) -> float:
        """ms between the news that a watch brought and the next one: all hear the same news at once."""
        return self.rng.random() * min(self.span, MAX_SPREAD_SHARE * self.ask_within)
