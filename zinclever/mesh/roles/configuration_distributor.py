"""Distribution of the configuration: a process without the newest version fetches it from a peer over a channel."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...core.protocol import Address
from ..configuration.active import ActiveConfiguration, decompress
from ..configuration.fetch_waiters import FetchWaiters
from ..configuration.fetching import FAILED_RETRY_DELAY, FETCH_TIMEOUT, FetchCounters, FetchScheduler
from ..errors import MeshError
from ..membership.gossip import Gossip
from ..membership.records import CONFIG_RECORD_ID, RecordKind
from ..transport.channel import LinkState, OnAnswer
from ..transport.mesh_pb2 import Fetch, FetchReply, Frame, Record, Version

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.1  # s between two checks whether another peer has to be asked
LATE_AFTER = 1.5  # s from hearing of a version after which it is logged as late; it has to be active within 2 s
LATE_LOG_INTERVAL = 2.0  # s between two log lines while a version is late


class Timer(Protocol):
    """A callback that is scheduled."""

    def cancel(self) -> None:
        """Prevent the callback from running."""


class Clock(Protocol):
    """The part of an event loop that is used here."""

    def time(self) -> float:
        """Return the time in s on a monotonic clock."""

    def call_later(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Run ``callback`` after ``delay`` s."""


class FetchChannel(Protocol):
    """The part of :class:`..transport.channel.Channel` that is used here."""

    def call(self, frame: Frame, on_answer: OnAnswer) -> int:
        """Open a call and return its stream number. ``on_answer`` is never called from within this method."""

    def finish_call(self, stream: int) -> bool:
        """Stop delivering answers of a call."""

    def link_state(self) -> LinkState:
        """Return the state of the connection."""


class FetchChannels(Protocol):
    """The channels of a process, by address."""

    def to(self, address: Address) -> FetchChannel:
        """Return the channel to an address."""

    def is_unresponsive(self, address: Address) -> bool:
        """Return whether there is a channel to an address whose peer has been silent for too long."""


class ReplyConnection(Protocol):
    """An accepted connection, to which answers are sent."""

    def send(self, frame: Frame) -> None:
        """Send a frame."""


@dataclass(eq=False, slots=True)
class FetchCall:
    """A fetch whose answer is still delivered."""

    channel: FetchChannel
    stream: int
    empty_since: float = math.inf
    """When the peer answered that it lacks the text, which may still follow."""


