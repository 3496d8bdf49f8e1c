"""Configuration of a JSON-RPC service: framing, methods and limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .framing import Framing


class Method(NamedTuple):
    """The configuration of one method."""

    klass: int
    """Index of the method's request class in the settings."""
    key: tuple[str, ...] = ()
    """Reference tokens of the JSON Pointer into ``params`` that finds the deduplication key; empty if there is none."""


class Rules(NamedTuple):
    """The protocol settings of one service, from the operator file."""

    framing: Framing
    methods: Mapping[str, Method]
    """Methods and their aliases, by name."""
    default: int | None
    """Class of methods that are not listed; None if they are answered with error -32601."""
    max_text_bytes: int
    """Maximum size of one text from a client. A batch is one text."""
    max_clients: int
    """Maximum number of open client connections."""
