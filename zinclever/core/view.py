"""The part of a large endpoint list that one instance uses."""

from __future__ import annotations

from collections.abc import Sequence

from .. import interface
from ..fleet.subset import Subset, SubsetSpec
from .protocol import Address, Entry

ZONE_PRICE_THRESHOLD = 0.05  # cross-zone price from which on the home zone is preferred, as in the policy package
ALL_SERVERS = 2**31  # a subset size that no list exceeds
NO_ADDRESS: Address = ("", 0)  # placeholder for an endpoint that has been removed


def shape_of(settings: interface.Settings) -> SubsetSpec:
    """Returns the requirements on a subset under these settings."""
    prefers_home = settings.prices.cross_zone >= ZONE_PRICE_THRESHOLD
    return SubsetSpec(
        settings.shares.subset or ALL_SERVERS,
        settings.me,
        settings.group_size,
        settings.zone if prefers_home else None,
        settings.shares.connections if settings.shares.subset else 0.0,
        any(c.repeat == "deduplicated" and c.group == "cell" for c in settings.classes),
    )


class View:
    """The full endpoint list and the subset in use.

    A change costs time in proportion to the size of the subset, not of the list.
    """

    def __init__(self, settings: interface.Settings) -> None:
        self.subset = Subset(shape_of(settings))
        self.addresses: dict[str, Address] = {}

    def __len__(self) -> int:
        """Number of ready endpoints in the full list."""
        return len(self.subset.home) + len(self.subset.away)

    def update(self, now: float, kind: interface.ListKind, entries: Sequence[Entry]) -> list[Entry]:
        """Applies an update of the list and returns its effect on the subset, as an update of the same kind."""
        if kind == "refused":
            return []
        listed = [x for x, _ in entries]
        if kind == "changes":
            self.subset.apply_changes(listed)
        else:
            self.addresses.clear()
            self.subset.replace_list(listed)
        for x, address in entries:
            if x.phase == "ready":
                self.addresses[x.endpoint] = address
            else:
                self.addresses.pop(x.endpoint, None)
        if kind == "changes":
            return [self.entry(x) for x in self.subset.changes(now)]
        return self.snapshot(now)

    def snapshot(self, now: float) -> list[Entry]:
        """Returns the full subset, after applying changes due to load and failures."""
        self.subset.changes(now)
        return [self.entry(x) for x in self.subset.members.values()]

    def entry(self, x: interface.ListedEndpoint) -> Entry:
        """Returns an endpoint with its address."""
        return x, self.addresses.get(x.endpoint, NO_ADDRESS)
