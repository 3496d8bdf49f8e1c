"""Calls as a tree of matchers: method, then the parts of the path, names captured on the way."""

from __future__ import annotations

from typing import Generic, TypeVar

H = TypeVar("H")


class Router(Generic[H]):
    """What is done with a call, by its method and path. A part in braces matches any text and is captured."""

    def __init__(self) -> None:
        self.handlers: dict[str, H] = {}  # by method
        self.children: dict[str, Router[H]] = {}
        self.parameter_child: Router[H] | None = None

    def add(self, call: str, handler: H) -> None:
        """``call``: as ``POST /v1/endpoints/{id}/departure``."""
        method, _, path = call.partition(" ")
        node = self
        for part in path.strip("/").split("/"):
            if part.startswith("{"):
                node.parameter_child = node.parameter_child or Router()
                node = node.parameter_child
            else:
                node = node.children.setdefault(part, Router())
        node.handlers[method] = handler

    def find(self, method: str, path: str) -> tuple[H | None, list[str], bool]:
        """The handler, what was captured, and whether the path is known by other methods."""
        node: Router[H] = self
        captured: list[str] = []
        for part in path.partition("?")[0].strip("/").split("/"):
            if part in node.children:
                node = node.children[part]
            elif node.parameter_child is not None and part:
                node = node.parameter_child
                captured.append(part)
            else:
                return None, [], False
        return node.handlers.get(method), captured, bool(node.handlers)
