"""One instance's share of limits that hold for all instances together.

No instance counts the totals: each one knows the size of the group and takes its share. If that size is wrong, refusals
by the servers reduce the share (additive increase, multiplicative decrease, as in RFC 5681). A share that grows does so
slowly, so that a change of the group causes no burst.
"""

from __future__ import annotations

import math
from random import Random

from ..interface import Shares

RATIO_WINDOW = 10_000.0  # ms over which a ratio holds, as is usual for retry budgets
BURST_WINDOW = 500.0  # ms of a rate that may be saved up, as all instances may spend theirs at the same instant
STEADY_SHARE = 2.0 / 3.0  # of a cap per second: with what is saved up, no second exceeds the cap
EQUAL_SHARE = 0.5  # of the connection cap, shared evenly
BUSY_SHARE = 0.25  # of the connection cap, for busy instances; the rest is headroom for uneven load
UNEVEN_FACTOR = 1.5  # factor on the even share for one server: EQUAL_SHARE * UNEVEN_FACTOR + BUSY_SHARE = 1
INCREASE_INTERVAL = 1_000.0  # ms between two increases for an instance that lacks connections
INCREASE_STEP = 0.15  # relative increase: a fault of seconds raises the share little, a minute of load much
DECREASE_AFTER = 30_000.0  # ms without exhaustion after which what exceeds the equal share is given back, step by step
BACKOFF_FACTOR = 0.7  # factor on the share for each refusal
BACKOFF_INTERVAL = 250.0  # ms between two reductions, as refusals of one burst count once
MAX_SPREAD_SHARE = 0.8  # of the interval within which the list must be fetched; the rest is left for a slow answer
MIN_RETRY_DELAY = 300.0  # ms
MAX_RETRY_SHARE = 1.0 / 3.0  # of ``ask_within``: longest delay between two retries if the cap on calls permits it
MAX_FAILED_FACTOR = 3.5  # of ``ask_within``: longest delay in any case, as the rules allow 4 after a failed call
MAX_WATCH_TIMEOUT = 120_000.0  # ms; a discovery that has become silent is noticed no sooner
MAX_DEAD_SHARE = 0.3  # of recent connects that may fail because servers have died; losing a data centre exceeds it
DEAD_PRIOR = 10.0  # connects added to the recent ones, so that a few failures do not exceed the limit
ALIVE_WINDOW = 2_000.0  # ms after a last answer during which an unreachable server counts as full rather than dead
MIN_SHARE_FACTOR = 1.0 / 64.0  # of the equal share; with less an instance could not notice that capacity is back


class TokenBucket:
    """A token bucket whose fractions of a token are drawn by chance.

    An instance whose rate is one token in a hundred seconds can take one at any time with the matching probability, so
    that all instances together have their full rate even after a pause.
    """

    __slots__ = ("capacity", "rate", "rng", "tokens", "updated_at")

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.rate = self.capacity = self.tokens = 0.0
        self.updated_at = -math.inf

    def configure(self, max_rate: float) -> None:
        """Limit the tokens taken in any second to ``max_rate`` per ms, including what is saved up."""
        is_first = self.capacity == 0.0
        self.rate = STEADY_SHARE * max_rate
        self.capacity = self.rate * BURST_WINDOW
        self.tokens = self.capacity if is_first else min(self.tokens, self.capacity)

    def take(self, now: float) -> bool:
        """Take a token if there is one. In the long run the rate is kept on average."""
        if now > self.updated_at:
            if self.updated_at > -math.inf:
                self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.updated_at))
            self.updated_at = now
        if self.tokens < 1.0:  # each try uses up the fraction, or frequent tries would always succeed
            probability, self.tokens = self.tokens, 0.0
            return self.rng.random() < probability
        self.tokens -= 1.0
        return True


