"""Calls of endpoints: beats and departures, as they are read by whichever process is asked."""

from __future__ import annotations

import time
from typing import Any

from schema import And, Optional, Or, Schema, SchemaError

from ..control_api.desk import Call
from ..errors import MeshError
from ..membership.records import ENDPOINT
from ..transport.mesh_pb2 import EndpointInfo, Record
from .boot import ADDRESS, NAME

READY, DRAINING, GONE = 0, 1, 2  # ranks of endpoint records
LAST = 2**62  # the place of a departure in an endpoint's order: behind all its beats

WHOLE: Any = And(int, lambda v: 0 <= v < LAST, error="must be a whole number from 0")
BEAT = Schema(
    {
        "Address": ADDRESS,
        "Descriptor": Schema(
            {"Target": NAME, Optional("Generation"): Or(str, int), Optional("Zone"): str, Optional("Capacity"): WHOLE},
            ignore_extra_keys=True,
        ),
        "Observed": Schema(
            {"Phase": Or("ready", "draining"), "CallSeq": WHOLE, Optional("ColdLeftS"): Or(int, float)},
            ignore_extra_keys=True,
        ),
    },
    ignore_extra_keys=True,
)


def read_beat(call: Call, life: int = 0) -> Record:
    """A beat as a record, but for the keeper; MeshError where it is none."""
    told = call.json()
    try:
        BEAT.validate(told)
    except SchemaError as wrong:
        raise MeshError("BEAT_INVALID", " ".join(str(wrong.code).split())) from None
    about, seen = told["Descriptor"], told["Observed"]
    cold = max(0.0, float(seen.get("ColdLeftS") or 0.0))
    endpoint_info = EndpointInfo(
        service=about["Target"],
        address=told["Address"],
        zone=about.get("Zone", ""),
        slots=max(1, int(about.get("Capacity", 1))),
        generation=str(about.get("Generation", "")),
        cold_until=int(1000 * (time.time() + cold)) if cold > 0 else 0,
    )
    rank = DRAINING if seen["Phase"] == "draining" else READY
    return Record(
        kind=ENDPOINT,
        id=call.captured[0],
        life=life,
        seq=seen["CallSeq"],
        rank=rank,
        body=endpoint_info.SerializeToString(),
    )
