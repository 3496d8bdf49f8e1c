"""Calls as a tree of matchers: method, then the parts of the path, names captured on the way."""

from __future__ import annotations

from typing import Generic, TypeVar

H = TypeVar("H")


class Tree(Generic[H]):
    """What is done with a call, by its method and path. A part in braces matches any text and is captured."""

    def __init__(self) -> None:
        self.leaves: dict[str, H] = {}  # by method
        self.parts: dict[str, Tree[H]] = {}
        self.any: Tree[H] | None = None

    def add(self, call: str, handler: H) -> None:
        """``call``: as ``POST /v1/endpoints/{id}/departure``."""
        method, _, path = call.partition(" ")
        node = self
        for part in path.strip("/").split("/"):
            if part.startswith("{"):
                node.any = node.any or Tree()
                node = node.any
            else:
                node = node.parts.setdefault(part, Tree())
        node.leaves[method] = handler

    def find(self, method: str, path: str) -> tuple[H | None, list[str], bool]:
        """The handler, what was captured, and whether the path is known by other methods."""
        node: Tree[H] = self
        captured: list[str] = []
        for part in path.partition("?")[0].strip("/").split("/"):
            if part in node.parts:
                node = node.parts[part]
            elif node.any is not None and part:
                node = node.any
                captured.append(part)
            else:
                return None, [], False
        return node.leaves.get(method), captured, bool(node.leaves)
