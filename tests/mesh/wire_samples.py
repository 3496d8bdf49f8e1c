"""One message of each kind that goes over the wire, as objects, and one entry as it is stored."""

from __future__ import annotations

from zinclever.mesh.consensus.messages import Kind
from zinclever.mesh.transport.mesh_pb2 import (
    AppliedCall,
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
    Piece,
    RangeDigest,
    Record,
    RecordVersion,
    TextBlock,
    Version,
    Voter,
)

VOTERS = [Voter(disk=f"disk-{n}", name=f"core-{n}", ip=f"127.0.0.{n}", port=20_000 + n) for n in (1, 2, 3)]
CONFIGURATION = b'{"Generation":7,"Routes":[]}'


def entry() -> LogEntry:
    """A committed entry with a configuration, voters and remembered calls."""
    return LogEntry(
        term=5,
        number=9,
        text=CONFIGURATION,
        generation=7,
        voters=VOTERS,
        founding_size=3,
        applied=[
            AppliedCall(generation=6, base=4, digest=b"\x01" * 16),
            AppliedCall(generation=7, base=6, digest=b"\x02" * 16),
        ],
        previous_voters=VOTERS[:2],
    )


def records() -> list[Record]:
    """A record of each kind."""
    node = NodeInfo(
        ip="127.0.0.1",
        port=20_000,
        role="forager",
        zone="north",
        disk="disk-1",
        control_address="127.0.0.1:7100",
        warm=True,
        by="core-2/comb",
        why="no answer in 0.75 s",
        speaks=3,
    )
    endpoint = EndpointInfo(
        service="orders",
        address="127.0.0.1:9000",
        zone="north",
        slots=8,
        keeper="machine-1/forager",
        cold_until=1_700_000_000_000,
        generation="v2",
    )
    version = Version(number=9, generation=7)
    return [
        Record(kind=1, id="machine-1/forager", life=11, seq=2, rank=1, body=node.SerializeToString()),
        Record(kind=2, id="endpoint-1", life=12, seq=3, rank=0, body=endpoint.SerializeToString()),
        Record(kind=3, id="config", life=9, seq=0, rank=0, body=version.SerializeToString()),
    ]


def datagrams() -> dict[str, GossipMessage]:
    """By what it is for: a datagram of each kind."""

    def datagram(**fields: object) -> GossipMessage:
        return GossipMessage(sender="machine-1/forager", life=11, **fields)  # type: ignore[arg-type]

    held = [RecordVersion(kind=2, id="endpoint-1", life=12, seq=3, rank=1)]
    return {
        "news": datagram(news=records()),
        "digest": datagram(sums=[RangeDigest(range=3, hash=0x1234), RangeDigest(range=63, hash=2**63 + 5)]),
        "root": datagram(root=2**63 + 9),
        "holdings": datagram(ranges=[3, 63], holdings=held),
        "wanted": datagram(wanted=held),
        "ping": datagram(ping=41),
        "ping on another's behalf": datagram(ping=42, target="machine-2/forager"),
        "ack": datagram(ack=41),
        "news with a receipt wanted": datagram(news=records()[1:2], receipt=77),
        "receipt": datagram(received=77),
    }


def consensus_messages() -> dict[str, ConsensusMessage]:
    """A message of each kind between members of the core."""
    whole = {
        Kind.HEARTBEAT: ConsensusMessage(number=9, digest=2**63 + 1, granted=True, bootstrap=True, speaks=1),
        Kind.VOTE_REQUEST: ConsensusMessage(),
        Kind.VOTE_REPLY: ConsensusMessage(granted=True, number=5, entry=entry(), committed=entry()),
        Kind.APPEND: ConsensusMessage(entry=entry()),
        Kind.APPEND_REPLY: ConsensusMessage(number=9, granted=False, round=6),
        Kind.CONFIRM_LEADERSHIP: ConsensusMessage(round=12),
        Kind.LEADERSHIP_CONFIRMED: ConsensusMessage(round=12, granted=True),
        Kind.HAND_OVER: ConsensusMessage(),
        Kind.LEAVE: ConsensusMessage(),
        Kind.LEAVE_REPLY: ConsensusMessage(number=9, granted=True),
        Kind.TEXT_WANTED: ConsensusMessage(round=2, wanted=[b"\x03" * 16, b"\x04" * 16], speaks=1),
        Kind.TEXT_BLOCKS: ConsensusMessage(round=2, blocks=[TextBlock(name=b"\x03" * 16, packed=b"x")], speaks=1),
    }
    for kind, message in whole.items():
        message.kind = kind
        message.disk = "disk-1"
        message.term = 5
        message.voter.CopyFrom(VOTERS[0])
    return {kind.name: message for kind, message in whole.items()}


def frames() -> dict[str, Frame]:
    """By what it is for: a frame of each kind on a link."""
    load = ForwardRequest(
        endpoint="endpoint-1",
        head=b"GET /orders HTTP/1.1\r\n\r\n",
        body=b"begin",
        length=9,
        framed=True,
        left_ms=900,
        aim_ms=150,
        priority=2,
        safe=True,
        id="request-1",
        inner=True,
        copy=True,
        patient=True,
        knocks=True,
        repeat=True,
    )
    gives = ForwardReply(
        verdict=3,
        status=200,
        headers=[Header(name=b"content-type", value=b"text/plain")],
        body=b"done",
        length=4,
        why="reset",
        inflight=2,
        slots=8,
        worked_ms=30,
        waited_ms=4,
        offered=True,
        again_us=2500,
    )
    made = {
        "load": Frame(stream=1, load=load),
        "gives": Frame(stream=1, gives=gives),
        "piece": Frame(stream=1, piece=Piece(data=b"rest")),
        "cancel": Frame(stream=1, cancel=True),
        "ping": Frame(ping=1),
        "pong": Frame(pong=1),
        "fetch": Frame(stream=2, fetch=Fetch(number=9, packs=True)),
        "fetched": Frame(stream=2, fetched=FetchReply(number=9, generation=7, text=CONFIGURATION, packed=b"z")),
        "ask": Frame(stream=3, ask=ControlCall(kind="put", base=6, text=CONFIGURATION, number=9, digest=2**63 + 3)),
        "told": Frame(stream=3, told=ControlReply(status=200, text=CONFIGURATION, held=True)),
        "hello": Frame(hello="machine-1/forager"),
        "come": Frame(stream=1, come=True),
    }
    consensus = {name: Frame(consensus=message) for name, message in consensus_messages().items()}
    return {**made, **consensus}
