"""Sample messages of each kind on the wire, and a sample of a stored log entry."""

from __future__ import annotations

from zinclever.mesh.consensus.messages import MessageKind
from zinclever.mesh.transport.mesh_pb2 import (
    AppliedCall,
    BodyChunk,
    ConsensusMessage,
    ControlCall,
    ControlReply,
    EndpointInfo,
    Fetch,
    FetchReply,
    ForwardReply,
    ForwardRequest,
    Frame,
    GossipMessage,
    Header,
    LogEntry,
    NodeInfo,
    RangeDigest,
    Record,
    RecordVersion,
    TextBlock,
    Version,
    Voter,
)

VOTERS = [Voter(disk=f"disk-{n}", name=f"core-{n}", ip=f"127.0.0.{n}", port=20_000 + n) for n in (1, 2, 3)]
CONFIGURATION = b'{"Generation":7,"Routes":[]}'

NAMES_IN_0_1 = {
    MessageKind.TRANSFER_LEADERSHIP: "HAND_OVER",
    MessageKind.BLOCK_REQUEST: "TEXT_WANTED",
    MessageKind.BLOCK_REPLY: "TEXT_BLOCKS",
}


def entry() -> LogEntry:
    """A committed entry with a configuration, voters and applied calls."""
    return LogEntry(
        term=5,
        index=9,
        text=CONFIGURATION,
        generation=7,
        voters=VOTERS,
        founding_size=3,
        applied_calls=[
            AppliedCall(generation=6, base=4, digest=b"\x01" * 16),
            AppliedCall(generation=7, base=6, digest=b"\x02" * 16),
        ],
        previous_voters=VOTERS[:2],
    )


def records() -> list[Record]:
    """One record of each kind."""
    node = NodeInfo(
        ip="127.0.0.1",
        port=20_000,
        role="forager",
        zone="north",
        disk="disk-1",
        control_address="127.0.0.1:7100",
        warm=True,
        declared_by="core-2/comb",
        reason="no answer in 0.75 s",
        protocol_version=3,
    )
    endpoint = EndpointInfo(
        service="orders",
        address="127.0.0.1:9000",
        zone="north",
        slots=8,
        sidecar="machine-1/forager",
        slow_start_until=1_700_000_000_000,
        generation="v2",
    )
    version = Version(index=9, generation=7)
    return [
        Record(kind=1, id="machine-1/forager", incarnation=11, seq=2, rank=1, body=node.SerializeToString()),
        Record(kind=2, id="endpoint-1", incarnation=12, seq=3, rank=0, body=endpoint.SerializeToString()),
        Record(kind=3, id="config", incarnation=9, seq=0, rank=0, body=version.SerializeToString()),
    ]


def datagrams() -> dict[str, GossipMessage]:
    """One gossip datagram of each kind, by its name in the fixture."""

    def datagram(**fields: object) -> GossipMessage:
        return GossipMessage(sender="machine-1/forager", incarnation=11, **fields)  # type: ignore[arg-type]

    held = [RecordVersion(kind=2, id="endpoint-1", incarnation=12, seq=3, rank=1)]
    return {
        "news": datagram(records=records()),
        "digest": datagram(digests=[RangeDigest(range=3, hash=0x1234), RangeDigest(range=63, hash=2**63 + 5)]),
        "root": datagram(root_digest=2**63 + 9),
        "holdings": datagram(ranges=[3, 63], versions=held),
        "wanted": datagram(wanted=held),
        "ping": datagram(ping=41),
        "ping on another's behalf": datagram(ping=42, target="machine-2/forager"),
        "ack": datagram(ack=41),
        "news with a receipt wanted": datagram(records=records()[1:2], receipt_request=77),
        "receipt": datagram(receipt=77),
    }


def consensus_messages() -> dict[str, ConsensusMessage]:
    """One consensus message of each kind, by its name in version 0.1."""
    messages = {
        MessageKind.HEARTBEAT: ConsensusMessage(
            index=9, digest=2**63 + 1, granted=True, bootstrap=True, protocol_version=1
        ),
        MessageKind.VOTE_REQUEST: ConsensusMessage(),
        MessageKind.VOTE_REPLY: ConsensusMessage(granted=True, index=5, entry=entry(), committed=entry()),
        MessageKind.APPEND: ConsensusMessage(entry=entry()),
        MessageKind.APPEND_REPLY: ConsensusMessage(index=9, granted=False, round=6),
        MessageKind.CONFIRM_LEADERSHIP: ConsensusMessage(round=12),
        MessageKind.LEADERSHIP_CONFIRMED: ConsensusMessage(round=12, granted=True),
        MessageKind.TRANSFER_LEADERSHIP: ConsensusMessage(),
        MessageKind.LEAVE: ConsensusMessage(),
        MessageKind.LEAVE_REPLY: ConsensusMessage(index=9, granted=True),
        MessageKind.BLOCK_REQUEST: ConsensusMessage(round=2, wanted=[b"\x03" * 16, b"\x04" * 16], protocol_version=1),
        MessageKind.BLOCK_REPLY: ConsensusMessage(
            round=2, blocks=[TextBlock(name=b"\x03" * 16, compressed=b"x")], protocol_version=1
        ),
    }
    for kind, message in messages.items():
        message.kind = kind
        message.disk = "disk-1"
        message.term = 5
        message.voter.CopyFrom(VOTERS[0])
    return {NAMES_IN_0_1.get(kind, kind.name): message for kind, message in messages.items()}


def frames() -> dict[str, Frame]:
    """One frame of each kind, by its name in the fixture."""
    request = ForwardRequest(
        endpoint="endpoint-1",
        head=b"GET /orders HTTP/1.1\r\n\r\n",
        body=b"begin",
        length=9,
        framed=True,
        deadline_ms=900,
        latency_target_ms=150,
        priority=2,
        safe=True,
        id="request-1",
        nested=True,
        hedge=True,
        may_queue=True,
        reserve_first=True,
        retry=True,
    )
    reply = ForwardReply(
        outcome=3,
        status=200,
        headers=[Header(name=b"content-type", value=b"text/plain")],
        body=b"done",
        length=4,
        reason="reset",
        inflight=2,
        slots=8,
        service_ms=30,
        queued_ms=4,
        sent_to_endpoint=True,
        retry_after_us=2500,
    )
    samples = {
        "load": Frame(stream=1, forward_request=request),
        "gives": Frame(stream=1, forward_reply=reply),
        "piece": Frame(stream=1, body_chunk=BodyChunk(data=b"rest")),
        "cancel": Frame(stream=1, cancel=True),
        "ping": Frame(ping=1),
        "pong": Frame(pong=1),
        "fetch": Frame(stream=2, fetch=Fetch(index=9, accepts_compressed=True)),
        "fetched": Frame(stream=2, fetch_reply=FetchReply(index=9, generation=7, text=CONFIGURATION, compressed=b"z")),
        "ask": Frame(
            stream=3, control_call=ControlCall(kind="put", base=6, text=CONFIGURATION, index=9, digest=2**63 + 3)
        ),
        "told": Frame(stream=3, control_reply=ControlReply(status=200, text=CONFIGURATION, unchanged=True)),
        "hello": Frame(hello="machine-1/forager"),
        "come": Frame(stream=1, reservation_granted=True),
    }
    consensus = {name: Frame(consensus=message) for name, message in consensus_messages().items()}
    return {**samples, **consensus}
