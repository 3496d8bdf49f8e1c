"""Copies of replicas for the explorer. What is never changed in place is shared between them."""

from __future__ import annotations

from collections import deque
from enum import Enum
from types import MethodType
from typing import Any, TypeVar

from google.protobuf.message import Message

from ..transport.mesh_pb2 import ConsensusMessage

T = TypeVar("T")


def clone(value: T) -> T:
    """A copy whose changes don't show in the original. Log entries and voters are shared: replicas replace them and
    never change them. Messages are copied, since a replica completes those that wait for its disk."""
    copied: T = clone_any(value, {})
    return copied


def clone_any(value: Any, known: dict[int, Any]) -> Any:
    kind = type(value)
    if kind is dict:
        return {k: clone_any(v, known) for k, v in value.items()}
    if kind in (list, deque):
        return kind(clone_any(v, known) for v in value)
    if kind is set:
        return set(value)
    if isinstance(value, tuple):
        return kind._make(clone_any(v, known) for v in value) if hasattr(kind, "_make") else value
    if kind is ConsensusMessage:
        message = ConsensusMessage()
        message.CopyFrom(value)
        return message
    if kind is MethodType:
        return MethodType(value.__func__, clone_any(value.__self__, known))
    if isinstance(value, Enum | Message) or not hasattr(value, "__dict__"):
        return value
    return clone_object(value, known)


def clone_object(value: Any, known: dict[int, Any]) -> Any:
    if id(value) not in known:
        known[id(value)] = made = object.__new__(type(value))
        made.__dict__ = {name: clone_any(v, known) for name, v in vars(value).items()}
    return known[id(value)]
