"""Random days of the simulated cluster with real files: power fails within saves, and tears what is not synced."""

from __future__ import annotations

import asyncio
import random
import unittest
from pathlib import Path

from mesh.cases import params
from mesh.cluster import state_folder
from mesh.recorded_disk import DiskRecord, PowerFailure, RecordedDisk, write_files
from zinclever.mesh.consensus.messages import Persist
from zinclever.mesh.consensus.replica_store import ReplicaStore
from zinclever.mesh.model.members import Machine, World

MACHINES = 3
ROUNDS = 12
MAX_OPERATIONS = 120  # of the saves after which the power fails, at most
OUTAGES = (0.01, 0.5, 2.0)  # s


class FileDisk:
    """The files of one machine, with the record of what is durable."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir()
        self.disk = RecordedDisk(folder, DiskRecord())
        self.store = self.open()

    def open(self) -> ReplicaStore:
        with self.disk.recording():
            store = ReplicaStore(self.disk.folder)
            store.load()
        return store

    def write(self, action: Persist, is_marked: bool) -> None:
        """Carry out a save. Raises PowerFailure if the power fails in it."""
        with self.disk.recording():
            self.store.write(action)
            if is_marked:
                self.store.mark()

    def lose_power(self, rng: random.Random) -> None:
        """Leave what a power failure leaves, and load it."""
        record = self.disk.observer
        assert isinstance(record, DiskRecord)
        contents = record.draw_power_failure(rng)
        write_files(self.disk.folder, contents)
        self.disk = RecordedDisk(self.disk.folder, DiskRecord(contents))
        self.store.close()
        self.store = self.open()


class WorldOnFiles(World):
    """The simulated cluster; each machine loads after a kill what a power failure has left in its files."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.folder = folder
        self.files: dict[str, FileDisk] = {}
        self.torn_rng = random.Random(f"torn {seed}")
        super().__init__(seed, MACHINES)

    def add(self, ip: str, bootstrap: bool = False) -> None:
        super().add(ip, bootstrap)
        self.set_up_files(ip)

    def set_up_files(self, ip: str) -> None:
        """Give a machine an empty disk with files, whose ID the simulated disk takes over."""
        self.files[ip] = FileDisk(self.folder / f"{ip}-{self.disk_count}")
        self.machines[ip].disk.name = self.files[ip].store.disk
        self.start(ip)

    def write(self, m: Machine, action: Persist) -> None:
        self.files[m.ip].write(action, is_marked=self.torn_rng.random() < 0.7)
        super().write(m, action)

    def kill(self, ip: str, keep_some_writes: bool = True) -> None:
        """Let the power fail, in the middle of a save if one is pending."""
        m, files = self.machines[ip], self.files[ip]
        files.disk.fails_at = files.disk.operations + self.torn_rng.randrange(MAX_OPERATIONS)
        try:
            while m.pending_persists:
                files.write(m.pending_persists.pop(0), is_marked=self.torn_rng.random() < 0.7)
        except PowerFailure:
            pass
        super().kill(ip, keep_some_writes=False)
        files.lose_power(self.torn_rng)
        assert files.store.disk == m.disk.name, "durable state was taken for lost"
        m.disk.vote, m.disk.accepted = files.store.vote, files.store.entry

    def wipe(self, ip: str) -> None:
        super().wipe(ip)
        self.set_up_files(ip)
        super().kill(ip, keep_some_writes=False)

    def close(self) -> None:
        for files in self.files.values():
            files.store.close()


class PowerFailures(unittest.TestCase):
    def setUp(self) -> None:
        folder = state_folder()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    # Guards against review/5: the order of events in which durable votes and entries were forgotten or taken for lost.
    @params(*range(1, 9))
    def test_acknowledged_changes_survive(self, seed: int) -> None:
        """Some or all machines lose power right after an acknowledgement; at times one of them loses its disk, too."""

        async def test() -> None:  # the storage is created within an event loop
            self.play(seed)

        asyncio.run(test())

    def play(self, seed: int) -> None:
        rng = random.Random(seed)
        world = WorldOnFiles(seed, self.folder)
        self.addCleanup(world.close)
        world.run(3.0)
        for generation in range(1, ROUNDS + 1):
            self.change(world, generation)
            world.run(rng.choice((0.0, 0.01, 0.05)))
            victims = rng.sample(list(world.machines), rng.choice((1, 2, MACHINES, MACHINES)))
            for ip in victims:
                world.kill(ip)
            if rng.random() < 0.3:
                world.wipe(rng.choice(victims))
            world.run(rng.choice(OUTAGES))
            world.quiet(8.0)  # longer than a lost disk takes to catch up
            world.assert_acknowledged_kept()
            world.assert_one_change_per_base()
            self.assertTrue(any(world.reads(ip) for ip in world.machines), f"no leader after change {generation}")

    def change(self, world: WorldOnFiles, generation: int) -> None:
        """Request a change of all machines until it is acknowledged."""
        until = world.now + 10.0
        while generation not in world.acked and world.now < until:
            for ip in world.machines:
                world.put(ip, generation - 1, generation)
            world.run(0.2)
        self.assertIn(generation, world.acked)


if __name__ == "__main__":
    unittest.main()
