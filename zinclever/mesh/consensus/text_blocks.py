"""Content-defined chunking of configuration texts into blocks named by their digests. No I/O.

Block boundaries depend on the content of the item before them, so that a change of a few routes leaves nearly all
blocks unchanged, even if items are inserted or removed. The manifest of a text lists the names of its blocks; the
digest of the manifest is the name of the text.
"""

from __future__ import annotations

import hashlib
import zlib

ITEM_END = b'},"'  # the end of an item in the JSON text, and the beginning of the next one
ITEM_END_KEPT = 2  # bytes of ITEM_END that belong to the item that ends
BOUNDARY_MASK = 63  # on average, one item in 64 ends a block
MAX_BLOCK_BYTES = 16 << 10
DIGEST_BYTES = 16
MAX_MANIFEST_BYTES = DIGEST_BYTES << 16
MAX_TEXT_BYTES = 24 << 20  # matches the maximum frame size of a connection
COMPRESSION_LEVEL = 1  # fastest zlib level


def named_digest(data: bytes, purpose: bytes) -> bytes:
    """The digest of a block or manifest; ``purpose`` makes the two kinds differ for the same bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES, person=purpose).digest()


def block_name(data: bytes) -> bytes:
    """The name of a block."""
    return named_digest(data, b"block")


def manifest_name(manifest: bytes) -> bytes:
    """The name of a manifest, which is also the name of its text."""
    return named_digest(manifest, b"manifest")


def split_blocks(text: bytes) -> list[bytes]:
    """The blocks of a text, in order."""
    blocks: list[bytes] = []
    block_start = item_start = 0
    while (item_end := text.find(ITEM_END, item_start)) >= 0:
        item_end += ITEM_END_KEPT
        is_boundary = zlib.crc32(text[item_start:item_end]) & BOUNDARY_MASK == 0
        if is_boundary or item_end - block_start >= MAX_BLOCK_BYTES:
            blocks += fixed_size_slices(text[block_start:item_end])
            block_start = item_end
        item_start = item_end
    if block_start < len(text):
        blocks += fixed_size_slices(text[block_start:])
    return blocks


def fixed_size_slices(data: bytes) -> list[bytes]:
    """Split data into pieces of at most :data:`MAX_BLOCK_BYTES`."""
    return [data[start : start + MAX_BLOCK_BYTES] for start in range(0, len(data), MAX_BLOCK_BYTES)]


def make_manifest(blocks: list[bytes]) -> bytes:
    """The manifest of a text: the names of its blocks, in order."""
    return b"".join(block_name(block) for block in blocks)


def block_names(manifest: bytes) -> list[bytes]:
    """The block names in a manifest, in order."""
    return [manifest[start : start + DIGEST_BYTES] for start in range(0, len(manifest), DIGEST_BYTES)]


def compress(data: bytes) -> bytes:
    """Compress data with zlib."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(compressed: bytes, max_bytes: int) -> bytes | None:
    """Decompress data; None if it is damaged or longer than ``max_bytes``."""
    engine = zlib.decompressobj()
    try:
        data = engine.decompress(compressed, max_bytes)
    except zlib.error:
        return None
    return data if engine.eof else None
