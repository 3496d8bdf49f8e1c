"""Cache of recent configuration texts, stored as shared blocks. No I/O."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from .text_blocks import MAX_TEXT_BYTES, block_name, block_names, make_manifest, manifest_name, split_blocks

MAX_TEXTS = 64  # cached texts; under a high rate of changes, a follower may still request a superseded one
TEXTS_AFTER_EVICTION = 48  # texts that remain when MAX_TEXTS is exceeded
MAX_HELD_BYTES = 32 << 20  # total size of blocks above which texts are evicted; successive texts share most blocks
MIN_TEXTS = 2  # never evicted: the committed and the proposed text


class TextStore:
    """An LRU cache of at most :data:`MAX_TEXTS` texts, which also holds the blocks of a transfer in progress.

    A replica serves blocks from it to others, and builds new texts from blocks that it already has.
    """

    def __init__(self) -> None:
        self.manifests: OrderedDict[bytes, bytes] = OrderedDict()
        """By name of the text, least recently used first."""
        self.names: dict[bytes, bytes] = {}
        """Names of the texts, by digest of the whole text; avoids splitting a known text again."""
        self.blocks: dict[bytes, bytes] = {}
        """By block name."""
        self.held_bytes = 0
        """Total size of the blocks."""

    def add(self, text: bytes) -> bytes:
        """Add a text and return its name."""
        key = hashlib.blake2b(text, digest_size=16).digest()
        name = self.names.get(key)
        if name is None:
            blocks = split_blocks(text)
            manifest = make_manifest(blocks)
            name = self.names[key] = manifest_name(manifest)
            for block in blocks:
                self.add_block(block)
            self.complete(name, manifest)
        self.manifests.move_to_end(name)
        return name

    def text(self, name: bytes) -> bytes | None:
        """A text by its name; None if it isn't cached."""
        manifest = self.manifests.get(name)
        if manifest is None:
            return None
        self.manifests.move_to_end(name)
        return b"".join(self.blocks[block] for block in block_names(manifest))

    def missing_blocks(self, manifest: bytes) -> list[bytes]:
        """The names of the blocks in a manifest that aren't cached, without duplicates."""
        return [name for name in dict.fromkeys(block_names(manifest)) if name not in self.blocks]

    def add_block(self, data: bytes) -> None:
        """Add a block. If the size limit is reached, drop the blocks of incomplete texts first.

        These include blocks of a transfer in progress, which are then requested again.
        """
        name = block_name(data)
        if name in self.blocks:
            return
        if self.held_bytes + len(data) > MAX_HELD_BYTES + MAX_TEXT_BYTES:
            self.drop_unused_blocks()
        self.blocks[name] = data
        self.held_bytes += len(data)

    def complete(self, name: bytes, manifest: bytes) -> None:
        """Register a text whose blocks are all cached, and evict older texts beyond the limits."""
        self.manifests[name] = manifest
        if len(self.manifests) > MAX_TEXTS:
            self.evict(TEXTS_AFTER_EVICTION)
        while self.held_bytes > MAX_HELD_BYTES and len(self.manifests) > MIN_TEXTS:
            self.evict(max(len(self.manifests) // 2, MIN_TEXTS))

    def evict(self, remaining: int) -> None:
        """Drop the least recently used texts until ``remaining`` are left."""
        while len(self.manifests) > remaining:
            self.manifests.popitem(last=False)
        self.names = {key: name for key, name in self.names.items() if name in self.manifests}
        self.drop_unused_blocks()

    def drop_unused_blocks(self) -> None:
        """Drop the blocks that belong to no cached text."""
        used = {block for manifest in self.manifests.values() for block in block_names(manifest)}
        self.blocks = {name: block for name, block in self.blocks.items() if name in used}
        self.held_bytes = sum(len(block) for block in self.blocks.values())

    def find(self, name: bytes) -> bytes | None:
        """A manifest or block by its name; None if it isn't cached."""
        if name in self.manifests:
            self.manifests.move_to_end(name)
            return self.manifests[name]
        return self.blocks.get(name)
