"""Conversion of endpoint heartbeats and departures to gossip records, and the precedence of these records.

Performs no I/O, apart from reading the time of day.
"""

from __future__ import annotations

import time
from typing import Any

from schema import And, Optional, Or, Schema, SchemaError

from ..control_api.listener import Call
from ..errors import MeshError
from ..membership.records import DEPARTED_SEQ, EndpointPhase, RecordKind
from ..transport.mesh_pb2 import EndpointInfo, Record
from .node_settings import ADDRESS, NAME

NON_NEGATIVE_INTEGER: Any = And(int, lambda value: 0 <= value < DEPARTED_SEQ, error="must be a non-negative integer")
HEARTBEAT_SCHEMA = Schema(
    {
        "Address": ADDRESS,
        "Descriptor": Schema(
            {
                "Target": NAME,
                Optional("Generation"): Or(str, int),
                Optional("Zone"): str,
                Optional("Capacity"): NON_NEGATIVE_INTEGER,
            },
            ignore_extra_keys=True,
        ),
        "Observed": Schema(
            {"Phase": Or("ready", "draining"), "CallSeq": NON_NEGATIVE_INTEGER, Optional("ColdLeftS"): Or(int, float)},
            ignore_extra_keys=True,
        ),
    },
    ignore_extra_keys=True,
)


def parse_heartbeat(call: Call) -> Record:
    """Return the record for a heartbeat, without the sidecar's name. Raises MeshError if it is invalid."""
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
    """Return the record by which an endpoint announces its own departure."""
    return Record(kind=RecordKind.ENDPOINT, id=endpoint, seq=DEPARTED_SEQ, rank=EndpointPhase.GONE)


def set_sidecar(record: Record, sidecar: str) -> None:
    """Store the name of the sidecar in front of the endpoint in its record."""
    info = EndpointInfo.FromString(record.body)
    info.sidecar = sidecar
    record.body = info.SerializeToString()


def sidecar_of(record: Record) -> str:
    """Return the name of the sidecar in front of the endpoint, as its record states it."""
    return EndpointInfo.FromString(record.body).sidecar


def is_final(known: Record) -> bool:
    """Return whether the endpoint has announced a drain or departure: no later heartbeat makes it ready again."""
    return known.rank == EndpointPhase.DRAINING or known.seq >= DEPARTED_SEQ


def changes_state(known: Record | None, ready: Record) -> bool:
    """Return whether a ready endpoint's heartbeat changes the known state of the endpoint.

    Sets the incarnation of the heartbeat's record to the known one.
    """
    if known is None:
        return True
    ready.incarnation = known.incarnation
    if is_final(known) or known.seq >= ready.seq:
        return False  # the endpoint is leaving, or the heartbeat is outdated
    return known.rank != EndpointPhase.READY or sidecar_of(known) != sidecar_of(ready)


def superseding_record(known: Record | None, ending: Record) -> Record:
    """Return the record that announces a drain or departure with precedence over the known record.

    A drain of an endpoint that was declared GONE becomes a departure, which no later heartbeat overrides.
    """
    if known is None:
        return ending
    if known.seq >= DEPARTED_SEQ or known.rank == ending.rank == EndpointPhase.DRAINING:
        return known
    was_declared_gone = known.rank >= EndpointPhase.GONE
    return Record(
        kind=RecordKind.ENDPOINT,
        id=ending.id,
        incarnation=known.incarnation,
        seq=DEPARTED_SEQ if was_declared_gone else max(ending.seq, known.seq),
        rank=EndpointPhase.GONE if was_declared_gone else ending.rank,
        body=ending.body or known.body,
    )


def gone_record(known: Record, seq: int) -> Record:
    """Return the record by which another process declares an endpoint GONE."""
    return Record(
        kind=RecordKind.ENDPOINT,
        id=known.id,
        incarnation=known.incarnation,
        seq=seq,
        rank=EndpointPhase.GONE,
        body=known.body,
    )
