"""The applications: each asks its own sidecar, on kept connections, and tries again as real clients do."""

from __future__ import annotations

import asyncio
import itertools
from bisect import bisect
from random import Random
from typing import TYPE_CHECKING, Any, cast

import httptools

from ..simnet.scheduler import NS
from ..standins.log import Answered, Asked, Kind, Left
from .model import RequestKind

if TYPE_CHECKING:
    from .scene import BaseWorld
    from .sidecars import Sidecar

MS = NS // 1000
LATE = 0.1  # s over its deadline after which an answer that has not come never will
BODY = b"x" * 64


class Keys:
    """What requests are about: a few are far more popular than the rest (Zipf), and some may be hot for a while."""

    def __init__(self, count: int, exponent: float, seed: str) -> None:
        weights = [1.0 / (n + 1) ** exponent for n in range(count)]
        self.sums = list(itertools.accumulate(weights))
        self.names = [f"{n:x}" for n in range(count)]
        Random(seed).shuffle(self.names)
        self.hot: list[str] = []
        self.hot_share = 0.0

    def draw(self, rng: Random) -> str:
        if self.hot and rng.random() < self.hot_share:
            return rng.choice(self.hot)
        return self.names[bisect(self.sums, rng.random() * self.sums[-1], 0, len(self.names) - 1)]


class Story:
    """A first try and the tries that belong to it."""

    __slots__ = ("began", "idempotency", "key", "kind", "number", "over", "tries", "work")

    def __init__(self, number: int, kind: RequestKind, key: str, idempotency: str, work: float, began: int) -> None:
        self.number = number
        self.kind, self.key, self.idempotency, self.work, self.began = kind, key, idempotency, work, began
        self.tries = 0
        self.over = False


class Application:
    """One client process beside its sidecar."""

    def __init__(self, world: BaseWorld, sidecar: Sidecar, weight: float) -> None:
        self.world, self.sidecar, self.weight = world, sidecar, weight
        self.name = sidecar.name
        self.rng = Random(f"{world.day.seed}/application/{self.name}")
        self.loop = world.process(sidecar.machine)
        self.idle: list[Caller] = []
        told = world.day.applications
        self.honours = self.rng.random() < told.honour
        self.backoff = self.rng.uniform(*told.backoff_ms)
        self.version = 0
        """Of its rate: an arrival that was drawn by another is void."""

    def rate(self) -> float:
        """First tries a second, at this moment."""
        return self.world.rate_now() * self.weight / self.world.weights

    def go(self) -> None:
        """Begin to ask; called again when the rate changes."""
        self.version += 1
        self.next(self.version)

    def pause(self) -> None:
        """Ask nothing new."""
        self.version += 1

    def next(self, version: int) -> None:
        rate = self.rate()
        if rate > 0.0:
            self.world.scheduler.after(round(self.rng.expovariate(rate) * NS), self.arrive, version)

    def arrive(self, version: int) -> None:
        if version != self.version or self.world.over:
            return
        self.next(version)
        world = self.world
        number = world.next_request()
        kind = world.draw_class(self.rng)
        story = Story(
            number,
            kind,
            world.keys.draw(self.rng),
            f"{self.rng.getrandbits(128):032x}",
            self.rng.expovariate(1.0) * kind.work_ms / 1000.0,
            world.now(),
        )
        if world.only and number not in world.only:
            return
        world.figures.began(story)
        self.attempt(story)

    # --- one try ---

    def attempt(self, story: Story) -> None:
        story.tries += 1
        name = f"{self.name}.{story.number}.{story.tries}"
        if self.idle:
            caller = self.idle.pop()
            caller.used = True
            caller.send(story, name)
        else:
            self.loop.create_task(self.connect(story, name))

    async def connect(self, story: Story, name: str, again: bool = False) -> None:
        try:
            _, caller = await self.loop.create_connection(lambda: Caller(self), *self.sidecar.address)
        except OSError:
            self.unreachable(story)
            return
        assert isinstance(caller, Caller)
        caller.send(story, name, again)

    def unreachable(self, story: Story) -> None:
        """No sidecar: nothing has run."""
        self.world.counts.unreachable += 1
        self.again(story, self.backoff)

    def again(self, story: Story, pause: float) -> None:
        """One more try after so many ms, if any is left."""
        if self.world.closing or story.tries > self.world.day.applications.retries:
            self.give_up(story)
        else:
            self.world.scheduler.after(round(pause * MS), self.attempt, story)

    def give_up(self, story: Story) -> None:
        story.over = True
        self.world.figures.ended(story, False)

    def answered(self, story: Story, status: int, advice: float) -> None:
        if status == 200:
            story.over = True
            self.world.figures.ended(story, True)
        elif status == 503:
            self.again(story, max(self.backoff, advice) if self.honours else self.backoff)
        else:
            self.failed(story)

    def failed(self, story: Story) -> None:
        """It may have run: tried again where a repeat is harmless."""
        kind = story.kind
        if kind.repeat == "idempotent" or (kind.repeat == "deduplicated" and kind.group == "all"):
            self.again(story, self.backoff)
        else:
            self.give_up(story)