class ConfigurationDistributor:
    """Fetches newer configurations from other processes, and answers the fetches of others."""

    def __init__(
        self,
        gossip: Gossip,
        channels: FetchChannels,
        active: ActiveConfiguration,
        broadcast: Callable[[Record], None],
        clock: Clock,
    ) -> None:
        """Create a distributor; ``broadcast`` gossips a record immediately."""
        self.gossip, self.channels, self.active, self.broadcast = gossip, channels, active, broadcast
        self.clock = clock
        self.timer: Timer | None = None
        self.scheduler = FetchScheduler()
        self.waiters: FetchWaiters[ReplyConnection, Frame] = FetchWaiters()
        self.calls: set[FetchCall] = set()
        """Fetches whose answer would be used."""
        self.counters = FetchCounters()
        self.newer_since = math.inf
        """The time since which a version is known that is newer than the active one."""
        self.late_logged_at = -math.inf

    # --- fetching ---

    def newer_version(self) -> Record | None:
        """Return the record of the latest known version if it is newer than the active one, else None."""
        record = self.gossip.records.get(RecordKind.VERSION, CONFIG_RECORD_ID)
        return record if record is not None and record.incarnation > self.active.index else None

    def fetch_newer(self, preferred: str = "") -> None:
        """Fetch the newest version if it isn't active yet: from ``preferred`` if possible, else from any peer."""
        record = self.newer_version()
        if record is None:
            self.newer_since = math.inf
            if self.timer is not None:
                self.timer.cancel()
            self.scheduler.finish()
            for call in list(self.calls):
                self.finish_call(call)
            return
        self.log_if_late(record)
        now = self.clock.time()
        for call in [call for call in self.calls if now - call.empty_since >= FETCH_TIMEOUT]:
            self.finish_call(call)
        if preferred or self.scheduler.is_due(now, self.is_unresponsive):
            self.fetch_from_next_peer(preferred, record.incarnation)
        self.schedule_fetch(POLL_INTERVAL)

    def fetch_from_next_peer(self, preferred: str, index: int) -> None:
        """Request version ``index`` from the peer that the scheduler selects, if any can be asked."""
        members, now = self.gossip.members, self.clock.time()
        choose = self.gossip.rng.choice
        peer = self.scheduler.next_peer(
            now, preferred, members.others(), choose, members.control_nodes(), self.is_unresponsive
        )
        if peer is not None:
            self.scheduler.on_asked(now)
            self.fetch_from(peer, index)

    def schedule_fetch(self, delay: float) -> None:
        """Run :meth:`fetch_newer` after ``delay`` s, replacing the run that is scheduled."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_later(delay, self.fetch_newer)

    def fetch_from(self, peer: str, index: int) -> None:
        """Request version ``index`` or a newer one from a peer."""
        address = self.gossip.members.address_of(peer)
        assert address is not None  # the peer is a known member
        channel = self.channels.to(address)

        def on_answer(frame: Frame | None) -> None:
            self.count_answer(frame)
            if frame is not None and frame.fetch_reply.index < index:
                call.empty_since = self.clock.time()  # the call stays open: the text may follow
                self.scheduler.on_empty(call.empty_since, peer)
                return
            self.finish_call(call)
            if frame is not None and self.apply_reply(frame.fetch_reply):
                self.scheduler.on_answered(peer)
                self.schedule_fetch(0.0)
            else:
                self.scheduler.on_failed(self.clock.time(), peer)
                self.schedule_fetch(FAILED_RETRY_DELAY)

        self.counters.sent += 1
        fetch = Frame(fetch=Fetch(index=index, accepts_compressed=True))
        call = FetchCall(channel, channel.call(fetch, on_answer))
        self.calls.add(call)

    def finish_call(self, call: FetchCall) -> None:
        """Stop waiting for the answer of a fetch."""
        self.calls.discard(call)
        call.channel.finish_call(call.stream)

    def apply_reply(self, reply: FetchReply) -> bool:
        """Activate a configuration received from a peer. Returns False if it can't be parsed."""
        try:
            text = decompress(reply.compressed) if reply.compressed else reply.text
        except MeshError as error:
            log.error("configuration can't be decompressed", extra={"code": error.code})
            return False
        return self.activate_configuration(reply.index, reply.generation, text)

    def count_answer(self, frame: Frame | None) -> None:
        """Count the answer of a peer; None if its connection was lost."""
        if frame is None:
            self.counters.failed += 1
        elif frame.fetch_reply.index:
            self.counters.texts += 1
        else:
            self.counters.empty += 1

    def log_if_late(self, record: Record) -> None:
        """Log which fetches are open if a version has been known for :data:`LATE_AFTER` without becoming active."""
        now = self.clock.time()
        self.newer_since = min(self.newer_since, now)
        if now - self.newer_since < LATE_AFTER or now - self.late_logged_at < LATE_LOG_INTERVAL:
            return
        self.late_logged_at = now
        log.warning(
            "configuration is late",
            extra={
                "code": "CONFIG_LATE",
                "number": self.active.index,
                "known": record.incarnation,
                "late_s": round(now - self.newer_since, 1),
                "open": [
                    {"peer": peer, "open_s": round(now - since, 1), "link": self.link_state(peer)}
                    for peer, since in self.scheduler.open_since.items()
                ],
                **self.counters.as_dict(),
            },
        )

    def is_unresponsive(self, peer: str) -> bool:
        """Return whether a peer has been silent for too long to be asked."""
        address = self.gossip.members.address_of(peer)
        return address is None or self.channels.is_unresponsive(address)

    def link_state(self, peer: str) -> LinkState:
        """Return the state of the connection to a peer."""
        address = self.gossip.members.address_of(peer)
        return self.channels.to(address).link_state() if address is not None else LinkState.CLOSED

    def as_dict(self) -> dict[str, int]:
        """Return the active and the newest known version and the counters of fetches, as they are logged."""
        record = self.newer_version()
        known = record.incarnation if record is not None else self.active.index
        return {"active": self.active.index, "known": known, **self.counters.as_dict()}

    # --- serving fetches ---

    def on_fetch(self, connection: ReplyConnection, frame: Frame) -> None:
        """Answer a peer that requests a version: with the version if it is active here, else with an empty reply.

        After an empty reply the version follows on the same stream if it becomes active here soon, so that it spreads
        along the path of its announcement. A peer of protocol version 3 asks another process instead of waiting.
        """
        if self.active.index >= frame.fetch.index and self.active.text:
            reply = FetchReply(index=self.active.index, generation=self.active.generation)
            if frame.fetch.accepts_compressed:
                reply.compressed = self.active.compressed()
            if not reply.compressed:
                reply.text = self.active.text
            connection.send(Frame(stream=frame.stream, fetch_reply=reply))
            return
        self.counters.held += 1
        self.waiters.add(self.clock.time(), connection, frame)
        connection.send(Frame(stream=frame.stream, fetch_reply=FetchReply()))

    def activate_configuration(self, index: int, generation: int, text: bytes) -> bool:
        """Activate a committed configuration, announce its version and answer the peers that wait for it.

        Returns False if it can't be parsed.
        """
        try:
            if self.active.apply(index, generation, text):
                log.info(
                    "configuration in force",
                    extra={"code": "CONFIG_IN_FORCE", "number": index, "generation": generation},
                )
        except MeshError as error:
            log.error("committed configuration can't be parsed", extra={"code": error.code, "field": error.field})
            return False
        body = Version(index=index, generation=generation).SerializeToString()
        self.broadcast(Record(kind=RecordKind.VERSION, id=CONFIG_RECORD_ID, incarnation=index, body=body))
        waiting = len(self.waiters.waiters)
        in_time = self.waiters.take_all(self.clock.time())
        self.counters.dropped += waiting - len(in_time)
        for connection, frame in in_time:
            self.on_fetch(connection, frame)
        return True
