"""Records as they lie in a file: each bears its own length and checksum and is there twice. Pure.

So what was half written is told from what has been damaged since, a damaged copy is mended from the other one, and a
file can be read without its index, which is what ``dbm.dumb`` keeps least safe. Source: Protocol-Aware Recovery
(Alagappan and others, 2018).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

MAGIC = b"WAX2"
COPIES = 2
BLOCK = 512  # bytes: what ``dbm.dumb`` begins each value at
SUM = 16  # bytes of a checksum
HEAD = len(MAGIC) + 2 + 8 + SUM  # magic, length of the name, length of the value, checksum
MOST_VALUE = 1 << 32


def checksum(name: bytes, value: bytes) -> bytes:
    made = hashlib.blake2b(len(name).to_bytes(2, "big"), digest_size=SUM)
    made.update(name)
    made.update(value)
    return made.digest()


def pack(records: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """By the keys of the file: each record as many times as there are copies."""
    made = {
        name: b"%b%b%b%b%b%b"
        % (MAGIC, len(name).to_bytes(2, "big"), len(value).to_bytes(8, "big"), checksum(name, value), name, value)
        for name, value in records.items()
    }
    return {b"%d %b" % (copy, name): value for copy in range(COPIES) for name, value in made.items()}


def unpack(text: bytes, at: int = 0) -> tuple[bytes, bytes] | None:
    """The record that lies there whole and sound; None for anything else."""
    if text[at : at + len(MAGIC)] != MAGIC or len(text) - at < HEAD:
        return None
    at += len(MAGIC)
    named, long = int.from_bytes(text[at : at + 2], "big"), int.from_bytes(text[at + 2 : at + 10], "big")
    told, at = text[at + 10 : at + 10 + SUM], at + 10 + SUM
    if long > MOST_VALUE or at + named + long > len(text):
        return None
    name, value = text[at : at + named], text[at + named : at + named + long]
    return (name, value) if checksum(name, value) == told else None


def scan(text: bytes) -> list[tuple[bytes, bytes]]:
    """Every sound record of a file, read without its index."""
    found = (unpack(text, at) for at in range(0, len(text), BLOCK))
    return [f for f in found if f is not None]


def count(found: Iterable[tuple[bytes, bytes]]) -> dict[bytes, dict[bytes, int]]:
    """By name: the values that were found, and how many copies of each."""
    told: dict[bytes, dict[bytes, int]] = {}
    for name, value in found:
        copies = told.setdefault(name, {})
        copies[value] = copies.get(value, 0) + 1
    return told
