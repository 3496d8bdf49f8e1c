"""Which class each method of a service is of."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .framing import Framing


class Method(NamedTuple):
    """What the operator file says of a method."""

    klass: int
    key: tuple[str, ...] = ()
    """A JSON Pointer into params; empty: none."""


class Rules(NamedTuple):
    """The names of one service, as its operator file has them."""

    framing: Framing
    methods: Mapping[str, Method]
    default: int | None
    """The class of methods that are not listed; None: they are answered -32601."""
    most_text: int
    """Bytes of one text, a whole batch among them."""
    max_clients: int
    """Connections at once."""
