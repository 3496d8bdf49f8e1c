"""The calls of operators at a member of the core: read off the wire, answered by the leader, here or elsewhere.

A call has its answer within a second, unless its configuration is large: the caller gives up after a second of silence,
and a 503 that comes before lets it go on to another member at once. A 503 states nothing: the change may be committed.

Small configurations are handed on to the leader over the link between the members. Large ones never are, as heartbeats
would wait behind them: the caller is sent to the leader by a 307.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

import orjson

from ...http1.heads import Answer
from ..configuration.document import parse
from ..consensus.client_calls import call_timeout
from ..consensus.messages import ReplicaRole, Reply
from ..consensus.replica import Replica
from ..control_api.listener import Call, error_answer, json_answer
from ..errors import MeshError
from ..membership.records import RecordKind
from ..transport.framed_connection import FramedConnection
from ..transport.mesh_pb2 import ControlCall, ControlReply, Frame, NodeInfo, Voter
from .node import Node

PUT, GET = "put", "get"  # kinds of calls
REPLACE_PATH, READ_PATH = "/v1/config/replace", "/v1/config/read"
FORWARDING_TIME = 0.2  # s by which a call may take longer than at the leader, to find it and to be handed on
FIND_LEADER_INTERVAL = 0.05  # s between two looks at who leads
LARGE_BYTES = 64 * 1024  # bytes of a configuration from which on it is checked in a thread, and not handed on
MAX_VERSION_DIGITS = 19  # of a version, so that it stays below 2 ** 64


class CallAnswer(NamedTuple):
    """What a call is answered: an HTTP status, and a text; of a 307, the address of the leader."""

    status: int
    text: bytes


class OperatorCalls:
    """Owns the calls that the replica has not answered yet. ``work`` carries out what the replica wants."""

    def __init__(self, node: Node, replica: Replica, work: Callable[[], None]) -> None:
        self.node, self.replica, self.run_actions = node, replica, work
        self.loop = node.loop
        self.unanswered: dict[int, asyncio.Future[CallAnswer]] = {}
        self.last_call_id = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def submit(self, begin: Callable[[int], None]) -> asyncio.Future[CallAnswer]:
        """Ask the order something: its answer."""
        self.last_call_id += 1
        waiting: asyncio.Future[CallAnswer] = self.loop.create_future()
        self.unanswered[self.last_call_id] = waiting
        begin(self.last_call_id)
        self.run_actions()
        return waiting

    def on_reply(self, reply: Reply) -> None:
        """The replica answers a call."""
        waiting = self.unanswered.pop(reply.call_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(CallAnswer(reply.status, reply.text))

    async def answer(self, ask: ControlCall) -> CallAnswer:
        """Have the leader answer, here or elsewhere; 503 soon enough for the caller to go on to another member."""
        size = len(self.replica.committed.text) if ask.kind == GET else len(ask.text)
        until = self.loop.time() + call_timeout(size) + FORWARDING_TIME
        while (left := until - self.loop.time()) > 0:
            leader = self.replica.leader
            voter = next((v for v in self.replica.voters() if v.disk == leader), None)
            if self.replica.role is ReplicaRole.LEADER:
                status, text = await self.answer_here(ask)
            elif voter is not None and len(ask.text) > LARGE_BYTES and self.address_of(voter):
                return CallAnswer(307, self.address_of(voter).encode())
            elif voter is not None:
                status, text = await self.forward_to_leader(voter, ask, left)
            else:
                await asyncio.sleep(FIND_LEADER_INTERVAL)
                continue
            if status != 503 or self.replica.leader == leader:
                return CallAnswer(status, text)
        return CallAnswer(503, b"no leader answers")

    async def answer_here(self, ask: ControlCall) -> CallAnswer:
        """Have this member's replica answer."""
        now = self.loop.time()
        if ask.kind == GET:
            return await self.submit(lambda n: self.replica.read(now, n))
        configuration = parse(ask.text, is_checked=True)  # by the member that took the call
        digest = hashlib.blake2b(ask.text, digest_size=16).digest()
        return await self.submit(
            lambda n: self.replica.change(now, n, ask.base, configuration.generation, ask.text, digest)
        )

    def address_of(self, voter: Voter) -> str:
        """Where a member takes calls, as host:port; empty where that isn't known."""
        records = self.node.gossip.records.of_kind(RecordKind.NODE)
        nodes = (NodeInfo.FromString(record.body) for record in records)
        return next((n.control_address for n in nodes if (n.ip, n.port) == (voter.ip, voter.port)), "")

    async def forward_to_leader(self, voter: Voter, ask: ControlCall, within: float) -> CallAnswer:
        """Have the leader answer. A read takes its text from here where the leader has the same; where it has not, and
        the text is large, the caller is sent there."""
        if ask.kind != GET:
            return await forward(self.node, voter, ask, within)
        committed = self.replica.committed
        asked = ControlCall(kind=GET, index=committed.index, digest=self.replica.committed_digest)
        reply = await forward_call(self.node, voter, asked, within)
        if reply.status == 307:
            address = self.address_of(voter)
            return (
                CallAnswer(307, address.encode()) if address else CallAnswer(503, b"the leader's address is not known")
            )
        return CallAnswer(reply.status, committed.text if reply.unchanged else reply.text)

    def on_control_call(self, link: FramedConnection, frame: Frame) -> None:
        """A call that another member hands on."""
        ask = ControlCall()
        ask.CopyFrom(frame.control_call)

        async def run() -> None:
            reply = await self.reply_to(ask)
            link.send(Frame(stream=frame.stream, control_reply=reply))

        task = self.loop.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def reply_to(self, ask: ControlCall) -> ControlReply:
        if self.replica.role is not ReplicaRole.LEADER:
            return ControlReply(status=503, text=b"does not lead")
        try:
            status, text = await self.answer_here(ask)
        except MeshError as wrong:
            return ControlReply(status=400, text=str(wrong).encode())
        committed = self.replica.committed
        held = (ask.index, ask.digest) == (committed.index, self.replica.committed_digest)
        if ask.kind == GET and status == 200 and held and text == committed.text:
            return ControlReply(status=200, unchanged=True)
        if ask.kind == GET and ask.digest and len(text) > LARGE_BYTES:
            return ControlReply(status=307)  # one that names what it holds understands that
        return ControlReply(status=status, text=text)

    async def on_replace(self, call: Call) -> Answer:
        base = call.headers.get("x-base-version", "")
        if not base.isascii() or not base.isdecimal() or len(base) > MAX_VERSION_DIGITS:
            wrong = MeshError("BASE_MISSING", "must be the version that this one builds on", "X-Base-Version")
            return error_answer(400, wrong)
        # In a thread: a large one takes a second, and this member's word is waited for ten times in that.
        large = len(call.body) > LARGE_BYTES
        configuration = await self.loop.run_in_executor(None, parse, call.body) if large else parse(call.body)
        # As the text is kept: what is the same but for blanks and order is the same entry.
        text = orjson.dumps(orjson.loads(call.body), option=orjson.OPT_SORT_KEYS)
        status, why = await self.answer(ControlCall(kind=PUT, base=int(base), text=text))
        if status == 200:
            return json_answer(200, {"Generation": configuration.generation})
        if status == 307:
            return redirect_to_leader(why, REPLACE_PATH)
        return error_answer(
            status,
            MeshError(
                {412: "CONFIG_BASE", 400: "CONFIG_INVALID"}.get(status, "CONFIG_UNCLEAR"),
                why.decode("utf-8", "replace"),
            ),
        )

    async def on_read(self, call: Call) -> Answer:
        status, text = await self.answer(ControlCall(kind=GET))
        if status == 200:
            return Answer(200, b"Content-Type: application/json\r\n", text)
        if status == 307:
            return redirect_to_leader(text, READ_PATH)
        return error_answer(status, MeshError("CONFIG_UNKNOWN", text.decode("utf-8", "replace")))


def redirect_to_leader(address: bytes, path: str) -> Answer:
    """Send the caller to the leader."""
    return Answer(307, b"Location: http://%b%b\r\n" % (address, path.encode()), b"")


async def forward(node: Node, voter: Voter, ask: ControlCall, within: float) -> CallAnswer:
    """Ask another process: the status and text of its answer."""
    reply = await forward_call(node, voter, ask, within)
    return CallAnswer(reply.status, reply.text)


async def forward_call(node: Node, voter: Voter, ask: ControlCall, within: float) -> ControlReply:
    """Ask another process, and wait for its answer for so many s."""
    line = node.channel_to((voter.ip, voter.port))
    told: asyncio.Future[ControlReply] = node.loop.create_future()

    def answer(frame: Frame | None) -> None:
        if not told.done():
            told.set_result(frame.control_reply if frame is not None else ControlReply(status=503, text=b"link lost"))

    stream = line.call(Frame(control_call=ask), answer)
    try:
        async with asyncio.timeout(within):
            return await told
    except TimeoutError:
        return ControlReply(status=503, text=b"no answer in time")
    finally:
        line.finish_call(stream)
