"""Atomicity and durability of saves under crashes, power failures and damaged files."""

from __future__ import annotations

import asyncio
import dbm.dumb
import itertools
import tempfile
import unittest
from pathlib import Path

from mesh.cases import params
from zinclever.mesh.consensus.messages import Persist, Vote
from zinclever.mesh.consensus.replica_store import ReplicaStore
from zinclever.mesh.storage.generation_file import SEAL, GenerationFile, OsFileSystem, seal_checksum
from zinclever.mesh.storage.record_codec import BLOCK_BYTES, StoredRecord, decode, encode_record, scan
from zinclever.mesh.transport.mesh_pb2 import LogEntry


class SimulatedCrash(Exception):
    """A simulated crash."""


class SimulatedFileSystem:
    """In-memory file system that simulates crashes, power failures and write errors.

    After a power failure, unsynced files are lost, kept or partially written.
    """

    def __init__(self) -> None:
        self.synced: dict[str, dict[bytes, bytes]] = {}
        self.written: dict[str, dict[bytes, bytes]] = {}
        self.marks: set[str] = set()
        self.removed: set[str] = set()
        self.calls_until_crash = 10**9
        self.full = self.sync_fails = self.marks_fail = False

    def call(self) -> None:
        self.calls_until_crash -= 1
        if self.calls_until_crash < 0:
            raise SimulatedCrash

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        self.call()
        if self.full:
            raise OSError("no space left on device")
        self.written[path.name] = dict(values)
        self.synced.pop(path.name, None)

    def sync(self, path: Path) -> None:
        self.call()
        if self.sync_fails:
            raise OSError("input/output error")
        self.synced[path.name] = self.written.pop(path.name)

    def mark(self, path: Path) -> None:
        self.call()
        if self.marks_fail:
            raise OSError("operation not permitted")
        self.marks.add(path.name)

    def is_marked(self, path: Path) -> bool:
        return path.name in self.marks

    def read(self, path: Path) -> list[StoredRecord]:
        values = self.written.get(path.name) or self.synced.get(path.name) or {}
        return [record for value in values.values() if (record := decode(value)) is not None]

    def remove(self, path: Path) -> None:
        self.call()
        self.marks.discard(path.name)
        self.written.pop(path.name, None)
        if path.name in self.synced:
            self.removed.add(path.name)

    def list(self, folder: Path) -> list[str]:
        return sorted({*self.written, *self.marks, *(n for n in self.synced if n not in self.removed)})

    def power_lost(self, kept: str, removals_durable: bool) -> None:
        """Simulate a power failure.

        Args:
            kept: What remains of unsynced files.
            removals_durable: Whether removed files stay removed.
        """
        for name, values in self.written.items():
            if kept == "whole":
                self.synced[name] = values
            elif kept == "torn":
                self.synced[name] = {k: v[: len(v) // 2] for k, v in values.items()}
            elif kept == "part":
                self.synced[name] = dict(list(values.items())[:1])
            elif kept == "one copy":
                self.synced[name] = dict(list(values.items())[: len(values) // 2])
        self.written.clear()
        if not removals_durable:
            for name in self.removed:
                self.synced.pop(name, None)
        self.removed.clear()


class CrashPoints(unittest.TestCase):
    def test_power_failure_before_each_call(self) -> None:
        """Power fails before each file system call of three saves.

        Afterwards the records are those before or after the interrupted save, and never older than a completed one.
        """
        points = 0
        for calls, kept, removals_durable in itertools.product(
            range(16), ("none", "torn", "part", "one copy", "whole"), (False, True)
        ):
            files = SimulatedFileSystem()
            store = GenerationFile(Path("/x"), "comb", files)
            store.load()
            last_saved = 0
            files.calls_until_crash = calls
            try:
                for n in (1, 2, 3):
                    store.save({b"n": b"%d" % n * 10})
                    last_saved = n
                    store.mark()
            except SimulatedCrash:
                points += 1
            files.calls_until_crash = 10**9
            files.power_lost(kept, removals_durable)
            reopened = GenerationFile(Path("/x"), "comb", files)
            records = reopened.load()
            number = int(records[b"n"][:1]) if records else 0
            with self.subTest(calls=calls, kept=kept, removals_durable=removals_durable):
                self.assertIn(number, (last_saved, last_saved + 1))
                self.assertFalse(reopened.has_lost_data)
        self.assertGreater(points, 40)

    def test_repeated_crashes(self) -> None:
        files = SimulatedFileSystem()
        GenerationFile(Path("/x"), "comb", files).save({b"n": b"1"})
        for _ in range(3):
            store = GenerationFile(Path("/x"), "comb", files)
            store.load()
            files.calls_until_crash = 1
            with self.assertRaises(SimulatedCrash):
                store.save({b"n": b"2"})
            files.calls_until_crash = 10**9
            files.power_lost("torn", True)
        store = GenerationFile(Path("/x"), "comb", files)
        self.assertEqual(store.load(), {b"n": b"1"})
        store.save({b"n": b"3"})
        self.assertEqual(GenerationFile(Path("/x"), "comb", files).load(), {b"n": b"3"})

    @params("full", "sync_fails")
    def test_failed_save_keeps_the_previous_records(self, failure: str) -> None:
        files = SimulatedFileSystem()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        setattr(files, failure, True)
        number = store.latest_number
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        self.assertEqual(store.load(), {b"n": b"1"})
        setattr(files, failure, False)
        store.save({b"n": b"3"})
        self.assertGreater(store.latest_number, number + 1)  # files whose sync failed are never written again
        self.assertEqual(store.load(), {b"n": b"3"})


class OnDisk(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def test_two_generations_are_kept(self) -> None:
        store = GenerationFile(self.folder, "comb")
        for n in range(5):
            store.save({b"n": b"%d" % n, b"text": b"x" * 100_000})
        self.assertEqual(len({p.stem for p in self.folder.iterdir()}), 2)
        self.assertEqual((GenerationFile(self.folder, "comb").load() or {})[b"n"], b"4")

    def written(self) -> tuple[GenerationFile, Path]:
        """Save and mark two generations; returns the file and the path of the second generation."""
        store = GenerationFile(self.folder, "comb")
        store.save({b"n": b"1" * 50})
        store.mark()
        store.save({b"n": b"2" * 700, b"m": b"x"})
        store.mark()
        return store, store.path(store.latest_number)

    def reopen(self) -> GenerationFile:
        reopened = GenerationFile(self.folder, "comb")
        reopened.load()
        return reopened

    def test_bit_flips_are_detected_and_repaired(self) -> None:
        _, path = self.written()
        for suffix in (".dat", ".dir"):
            intact = path.with_suffix(suffix).read_bytes()
            for offset in range(0, len(intact), 7):
                damaged = bytearray(intact)
                damaged[offset] ^= 4
                path.with_suffix(suffix).write_bytes(damaged)
                with self.subTest(suffix=suffix, offset=offset):
                    reopened = self.reopen()
                    self.assertFalse(reopened.has_lost_data)
                    self.assertEqual((reopened.records or {})[b"n"][:1], b"2")
                    self.assertTrue(reopened.verify_and_repair())  # repaired on load, or the flip had no effect
                for later in self.folder.iterdir():
                    if later.stem > path.stem:
                        later.unlink()
            path.with_suffix(suffix).write_bytes(intact)

    def test_verification_detects_and_repairs_damage(self) -> None:
        store, path = self.written()
        self.assertTrue(store.verify_and_repair())
        damaged = bytearray(path.with_suffix(".dat").read_bytes())
        damaged[600] ^= 1
        path.with_suffix(".dat").write_bytes(damaged)
        self.assertFalse(store.verify_and_repair())
        self.assertTrue(store.verify_and_repair())
        self.assertEqual((self.reopen().records or {})[b"n"][:1], b"2")

    def test_any_partial_save_is_loaded_completely_or_not_at_all(self) -> None:
        """The data of an unmarked generation is truncated at any byte or lacks any block, with any state of its index.

        Either its records or the previous ones are loaded, never a mixture.
        """
        _, path = self.written()
        path.with_suffix(".ok").unlink()
        data, index = path.with_suffix(".dat"), path.with_suffix(".dir")
        complete_data, complete_index = data.read_bytes(), index.read_bytes()
        states = [complete_data[:n] for n in range(0, len(complete_data), 41)]
        states += [complete_data[:n] + bytes(512) + complete_data[n + 512 :] for n in range(0, len(complete_data), 512)]
        seen = set()
        for state in states:
            for index_state in (complete_index, b"", complete_index[: len(complete_index) // 2], None):
                data.write_bytes(state)
                index.unlink(missing_ok=True)
                if index_state is not None:
                    index.write_bytes(index_state)
                reopened = GenerationFile(self.folder, "comb")
                records = reopened.load(repair=False)
                self.assertFalse(reopened.has_lost_data)
                self.assertIn(records, ({b"n": b"1" * 50}, {b"n": b"2" * 700, b"m": b"x"}))
                seen.add((records or {})[b"n"][:1])
        self.assertEqual(seen, {b"1", b"2"})

    def test_damaged_marked_generation_is_lost_data(self) -> None:
        """An older generation must not be loaded in place of one that was durable."""
        _, path = self.written()
        path.with_suffix(".dat").write_bytes(b"\0" * 4000)
        reopened = self.reopen()
        self.assertTrue(reopened.has_lost_data)
        self.assertIsNone(reopened.records)

    def test_record_within_a_record_is_not_read(self) -> None:
        """Of a value that contains an encoded record at the beginning of a block, only the outer record is found."""
        inner = encode_record(b"n", b"inner")
        outer = StoredRecord(b"n", bytes(2 * BLOCK_BYTES - len(encode_record(b"n", b""))) + inner)
        last = StoredRecord(b"m", b"next")
        encoded = encode_record(*outer)
        encoded += bytes(-len(encoded) % BLOCK_BYTES) + encode_record(*last)
        self.assertEqual(scan(encoded), [outer, last])

    def test_format_of_version_1_is_read(self) -> None:
        records = {b"change": b"text"}
        with dbm.dumb.open(str(self.folder / "comb-000000000007"), "n") as database:
            for name, value in {**records, SEAL: seal_checksum(records)}.items():
                database[name] = value
        reopened = self.reopen()
        self.assertEqual((reopened.records, reopened.latest_number), (records, 7))

    def test_replica_that_lost_its_entry_gets_a_new_disk_id(self) -> None:
        async def test() -> None:
            store = ReplicaStore(self.folder)
            store.load()
            for n in (1, 2):
                store.write(Persist(Vote(n, "d"), LogEntry(index=n, term=n), n))
            reopened = ReplicaStore(self.folder)
            reopened.load()
            self.assertEqual((reopened.disk, reopened.vote.term), (store.disk, 2))
            store.close()
            store.thread.shutdown(wait=True)
            for path in self.folder.glob("comb-*.dat"):
                path.write_bytes(path.read_bytes()[:40])
            lost = ReplicaStore(self.folder)
            lost.load()
            self.assertNotEqual(lost.disk, store.disk)
            self.assertEqual((lost.vote.term, lost.entry), (0, None))

        asyncio.run(test())

    def test_empty_folder_has_no_records(self) -> None:
        self.assertIsNone(GenerationFile(self.folder, "comb", OsFileSystem()).load())


if __name__ == "__main__":
    unittest.main()
