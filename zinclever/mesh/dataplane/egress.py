"""The egress: where requests of this machine come in, are matched to a route and sent to its service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ...core.counts import ReplyCounts
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.protocol import FinalAnswer, IncomingRequest, Refused, Served
from ...http1.bodies import Body
from ...http1.clients import READ_FOR
from ...http1.connection import OWN_HEADERS, Headers, end_to_end
from ...http1.desk import Desk
from ...http1.heads import NUMBER, Answer
from ..configuration.active import ActiveConfiguration
from ..configuration.document import Configuration, Route
from .attempt_count import AttemptCount
from .failure_log import FailureLog, RequestFailure
from .forwarding import EndpointReply
from .outbound_request import OutboundRequest
from .retry_detector import RetryDetector
from .service_clients import ServiceClients

HOP_HEADERS = OWN_HEADERS | {b"x-deadline-ms", b"x-expected-endpoint", b"x-caller-service"}
RESPONSE_HOP_HEADERS = OWN_HEADERS
MAX_CLIENT_WAIT = 3600.0  # s: nobody waits for longer
MIN_WAIT = 0.001  # s
CLIENT_TIMEOUT_SLACK = 0.5  # s that a client may take beyond what the configuration says
MAX_MEMORY_SHARE = 0.25  # that bodies may take: each is held once here and once on its way
RETRY_AFTER_SHARE = 0.25  # of the latency target: the least after which a refused request is to come back
MIN_RETRY_AFTER = 0.02  # s
MAX_REQUEST_ID_LENGTH = 256
BODILESS_METHODS = ("GET", "HEAD")
NO_CONFIGURATION = Answer(503, b"Retry-After: 0.2\r\n")


class RequestHeaders(NamedTuple):
    """What the egress reads of a request's headers; empty where a header is missing."""

    host: bytes
    request_id: bytes
    timeout_ms: bytes


