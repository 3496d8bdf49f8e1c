"""What a service makes of the list of a large fleet: whom its module and its wire are told of."""

from __future__ import annotations

from collections.abc import Sequence

from .. import interface
from ..fleet.subset import Subset, SubsetSpec
from .protocol import Address, Entry

MINDED = 0.05  # price of crossing zones from which on home is preferred, as the decision module has it
EVERY = 2**31  # servers: all there are
NOWHERE: Address = ("", 0)  # of one that is gone


def shape_of(settings: interface.Settings) -> SubsetSpec:
    """What a subset has to hold under these settings."""
    minded = settings.prices.cross_zone >= MINDED
    return SubsetSpec(
        settings.shares.subset or EVERY,
        settings.me,
        settings.group_size,
        settings.zone if minded else None,
        settings.shares.connections if settings.shares.subset else 0.0,
        any(c.repeat == "deduplicated" and c.group == "cell" for c in settings.classes),
    )


class View:
    """The whole list, and the subset of it that is in use. Costs the width for each change, not the fleet."""

    def __init__(self, settings: interface.Settings) -> None:
        self.subset = Subset(shape_of(settings))
        self.addresses: dict[str, Address] = {}

    def __len__(self) -> int:
        """Endpoints in all that may be sent to."""
        return len(self.subset.home) + len(self.subset.away)

    def news(self, now: float, kind: interface.ListKind, entries: Sequence[Entry]) -> list[Entry]:
        """What of the news the module and the wire are to hear, in the same kind."""
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
        return self.moved(now)

    def moved(self, now: float) -> list[Entry]:
        """The whole subset, with what has come of load and failures since."""
        self.subset.changes(now)
        return [self.entry(x) for x in self.subset.members.values()]

    def entry(self, x: interface.ListedEndpoint) -> Entry:
        return x, self.addresses.get(x.endpoint, NOWHERE)
