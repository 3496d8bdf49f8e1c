"""A router of HTTP calls: a tree of path segments with handlers by method."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

HandlerT = TypeVar("HandlerT")


@dataclass(frozen=True, slots=True)
class RouteMatch(Generic[HandlerT]):
    """The result of a router's lookup."""

    handler: HandlerT | None = None
    path_parameters: list[str] = field(default_factory=list)
    """The values of the path's parameters, in order."""
    is_known_path: bool = False
    """The path has handlers, possibly only for other methods."""


class Router(Generic[HandlerT]):
    """A node of the tree. A segment in braces is a parameter and matches any text."""

    def __init__(self) -> None:
        self.handlers: dict[str, HandlerT] = {}
        """By method."""
        self.children: dict[str, Router[HandlerT]] = {}
        self.parameter_child: Router[HandlerT] | None = None

    def add(self, call: str, handler: HandlerT) -> None:
        """Add a handler for a call, such as ``POST /v1/endpoints/{id}/departure``."""
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
        """Look up the handler for a method and path."""
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
