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
from .failure_log import FailureLog
from .forwarding import EndpointReply, OutboundRequest
from .retry_detector import RetryDetector
from .service_clients import ServiceClients

log = logging.getLogger(__name__)

HOP_HEADERS = OWN_HEADERS | {b"x-deadline-ms", b"x-expected-endpoint", b"x-caller-service"}
RESPONSE_HOP_HEADERS = OWN_HEADERS
MAX_CLIENT_WAIT = 3600.0  # s: nobody waits for longer
CLIENT_TIMEOUT_SLACK = 0.5  # s that a client may take beyond what the configuration says
MAX_MEMORY_SHARE = 0.25  # of the memory that bodies may take: each is held once here and once on its way
RETRY_AFTER_SHARE = 0.25  # of the aim: the least after which a refused request is to come back


class Egress(Desk):
    """Takes the requests of this machine's clients and of its endpoint."""

    def __init__(
        self,
        descriptors: Descriptors,
        host: Host,
        active: ActiveConfiguration,
        flights: ServiceClients,
        service: str,
        runs: Callable[[str], bool],
        repeats: Callable[[str], bool],
    ) -> None:
        super().__init__(descriptors)
        self.host, self.active, self.service_clients = host, active, flights
        self.caller_header = b"X-Caller-Service: %b\r\n" % service.encode("latin-1")
        self.is_running = runs
        """Whether the endpoint of this machine is at work on a request with this id."""
        self.is_running_retry = repeats
        """Whether that run is a repeat."""
        self.whole_only = True
        self.is_refusing = False
        """This process ends: new requests are refused, as they would be cut off in the midst."""
        self.last_number = 0
        self.open_requests: dict[str, OutboundRequest] = {}
        self.target_credits: dict[str, dict[str, float]] = {}
        self.reply_counts = Replies()
        self.failure_log = FailureLog()
        self.retry_detector = RetryDetector()
        self.counts = {"served": 0, "refused": 0, "failed": 0, "unknown": 0, "left": 0, "untried": 0}

    def configure(self, configuration: Configuration, memory: int) -> None:
        """Hold clients to the configuration's limits, as far as ``memory`` bytes allow."""
        self.retry_detector.keep_only(configuration.routes)
        self.read_for = max(READ_FOR, configuration.header_timeout + CLIENT_TIMEOUT_SLACK)
        self.idle_for = max(CLIENT_TIMEOUT_SLACK, configuration.idle_timeout)
        self.most_upload = int(min(configuration.max_body_bytes, MAX_MEMORY_SHARE * memory))
        self.room.limit = int(max(self.most_upload, MAX_MEMORY_SHARE * memory))

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
        self.last_number += 1
        number = str(self.last_number)
        configuration = self.active.configuration
        if configuration is None or self.is_refusing:
            return already_answered(number, Answer(503, b"Retry-After: 0.2\r\n"))
        route = configuration.find_route(host.decode("latin-1").lower().partition(":")[0], target.partition("?")[0])
        if route is None:
            self.counts["unknown"] += 1
            return already_answered(number, Answer(404))
        if not request_id or len(request_id) > 256:
            return already_answered(number, Answer(400))
        now = self.loop.time()
        wait, used = MAX_CLIENT_WAIT, 0.0
        if told and NUMBER.fullmatch(told):
            wait = min(MAX_CLIENT_WAIT, float(told) / 1000.0)
            used = self.retry_detector.time_used(now, route.name, wait)
        deadline = route.deadline
        wait = max(0.001, min(wait, deadline) - waited / 1000.0)
        service = self.choose_service(route)
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            method.encode(),
            target.encode("latin-1"),
            end_to_end(headers, HOP_HEADERS),
            self.caller_header,
        )
        named = request_id.decode("latin-1")
        # A call of the endpoint's own extends the id of the request that it is at work on. What is claimed counts only
        # where that request is at work here.
        parent = named.rpartition(".")[0]
        inner = bool(parent) and self.is_running(parent)
        order = OutboundRequest(
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
            inner and self.is_running_retry(parent),
        )
        flight = self.service_clients.to(service)
        return Incoming(number, flight.class_index(route, deadline), 0, "", 1000.0 * wait, 0.0, False, order)

    def choose_service(self, route: Route) -> str:
        """The service of a request: weighted targets take turns, so that their parts are kept at any count."""
        if len(route.targets) == 1:
            return route.targets[0][0]
        turns = self.target_credits.get(route.name)
        if turns is None or set(turns) != {t for t, _ in route.targets}:
            turns = self.target_credits[route.name] = {t: self.host.random().random() for t, _ in route.targets}
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
        flight = self.service_clients.to(order.service)
        flight.retry_budget.on_request(self.loop.time())
        self.open_requests[told.id] = order

        def final(made: Final) -> None:
            self.open_requests.pop(told.id, None)
            answer(self.answer_for(order, made))

        flight.ledger.take(told, final)

    def answer_for(self, order: OutboundRequest, made: Final) -> Answer:
        """The final answer as the client gets it; one that isn't what was wanted is remembered."""
        answer = self.make_answer(order, made)
        if answer.status >= 500:
            self.failure_log.add(
                order.id, answer.status, order.service, self.loop.time() - order.received_at, order.attempt_log
            )
        return answer

    def make_answer(self, order: OutboundRequest, made: Final) -> Answer:
        if isinstance(made, Served):
            reply: EndpointReply = made.reply
            self.counts["served"] += 1
            return Answer(reply.status, end_to_end(reply.headers, RESPONSE_HOP_HEADERS), reply.body)
        if isinstance(made, Refused) and not order.may_have_run:
            self.counts["refused"] += 1
            self.counts["untried"] += not order.attempts_made
            return Answer(503, b"Retry-After: %.3f\r\n" % max(0.02, made.retry_after / 1000.0, self.retry_after(order)))
        self.counts["failed"] += 1
        if made.reply is not None:
            return Answer(made.reply.status, end_to_end(made.reply.headers, RESPONSE_HOP_HEADERS), made.reply.body)
        return Answer(502)

    def retry_after(self, order: OutboundRequest) -> float:
        """s after which one that has not run may come back: in a part of its aim, while there is still use in it."""
        return RETRY_AFTER_SHARE * max(0.0, order.latency_target_at - order.received_at)

    def abandon(self, request_id: str) -> None:
        order = self.open_requests.pop(request_id, None)
        if order is not None:
            self.counts["left"] += 1
            self.service_clients.to(order.service).ledger.leave(request_id)

    def replies(self, told: Incoming) -> Replies:
        return self.reply_counts

    def unread(self, sock: Any) -> bool:
        return self.host.unread(sock)


def already_answered(number: str, answer: Answer) -> Incoming:
    """A request that goes nowhere."""
    return Incoming(number, 0, 0, "", 0.0, 0.0, False, answer)
