"""A static list of endpoints from the operator file."""

from __future__ import annotations

from collections.abc import Sequence

from ..core.protocol import Entry, OnList


class StaticEndpoints:
    """A source with a static list of endpoints; see :class:`~zinclever.core.protocol.Source`."""

    def __init__(self, entries: Sequence[Entry], on_list: OnList) -> None:
        self.entries, self.on_list = entries, on_list

    def start(self) -> None:
        """Reports the list."""
        self.on_list("whole", self.entries)

    def replace(self, entries: Sequence[Entry]) -> None:
        """Replaces the list and reports the new one."""
        self.entries = entries
        self.on_list("whole", entries)

    def remembered(self) -> Sequence[Entry]:
        """Returns the list."""
        return self.entries

    def watch(self, on: bool) -> None:
        """Does nothing: the list doesn't change by itself."""

    def fetch(self) -> None:
        """Reports the list again."""
        self.on_list("whole", self.entries)

    def stop(self) -> None:
        """Does nothing."""
