"""Where requests of this machine come in: each is looked up in the configuration in force and goes out on its way."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ...core.counts import Replies
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.protocol import Final, Incoming, Refused, Served
from ...http1.bodies import Body
from ...http1.clients import READ_FOR
from ...http1.connection import OWN_HEADERS, Headers, end_to_end
from ...http1.desk import Desk
from ...http1.heads import NUMBER, Answer
from ..configuration.active import ActiveConfiguration
from ..configuration.document import Configuration, Route
from .flights import Flights
from .hop import Order, Reply
from .remembered import Remembered
from .returning import Returning

log = logging.getLogger(__name__)

OURS = OWN_HEADERS | {b"x-deadline-ms", b"x-expected-endpoint", b"x-caller-service"}
TO_CLIENTS = OWN_HEADERS
FOREVER = 3600.0  # s: nobody waits for longer
SLACK = 0.5  # s that a client may take beyond what the configuration says
MOST_PART = 0.25  # of the memory that bodies may take: each is held once here and once on its way
ADVICE = 0.25  # of the aim: the least after which a refused request is to come back


class Egress(Desk):
    """Takes the requests of this machine's clients and of its endpoint."""

    def __init__(
        self,
        descriptors: Descriptors,
        host: Host,
        active: ActiveConfiguration,
        flights: Flights,
        service: str,
        runs: Callable[[str], bool],
        repeats: Callable[[str], bool],
    ) -> None:
        super().__init__(descriptors)
        self.host, self.active, self.flights = host, active, flights
        self.caller = b"X-Caller-Service: %b\r\n" % service.encode("latin-1")
        self.runs = runs
        """Whether the endpoint of this machine is at work on a request with this id."""
        self.repeats = repeats
        """Whether that run is a repeat."""
        self.whole_only = True
        self.refusing = False
        """This process ends: new requests are refused, as they would be cut off in the midst."""
        self.number = 0
        self.open: dict[str, Order] = {}
        self.turns: dict[str, dict[str, float]] = {}
        self.counted = Replies()
        self.remembered = Remembered()
        self.returning = Returning()
        self.counts = {"served": 0, "refused": 0, "failed": 0, "unknown": 0, "left": 0, "untried": 0}

    def configure(self, configuration: Configuration, memory: int) -> None:
        """Hold clients to the configuration's limits, as far as ``memory`` bytes allow."""
        self.returning.keep(configuration.routes)
        self.read_for = max(READ_FOR, configuration.header_timeout + SLACK)
        self.idle_for = max(SLACK, configuration.idle_timeout)
        self.most_upload = int(min(configuration.max_body_bytes, MOST_PART * memory))
        self.room.limit = int(max(self.most_upload, MOST_PART * memory))

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> Incoming:
        assert isinstance(body, bytes)
        host, request_id, told = b"", b"", b""
        for name, value in headers:
            low = name.lower()
            if low == b"host":
                host = value
            elif low == b"x-attempt-id":
                request_id = request_id or value
            elif low == b"x-deadline-ms":
                told = told or value
        self.number += 1
        number = str(self.number)
        configuration = self.active.configuration
        if configuration is None or self.refusing:
            return answered(number, Answer(503, b"Retry-After: 0.2\r\n"))
        route = configuration.find_route(host.decode("latin-1").lower().partition(":")[0], target.partition("?")[0])
        if route is None:
            self.counts["unknown"] += 1
            return answered(number, Answer(404))
        if not request_id or len(request_id) > 256:
            return answered(number, Answer(400))
        now = self.loop.time()
        wait, used = FOREVER, 0.0
        if told and NUMBER.fullmatch(told):
            wait = min(FOREVER, float(told) / 1000.0)
            used = self.returning.used(now, route.name, wait)
        deadline = route.deadline
        wait = max(0.001, min(wait, deadline) - waited / 1000.0)
        service = self.choose(route)
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            method.encode(),
            target.encode("latin-1"),
            end_to_end(headers, OURS),
            self.caller,
        )
        named = request_id.decode("latin-1")
        # A call of the endpoint's own extends the id of the request that it is at work on. What is claimed counts only
        # where that request is at work here.
        parent = named.rpartition(".")[0]
        inner = bool(parent) and self.runs(parent)
        order = Order(
            service,
            named,
            head,
            body,
            method not in ("GET", "HEAD") or bool(body),
            route.safe,
            int(route.priority),
            now + max(0.0, route.latency_target - used),
            route.max_attempts,
            now,
            inner,
            used > 0.0 and not inner,
            inner and self.repeats(parent),
        )
        flight = self.flights.to(service)
        return Incoming(number, flight.klass(route, deadline), 0, "", 1000.0 * wait, 0.0, False, order)

    def choose(self, route: Route) -> str:
        """The service of a request: weighted targets take turns, so that their parts are kept at any count."""
        if len(route.targets) == 1:
            return route.targets[0][0]
        turns = self.turns.get(route.name)
        if turns is None or set(turns) != {t for t, _ in route.targets}:
            turns = self.turns[route.name] = {t: self.host.random().random() for t, _ in route.targets}
        for target, weight in route.targets:
            turns[target] += weight
        chosen = max(turns, key=lambda t: turns[t])
        turns[chosen] -= 1.0
        return chosen

    def take(self, told: Incoming, answer: Callable[[Final | Answer], None]) -> None:
        order = told.payload
        if isinstance(order, Answer):
            answer(order)
            return
        flight = self.flights.to(order.service)
        flight.retry_budget.ask(self.loop.time())
        self.open[told.id] = order

        def final(made: Final) -> None:
            self.open.pop(told.id, None)
            answer(self.word(order, made))

        flight.ledger.take(told, final)

    def word(self, order: Order, made: Final) -> Answer:
        """The final answer as the client gets it; one that isn't what was wanted is remembered."""
        answer = self.settle(order, made)
        if answer.status >= 500:
            self.remembered.add(order.id, answer.status, order.service, self.loop.time() - order.since, order.notes)
        return answer

    def settle(self, order: Order, made: Final) -> Answer:
        if isinstance(made, Served):
            reply: Reply = made.reply
            self.counts["served"] += 1
            return Answer(reply.status, end_to_end(reply.headers, TO_CLIENTS), reply.body)
        if isinstance(made, Refused) and not order.ran:
            self.counts["refused"] += 1
            self.counts["untried"] += not order.tries
            return Answer(503, b"Retry-After: %.3f\r\n" % max(0.02, made.retry_after / 1000.0, self.advice(order)))
        self.counts["failed"] += 1
        if made.reply is not None:
            return Answer(made.reply.status, end_to_end(made.reply.headers, TO_CLIENTS), made.reply.body)
        return Answer(502)

    def advice(self, order: Order) -> float:
        """s after which one that has not run may come back: in a part of its aim, while there is still use in it."""
        return ADVICE * max(0.0, order.aim_at - order.since)

    def abandon(self, request_id: str) -> None:
        order = self.open.pop(request_id, None)
        if order is not None:
            self.counts["left"] += 1
            self.flights.to(order.service).ledger.leave(request_id)

    def replies(self, told: Incoming) -> Replies:
        return self.counted

    def unread(self, sock: Any) -> bool:
        return self.host.unread(sock)


def answered(number: str, answer: Answer) -> Incoming:
    """A request that goes nowhere."""
    return Incoming(number, 0, 0, "", 0.0, 0.0, False, answer)