class Budget:
    """A budget of retries or hedges: a share of the recent requests, and a floor for low traffic.

    One token is kept without decay, so that an instance with very few requests can retry at all.
    """

    __slots__ = ("balance", "floor", "ratio", "updated_at")

    def __init__(self, ratio: float, rng: Random) -> None:
        self.ratio, self.floor = ratio, TokenBucket(rng)
        self.balance, self.updated_at = 0.0, -math.inf

    def configure(self, floor: float) -> None:
        """Set the rate, per ms, that is allowed whatever the ratio."""
        self.floor.configure(floor)

    def on_request(self, now: float) -> None:
        """Add the share of a new request."""
        self.decay(now)
        self.balance += self.ratio

    def decay(self, now: float) -> None:
        """Decay what exceeds one token."""
        if now > self.updated_at:
            if self.balance > 1.0:
                self.balance = 1.0 + (self.balance - 1.0) * math.exp((self.updated_at - now) / RATIO_WINDOW)
            self.updated_at = now

    def take(self, now: float) -> bool:
        """Take a token if there is one."""
        self.decay(now)
        if self.balance >= 1.0:
            self.balance -= 1.0
            return True
        return self.floor.take(now)


class ConnectStatistics:
    """Recent numbers of connects and of failed connects."""

    __slots__ = ("attempted", "failed", "updated_at")

    def __init__(self) -> None:
        self.attempted = self.failed = 0.0
        self.updated_at = -math.inf

    def decay(self, now: float) -> None:
        """Decay both numbers up to ``now``."""
        if now > self.updated_at:
            factor = math.exp((self.updated_at - now) / RATIO_WINDOW)
            self.attempted, self.failed, self.updated_at = self.attempted * factor, self.failed * factor, now

    def is_failing_widely(self) -> bool:
        """Return whether more connects fail than dead servers explain."""
        return self.failed > MAX_DEAD_SHARE * (self.attempted + DEAD_PRIOR)


class ConnectionLimiter:
    """Limits the connections that one instance holds and opens.

    An instance starts with its equal share of both caps. One that runs out of connections or handshakes increases its
    share step by step, up to the share of a busy instance; a refusal by a server reduces it at once, for busy and other
    instances alike. Less than one connection to a server counts as one, so the effective cap is at least the number of
    instances that share a server.
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
        """Factors on the equal share: the current one and the maximum."""
        self.connection_cap, self.busy_extra_per_server = 0.0, math.inf
        self.exhausted_at = self.refused_at = self.adjusted_at = -math.inf
        self.handshake_tokens = TokenBucket(rng)
        self.connects = ConnectStatistics()

    def configure(self, shares: Shares, group_size: int, servers: int, subset_size: int) -> None:
        """Set the caps on each of ``servers`` servers in a group of ``group_size`` instances. This instance uses
        ``subset_size`` of the servers.

        A smaller share takes effect at once; a larger one is reached in steps, as the reported group size may be wrong.
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
        """Apply the current share to the handshake rate."""
        if self.shares.handshakes_per_s and self.servers:
            equal_share = EQUAL_SHARE * self.shares.handshakes_per_s / 1000.0 * self.servers / self.group_size
            self.handshake_tokens.configure(equal_share * self.share_factor)

    @property
    def equal_share(self) -> float:
        """Total connections of an instance that is as busy as the others."""
        return (
            max(1.0, EQUAL_SHARE * self.connection_cap * self.servers / self.group_size)
            if self.connection_cap
            else math.inf
        )

    @property
    def max_total(self) -> float:
        """Maximum number of open connections to all servers."""
        return max(1.0, self.equal_share * self.share_factor)

    def max_per_server(self) -> float:
        """Return the maximum number of open connections to one server."""
        even = UNEVEN_FACTOR * self.equal_share / self.subset_size
        return max(1.0, min(even * self.share_factor, even + self.busy_extra_per_server))

    def may_open(self, now: float, to_server: int, total: int) -> bool:
        """Return whether a connection may be opened to a server that has ``to_server``, and take its handshake."""
        if self.connection_cap and (self.is_exhausted(now, total) or to_server >= self.max_per_server()):
            return False
        if not self.shares.handshakes_per_s or self.handshake_tokens.take(now):
            if self.connection_cap or self.shares.handshakes_per_s:
                self.connects.decay(now)
                self.connects.attempted += 1.0
            return True
        self.on_exhausted(now)
        return False

    def is_exhausted(self, now: float, total: int) -> bool:
        """Return whether all permitted connections are open, so that an idle one has to be closed first."""
        if not self.connection_cap:
            return False
        self.approach_equal_share(now)
        if total < self.max_total:
            return False
        self.on_exhausted(now)
        return True

    def approach_equal_share(self, now: float) -> None:
        """Move the share towards the equal share in steps; down only after some time without exhaustion."""
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
        """Increase the share by a step if the limit has been reached for some time."""
        self.approach_equal_share(now)
        elapsed = now - self.exhausted_at
        if elapsed < INCREASE_INTERVAL:
            return
        self.exhausted_at = now
        if elapsed < 3.0 * INCREASE_INTERVAL and self.share_factor >= 1.0:
            self.share_factor = min(self.max_share_factor, (1.0 + INCREASE_STEP) * self.share_factor)
            self.update_handshake_rate()

    def on_connect_failed(self, now: float, answered_at: float) -> None:
        """Count a failed connect to a server that last answered at ``answered_at``.

        A server that has answered recently is full. Otherwise it may have died, which says nothing about the totals
        unless more servers fail than die at the same time.
        """
        self.connects.decay(now)
        self.connects.failed += 1.0
        if now - answered_at <= ALIVE_WINDOW or self.connects.is_failing_widely():
            self.on_server_refused(now)

    def on_server_refused(self, now: float) -> None:
        """Reduce the share, as a server had no capacity: the totals are higher than this instance assumes."""
        if now - self.refused_at >= BACKOFF_INTERVAL:
            self.refused_at = self.adjusted_at = now
            self.share_factor = max(MIN_SHARE_FACTOR, BACKOFF_FACTOR * self.share_factor)
            self.update_handshake_rate()


