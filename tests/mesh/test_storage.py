"""What is on disk is whole or not there, whatever happens between two calls of the file system."""

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
from zinclever.mesh.storage.record_codec import StoredRecord, decode
from zinclever.mesh.transport.mesh_pb2 import LogEntry


class Stop(Exception):
    """Power is lost."""


class Torn:
    """Files in memory: what is written counts as lost, kept or torn after power is lost, until it was synced."""

    def __init__(self) -> None:
        self.synced: dict[str, dict[bytes, bytes]] = {}
        self.written: dict[str, dict[bytes, bytes]] = {}
        self.marks: set[str] = set()
        self.removed: set[str] = set()
        self.left = 10**9
        self.full = self.sync_fails = self.marks_fail = False

    def call(self) -> None:
        self.left -= 1
        if self.left < 0:
            raise Stop

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
        return [f for v in values.values() if (f := decode(v)) is not None]

    def remove(self, path: Path) -> None:
        self.call()
        self.marks.discard(path.name)
        self.written.pop(path.name, None)
        if path.name in self.synced:
            self.removed.add(path.name)

    def list(self, folder: Path) -> list[str]:
        return sorted({*self.written, *self.marks, *(n for n in self.synced if n not in self.removed)})

    def power_lost(self, kept: str, back: bool) -> None:
        """What was not synced is lost, whole or torn; removals may not have lasted."""
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
        if not back:
            for name in self.removed:
                self.synced.pop(name, None)
        self.removed.clear()


class CrashPoints(unittest.TestCase):
    def test_each_call_is_the_last_one(self) -> None:
        """Three changes; power is lost before each call. What is found is what was there before or after the change
        at hand, and never less than what a save has promised."""
        points = 0
        for left, kept, back in itertools.product(
            range(16), ("none", "torn", "part", "one copy", "whole"), (False, True)
        ):
            files = Torn()
            store = GenerationFile(Path("/x"), "comb", files)
            store.load()
            promised = 0
            files.left = left
            try:
                for n in (1, 2, 3):
                    store.save({b"n": b"%d" % n * 10})
                    promised = n
                    store.mark()
            except Stop:
                points += 1
            files.left = 10**9
            files.power_lost(kept, back)
            again = GenerationFile(Path("/x"), "comb", files)
            found = again.load()
            number = int(found[b"n"][:1]) if found else 0
            with self.subTest(left=left, kept=kept, back=back):
                self.assertIn(number, (promised, promised + 1))
                self.assertFalse(again.has_lost_data)
        self.assertGreater(points, 40)

    def test_a_crash_after_a_crash(self) -> None:
        files = Torn()
        GenerationFile(Path("/x"), "comb", files).save({b"n": b"1"})
        for _ in range(3):
            store = GenerationFile(Path("/x"), "comb", files)
            store.load()
            files.left = 1
            with self.assertRaises(Stop):
                store.save({b"n": b"2"})
            files.left = 10**9
            files.power_lost("torn", True)
        store = GenerationFile(Path("/x"), "comb", files)
        self.assertEqual(store.load(), {b"n": b"1"})
        store.save({b"n": b"3"})
        self.assertEqual(GenerationFile(Path("/x"), "comb", files).load(), {b"n": b"3"})

    @params("full", "sync_fails")
    def test_a_disk_that_refuses_keeps_what_it_has(self, how: str) -> None:
        files = Torn()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        setattr(files, how, True)
        number = store.latest_number
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        self.assertEqual(store.load(), {b"n": b"1"})
        setattr(files, how, False)
        store.save({b"n": b"3"})
        self.assertGreater(store.latest_number, number + 1)  # what a sync failed on is never written again
        self.assertEqual(store.load(), {b"n": b"3"})


