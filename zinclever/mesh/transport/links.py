"""Links: frames over TCP between two processes of the mesh. A frame is its length in four bytes, then protobuf."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from ...core.protocol import Address
from .mesh_pb2 import Frame

log = logging.getLogger(__name__)

MOST_FRAME = 24 << 20  # bytes: a configuration of a few MB twice in one change
DIAL_FOR = 0.6  # s in which a link comes up: loopback-like nets take ms, a machine without power never answers
DIAL_AGAIN = (0.1, 0.2)  # s after which one more dial joins those that hang: a machine that is up again answers it
UNHEARD_FOR = 1500  # ms for which what was sent may lie unacknowledged: after a cut TCP tries ever more seldom
SILENT_FOR = 1.0  # s without a byte, while something is asked, after which a link counts as lost
PING_EACH = 0.1  # s between two looks at links on which something is asked
TIMER_GRAIN = 0.001  # s by which the loop may run a timer early: it counts whole milliseconds
DOUBT = 0.15  # s beyond two round trips, of silence or of dialling, after which nothing new is asked there
LATE = 0.1  # s that a look comes late by, from which on this process stood still, and not the other end
KEEP_ALIVE_EACH = 0.5  # s without a byte from the other end after which a line that is kept alive asks for one ...
KEEP_ALIVE_FOR = 2.0  # s ... and after which its link counts as lost, unless what is to be sent still gets less
LENGTH = 4

OnFrame = Callable[["Link", Frame], None]
OnLost = Callable[["Link"], None]


class Link(asyncio.Protocol):
    """One end of a link. What comes is handed on frame by frame; a text that is none ends it."""

    def __init__(self, on_frame: OnFrame, on_lost: OnLost) -> None:
        self.on_frame, self.on_lost = on_frame, on_lost
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray()
        self.heard_at = self.loop.time()
        self.lost = False
        self.pinged_at = 0.0
        self.trip = math.inf
        """The shortest round trip that was seen, in s."""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD_FOR)

    def data_received(self, data: bytes) -> None:
        self.heard_at = self.loop.time()
        buffer = self.buffer
        buffer += data
        at = 0
        while len(buffer) - at >= LENGTH:
            size = int.from_bytes(buffer[at : at + LENGTH], "big")
            if size > MOST_FRAME:
                log.warning("frame too long", extra={"code": "LINK_FRAME", "bytes": size})
                self.end()
                return
            if len(buffer) - at - LENGTH < size:
                break
            text = bytes(buffer[at + LENGTH : at + LENGTH + size])
            at += LENGTH + size
            try:
                frame = Frame.FromString(text)
            except DecodeError:
                log.warning("no frame of the mesh", extra={"code": "LINK_FOREIGN"})
                self.end()
                return
            what = frame.WhichOneof("what")
            if what == "ping":
                self.send(Frame(pong=frame.ping))
            elif what == "pong":
                self.trip = min(self.trip, self.heard_at - self.pinged_at)
            else:
                self.on_frame(self, frame)
            if self.lost:
                return
        if at:
            del buffer[:at]

    def ping(self) -> None:
        self.pinged_at = self.loop.time()
        self.send(Frame(ping=1))

    def send(self, frame: Frame) -> None:
        """Hand a frame to the kernel or, as far as it has no room, to the transport."""
        if self.transport is not None and not self.lost:
            text = frame.SerializeToString()
            self.transport.write(len(text).to_bytes(LENGTH, "big") + text)

    def end(self) -> None:
        """Close at once; the owner is told as of any other loss."""
        if self.transport is not None:
            self.transport.abort()
        self.gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone()

    def gone(self) -> None:
        if not self.lost:
            self.lost = True
            self.buffer.clear()
            self.on_lost(self)


#: Told of each frame that answers a call, and with None once if the link is lost before the last of them.
OnAnswer = Callable[[Frame | None], None]


class Line:
    """The calling end towards one address: a link that is dialled when something is asked, and the calls on it.

    Owns its link. A call is told apart by its stream; its answers come until :meth:`over` is called for it.
    """

    def __init__(self, address: Address, hello: str) -> None:
        self.address, self.hello = address, hello
        self.loop = asyncio.get_running_loop()
        self.link: Link | None = None
        self.calls: dict[int, OnAnswer] = {}
        self.waiting: list[tuple[Frame, OnAnswer, Callable[[], None] | None]] = []
        self.streams = 0
        self.dialling: asyncio.Task[None] | None = None
        self.watch: asyncio.TimerHandle | None = None
        self.look_at = 0.0
        self.dialled_at = -math.inf
        self.trip = 0.0
        """The shortest round trip that was seen here, in s."""
        self.kept_at = 0.0
        """When :meth:`keep_alive` last looked."""
        self.unsent = 0
        """Bytes that the kernel had no room for, then."""

    def call(self, frame: Frame, answer: OnAnswer, sent: Callable[[], None] | None = None) -> int:
        """Ask something; the number of its stream. ``sent``: called just before the frame goes out on a link: until
        then it can't have arrived. ``answer`` is never called from within."""
        self.streams += 1
        frame.stream = self.streams
        if self.link is not None:
            self.put(frame, answer, sent)
        else:
            self.waiting.append((frame, answer, sent))
            self.begin_dial()
        return self.streams

    def put(self, frame: Frame, answer: OnAnswer, sent: Callable[[], None] | None) -> None:
        assert self.link is not None
        if not self.calls:
            self.link.heard_at = self.loop.time()
        self.calls[frame.stream] = answer
        if sent is not None:
            sent()
        self.link.send(frame)
        if self.watch is None:
            self.watch_on()

    def watch_on(self) -> None:
        self.look_at = self.loop.time() + PING_EACH
        self.watch = self.loop.call_later(PING_EACH, self.look)

    def doubtful(self) -> bool:
        """Nothing has come for longer than anything takes: what is new is better asked elsewhere."""
        now = self.loop.time()
        if self.link is None:
            return self.dialling is not None and now - self.dialled_at >= DOUBT + 2 * self.trip - TIMER_GRAIN
        return bool(self.calls) and now - self.link.heard_at > PING_EACH + DOUBT + 2 * self.trip

    def tell(self, frame: Frame) -> None:
        """Say something that has no answer; lost where there is no link and it isn't one that is being dialled."""
        if self.link is not None:
            self.link.send(frame)
        elif len(self.waiting) < 64:
            self.waiting.append((frame, nobody, None))
            self.begin_dial()

    def keep_alive(self) -> None:
        """Watch a line on which frames are only told, as :meth:`look` doesn't; to be called each turn. Bytes that a cut
        held up may stay so long after it: a link from which nothing comes back is ended, and the next frame dials
        anew."""
        now, link = self.loop.time(), self.link
        if link is None or link.transport is None:
            return
        unsent = link.transport.get_write_buffer_size()
        if now - self.kept_at > KEEP_ALIVE_EACH or unsent < self.unsent:
            link.heard_at = now  # this process stood still, or the other end takes what it is sent
        self.kept_at, self.unsent = now, unsent
        silent = now - link.heard_at
        if silent > KEEP_ALIVE_FOR:
            log.warning("link fell silent", extra={"code": "LINK_SILENT", "peer": self.address[0]})
            link.end()
        elif silent > KEEP_ALIVE_EACH and now - link.pinged_at > KEEP_ALIVE_EACH:
            link.ping()

    def more(self, frame: Frame) -> None:
        """A further frame of a call that is out."""
        if self.link is not None:
            self.link.send(frame)

    def follow(self, frame: Frame) -> None:
        """A further frame of a call that may still wait for its link."""
        if self.link is not None:
            self.link.send(frame)
        elif self.waiting:
            self.waiting.append((frame, nobody, None))

    def over(self, stream: int) -> bool:
        """A call needs no more answers; whether it was out on a link."""
        if self.calls.pop(stream, None) is not None:
            return True
        self.waiting = [w for w in self.waiting if w[0].stream != stream]
        return False

    def look(self) -> None:
        """Whether the other end still says something while it is asked."""
        self.watch = None
        link = self.link
        if link is None or not self.calls:
            return
        now = self.loop.time()
        if now - self.look_at > LATE:  # what has come meanwhile is not read yet
            link.heard_at = max(link.heard_at, now - PING_EACH)
        self.trip = min(self.trip or math.inf, link.trip) if math.isfinite(link.trip) else self.trip
        silent = now - link.heard_at
        if silent > SILENT_FOR:
            log.warning("link fell silent", extra={"code": "LINK_SILENT", "peer": self.address[0]})
            link.end()
            return
        if silent >= PING_EACH:
            link.ping()
        self.watch_on()

    def begin_dial(self) -> None:
        """Dial, unless that goes on already. Its time counts from here on, not from when the task first runs."""
        if self.dialling is None:
            self.dialled_at = self.loop.time()
            self.dialling = self.loop.create_task(self.dial())

    async def dial(self) -> None:
        impatient = self.loop.call_later(DOUBT + 2 * self.trip, self.let_go)
        try:
            link = await self.first_up()
        except OSError:
            self.dialling = None
            self.not_up()
            return
        finally:
            impatient.cancel()
        self.trip = min(self.trip or math.inf, self.loop.time() - self.dialled_at)
        self.dialling = None
        if link.lost:
            self.not_up()
        else:
            self.up(link)

    def up(self, link: Link) -> None:
        """A link stands: what waits for it goes out."""
        self.link = link
        link.send(Frame(hello=self.hello))
        waiting, self.waiting = self.waiting, []
        for frame, answer, sent in waiting:
            if answer is nobody:
                link.send(frame)
            else:
                self.put(frame, answer, sent)

    def not_up(self) -> None:
        """No link came up: what waits for it has gone nowhere."""
        waiting, self.waiting = self.waiting, []
        for _, answer, _ in waiting:
            answer(None)

    def let_go(self) -> None:
        """A dial hangs: what waits for an answer isn't sent from here, and may be asked elsewhere."""
        calls = [w for w in self.waiting if w[1] is not nobody]
        self.waiting = [w for w in self.waiting if w[1] is nobody and not w[0].stream]
        for _, answer, _ in calls:
            answer(None)

    async def first_up(self) -> Link:
        """Dial, and again while that hangs: the first link that comes up. OSError where none does in time."""
        dials: set[asyncio.Task[Link]] = set()
        began = self.loop.time()
        try:
            for wait in (*DIAL_AGAIN, DIAL_FOR):
                dials.add(self.loop.create_task(self.dial_once()))
                left = min(wait, began + DIAL_FOR - self.loop.time())
                over, _ = await asyncio.wait(dials, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                if over:
                    first = over.pop()
                    dials.discard(first)
                    return first.result()
            raise TimeoutError(f"{self.address} doesn't answer")
        finally:
            for dial in dials:
                dial.cancel()
                dial.add_done_callback(end_unused)

    async def dial_once(self) -> Link:
        _, link = await self.loop.create_connection(lambda: Link(self.on_frame, self.on_lost), *self.address)
        return link

    def on_frame(self, link: Link, frame: Frame) -> None:
        """From a link that was given up nothing counts: its calls have been told that it is lost."""
        answer = self.calls.get(frame.stream)
        if answer is not None and link is self.link:
            answer(frame)

    def on_lost(self, link: Link) -> None:
        if link is self.link:
            self.link = None
            calls, self.calls = self.calls, {}
            for answer in calls.values():
                answer(None)

    def close(self) -> None:
        """At the end: what is out is told as lost."""
        if self.dialling is not None:
            self.dialling.cancel()
        if self.watch is not None:
            self.watch.cancel()
        if self.link is not None:
            self.link.end()


def end_unused(dial: asyncio.Task[Link]) -> None:
    """A dial that came too late, or not at all."""
    if not dial.cancelled() and dial.exception() is None:
        dial.result().end()


def nobody(frame: Frame | None) -> None:
    """Takes the answer to what was merely told."""


class Lines:
    """The lines of a process, by address."""

    def __init__(self, hello: str) -> None:
        self.hello = hello
        self.lines: dict[Address, Line] = {}

    def to(self, address: Address) -> Line:
        line = self.lines.get(address)
        if line is None:
            line = self.lines[address] = Line(address, self.hello)
        return line

    def retire(self, address: Address) -> None:
        """Nobody is to be asked there any more. What is out goes on: whoever left ends it, and a silent link is noticed
        by itself; news that somebody is gone is no reason to give up what runs there."""
        line = self.lines.get(address)
        if line is not None and not line.calls and not line.waiting:
            del self.lines[address]
            line.close()

    def close(self) -> None:
        for line in self.lines.values():
            line.close()
        self.lines.clear()