class DiscoveryCallPacer:
    """Schedules one instance's calls of discovery: spread at the start, spaced afterwards, with jittered backoff.

    The protocol's rules take precedence over the cap: without a subscription the list must be fetched every
    ``ask_within`` (four times that after a failed call). Calls are spaced only as far as that permits.
    """

    __slots__ = ("ask_within", "rng", "span")

    def __init__(self, per_s: float, group_size: int, ask_within: float, rng: Random) -> None:
        self.ask_within, self.rng = ask_within, rng
        self.span = 1000.0 * group_size / per_s if per_s else 0.0
        """ms between two calls of an instance if all instances use the full cap; 0: no cap."""

    def initial_delay(self) -> float:
        """Return the ms until the first call of an instance that starts with a remembered list; a watch follows it."""
        return self.rng.random() * min(2.0 * self.span, MAX_SPREAD_SHARE * self.ask_within)

    def retry_delay(self, refusals: int) -> float:
        """Return the ms until the next call after consecutive refusals: a bound that doubles, half of it jitter."""
        upper = min(max(MAX_RETRY_SHARE * self.ask_within, 2.0 * self.span), MAX_FAILED_FACTOR * self.ask_within)
        bound = min(max(MIN_RETRY_DELAY, self.span) * 2.0 ** min(refusals, 16), upper)
        return bound * (0.5 + 0.5 * self.rng.random())

    def watch_timeout(self, minimum: float) -> float:
        """Return the ms that a watch may wait for changes, so that all watches together use at most half of the cap."""
        return max(minimum, min(2.0 * self.span, MAX_WATCH_TIMEOUT)) * (0.9 + 0.2 * self.rng.random())

    def watch_pause(self) -> float:
        """Return the ms between two watches, which spreads the calls of instances that receive the same change."""
        return self.rng.random() * min(self.span, MAX_SPREAD_SHARE * self.ask_within)