class Caller(asyncio.Protocol):
    """A connection to the sidecar: one request at a time."""

    transport: asyncio.Transport

    def __init__(self, application: Application) -> None:
        self.application = application
        self.parser: Any = None
        self.story: Story | None = None
        self.name = ""
        self.used = self.closes = self.resent = False
        self.asked_at = self.wait = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, story: Story, name: str, again: bool = False) -> None:
        """Ask. ``again``: the same request as on a connection that ended before it was read."""
        world, kind = self.application.world, story.kind
        if self.transport.is_closing():  # it ended in this very moment
            self.application.loop.create_task(self.application.connect(story, name))
            return
        self.story, self.name, self.resent = story, name, again
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.body, self.advice, self.closes = 0, b"", 0.0, False
        wait = kind.deadline_ms * world.day.applications.try_share
        safe = kind.repeat == "idempotent"
        keyed = f"Idempotency-Key: {story.idempotency}\r\n" if kind.repeat == "deduplicated" else ""
        head = (
            f"{'GET' if safe else 'POST'} /{kind.name}/p HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {name}\r\n"
            f"Cookie: key={story.key}\r\nReq-Deadline: {wait / 1000.0:.3f}\r\nReq-Cost: {story.work * 1e6:.0f}\r\n"
            f"{keyed}{'' if safe else f'Content-Length: {len(BODY)}' + chr(13) + chr(10)}\r\n"
        )
        self.wait = wait
        if not again:
            self.asked_at = world.now_ms()
            world.log.asked.append(
                Asked(
                    self.asked_at,
                    name,
                    kind.repeat,
                    wait,
                    story.idempotency,
                    "all" if kind.group == "all" else "zone",
                    kind.window_ms,
                )
            )
        self.timer = self.application.loop.call_later(wait / 1000.0 + LATE, self.too_late)
        self.transport.write(head.encode() + (b"" if safe else BODY))

    def too_late(self) -> None:
        """The client has given up: that it got no answer is a breach, which the auditor finds, unless its sidecar stood
        still."""
        self.timer = None
        if self.application.sidecar.paused_since(self.asked_at):
            self.application.world.log.left.append(Left(self.application.world.now_ms(), self.name))
        story, self.story = self.story, None
        self.transport.abort()
        if story is not None:
            self.application.failed(story)

    def data_received(self, data: bytes) -> None:
        if self.story is None:
            self.beyond()
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"retry-after":
            self.advice = 1000.0 * float(value)
        elif low == b"connection" and value.lower() == b"close":
            self.closes = True

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        story, self.story = self.story, None
        if story is None:
            self.beyond()
            return
        if self.timer is not None:
            self.timer.cancel()
        status = self.parser.get_status_code()
        world = self.application.world
        if world.now_ms() > self.asked_at + self.wait and self.application.sidecar.paused_since(self.asked_at):
            world.log.left.append(Left(world.now_ms(), self.name))  # it had given up already
            self.application.failed(story)
            self.transport.abort()
            return
        said: Kind = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        world.log.answered.append(Answered(world.now_ms(), self.name, said, self.body.decode("latin-1")))
        world.counts.answers[said] += 1
        if self.closes:
            self.transport.close()
        else:
            self.application.idle.append(self)
        self.application.answered(story, status, self.advice)

    def beyond(self) -> None:
        """Something more after a final answer, which the auditor finds: there is one to each request."""
        if self.name:
            self.application.world.log.answered.append(Answered(self.application.world.now_ms(), self.name, "served"))

    def connection_lost(self, exc: Exception | None) -> None:
        application = self.application
        if self in application.idle:
            application.idle.remove(self)
        if self.timer is not None:
            self.timer.cancel()
        story, self.story = self.story, None
        self.parser = None
        if story is None:
            return
        world = application.world
        if application.sidecar.killed_since(self.asked_at):
            # What a sidecar that was killed has held is the client's to repeat, as far as it may.
            world.log.left.append(Left(world.now_ms(), self.name))
            application.failed(story)
        elif self.used and exc is None and not self.resent:
            # The sidecar closed it between requests, and this one crossed that.
            application.loop.create_task(application.connect(story, self.name, again=True))
        else:
            application.failed(story)
