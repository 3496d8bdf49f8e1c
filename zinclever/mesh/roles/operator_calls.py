"""The operators' API at a control node: calls are parsed here and answered by the leader, on this node or another one.

A call is answered within a second unless its configuration is large, as the caller gives up after a second without an
answer. After an earlier 503, the caller tries another control node immediately. A 503 leaves the outcome open: the
change may be committed.

Small configurations are forwarded to the leader over the channel between the nodes. Large ones never are, as heartbeats
would queue behind them: the caller is redirected to the leader by a 307.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

import orjson

from ...http1.heads import HttpResponse
from ..configuration.document import Configuration, parse
from ..consensus.client_calls import call_timeout
from ..consensus.messages import ReplicaRole, Reply
from ..consensus.replica import Replica
from ..control_api.listener import Call, error_answer, json_answer
from ..errors import MeshError
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import ControlCall, ControlReply, Frame, Voter
from .node import Node

PUT, GET = "put", "get"  # kinds of calls on the wire
REPLACE_PATH, READ_PATH = "/v1/config/replace", "/v1/config/read"
FORWARDING_TIME = 0.2  # s added to the leader's timeout for finding the leader and forwarding the call
FIND_LEADER_INTERVAL = 0.05  # s between two checks which node is the leader
LARGE_BYTES = 64 * 1024  # size from which a configuration is validated in a thread, and not forwarded
MAX_VERSION_DIGITS = 19  # keeps a version below 2 ** 64
ERROR_CODES = {412: "CONFIG_BASE", 400: "CONFIG_INVALID"}


class CallAnswer(NamedTuple):
    """The answer to a call: HTTP status and body, or the address of the leader with status 307."""

    status: int
    text: bytes


class OperatorCalls:
    """Owns the calls that the replica has not answered yet."""

    def __init__(self, node: Node, replica: Replica, run_actions: Callable[[], None]) -> None:
        """Create the calls' handlers; ``run_actions`` executes the actions that the replica has queued."""
        self.node, self.replica, self.run_actions = node, replica, run_actions
        self.loop = node.loop
        self.unanswered: dict[int, asyncio.Future[CallAnswer]] = {}
        self.last_call_id = 0
        self.tasks: set[asyncio.Task[None]] = set()
        """Calls forwarded by other control nodes, while they are being answered."""

    # --- calls at the local replica ---

    def submit(self, start_call: Callable[[int], None]) -> asyncio.Future[CallAnswer]:
        """Submit a call to this node's replica by calling ``start_call`` with a new id. Returns the future answer."""
        self.last_call_id += 1
        future: asyncio.Future[CallAnswer] = self.loop.create_future()
        self.unanswered[self.last_call_id] = future
        start_call(self.last_call_id)
        self.run_actions()
        return future

    def on_reply(self, reply: Reply) -> None:
        """Complete the call that the replica has answered."""
        future = self.unanswered.pop(reply.call_id, None)
        if future is not None and not future.done():
            future.set_result(CallAnswer(reply.status, reply.text))

    async def answer_here(self, call: ControlCall) -> CallAnswer:
        """Return the answer of this node's replica."""
        now = self.loop.time()
        if call.kind == GET:
            return await self.submit(lambda call_id: self.replica.read(now, call_id))
        configuration = parse(call.text, already_validated=True)  # by the node that received the call
        digest = hashlib.blake2b(call.text, digest_size=16).digest()

        def start_call(call_id: int) -> None:
            self.replica.change(now, call_id, call.base, configuration.generation, call.text, digest)

        return await self.submit(start_call)

    # --- calls to the leader, local or remote ---

    async def answer(self, call: ControlCall) -> CallAnswer:
        """Return the leader's answer, or 503 early enough for the caller to try another node."""
        size = len(self.replica.committed.text) if call.kind == GET else len(call.text)
        deadline = self.loop.time() + call_timeout(size) + FORWARDING_TIME
        while (time_left := deadline - self.loop.time()) > 0:
            leader = self.replica.leader
            voter = next((v for v in self.replica.voters() if v.disk == leader), None)
            if self.replica.role is ReplicaRole.LEADER:
                status, text = await self.answer_here(call)
            elif voter is not None and len(call.text) > LARGE_BYTES and self.address_of(voter):
                return CallAnswer(307, self.address_of(voter).encode())
            elif voter is not None:
                status, text = await self.forward_to_leader(voter, call, time_left)
            else:
                await asyncio.sleep(FIND_LEADER_INTERVAL)
                continue
            if status != 503 or self.replica.leader == leader:
                return CallAnswer(status, text)
        return CallAnswer(503, b"no leader answers")

    def address_of(self, voter: Voter) -> str:
        """Return the address of a control node's HTTP API, as host:port; empty if it is unknown."""
        infos = self.node.gossip.records.node_infos()
        return next((info.control_address for info in infos if (info.ip, info.port) == (voter.ip, voter.port)), "")

    async def forward_to_leader(self, voter: Voter, call: ControlCall, timeout: float) -> CallAnswer:
        """Return the leader's answer.

        If this node has committed the same version as the leader, a read returns the text that is stored here.
        Otherwise, if the text is large, the caller is redirected to the leader.
        """
        if call.kind != GET:
            return await forward(self.node, voter, call, timeout)
        committed = self.replica.committed
        conditional = ControlCall(kind=GET, index=committed.index, digest=self.replica.committed_digest)
        reply = await forward_call(self.node, voter, conditional, timeout)
        if reply.status == 307:
            address = self.address_of(voter)
            if not address:
                return CallAnswer(503, b"the leader's address is not known")
            return CallAnswer(307, address.encode())
        return CallAnswer(reply.status, committed.text if reply.unchanged else reply.text)

    def on_control_call(self, connection: FramedConnection, frame: Frame) -> None:
        """Answer a call that another control node has forwarded."""
        call = ControlCall()
        call.CopyFrom(frame.control_call)

        async def run() -> None:
            reply = await self.reply_to(call)
            connection.send(Frame(stream=frame.stream, control_reply=reply))

        task = self.loop.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def reply_to(self, call: ControlCall) -> ControlReply:
        """Return the reply to a forwarded call, without the text if the calling node has it."""
        if self.replica.role is not ReplicaRole.LEADER:
            return ControlReply(status=503, text=b"does not lead")
        try:
            status, text = await self.answer_here(call)
        except MeshError as error:
            return ControlReply(status=400, text=str(error).encode())
        committed = self.replica.committed
        is_same = (call.index, call.digest) == (committed.index, self.replica.committed_digest)
        if call.kind == GET and status == 200 and is_same and text == committed.text:
            return ControlReply(status=200, unchanged=True)
        if call.kind == GET and call.digest and len(text) > LARGE_BYTES:
            return ControlReply(status=307)  # only nodes that send their committed digest understand it
        return ControlReply(status=status, text=text)

    # --- HTTP handlers ---

    async def on_replace(self, call: Call) -> HttpResponse:
        """Replace the configuration."""
        base = call.headers.get("x-base-version", "")
        if not base.isascii() or not base.isdecimal() or len(base) > MAX_VERSION_DIGITS:
            error = MeshError("BASE_MISSING", "must be the version that this configuration replaces", "X-Base-Version")
            return error_answer(400, error)
        configuration = await self.validated(call.body)
        # The canonical form that is stored: texts that differ only in whitespace and key order are the same entry.
        text = orjson.dumps(orjson.loads(call.body), option=orjson.OPT_SORT_KEYS)
        status, reason = await self.answer(ControlCall(kind=PUT, base=int(base), text=text))
        if status == 200:
            return json_answer(200, {"Generation": configuration.generation})
        if status == 307:
            return redirect_to_leader(reason, REPLACE_PATH)
        code = ERROR_CODES.get(status, "CONFIG_UNCLEAR")
        return error_answer(status, MeshError(code, reason.decode("utf-8", "replace")))

    async def validated(self, text: bytes) -> Configuration:
        """Parse and validate a configuration. Raises MeshError if it is invalid.

        A large one is validated in a thread: it can take a second, in which this node has to send ten heartbeats.
        """
        if len(text) > LARGE_BYTES:
            return await self.loop.run_in_executor(None, parse, text)
        return parse(text)

    async def on_read(self, call: Call) -> HttpResponse:
        """Return the committed configuration, as confirmed by the leader."""
        status, text = await self.answer(ControlCall(kind=GET))
        if status == 200:
            return HttpResponse(200, b"Content-Type: application/json\r\n", text)
        if status == 307:
            return redirect_to_leader(text, READ_PATH)
        return error_answer(status, MeshError("CONFIG_UNKNOWN", text.decode("utf-8", "replace")))


def redirect_to_leader(address: bytes, path: str) -> HttpResponse:
    """Return the redirection of a caller to the leader."""
    return HttpResponse(307, b"Location: http://%b%b\r\n" % (address, path.encode()), b"")


async def forward(node: Node, voter: Voter, call: ControlCall, timeout: float) -> CallAnswer:
    """Call another process, and return the status and text of its reply."""
    reply = await forward_call(node, voter, call, timeout)
    return CallAnswer(reply.status, reply.text)


async def forward_call(node: Node, voter: Voter, call: ControlCall, timeout: float) -> ControlReply:
    """Call another process and wait up to ``timeout`` s for its reply; without one, the status is 503."""
    channel = node.channel_to((voter.ip, voter.port))
    reply: asyncio.Future[ControlReply] = node.loop.create_future()

    def on_answer(frame: Frame | None) -> None:
        if not reply.done():
            lost = ControlReply(status=503, text=b"link lost")
            reply.set_result(frame.control_reply if frame is not None else lost)

    stream = channel.call(Frame(control_call=call), on_answer)
    try:
        async with asyncio.timeout(timeout):
            return await reply
    except TimeoutError:
        return ControlReply(status=503, text=b"no answer in time")
    finally:
        channel.finish_call(stream)
