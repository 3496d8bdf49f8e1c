"""The scene's network with relays under it: a cut, or a machine that vanishes, closes directions of links."""

from __future__ import annotations

from ..simnet.network import Machine, Network, Path
from ..simnet.scheduler import Scheduler
from .links import Link, Way


class RealMachine(Machine):
    """An address of the loopback network."""

    network: RealNetwork

    def vanish(self) -> None:
        super().vanish()
        self.network.changed()

    def come_back(self, rebooted: bool = True) -> None:
        self.up = True
        self.network.changed()


class RealNetwork(Network):
    """Knows a link for each pair of machines that speak."""

    def __init__(self, seed: int, path: Path) -> None:
        super().__init__(Scheduler(), seed, path)  # no event of it ever happens: nothing here is simulated
        self.seed = seed
        self.links: dict[tuple[str, str, int], Link] = {}

    def machine(self, name: str, address: str, zone: str = "") -> RealMachine:
        if address in self.machines:
            raise ValueError(f"{address} is {self.machines[address].name}'s already")
        made = RealMachine(self, name, address, zone)
        self.machines[address] = made
        return made

    def link(self, source: Machine, target: Machine, port: int) -> Link:
        """The way from a machine to a port of another one; made when it is first asked for."""
        key = source.address, target.address, port
        if key not in self.links:
            made = self.links[key] = Link(
                source.address, (target.address, port), self.direction(source, target), self.direction(target, source)
            )
            made.set(self.open(source, target), self.open(target, source))
        return self.links[key]

    def direction(self, source: Machine, target: Machine) -> Way:
        path = self.way(source, target)
        return Way(path.latency, path.jitter, f"{self.seed}/{source.address}/{target.address}")

    def cut(self, source: str, target: str) -> None:
        super().cut(source, target)
        self.changed()

    def heal(self, source: str, target: str) -> None:
        super().heal(source, target)
        self.changed()

    def changed(self) -> None:
        """Let each link be as its ends are."""
        for (source, target, _), link in self.links.items():
            one, other = self.machines[source], self.machines[target]
            link.set(self.open(one, other), self.open(other, one))

    def close(self) -> None:
        for link in self.links.values():
            link.close()
