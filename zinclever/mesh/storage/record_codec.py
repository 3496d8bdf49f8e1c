"""Encoding of records in a file. No I/O.

Each record is stored twice, each copy with its own length and checksum. A damaged copy is repaired from the other one,
partial writes are distinguished from later damage, and a file is read without its index, the least reliable part of
``dbm.dumb``. See Protocol-Aware Recovery (Alagappan and others, 2018).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

MAGIC = b"WAX2"
COPIES = 2
BLOCK_BYTES = 512  # ``dbm.dumb`` aligns each value to a multiple of this
CHECKSUM_BYTES = 16
NAME_LENGTH_BYTES = 2
VALUE_LENGTH_BYTES = 8
HEADER_BYTES = len(MAGIC) + NAME_LENGTH_BYTES + VALUE_LENGTH_BYTES + CHECKSUM_BYTES
MAX_VALUE_BYTES = 1 << 32


class StoredRecord(NamedTuple):
    """One copy of a record."""

    name: bytes
    value: bytes


def checksum(name: bytes, value: bytes) -> bytes:
    """The checksum of a record, of :data:`CHECKSUM_BYTES` bytes."""
    hashed = hashlib.blake2b(len(name).to_bytes(NAME_LENGTH_BYTES, "big"), digest_size=CHECKSUM_BYTES)
    hashed.update(name)
    hashed.update(value)
    return hashed.digest()


def encode(records: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """Encode records as the keys and values of a ``dbm`` file, with :data:`COPIES` copies of each record."""
    encoded = {name: encode_record(name, value) for name, value in records.items()}
    return {b"%d %b" % (copy, name): value for copy in range(COPIES) for name, value in encoded.items()}


def encode_record(name: bytes, value: bytes) -> bytes:
    """Encode one copy of a record."""
    lengths = len(name).to_bytes(NAME_LENGTH_BYTES, "big") + len(value).to_bytes(VALUE_LENGTH_BYTES, "big")
    return MAGIC + lengths + checksum(name, value) + name + value


def decode(data: bytes, offset: int = 0) -> StoredRecord | None:
    """Decode the record at an offset; None if it is incomplete or damaged."""
    if data[offset : offset + len(MAGIC)] != MAGIC or len(data) - offset < HEADER_BYTES:
        return None
    offset += len(MAGIC)
    name_length = int.from_bytes(data[offset : offset + NAME_LENGTH_BYTES], "big")
    offset += NAME_LENGTH_BYTES
    value_length = int.from_bytes(data[offset : offset + VALUE_LENGTH_BYTES], "big")
    offset += VALUE_LENGTH_BYTES
    stored_checksum = data[offset : offset + CHECKSUM_BYTES]
    offset += CHECKSUM_BYTES
    if value_length > MAX_VALUE_BYTES or offset + name_length + value_length > len(data):
        return None
    name = data[offset : offset + name_length]
    value = data[offset + name_length : offset + name_length + value_length]
    return StoredRecord(name, value) if checksum(name, value) == stored_checksum else None


def scan(data: bytes) -> list[StoredRecord]:
    """Find all undamaged records in the data of a file, without its index.

    What a record contains is skipped, even if it looks like another record.
    """
    records: list[StoredRecord] = []
    offset = 0
    while offset < len(data):
        record = decode(data, offset)
        if record is None:
            offset += BLOCK_BYTES
            continue
        records.append(record)
        offset = next_block(offset + HEADER_BYTES + len(record.name) + len(record.value))
    return records


def next_block(offset: int) -> int:
    """The first offset from ``offset`` on at which a record may begin."""
    return -(-offset // BLOCK_BYTES) * BLOCK_BYTES


def count_copies(records: Iterable[tuple[bytes, bytes]]) -> dict[bytes, dict[bytes, int]]:
    """The number of copies of each value, by record name."""
    counts: dict[bytes, dict[bytes, int]] = {}
    for name, value in records:
        copies = counts.setdefault(name, {})
        copies[value] = copies.get(value, 0) + 1
    return counts
