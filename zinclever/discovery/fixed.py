"""A list of endpoints that the operator file names."""

from __future__ import annotations

from collections.abc import Sequence

from ..core.protocol import Entry, OnList


class StaticEndpoints:
    """Keeps to the list that it was given, until it is given another."""

    def __init__(self, entries: Sequence[Entry], on_list: OnList) -> None:
        self.entries, self.on_list = entries, on_list

    def start(self) -> None:
        self.on_list("whole", self.entries)

    def replace(self, entries: Sequence[Entry]) -> None:
        """Another list holds from now on."""
        self.entries = entries
        self.on_list("whole", entries)

    def remembered(self) -> Sequence[Entry]:
        return self.entries

    def watch(self, on: bool) -> None:
        """There is nothing to be told."""

    def fetch(self) -> None:
        self.on_list("whole", self.entries)

    def stop(self) -> None: ...
