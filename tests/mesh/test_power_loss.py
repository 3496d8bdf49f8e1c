"""Power failures on the real files of the storage: every unsynced write absent, present, or torn at any byte."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

from mesh.recorded_disk import DiskRecord, PowerFailure, RecordedDisk, Write, absent, present, write_files
from zinclever.mesh.consensus.messages import Persist, Vote
from zinclever.mesh.consensus.replica_store import ReplicaStore
from zinclever.mesh.storage.generation_file import GenerationFile
from zinclever.mesh.transport.mesh_pb2 import LogEntry


def torn_anywhere(record: DiskRecord, writes: list[Write]) -> Iterator[dict[str, bytes]]:
    """Yield the files after failures that leave all or no unsynced writes, and ones that tear one of ``writes``."""
    for rest in (present, absent):
        for keeps in (True, False):
            yield record.after_power_failure(lambda name, keeps=keeps: keeps, rest)  # type: ignore[misc]
        for victim in writes:
            for length in range(len(victim.data)):
                for torn in (victim.torn(length), victim.zeroed(length)):
                    yield record.after_power_failure(
                        lambda name: True,
                        lambda write, rest=rest, victim=victim, torn=torn: [torn] if write is victim else rest(write),  # type: ignore[misc]
                    )


class Folders(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder, self.restarted = Path(scratch.name) / "before", Path(scratch.name) / "after"
        self.folder.mkdir()
        self.restarted.mkdir()
        self.record = DiskRecord()
        self.disk = RecordedDisk(self.folder, self.record)


class TornGenerations(Folders):
    def setUp(self) -> None:
        super().setUp()
        self.checked: set[tuple[object, ...]] = set()

    def check(self, files: dict[str, bytes], acknowledged: int, begun: int) -> None:
        """Check that the records after a restart are the acknowledged ones, or those of the save under way."""
        case = (acknowledged, begun, *sorted(files.items()))
        if case in self.checked:
            return
        self.checked.add(case)
        write_files(self.restarted, files)
        store = GenerationFile(self.restarted, "comb")
        records = store.load(repair=False)
        number = int((records or {b"n": b"0"})[b"n"])
        if store.has_lost_data or not acknowledged <= number <= begun:
            sizes = {name: len(content) for name, content in sorted(files.items())}
            self.fail(f"{number} was loaded, {acknowledged} was saved (lost: {store.has_lost_data}): {sizes}")

    def test_torn_index_does_not_hide_records(self) -> None:
        """Guards against review/5: an index torn at the end of a line hid durable records, marked or not."""
        with self.disk.recording():
            store = GenerationFile(self.folder, "comb")
            for number in (1, 2, 3):
                store.save({b"n": b"%d" % number, b"text": b"x" * 40})
                for files in torn_anywhere(self.record, self.record.unsynced_writes()):
                    self.check(files, number, number)
                store.mark()
                for files in torn_anywhere(self.record, self.record.unsynced_writes()):
                    self.check(files, number, number)

    def test_power_failure_before_each_operation(self) -> None:
        """The newest write is torn at every byte, all earlier unsynced ones are present or absent."""
        for fails_at in range(1, 1000):
            write_files(self.folder, {})
            self.record = DiskRecord()
            self.disk = RecordedDisk(self.folder, self.record)
            self.disk.fails_at = fails_at
            acknowledged = begun = 0
            try:
                with self.disk.recording():
                    store = GenerationFile(self.folder, "comb")
                    for number in (1, 2, 3, 4):
                        begun = number
                        store.save({b"n": b"%d" % number})
                        acknowledged = number
                        store.mark()
            except PowerFailure:
                newest = self.record.unsynced_writes()[-1:]
                for files in torn_anywhere(self.record, newest):
                    self.check(files, acknowledged, begun)
                continue
            self.assertGreater(fails_at, 100)
            return
        self.fail("the saves never end")

    def test_repeated_power_failures(self) -> None:
        """Each restart begins with what the power failure before it has left; saves and marks go on from there."""
        rng = random.Random(5)
        for _ in range(60):
            acknowledged = begun = 0
            record = DiskRecord()
            for _ in range(8):
                write_files(self.folder, record.draw_power_failure(rng))
                files = {path.name: path.read_bytes() for path in self.folder.iterdir()}
                self.check(files, acknowledged, begun)
                self.disk = RecordedDisk(self.folder, record := DiskRecord(files))
                self.disk.fails_at = rng.randrange(120)
                try:
                    with self.disk.recording():
                        store = GenerationFile(self.folder, "comb")
                        acknowledged = int((store.load() or {b"n": b"0"})[b"n"])
                        while True:
                            begun = acknowledged + 1
                            store.save({b"n": b"%d" % begun})
                            acknowledged = begun
                            if rng.random() < 0.7:
                                store.mark()
                except PowerFailure:
                    pass


class TornReplicaState(Folders):
    def test_acknowledged_vote_and_entry_are_kept(self) -> None:
        """The disk ID, the vote and the entry survive every torn write, whether their saves are marked yet or not."""

        async def test() -> None:
            with self.disk.recording():
                store = ReplicaStore(self.folder)
                store.load()
                for number in (1, 2):
                    entry = LogEntry(index=number, term=number, text=b"text")
                    store.write(Persist(Vote(number, "d"), entry, number))
                    for is_marked in (False, True):
                        if is_marked:
                            store.mark()
                        for files in torn_anywhere(self.record, self.record.unsynced_writes()):
                            write_files(self.restarted, files)
                            restarted = ReplicaStore(self.restarted)
                            restarted.load()
                            self.assertEqual(
                                (restarted.disk, restarted.vote, restarted.entry),
                                (store.disk, Vote(number, "d"), entry),
                            )
                            restarted.close()
                store.close()

        asyncio.run(test())


if __name__ == "__main__":
    unittest.main()
