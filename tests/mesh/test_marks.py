"""What tells damage from a save that was cut short, on disks that offer only what DEPLOY lists."""

from __future__ import annotations

import asyncio
import dbm.dumb
import logging
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mesh.listed_operations import NotListed, only_listed_operations
from mesh.test_storage import Stop, Torn
from zinclever.mesh.consensus.messages import Persist, Vote
from zinclever.mesh.consensus.replica_store import ReplicaStore
from zinclever.mesh.storage.generation_file import GenerationFile
from zinclever.mesh.transport.mesh_pb2 import LogEntry


class ListedOperations(unittest.TestCase):
    """The disk uses only what DEPLOY lists: open, read, write, rename, remove, list, sync. All else is refused, or, as
    on the disks of the bench, taken without any effect."""

    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def test_the_guard_itself(self) -> None:
        """Each call that isn't listed is found, also those that the standard library makes."""
        path = self.folder / "file"
        for call in (path.touch, path.exists, lambda: path.chmod(0o600), lambda: path.symlink_to("x"), path.mkdir):
            with self.subTest(call=call), self.assertRaises(NotListed), only_listed_operations():
                call()
        with self.assertRaises(NotListed), only_listed_operations():
            dbm.dumb.open(str(self.folder / "pair"), "n").close()

    def test_a_life_of_a_set(self) -> None:
        with only_listed_operations():
            store = GenerationFile(self.folder, "comb")
            self.assertIsNone(store.load())
            for n in range(4):
                store.save({b"n": b"%d" % n * 2000})
                self.assertTrue(store.mark())
            self.assertTrue(store.verify_and_repair())
            again = GenerationFile(self.folder, "comb")
            self.assertEqual((again.load() or {})[b"n"][:1], b"3")
            self.assertTrue(again.is_durable)

    def test_a_life_of_a_store(self) -> None:
        async def test() -> None:
            with only_listed_operations():
                store = ReplicaStore(self.folder)
                store.load()
                store.write(Persist(Vote(1, "d"), LogEntry(index=1, term=1), 1))
                store.mark()
                again = ReplicaStore(self.folder)
                again.load()
                self.assertEqual((again.disk, again.entry), (store.disk, LogEntry(index=1, term=1)))
                self.assertEqual(store.counters.unmarked, 0)
                store.close()
                again.close()

        asyncio.run(test())

    def test_times_that_are_set_without_effect(self) -> None:
        """As on the bench: setting the times of a file that isn't there raises nothing. The mark is there all the
        same, so that damage to what was promised is told from a save that was cut short."""
        store = GenerationFile(self.folder, "comb")
        with mock.patch("os.utime"):
            for n in (b"1", b"2"):
                store.save({b"n": n * 600})
                store.mark()
        self.assertTrue(store.file_system.is_marked(store.path(store.latest_number)))
        store.path(store.latest_number).with_suffix(".dat").write_bytes(b"")
        again = GenerationFile(self.folder, "comb")
        self.assertIsNone(again.load())
        self.assertTrue(again.has_lost_data)


class Marks(unittest.TestCase):
    def test_a_save_that_failed_is_not_marked(self) -> None:
        """The disk is full for one save, and takes an empty file: nothing was promised under that number."""
        files = Torn()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        store.mark()
        files.full = True
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        store.mark()
        again = GenerationFile(Path("/x"), "comb", files)
        self.assertEqual(again.load(), {b"n": b"1"})
        self.assertFalse(again.has_lost_data)

    def test_a_guard_that_fails_is_one_alarm(self) -> None:
        """One line when it begins and one when it ends, and a count of the saves without a mark."""

        async def test() -> None:
            files = Torn()
            with tempfile.TemporaryDirectory() as folder:
                store = ReplicaStore(Path(folder), files)
                store.load()
                files.marks_fail = True
                with self.assertLogs("zinclever.mesh.storage.generation_file") as told:
                    for n in (1, 2, 3):
                        store.write(Persist(store.vote, LogEntry(index=n), n))
                        store.mark()
                    files.marks_fail = False
                    for n in (4, 5):
                        store.write(Persist(store.vote, LogEntry(index=n), n))
                        store.mark()
                codes = [getattr(record, "code", "") for record in told.records]
                self.assertEqual(codes, ["DISK_UNMARKED", "DISK_MARKED"])
                self.assertEqual(store.counters.unmarked, 3)
                store.close()

        asyncio.run(test())

    def test_a_mark_that_is_made_without_effect_is_a_failure(self) -> None:
        files = Torn()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        with (
            mock.patch.object(files, "mark"),
            self.assertLogs("zinclever.mesh.storage.generation_file", logging.ERROR),
        ):
            self.assertFalse(store.mark())

    def test_a_vote_of_a_killed_process_is_synced_before_it_is_told(self) -> None:
        """Killed between writing and syncing a vote; what is read at the start is the new vote, not synced. It is
        asked for again: granted only once it is synced, else power lost now would let this member vote twice."""

        async def test() -> None:
            files = Torn()
            with tempfile.TemporaryDirectory() as folder:
                store = ReplicaStore(Path(folder), files)
                store.load()
                files.left = 1
                with self.assertRaises(Stop):
                    store.write(Persist(Vote(7, "candidate"), None, 1))
                files.left = 10**9
                again = ReplicaStore(Path(folder), files)
                again.load()
                self.assertEqual(again.vote, Vote(7, "candidate"))
                again.write(Persist(Vote(7, "candidate"), None, 2))
                files.power_lost("none", True)
                last = ReplicaStore(Path(folder), files)
                last.load()
                self.assertEqual((last.disk, last.vote), (store.disk, Vote(7, "candidate")))
                for opened in (store, again, last):
                    opened.close()

        asyncio.run(test())

    def test_a_refused_save_is_no_damage(self) -> None:
        """The look in service judges the pair that holds, not the number that a refused save left unused."""
        files = Torn()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        files.full = True
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        files.full = False
        self.assertTrue(store.verify_and_repair())


if __name__ == "__main__":
    unittest.main()
