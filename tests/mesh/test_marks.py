"""Sync marks, which distinguish damage from interrupted saves, on disks with only the operations that DEPLOY lists."""

from __future__ import annotations

import asyncio
import dbm.dumb
import logging
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mesh.listed_operations import NotListed, only_listed_operations
from mesh.test_storage import SimulatedCrash, SimulatedFileSystem
from zinclever.mesh.consensus.messages import Persist, Vote
from zinclever.mesh.consensus.replica_store import ReplicaStore
from zinclever.mesh.storage.generation_file import GenerationFile
from zinclever.mesh.transport.mesh_pb2 import LogEntry


class ListedOperations(unittest.TestCase):
    """The storage must use only the operations that DEPLOY lists: open, read, write, rename, remove, list, sync.

    Others fail on the disks of the mesh, or have no effect.
    """

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def test_guard_rejects_unlisted_operations(self) -> None:
        """Also those that the standard library makes internally."""
        path = self.folder / "file"
        for call in (path.touch, path.exists, lambda: path.chmod(0o600), lambda: path.symlink_to("x"), path.mkdir):
            with self.subTest(call=call), self.assertRaises(NotListed), only_listed_operations():
                call()
        with self.assertRaises(NotListed), only_listed_operations():
            dbm.dumb.open(str(self.folder / "pair"), "n").close()

    def test_generation_file_uses_only_listed_operations(self) -> None:
        with only_listed_operations():
            store = GenerationFile(self.folder, "comb")
            self.assertIsNone(store.load())
            for n in range(4):
                store.save({b"n": b"%d" % n * 2000})
                self.assertTrue(store.mark())
            self.assertTrue(store.verify_and_repair())
            reopened = GenerationFile(self.folder, "comb")
            self.assertEqual((reopened.load() or {})[b"n"][:1], b"3")
            self.assertTrue(reopened.is_durable)

    def test_replica_store_uses_only_listed_operations(self) -> None:
        async def test() -> None:
            with only_listed_operations():
                store = ReplicaStore(self.folder)
                store.load()
                store.write(Persist(Vote(1, "d"), LogEntry(index=1, term=1), 1))
                store.mark()
                reopened = ReplicaStore(self.folder)
                reopened.load()
                self.assertEqual((reopened.disk, reopened.entry), (store.disk, LogEntry(index=1, term=1)))
                self.assertEqual(store.counters.unmarked, 0)
                store.close()
                reopened.close()

        asyncio.run(test())

    def test_marks_do_not_depend_on_file_times(self) -> None:
        """On some disks, setting the times of a file has no effect, and raises nothing even if there is no such file.

        The mark must be written nevertheless, so that damage is distinguished from an interrupted save.
        """
        store = GenerationFile(self.folder, "comb")
        with mock.patch("os.utime"):
            for n in (b"1", b"2"):
                store.save({b"n": n * 600})
                store.mark()
        self.assertTrue(store.file_system.is_marked(store.path(store.latest_number)))
        store.path(store.latest_number).with_suffix(".dat").write_bytes(b"")
        reopened = GenerationFile(self.folder, "comb")
        self.assertIsNone(reopened.load())
        self.assertTrue(reopened.has_lost_data)


class Marks(unittest.TestCase):
    def test_failed_save_is_not_marked(self) -> None:
        """A full disk may still accept the empty mark file, but the failed generation was never durable."""
        files = SimulatedFileSystem()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        store.mark()
        files.full = True
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        store.mark()
        reopened = GenerationFile(Path("/x"), "comb", files)
        self.assertEqual(reopened.load(), {b"n": b"1"})
        self.assertFalse(reopened.has_lost_data)

    def test_failing_marks_are_logged_once_and_counted(self) -> None:
        """One log line when marks begin to fail and one when they succeed again; saves without a mark are counted."""

        async def test() -> None:
            files = SimulatedFileSystem()
            with tempfile.TemporaryDirectory() as folder:
                store = ReplicaStore(Path(folder), files)
                store.load()
                files.marks_fail = True
                with self.assertLogs("zinclever.mesh.storage.generation_file") as logs:
                    for n in (1, 2, 3):
                        store.write(Persist(store.vote, LogEntry(index=n), n))
                        store.mark()
                    files.marks_fail = False
                    for n in (4, 5):
                        store.write(Persist(store.vote, LogEntry(index=n), n))
                        store.mark()
                codes = [getattr(record, "code", "") for record in logs.records]
                self.assertEqual(codes, ["DISK_UNMARKED", "DISK_MARKED"])
                self.assertEqual(store.counters.unmarked, 3)
                store.close()

        asyncio.run(test())

    def test_mark_without_effect_counts_as_failed(self) -> None:
        files = SimulatedFileSystem()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        with (
            mock.patch.object(files, "mark"),
            self.assertLogs("zinclever.mesh.storage.generation_file", logging.ERROR),
        ):
            self.assertFalse(store.mark())

    def test_unsynced_vote_of_a_killed_process_is_synced_before_it_is_granted(self) -> None:
        """A process is killed between writing and syncing a vote, and loads the unsynced vote after its restart.

        When the candidate requests the vote again, it must be synced first. Otherwise a power failure could erase it,
        and the replica might vote twice in one term.
        """

        async def test() -> None:
            files = SimulatedFileSystem()
            with tempfile.TemporaryDirectory() as folder:
                store = ReplicaStore(Path(folder), files)
                store.load()
                files.calls_until_crash = 1
                with self.assertRaises(SimulatedCrash):
                    store.write(Persist(Vote(7, "candidate"), None, 1))
                files.calls_until_crash = 10**9
                restarted = ReplicaStore(Path(folder), files)
                restarted.load()
                self.assertEqual(restarted.vote, Vote(7, "candidate"))
                restarted.write(Persist(Vote(7, "candidate"), None, 2))
                files.power_lost("none", True)
                after_power_loss = ReplicaStore(Path(folder), files)
                after_power_loss.load()
                self.assertEqual((after_power_loss.disk, after_power_loss.vote), (store.disk, Vote(7, "candidate")))
                for opened in (store, restarted, after_power_loss):
                    opened.close()

        asyncio.run(test())

    def test_failed_save_is_not_reported_as_damage(self) -> None:
        """The verification must check the current generation, not the number that the failed save left unused."""
        files = SimulatedFileSystem()
        store = GenerationFile(Path("/x"), "comb", files)
        store.save({b"n": b"1"})
        files.full = True
        with self.assertRaises(OSError):
            store.save({b"n": b"2"})
        files.full = False
        self.assertTrue(store.verify_and_repair())


if __name__ == "__main__":
    unittest.main()