class Egress(Desk):
    """Takes the requests of this machine's clients and of its endpoint."""

    def __init__(
        self,
        descriptors: Descriptors,
        host: Host,
        active: ActiveConfiguration,
        service_clients: ServiceClients,
        service: str,
        is_running: Callable[[str], bool],
        is_running_retry: Callable[[str], bool],
    ) -> None:
        """``service``: of the endpoint of this machine, which the two last arguments say of a request id.

        ``is_running``: it works on that request; ``is_running_retry``: that run is a retry.
        """
        super().__init__(descriptors)
        self.host, self.active, self.service_clients = host, active, service_clients
        self.caller_header = b"X-Caller-Service: %b\r\n" % service.encode("latin-1")
        self.is_running = is_running
        self.is_running_retry = is_running_retry
        self.whole_only = True
        self.is_refusing = False
        """This process ends: new requests are refused, as they would be cut off in the midst."""
        self.last_number = 0
        self.open_requests: dict[str, OutboundRequest] = {}
        """By number."""
        self.target_credits: dict[str, dict[str, float]] = {}
        """By route: how far each weighted target is behind its share."""
        self.reply_counts = ReplyCounts()
        self.failure_log = FailureLog()
        self.retry_detector = RetryDetector()
        self.counts = {"served": 0, "refused": 0, "failed": 0, "unknown": 0, "left": 0, "untried": 0}
        """For the log."""

    def configure(self, configuration: Configuration, memory: int) -> None:
        """Hold clients to the configuration's limits, as far as ``memory`` bytes allow."""
        self.retry_detector.keep_only(configuration.routes)
        self.read_for = max(READ_FOR, configuration.header_timeout + CLIENT_TIMEOUT_SLACK)
        self.idle_for = max(CLIENT_TIMEOUT_SLACK, configuration.idle_timeout)
        self.most_upload = int(min(configuration.max_body_bytes, MAX_MEMORY_SHARE * memory))
        self.room.limit = int(max(self.most_upload, MAX_MEMORY_SHARE * memory))

    # --- requests ---

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> IncomingRequest:
        """Match a request that took ``waited`` ms to come; one that goes nowhere already has its answer."""
        assert isinstance(body, bytes)  # the listener takes whole bodies only
        known = read_headers(headers)
        self.last_number += 1
        number = str(self.last_number)
        configuration = self.active.configuration
        if configuration is None or self.is_refusing:
            return already_answered(number, NO_CONFIGURATION)
        host = known.host.decode("latin-1").lower().partition(":")[0]
        route = configuration.find_route(host, target.partition("?")[0])
        if route is None:
            self.counts["unknown"] += 1
            return already_answered(number, Answer(404))
        if not known.request_id or len(known.request_id) > MAX_REQUEST_ID_LENGTH:
            return already_answered(number, Answer(400))
        now = self.loop.time()
        client_wait, used = MAX_CLIENT_WAIT, 0.0
        if known.timeout_ms and NUMBER.fullmatch(known.timeout_ms):
            client_wait = min(MAX_CLIENT_WAIT, float(known.timeout_ms) / 1000.0)
            used = self.retry_detector.time_used(now, route.name, client_wait)
        wait = max(MIN_WAIT, min(client_wait, route.deadline) - waited / 1000.0)
        service = self.choose_service(route)
        end_to_end_headers = end_to_end(headers, HOP_HEADERS)
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            method.encode(),
            target.encode("latin-1"),
            end_to_end_headers,
            self.caller_header,
        )
        request_id = known.request_id.decode("latin-1")
        # A call of the endpoint's own extends the id of the request that it works on. What is claimed counts only
        # where that request is running here.
        parent = request_id.rpartition(".")[0]
        is_nested = bool(parent) and self.is_running(parent)
        request = OutboundRequest(
            service=service,
            id=request_id,
            head=head,
            body=body,
            has_body=method not in BODILESS_METHODS or bool(body),
            safe=route.is_idempotent,
            priority=int(route.priority),
            latency_target_at=now + max(0.0, route.latency_target - used),
            attempt_count=AttemptCount(route.max_attempts),
            received_at=now,
            is_nested=is_nested,
            was_refused=used > 0.0 and not is_nested,
            is_retry=is_nested and self.is_running_retry(parent),
        )
        class_index = self.service_clients.to(service).class_index(route, route.deadline)
        return IncomingRequest(number, class_index, 0, "", 1000.0 * wait, 0.0, False, request)

    def choose_service(self, route: Route) -> str:
        """The service of a request: weighted targets take turns, so that their shares are kept at any count."""
        if len(route.targets) == 1:
            return route.targets[0][0]
        credits = self.target_credits.get(route.name)
        if credits is None or set(credits) != {target for target, _ in route.targets}:
            credits = {target: self.host.random().random() for target, _ in route.targets}
            self.target_credits[route.name] = credits
        for target, weight in route.targets:
            credits[target] += weight
        chosen = max(credits, key=lambda target: credits[target])
        credits[chosen] -= 1.0
        return chosen

    def take(self, told: IncomingRequest, answer: Callable[[FinalAnswer | Answer], None]) -> None:
        """Send a request to its service; ``answer`` is called with what the client gets."""
        request = told.payload
        if isinstance(request, Answer):
            answer(request)
            return
        client = self.service_clients.to(request.service)
        client.retry_budget.on_request(self.loop.time())
        self.open_requests[told.id] = request

        def on_final(final: FinalAnswer) -> None:
            self.open_requests.pop(told.id, None)
            answer(self.answer_for(request, final))

        client.dispatcher.take(told, on_final)

    def abandon(self, request_id: str) -> None:
        """The client of a request has gone."""
        request = self.open_requests.pop(request_id, None)
        if request is not None:
            self.counts["left"] += 1
            self.service_clients.to(request.service).dispatcher.leave(request_id)

    # --- answers ---

    def answer_for(self, request: OutboundRequest, final: FinalAnswer) -> Answer:
        """The final answer as the client gets it; an error is remembered."""
        answer = self.make_answer(request, final)
        if answer.status >= 500:
            milliseconds = round(1000 * (self.loop.time() - request.received_at))
            failure = RequestFailure(answer.status, request.service, milliseconds, request.attempt_log)
            self.failure_log.add(request.id, failure)
        return answer

    def make_answer(self, request: OutboundRequest, final: FinalAnswer) -> Answer:
        """The endpoint's answer, 503 where the request has certainly not run, else 502."""
        if isinstance(final, Served):
            self.counts["served"] += 1
            return forwarded_answer(final.reply)
        if isinstance(final, Refused) and not request.may_have_run:
            self.counts["refused"] += 1
            self.counts["untried"] += not request.attempts_made
            retry_after = max(MIN_RETRY_AFTER, final.retry_after / 1000.0, self.retry_after(request))
            return Answer(503, b"Retry-After: %.3f\r\n" % retry_after)
        self.counts["failed"] += 1
        return forwarded_answer(final.reply) if final.reply is not None else Answer(502)

    def retry_after(self, request: OutboundRequest) -> float:
        """s after which a request that has not run may come back: while its latency target can still be met."""
        return RETRY_AFTER_SHARE * max(0.0, request.latency_target_at - request.received_at)

    def replies(self, told: IncomingRequest) -> ReplyCounts:
        """The counts of answers."""
        return self.reply_counts

    def unread(self, sock: Any) -> bool:
        """Whether the kernel holds bytes of a connection that have not been read."""
        return self.host.unread(sock)


def read_headers(headers: Headers) -> RequestHeaders:
    """The headers that the egress needs; of a repeated one the first that is not empty, of Host the last."""
    host, request_id, timeout_ms = b"", b"", b""
    for name, value in headers:
        lower = name.lower()
        if lower == b"host":
            host = value
        elif lower == b"x-attempt-id":
            request_id = request_id or value
        elif lower == b"x-deadline-ms":
            timeout_ms = timeout_ms or value
    return RequestHeaders(host, request_id, timeout_ms)


def forwarded_answer(reply: EndpointReply) -> Answer:
    """An endpoint's answer as the client gets it."""
    return Answer(reply.status, end_to_end(reply.headers, RESPONSE_HOP_HEADERS), reply.body)


def already_answered(number: str, answer: Answer) -> IncomingRequest:
    """A request that goes nowhere."""
    return IncomingRequest(number, 0, 0, "", 0.0, 0.0, False, answer)