class OnDisk(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def test_two_pairs_are_kept(self) -> None:
        store = GenerationFile(self.folder, "comb")
        for n in range(5):
            store.save({b"n": b"%d" % n, b"text": b"x" * 100_000})
        self.assertEqual(len({p.stem for p in self.folder.iterdir()}), 2)
        self.assertEqual((GenerationFile(self.folder, "comb").load() or {})[b"n"], b"4")

    def written(self) -> tuple[GenerationFile, Path]:
        """Two changes, the second one marked: its set and the stem of its files."""
        store = GenerationFile(self.folder, "comb")
        store.save({b"n": b"1" * 50})
        store.mark()
        store.save({b"n": b"2" * 700, b"m": b"x"})
        store.mark()
        return store, store.path(store.latest_number)

    def again(self) -> GenerationFile:
        made = GenerationFile(self.folder, "comb")
        made.load()
        return made

    def test_any_flipped_bit_is_found_and_mended(self) -> None:
        _, path = self.written()
        for suffix in (".dat", ".dir"):
            whole = path.with_suffix(suffix).read_bytes()
            for at in range(0, len(whole), 7):
                text = bytearray(whole)
                text[at] ^= 4
                path.with_suffix(suffix).write_bytes(text)
                with self.subTest(suffix=suffix, at=at):
                    made = self.again()
                    self.assertFalse(made.has_lost_data)
                    self.assertEqual((made.records or {})[b"n"][:1], b"2")
                    self.assertTrue(made.verify_and_repair())  # as it was written anew, or as the flip meant nothing
                for later in self.folder.iterdir():
                    if later.stem > path.stem:
                        later.unlink()
            path.with_suffix(suffix).write_bytes(whole)

    def test_it_is_found_in_service(self) -> None:
        store, path = self.written()
        self.assertTrue(store.verify_and_repair())
        text = bytearray(path.with_suffix(".dat").read_bytes())
        text[600] ^= 1
        path.with_suffix(".dat").write_bytes(text)
        self.assertFalse(store.verify_and_repair())
        self.assertTrue(store.verify_and_repair())
        self.assertEqual((self.again().records or {})[b"n"][:1], b"2")

    def test_every_state_that_power_may_leave_of_a_save(self) -> None:
        """The second pair's data cut at any byte, with any block that never came, with or without its index: without
        its mark it holds whole or not at all, and never as anything else."""
        _, path = self.written()
        path.with_suffix(".ok").unlink()
        data, index = path.with_suffix(".dat"), path.with_suffix(".dir")
        whole, listed = data.read_bytes(), index.read_bytes()
        states = [whole[:n] for n in range(0, len(whole), 41)]
        states += [whole[:n] + bytes(512) + whole[n + 512 :] for n in range(0, len(whole), 512)]
        seen = set()
        for state in states:
            for listing in (listed, b"", listed[: len(listed) // 2], None):
                data.write_bytes(state)
                index.unlink(missing_ok=True)
                if listing is not None:
                    index.write_bytes(listing)
                made = GenerationFile(self.folder, "comb")
                found = made.load(repair=False)
                self.assertFalse(made.has_lost_data)
                self.assertIn(found, ({b"n": b"1" * 50}, {b"n": b"2" * 700, b"m": b"x"}))
                seen.add((found or {})[b"n"][:1])
        self.assertEqual(seen, {b"1", b"2"})

    def test_what_was_promised_is_lost_and_not_older(self) -> None:
        _, path = self.written()
        path.with_suffix(".dat").write_bytes(b"\0" * 4000)
        made = self.again()
        self.assertTrue(made.has_lost_data)
        self.assertIsNone(made.records)

    def test_pairs_of_version_1_are_read(self) -> None:
        records = {b"change": b"text"}
        with dbm.dumb.open(str(self.folder / "comb-000000000007"), "n") as pair:
            for name, value in {**records, SEAL: seal_checksum(records)}.items():
                pair[name] = value
        made = self.again()
        self.assertEqual((made.records, made.latest_number), (records, 7))

    def test_a_disk_that_has_lost_its_change_is_nobody_that_is_known(self) -> None:
        async def test() -> None:
            store = ReplicaStore(self.folder)
            store.load()
            for n in (1, 2):
                store.write(Persist(Vote(n, "d"), LogEntry(index=n, term=n), n))
            again = ReplicaStore(self.folder)
            again.load()
            self.assertEqual((again.disk, again.vote.term), (store.disk, 2))
            store.close()
            store.thread.shutdown(wait=True)
            for path in self.folder.glob("comb-*.dat"):
                path.write_bytes(path.read_bytes()[:40])
            lost = ReplicaStore(self.folder)
            lost.load()
            self.assertNotEqual(lost.disk, store.disk)
            self.assertEqual((lost.vote.term, lost.entry), (0, None))

        asyncio.run(test())

    def test_nothing_there(self) -> None:
        self.assertIsNone(GenerationFile(self.folder, "comb", OsFileSystem()).load())


if __name__ == "__main__":
    unittest.main()
