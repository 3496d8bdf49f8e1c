"""Copies replicas for the model checker. Objects that are never changed in place are shared between the copies."""

from __future__ import annotations

from collections import deque
from enum import Enum
from types import MethodType
from typing import Any, TypeVar

from google.protobuf.message import Message

from ..transport.mesh_pb2 import ConsensusMessage

T = TypeVar("T")


def clone(value: T) -> T:
    """Return a copy that can be changed without affecting the original.

    Log entries and voters are shared, because replicas replace them and never change them in place. Consensus messages
    are copied, because a replica fills in those that wait for its disk.
    """
    copied: T = clone_any(value, {})
    return copied


def clone_any(value: Any, memo: dict[int, Any]) -> Any:
    """Copy a value of any type; ``memo`` maps the ids of objects already copied to their copies."""
    value_type = type(value)
    if value_type is dict:
        return {k: clone_any(v, memo) for k, v in value.items()}
    if value_type in (list, deque):
        return value_type(clone_any(v, memo) for v in value)
    if value_type is set:
        return set(value)
    if isinstance(value, tuple):
        return value_type._make(clone_any(v, memo) for v in value) if hasattr(value_type, "_make") else value
    if value_type is ConsensusMessage:
        message = ConsensusMessage()
        message.CopyFrom(value)
        return message
    if value_type is MethodType:
        return MethodType(value.__func__, clone_any(value.__self__, memo))
    if isinstance(value, Enum | Message) or not hasattr(value, "__dict__"):
        return value
    return clone_object(value, memo)


def clone_object(value: Any, memo: dict[int, Any]) -> Any:
    """Copy an object and its attributes; references to one object stay references to one copy."""
    if id(value) not in memo:
        memo[id(value)] = copied = object.__new__(type(value))
        copied.__dict__ = {name: clone_any(v, memo) for name, v in vars(value).items()}
    return memo[id(value)]
