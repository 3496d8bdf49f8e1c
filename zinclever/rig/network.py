"""The network of a run on real processes. Cuts and vanished machines block directions of the relays."""

from __future__ import annotations

from ..simnet.network import Machine, Network, Path
from ..simnet.scheduler import Scheduler
from .links import Direction, Link


class RealMachine(Machine):
    """A machine, represented by an address of the loopback network."""

    network: RealNetwork

    def vanish(self) -> None:
        """Cuts the machine off from the network."""
        super().vanish()
        self.network.update_links()

    def come_back(self, rebooted: bool = True) -> None:
        """Connects the machine to the network again."""
        self.up = True
        self.network.update_links()


class RealNetwork(Network):
    """Holds one link for each source machine, target machine and port that communicate."""

    def __init__(self, seed: int, path: Path) -> None:
        super().__init__(Scheduler(), seed, path)  # the scheduler is never run: nothing here is simulated
        self.seed = seed
        self.links: dict[tuple[str, str, int], Link] = {}

    def machine(self, name: str, address: str, zone: str = "") -> RealMachine:
        """Adds a machine. Raises ValueError if the address is in use."""
        if address in self.machines:
            raise ValueError(f"{address} is already used by {self.machines[address].name}")
        new_machine = RealMachine(self, name, address, zone)
        self.machines[address] = new_machine
        return new_machine

    def link(self, source: Machine, target: Machine, port: int) -> Link:
        """Returns the link from a machine to a port of another one, created on first use."""
        key = source.address, target.address, port
        if key not in self.links:
            new_link = self.links[key] = Link(
                source.address, (target.address, port), self.direction(source, target), self.direction(target, source)
            )
            new_link.set_open(self.open(source, target), self.open(target, source))
        return self.links[key]

    def direction(self, source: Machine, target: Machine) -> Direction:
        """Returns one direction between two machines, with the latency and jitter of their path."""
        path = self.way(source, target)
        return Direction(path.latency, path.jitter, f"{self.seed}/{source.address}/{target.address}")

    def cut(self, source: str, target: str) -> None:
        """Blocks a direction between two machines or zones."""
        super().cut(source, target)
        self.update_links()

    def heal(self, source: str, target: str) -> None:
        """Removes a cut."""
        super().heal(source, target)
        self.update_links()

    def update_links(self) -> None:
        """Opens or blocks each link according to its machines and the cuts."""
        for (source, target, _), link in self.links.items():
            source_machine, target_machine = self.machines[source], self.machines[target]
            link.set_open(self.open(source_machine, target_machine), self.open(target_machine, source_machine))

    def close(self) -> None:
        """Closes all links."""
        for link in self.links.values():
            link.close()
