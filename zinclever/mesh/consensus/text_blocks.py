"""A configuration's text as blocks that are named by their digests. Pure.

Blocks end behind items of the text that are chosen by their own content, so that a change of a few routes leaves nearly
all blocks as they were, wherever in the text it is made. The list of a text's blocks is its manifest; the digest of the
manifest names the text.
"""

from __future__ import annotations

import hashlib
import zlib

ITEM_END = b'},"'  # what an item of a configuration's text ends with, and how the next one begins
ITEM_END_KEPT = 2  # bytes of ITEM_END that belong to the item before
BOUNDARY_MASK = 63  # one item in 64 ends a block
MAX_BLOCK_BYTES = 16 << 10
DIGEST_BYTES = 16
MAX_MANIFEST_BYTES = DIGEST_BYTES << 16
MAX_TEXT_BYTES = 24 << 20  # as in a frame of a connection
COMPRESSION_LEVEL = 1  # of zlib: the fastest


def digest_of(data: bytes, purpose: bytes) -> bytes:
    """The digest of a block or of a manifest; those of the same bytes differ by purpose."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, person=purpose).digest()


def block_name(data: bytes) -> bytes:
    """The name of a block."""
    return digest_of(data, b"block")


def manifest_name(manifest: bytes) -> bytes:
    """The name of a manifest, and of its text."""
    return digest_of(manifest, b"manifest")


def split_blocks(text: bytes) -> list[bytes]:
    """The blocks of a text, in order."""
    blocks: list[bytes] = []
    block_start = item_start = 0
    while (item_end := text.find(ITEM_END, item_start)) >= 0:
        item_end += ITEM_END_KEPT
        is_boundary = zlib.crc32(text[item_start:item_end]) & BOUNDARY_MASK == 0
        if is_boundary or item_end - block_start >= MAX_BLOCK_BYTES:
            blocks += slices(text[block_start:item_end])
            block_start = item_end
        item_start = item_end
    if block_start < len(text):
        blocks += slices(text[block_start:])
    return blocks


def slices(data: bytes) -> list[bytes]:
    """Data in pieces of at most :data:`MAX_BLOCK_BYTES`."""
    return [data[start : start + MAX_BLOCK_BYTES] for start in range(0, len(data), MAX_BLOCK_BYTES)]


def make_manifest(blocks: list[bytes]) -> bytes:
    """The manifest of a text: the names of its blocks, in order."""
    return b"".join(block_name(block) for block in blocks)


def block_names(manifest: bytes) -> list[bytes]:
    """The names of the blocks of a text, in order."""
    return [manifest[start : start + DIGEST_BYTES] for start in range(0, len(manifest), DIGEST_BYTES)]


def compress(data: bytes) -> bytes:
    """Data compressed by zlib."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(compressed: bytes, max_bytes: int) -> bytes | None:
    """The data; None where it is damaged or longer than ``max_bytes``."""
    engine = zlib.decompressobj()
    try:
        data = engine.decompress(compressed, max_bytes)
    except zlib.error:
        return None
    return data if engine.eof else None
