"""The texts that a member can hand out and build others from: the last few, as blocks that they share. Pure."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from .text_blocks import MOST_TEXT, cut, manifest_of, name_of_block, name_of_manifest, names_in

MOST_TEXTS = 64  # texts: in a storm of changes a follower still asks for one that others have followed ...
KEPT_TEXTS = 48  # ... and so many stay when some have to go
MOST_HELD = 32 << 20  # bytes of blocks from which on texts have to go: as many as follow each other share most blocks
LEAST_TEXTS = 2  # texts that stay in any case: what is committed, and what is proposed


class TextStore:
    """Holds at most :data:`MOST_TEXTS` texts, the least recently used goes first, and the blocks of one transfer under
    way."""

    def __init__(self) -> None:
        self.manifests: OrderedDict[bytes, bytes] = OrderedDict()
        """By the name of a text, least recently used first."""
        self.names: dict[bytes, bytes] = {}
        """The names of the texts by the digests of the texts."""
        self.blocks: dict[bytes, bytes] = {}
        self.held = 0
        """Bytes of the blocks."""

    def hold(self, text: bytes) -> bytes:
        """Keep a text; its name."""
        key = hashlib.blake2b(text, digest_size=16).digest()
        name = self.names.get(key)
        if name is None:
            blocks = cut(text)
            manifest = manifest_of(blocks)
            name = self.names[key] = name_of_manifest(manifest)
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
        return b"".join(self.blocks[block] for block in names_in(manifest))

    def lacking(self, manifest: bytes) -> list[bytes]:
        """The names of the blocks that are still to come, each once."""
        return [name for name in dict.fromkeys(names_in(manifest)) if name not in self.blocks]

    def add_block(self, data: bytes) -> None:
        """A block has come. What comes for transfers that are given up is bounded, too."""
        name = name_of_block(data)
        if name in self.blocks:
            return
        if self.held + len(data) > MOST_HELD + MOST_TEXT:
            self.forget_unused()
        self.blocks[name] = data
        self.held += len(data)

    def complete(self, name: bytes, manifest: bytes) -> None:
        """All blocks of a text are here."""
        self.manifests[name] = manifest
        if len(self.manifests) > MOST_TEXTS:
            self.forget_texts(KEPT_TEXTS)
        while self.held > MOST_HELD and len(self.manifests) > LEAST_TEXTS:
            self.forget_texts(max(len(self.manifests) // 2, LEAST_TEXTS))

    def forget_texts(self, left: int) -> None:
        """Let the least recently used go until so many are left."""
        while len(self.manifests) > left:
            self.manifests.popitem(last=False)
        self.names = {key: known for key, known in self.names.items() if known in self.manifests}
        self.forget_unused()

    def forget_unused(self) -> None:
        """Drop the blocks of no text that is held."""
        used = {block for manifest in self.manifests.values() for block in names_in(manifest)}
        self.blocks = {name: block for name, block in self.blocks.items() if name in used}
        self.held = sum(len(block) for block in self.blocks.values())

    def handed_out(self, name: bytes) -> bytes | None:
        """A block or manifest by its name."""
        if name in self.manifests:
            self.manifests.move_to_end(name)
            return self.manifests[name]
        return self.blocks.get(name)
