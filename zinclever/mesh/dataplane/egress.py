"""The egress: accepts the requests of this machine, matches them to a route and sends them to its service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ...core.counts import ReplyCounts
from ...core.descriptors import Descriptors
from ...core.host import Host
from ...core.protocol import FinalAnswer, IncomingRequest, Refused, Served
from ...http1.bodies import Body
from ...http1.clients import READ_FOR
from ...http1.connection import NON_FORWARDED_HEADERS, Headers, end_to_end
from ...http1.heads import NUMBER, HttpResponse
from ...http1.request_handler import RequestHandler
from ..configuration.active import ActiveConfiguration
from ..configuration.document import Configuration, Route
from .attempt_count import AttemptCount
from .failure_log import FailureLog, RequestFailure
from .forwarding import EndpointReply
from .outbound_request import OutboundRequest
from .retry_detector import RetryDetector
from .service_clients import ServiceClients
from .shutdown_admission import ShutdownAdmission

HOP_HEADERS = NON_FORWARDED_HEADERS | {b"x-deadline-ms", b"x-expected-endpoint", b"x-caller-service"}
RESPONSE_HOP_HEADERS = NON_FORWARDED_HEADERS
MAX_CLIENT_WAIT = 3600.0  # s; upper limit of the timeout that a client states
MIN_WAIT = 0.001  # s; lower limit of the time left for a request
CLIENT_TIMEOUT_SLACK = 0.5  # s added to the configured header timeout; also the minimum idle timeout
MAX_HEAD_BYTES = 1 << 20  # upper limit of the configured size of a request head, which is buffered whole
MAX_MEMORY_SHARE = 0.25  # of the memory that bodies may take: each is held once here and once while being forwarded
RETRY_AFTER_SHARE = 0.25  # of the latency target: the minimum delay before a refused request is retried
MIN_RETRY_AFTER = 0.02  # s; lower limit of Retry-After
MAX_REQUEST_ID_LENGTH = 256
BODILESS_METHODS = ("GET", "HEAD")
NO_CONFIGURATION = SHUTTING_DOWN = HttpResponse(503, b"Retry-After: 0.2\r\n")


class RequestHeaders(NamedTuple):
    """The request headers that the egress evaluates; empty if a header is missing."""

    host: bytes
    request_id: bytes
    timeout_ms: bytes


class Egress(RequestHandler):
    """Serves the requests of this machine's clients and of its endpoint."""

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
        """Create an egress.

        Args:
            descriptors: The limit on file descriptors.
            host: The operating system.
            active: The active configuration.
            service_clients: The clients of all services.
            service: The service of this machine's endpoint; empty if there is none.
            is_running: Returns whether that endpoint is processing a request with the given id.
            is_running_retry: Returns whether that endpoint is processing a retry with the given id.
        """
        super().__init__(descriptors)
        self.host, self.active, self.service_clients = host, active, service_clients
        self.caller_header = b"X-Caller-Service: %b\r\n" % service.encode("latin-1")
        self.is_running = is_running
        self.is_running_retry = is_running_retry
        self.requires_complete_body = True
        self.shutdown: ShutdownAdmission | None = None
        """Set while this process shuts down: requests that would be cut off are refused."""
        self.last_number = 0
        self.open_requests: dict[str, OutboundRequest] = {}
        """By request number."""
        self.target_credits: dict[str, dict[str, float]] = {}
        """By route: how far each weighted target is behind its share."""
        self.reply_counts = ReplyCounts()
        self.failure_log = FailureLog()
        self.retry_detector = RetryDetector()
        self.counts = {"served": 0, "refused": 0, "failed": 0, "unknown": 0, "left": 0, "untried": 0}
        """Counters for the log."""

    def configure(self, configuration: Configuration, memory: int) -> None:
        """Apply a configuration; request bodies take at most :data:`MAX_MEMORY_SHARE` of ``memory`` bytes."""
        self.retry_detector.keep_only(configuration.routes)
        self.read_timeout = max(READ_FOR, configuration.header_timeout + CLIENT_TIMEOUT_SLACK)
        self.max_idle_time = max(CLIENT_TIMEOUT_SLACK, configuration.idle_timeout)
        self.max_head_size = int(min(configuration.max_header_bytes, MAX_HEAD_BYTES))
        self.max_body_size = int(min(configuration.max_body_bytes, MAX_MEMORY_SHARE * memory))
        self.room.limit = int(max(self.max_body_size, MAX_MEMORY_SHARE * memory))

    # --- requests ---

    def read(self, method: str, target: str, headers: Headers, body: bytes | Body, waited: float) -> IncomingRequest:
        """Match a request to a route. ``waited`` is the time in ms since it arrived.

        A request that can't be forwarded has its answer as the payload.
        """
        assert isinstance(body, bytes)  # as `requires_complete_body` is set
        request_headers = read_headers(headers)
        self.last_number += 1
        number = str(self.last_number)
        configuration = self.active.configuration
        if configuration is None:
            return already_answered(number, NO_CONFIGURATION)
        host = request_headers.host.decode("latin-1").lower()
        route = configuration.find_route(host, target.partition("?")[0])
        if route is None:
            self.counts["unknown"] += 1
            return already_answered(number, HttpResponse(404))
        if not request_headers.request_id or len(request_headers.request_id) > MAX_REQUEST_ID_LENGTH:
            return already_answered(number, HttpResponse(400))
        now = self.loop.time()
        client_wait, time_used = MAX_CLIENT_WAIT, 0.0
        if request_headers.timeout_ms and NUMBER.fullmatch(request_headers.timeout_ms):
            client_wait = min(MAX_CLIENT_WAIT, float(request_headers.timeout_ms) / 1000.0)
            time_used = self.retry_detector.time_used(now, route.name, client_wait)
        time_left = max(MIN_WAIT, min(client_wait, route.deadline) - waited / 1000.0)
        if self.shutdown is not None and not self.shutdown.admits(now, time_left):
            return already_answered(number, SHUTTING_DOWN)
        service = self.choose_service(route)
        end_to_end_headers = end_to_end(headers, HOP_HEADERS)
        head = b"%b %b HTTP/1.1\r\n%b%b" % (
            method.encode(),
            target.encode("latin-1"),
            end_to_end_headers,
            self.caller_header,
        )
        request_id = request_headers.request_id.decode("latin-1")
        # The endpoint extends the id of the request that it is processing to issue a nested call. The call counts as
        # nested only if that request is actually running here.
        parent = request_id.rpartition(".")[0]
        is_nested = bool(parent) and self.is_running(parent)
        request = OutboundRequest(
            service=service,
            id=request_id,
            head=head,
            body=body,
            has_body=method not in BODILESS_METHODS or bool(body),
            is_idempotent=route.is_idempotent,
            priority=int(route.priority),
            latency_target_at=now + max(0.0, route.latency_target - time_used),
            attempt_count=AttemptCount(route.max_attempts),
            received_at=now,
            is_nested=is_nested,
            is_client_retry=time_used > 0.0 and not is_nested,
            issued_by_retry=is_nested and self.is_running_retry(parent),
        )
        class_index = self.service_clients.to(service).class_index(route, route.deadline)
        return IncomingRequest(number, class_index, 0, "", 1000.0 * time_left, 0.0, False, request)

    def choose_service(self, route: Route) -> str:
        """Return the service for a request.

        Weighted targets are chosen by smooth weighted round robin, so that their shares are accurate even over a few
        requests.
        """
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

    def take(self, incoming: IncomingRequest, on_answer: Callable[[FinalAnswer | HttpResponse], None]) -> None:
        """Send a request to its service; ``on_answer`` is called with the answer to the client."""
        request = incoming.payload
        if isinstance(request, HttpResponse):
            on_answer(request)
            return
        client = self.service_clients.to(request.service)
        client.retry_budget.on_request(self.loop.time())
        self.open_requests[incoming.id] = request

        def on_final(final: FinalAnswer) -> None:
            self.open_requests.pop(incoming.id, None)
            on_answer(self.answer_for(request, final))

        client.dispatcher.take(incoming, on_final)

    def on_client_disconnected(self, request_id: str) -> None:
        """Stop processing a request whose client has disconnected."""
        request = self.open_requests.pop(request_id, None)
        if request is not None:
            self.counts["left"] += 1
            self.service_clients.to(request.service).dispatcher.leave(request_id)

    # --- answers ---

    def answer_for(self, request: OutboundRequest, final: FinalAnswer) -> HttpResponse:
        """Return the HTTP response for a final answer; those with status 500 or above are added to the failure log."""
        answer = self.make_answer(request, final)
        if answer.status >= 500:
            milliseconds = round(1000 * (self.loop.time() - request.received_at))
            failure = RequestFailure(answer.status, request.service, milliseconds, request.attempt_log)
            self.failure_log.add(request.id, failure)
        return answer

    def make_answer(self, request: OutboundRequest, final: FinalAnswer) -> HttpResponse:
        """Return 503 if the request has certainly not run, otherwise the endpoint's answer, or 502 if there is none."""
        if isinstance(final, Served):
            self.counts["served"] += 1
            return forwarded_answer(final.reply)
        if isinstance(final, Refused) and not request.may_have_run:
            self.counts["refused"] += 1
            self.counts["untried"] += not request.attempts_made
            retry_after = max(MIN_RETRY_AFTER, final.retry_after / 1000.0, self.retry_after(request))
            return HttpResponse(503, b"Retry-After: %.3f\r\n" % retry_after)
        self.counts["failed"] += 1
        return forwarded_answer(final.reply) if final.reply is not None else HttpResponse(502)

    def retry_after(self, request: OutboundRequest) -> float:
        """Return the time in s after which a request that has not run may be retried.

        It is a share of the time that was left until the latency target when the request arrived, so that the retry can
        still meet the target.
        """
        return RETRY_AFTER_SHARE * max(0.0, request.latency_target_at - request.received_at)

    def replies(self, incoming: IncomingRequest) -> ReplyCounts:
        """Return the counters of final answers."""
        return self.reply_counts

    def unread(self, sock: Any) -> bool:
        """Return whether the kernel holds unread bytes of a connection."""
        return self.host.unread(sock)


def read_headers(headers: Headers) -> RequestHeaders:
    """Extract the headers that the egress evaluates.

    For a repeated header the first non-empty value counts, for Host the last value.
    """
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


def forwarded_answer(reply: EndpointReply) -> HttpResponse:
    """Return an endpoint's answer with end-to-end headers only, for the client."""
    return HttpResponse(reply.status, end_to_end(reply.headers, RESPONSE_HOP_HEADERS), reply.body)


def already_answered(number: str, answer: HttpResponse) -> IncomingRequest:
    """Return a request that is not forwarded, with its answer as the payload."""
    return IncomingRequest(number, 0, 0, "", 0.0, 0.0, False, answer)
