"""Heartbeats and departures of endpoints as records, and which records are news. Pure, but for the time of day."""

from __future__ import annotations

import time
from typing import Any

from schema import And, Optional, Or, Schema, SchemaError

from ..control_api.listener import Call
from ..errors import MeshError
from ..membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .node_settings import ADDRESS, NAME

WHOLE_NUMBER: Any = And(int, lambda value: 0 <= value < DEPARTED_SEQ, error="must be a whole number from 0")
HEARTBEAT_SCHEMA = Schema(
    {
        "Address": ADDRESS,
        "Descriptor": Schema(
            {
                "Target": NAME,
                Optional("Generation"): Or(str, int),
                Optional("Zone"): str,
                Optional("Capacity"): WHOLE_NUMBER,
            },
            ignore_extra_keys=True,
        ),
        "Observed": Schema(
            {"Phase": Or("ready", "draining"), "CallSeq": WHOLE_NUMBER, Optional("ColdLeftS"): Or(int, float)},
            ignore_extra_keys=True,
        ),
    },
    ignore_extra_keys=True,
)


def parse_heartbeat(call: Call) -> Record:
    """A heartbeat as a record, without the sidecar. MeshError where it is not proper."""
    document = call.json()
    try:
        HEARTBEAT_SCHEMA.validate(document)
    except SchemaError as error:
        raise MeshError("BEAT_INVALID", " ".join(str(error.code).split())) from None
    descriptor, observed = document["Descriptor"], document["Observed"]
    slow_start = max(0.0, float(observed.get("ColdLeftS") or 0.0))
    info = EndpointInfo(
        service=descriptor["Target"],
        address=document["Address"],
        zone=descriptor.get("Zone", ""),
        slots=max(1, int(descriptor.get("Capacity", 1))),
        generation=str(descriptor.get("Generation", "")),
        slow_start_until=int(1000 * (time.time() + slow_start)) if slow_start > 0 else 0,
    )
    return Record(
        kind=RecordKind.ENDPOINT,
        id=call.path_parameters[0],
        seq=observed["CallSeq"],
        rank=EndpointPhase.DRAINING if observed["Phase"] == "draining" else EndpointPhase.READY,
        body=info.SerializeToString(),
    )


def departure_record(endpoint: str) -> Record:
    """The record of an endpoint that says that it has gone."""
    return Record(kind=RecordKind.ENDPOINT, id=endpoint, seq=DEPARTED_SEQ, rank=EndpointPhase.GONE)


def set_sidecar(record: Record, sidecar: str) -> None:
    """Name the sidecar in front of the endpoint in its record."""
    info = EndpointInfo.FromString(record.body)
    info.sidecar = sidecar
    record.body = info.SerializeToString()


def sidecar_of(record: Record) -> str:
    """The sidecar in front of the endpoint, as its record names it."""
    return EndpointInfo.FromString(record.body).sidecar


def is_final(known: Record) -> bool:
    """Whether the endpoint has said that it leaves: nothing that it says later makes it ready again."""
    return known.rank == EndpointPhase.DRAINING or known.seq >= DEPARTED_SEQ


def is_news(known: Record | None, ready: Record) -> bool:
    """Whether the heartbeat of a ready endpoint is news; its record is given the incarnation of what is known."""
    if known is None:
        return True
    ready.incarnation = known.incarnation
    if is_final(known) or known.seq >= ready.seq:
        return False  # it leaves, or the heartbeat is a late one
    return known.rank != EndpointPhase.READY or sidecar_of(known) != sidecar_of(ready)


def superseding_record(known: Record | None, ending: Record) -> Record:
    """The record by which a drain or a departure is spread: one that takes precedence over what is known.

    An endpoint that was taken for gone and says that it drains is gone for good.
    """
    if known is None:
        return ending
    if known.seq >= DEPARTED_SEQ or known.rank == ending.rank == EndpointPhase.DRAINING:
        return known
    was_taken_for_gone = known.rank >= EndpointPhase.GONE
    return Record(
        kind=RecordKind.ENDPOINT,
        id=ending.id,
        incarnation=known.incarnation,
        seq=DEPARTED_SEQ if was_taken_for_gone else max(ending.seq, known.seq),
        rank=EndpointPhase.GONE if was_taken_for_gone else ending.rank,
        body=ending.body or known.body,
    )


def gone_record(known: Record, seq: int) -> Record:
    """The record by which an endpoint is declared gone by others than itself."""
    return Record(
        kind=RecordKind.ENDPOINT,
        id=known.id,
        incarnation=known.incarnation,
        seq=seq,
        rank=EndpointPhase.GONE,
        body=known.body,
    )
