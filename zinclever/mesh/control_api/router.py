"""A router of calls: a tree of path segments with handlers by method."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

HandlerT = TypeVar("HandlerT")


@dataclass(frozen=True, slots=True)
class RouteMatch(Generic[HandlerT]):
    """What the router finds for a call."""

    handler: HandlerT | None = None
    path_parameters: list[str] = field(default_factory=list)
    """The segments that stand for parameters, in order."""
    is_known_path: bool = False
    """The path has handlers, perhaps for other methods only."""


class Router(Generic[HandlerT]):
    """A node of the tree. A segment in braces is a parameter and matches any text."""

    def __init__(self) -> None:
        self.handlers: dict[str, HandlerT] = {}
        """By method."""
        self.children: dict[str, Router[HandlerT]] = {}
        self.parameter_child: Router[HandlerT] | None = None

    def add(self, call: str, handler: HandlerT) -> None:
        """Add a handler; ``call``: as ``POST /v1/endpoints/{id}/departure``."""
        method, _, path = call.partition(" ")
        node = self
        for segment in path.strip("/").split("/"):
            if segment.startswith("{"):
                node.parameter_child = node.parameter_child or Router()
                node = node.parameter_child
            else:
                node = node.children.setdefault(segment, Router())
        node.handlers[method] = handler

    def find(self, method: str, path: str) -> RouteMatch[HandlerT]:
        """The handler of a call."""
        node: Router[HandlerT] = self
        path_parameters: list[str] = []
        for segment in path.partition("?")[0].strip("/").split("/"):
            if segment in node.children:
                node = node.children[segment]
            elif node.parameter_child is not None and segment:
                node = node.parameter_child
                path_parameters.append(segment)
            else:
                return RouteMatch()
        return RouteMatch(node.handlers.get(method), path_parameters, bool(node.handlers))
