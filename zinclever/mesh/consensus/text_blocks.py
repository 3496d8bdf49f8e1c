"""A configuration's text as blocks that are named by their digests. Pure.

Blocks end behind items of the text that are chosen by their own content, so that a change of a few routes leaves nearly
all blocks as they were, wherever in the text it is made. The list of a text's blocks is its manifest; the digest of the
manifest names the text.
"""

from __future__ import annotations

import hashlib
import zlib

ITEM_END = b'},"'  # what an item of a configuration's text ends with, and how the next one begins
ITEM_KEPT = 2  # bytes of ITEM_END that belong to the item before
BOUNDARY_MASK = 63  # one item in 64 ends a block
MOST_BLOCK = 16 << 10  # bytes of a block
DIGEST = 16  # bytes
MOST_MANIFEST = DIGEST << 16  # bytes
MOST_TEXT = 24 << 20  # bytes: as in a frame of a link
PACK_LEVEL = 1  # of zlib: the fastest


def digest_of(data: bytes, what: bytes) -> bytes:
    """The name of a block or of a manifest, by ``what`` it is."""
    return hashlib.blake2b(data, digest_size=DIGEST, person=what).digest()


def name_of_block(data: bytes) -> bytes:
    return digest_of(data, b"block")


def name_of_manifest(manifest: bytes) -> bytes:
    return digest_of(manifest, b"manifest")


def cut(text: bytes) -> list[bytes]:
    """The blocks of a text, in order."""
    blocks: list[bytes] = []
    start = at = 0
    while (end := text.find(ITEM_END, at)) >= 0:
        end += ITEM_KEPT
        if zlib.crc32(text[at:end]) & BOUNDARY_MASK == 0 or end - start >= MOST_BLOCK:
            blocks += slices(text[start:end])
            start = end
        at = end
    if start < len(text):
        blocks += slices(text[start:])
    return blocks


def slices(data: bytes) -> list[bytes]:
    return [data[at : at + MOST_BLOCK] for at in range(0, len(data), MOST_BLOCK)]


def manifest_of(blocks: list[bytes]) -> bytes:
    return b"".join(name_of_block(block) for block in blocks)


def names_in(manifest: bytes) -> list[bytes]:
    return [manifest[at : at + DIGEST] for at in range(0, len(manifest), DIGEST)]


def pack(data: bytes) -> bytes:
    return zlib.compress(data, PACK_LEVEL)


def unpack(packed: bytes, most: int) -> bytes | None:
    """What was packed; None where it is damaged or longer than ``most`` bytes."""
    engine = zlib.decompressobj()
    try:
        data = engine.decompress(packed, most)
    except zlib.error:
        return None
    return data if engine.eof else None
