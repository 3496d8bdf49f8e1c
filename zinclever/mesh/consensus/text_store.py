"""The texts that a replica can serve and build others from: the last few, as blocks that they share. Pure."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from .text_blocks import MAX_TEXT_BYTES, block_name, block_names, make_manifest, manifest_name, split_blocks

MAX_TEXTS = 64  # in a storm of changes a follower still requests a text that others have followed ...
TEXTS_AFTER_EVICTION = 48  # ... and so many stay when some are evicted
MAX_HELD_BYTES = 32 << 20  # of blocks from which on texts are evicted: texts that follow each other share most blocks
MIN_TEXTS = 2  # that stay in any case: the committed and the proposed one


class TextStore:
    """Holds at most :data:`MAX_TEXTS` texts, and the blocks of one transfer under way.

    The least recently used texts are evicted first.
    """

    def __init__(self) -> None:
        self.manifests: OrderedDict[bytes, bytes] = OrderedDict()
        """By the name of a text, least recently used first."""
        self.names: dict[bytes, bytes] = {}
        """The names of the texts by the digests of the texts."""
        self.blocks: dict[bytes, bytes] = {}
        self.held_bytes = 0
        """Size of the blocks together."""

    def add(self, text: bytes) -> bytes:
        """Hold a text; its name."""
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
        """The whole text; None where it isn't held."""
        manifest = self.manifests.get(name)
        if manifest is None:
            return None
        self.manifests.move_to_end(name)
        return b"".join(self.blocks[block] for block in block_names(manifest))

    def missing_blocks(self, manifest: bytes) -> list[bytes]:
        """The names of the blocks that are still to come, each once."""
        return [name for name in dict.fromkeys(block_names(manifest)) if name not in self.blocks]

    def add_block(self, data: bytes) -> None:
        """Hold a block. What comes for transfers that are abandoned is bounded, too."""
        name = block_name(data)
        if name in self.blocks:
            return
        if self.held_bytes + len(data) > MAX_HELD_BYTES + MAX_TEXT_BYTES:
            self.drop_unused_blocks()
        self.blocks[name] = data
        self.held_bytes += len(data)

    def complete(self, name: bytes, manifest: bytes) -> None:
        """All blocks of a text are held."""
        self.manifests[name] = manifest
        if len(self.manifests) > MAX_TEXTS:
            self.evict(TEXTS_AFTER_EVICTION)
        while self.held_bytes > MAX_HELD_BYTES and len(self.manifests) > MIN_TEXTS:
            self.evict(max(len(self.manifests) // 2, MIN_TEXTS))

    def evict(self, remaining: int) -> None:
        """Drop the least recently used texts until so many remain."""
        while len(self.manifests) > remaining:
            self.manifests.popitem(last=False)
        self.names = {key: name for key, name in self.names.items() if name in self.manifests}
        self.drop_unused_blocks()

    def drop_unused_blocks(self) -> None:
        """Drop the blocks of no text that is held."""
        used = {block for manifest in self.manifests.values() for block in block_names(manifest)}
        self.blocks = {name: block for name, block in self.blocks.items() if name in used}
        self.held_bytes = sum(len(block) for block in self.blocks.values())

    def find(self, name: bytes) -> bytes | None:
        """A block or manifest by its name; None where it isn't held."""
        if name in self.manifests:
            self.manifests.move_to_end(name)
            return self.manifests[name]
        return self.blocks.get(name)
