"""What is on disk is whole or not there, whatever happens between two calls of the file system."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
import unittest
from pathlib import Path

from colony.cases import params
from zinclever.hive.comb.acts import Save, Vow
from zinclever.hive.comb.store import Store
from zinclever.hive.dance.hive_pb2 import Change
from zinclever.hive.wax.generations import Disk, Generations


class Stop(Exception):
    """Power is lost."""


class Torn:
    """Files in memory: what is written counts as lost, kept or torn after power is lost, until it was synced."""

    def __init__(self) -> None:
        self.synced: dict[str, dict[bytes, bytes]] = {}
        self.written: dict[str, dict[bytes, bytes]] = {}
        self.removed: set[str] = set()
        self.left = 10**9
        self.full = self.sync_fails = False

    def call(self) -> None:
        self.left -= 1
        if self.left < 0:
            raise Stop

    def write(self, path: Path, records: dict[bytes, bytes]) -> None:
        self.call()
        if self.full:
            raise OSError("no space left on device")
        self.written[path.name] = dict(records)
        self.synced.pop(path.name, None)

    def sync(self, path: Path) -> None:
        self.call()
        if self.sync_fails:
            raise OSError("input/output error")
        self.synced[path.name] = self.written.pop(path.name)

    def read(self, path: Path) -> dict[bytes, bytes]:
        for place in (self.written, self.synced):
            if path.name in place:
                return dict(place[path.name])
        raise FileNotFoundError(path)

    def remove(self, path: Path) -> None:
        self.call()
        self.written.pop(path.name, None)
        if path.name in self.synced:
            self.removed.add(path.name)

    def list(self, folder: Path) -> list[str]:
        return sorted({*self.written, *(n for n in self.synced if n not in self.removed)})

    def power_lost(self, kept: str, back: bool) -> None:
        """What was not synced is lost, whole or torn; removals may not have lasted."""
        for name, records in self.written.items():
            if kept == "whole":
                self.synced[name] = records
            elif kept == "torn":
                self.synced[name] = {k: v[: len(v) // 2] for k, v in records.items()}
            elif kept == "part":
                self.synced[name] = dict(list(records.items())[:1])
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
        for left, kept, back in itertools.product(range(12), ("none", "torn", "part", "whole"), (False, True)):
            files = Torn()
            store = Generations(Path("/x"), "comb", files)
            store.load()
            promised = 0
            files.left = left
            try:
                for n in (1, 2, 3):
                    store.save({b"n": b"%d" % n * 10})
                    promised = n
            except Stop:
                points += 1
            files.left = 10**9
            files.power_lost(kept, back)
            found = Generations(Path("/x"), "comb", files).load()
            number = int(found[b"n"][:1]) if found else 0
            with self.subTest(left=left, kept=kept, back=back):
                self.assertIn(number, (promised, promised + 1))
        self.assertGreater(points, 40)

    def test_a_crash_after_a_crash(self) -> None:
        files = Torn()
        Generations(Path("/x"), "comb", files).save({b"n": b"1"})
        for _ in range(3):
            store = Generations(Path("/x"), "comb", files)
            store.load()
            files.left = 1
            with self.assertRaises(Stop):
                store.save({b"n": b"2"})
            files.left = 10**9
            files.power_lost("torn", True)
        store = Generations(Path("/x"), "comb", files)
        self.assertEqual(store.load(), {b"n": b"1"})
        store.save({b"n": b"3"})
        self.assertEqual(Generations(Path("/x"), "comb", files).load(), {b"n": b"3"})

    @params("full", "sync_fails")
    def test_a_disk_that_refuses_keeps_what_it_has(self, how: str) -> None:
        files = Torn()
        store = Generations(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        setattr(files, how, True)
        number = store.number
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        self.assertEqual(store.load(), {b"n": b"1"})
        setattr(files, how, False)
        store.save({b"n": b"3"})
        self.assertGreater(store.number, number + 1)  # what a sync failed on is never written again
        self.assertEqual(store.load(), {b"n": b"3"})


class OnDisk(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def test_two_pairs_are_kept(self) -> None:
        store = Generations(self.folder, "comb")
        for n in range(5):
            store.save({b"n": b"%d" % n, b"text": b"x" * 100_000})
        self.assertEqual(len({p.stem for p in self.folder.iterdir()}), 2)
        self.assertEqual((Generations(self.folder, "comb").load() or {})[b"n"], b"4")

    @params(".dat", ".dir")
    def test_a_flipped_bit_is_found(self, suffix: str) -> None:
        store = Generations(self.folder, "comb")
        store.save({b"n": b"1" * 50})
        store.save({b"n": b"2" * 50})
        path = store.path(store.number).with_suffix(suffix)
        text = bytearray(path.read_bytes())
        text[10] ^= 4
        path.write_bytes(text)
        self.assertEqual((Generations(self.folder, "comb").load() or {})[b"n"][:1], b"1")

    def test_a_disk_that_has_lost_its_change_is_nobody_that_is_known(self) -> None:
        async def test() -> None:
            store = Store(self.folder)
            store.load()
            for n in (1, 2):
                store.write(Save(Vow(n, "d"), Change(number=n, epoch=n), n))
            again = Store(self.folder)
            again.load()
            self.assertEqual((again.disk, again.vow.epoch), (store.disk, 2))
            for path in self.folder.glob("comb-*.dat"):
                path.write_bytes(path.read_bytes()[:40])
            lost = Store(self.folder)
            lost.load()
            self.assertNotEqual(lost.disk, store.disk)
            self.assertEqual((lost.vow.epoch, lost.change), (0, None))

        asyncio.run(test())

    def test_nothing_there(self) -> None:
        self.assertIsNone(Generations(self.folder, "comb", Disk()).load())


if __name__ == "__main__":
    unittest.main()
