"""Durable storage of a replica: its disk ID, its vote and its newest entry. Writes are serialized in one thread."""

from __future__ import annotations

import asyncio
import logging
import os
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from ..errors import MeshError
from ..storage.generation_file import FileSystem, GenerationFile
from ..transport.mesh_pb2 import LogEntry
from .messages import Persist, Vote

log = logging.getLogger(__name__)

# File and record names are part of the disk format, unchanged since version 0.1.
VOTE_FILES, ENTRY_FILES = "vow", "comb"
DISK_KEY, VOTE_KEY, ENTRY_KEY = b"disk", b"vow", b"change"

VERIFY_INTERVAL = 30.0  # seconds between two verifications of the files


@dataclass(slots=True)
class StoreCounters:
    """Counters since the start of the process."""

    saves: int = 0
    refused: int = 0
    """Failed saves."""
    verified: int = 0
    """Verifications of the files."""
    repaired: int = 0
    """Damaged files found by a verification and rewritten."""
    unmarked: int = 0
    """Saves without a sync mark: if damaged later, they can't be distinguished from interrupted saves."""


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state of a replica as read from its disk."""

    disk: str
    vote: Vote
    entry: LogEntry | None


class ReplicaStore:
    """Reads and writes the files of a replica; saves run in a thread of its own."""

    def __init__(self, folder: Path, file_system: FileSystem | None = None) -> None:
        """Open the folder, and create it if it doesn't exist.

        Raises:
            OSError: The folder can't be created or read.
        """
        ensure_folder(folder)
        self.vote_file = GenerationFile(folder, VOTE_FILES, file_system)
        self.entry_file = GenerationFile(folder, ENTRY_FILES, file_system)
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="storage")
        self.loop = asyncio.get_running_loop()
        self.disk = ""
        self.vote = Vote(0, "")
        self.entry: LogEntry | None = None
        self.refuses_writes = False
        self.counters = StoreCounters()
        self.verify_timer: asyncio.TimerHandle | None = None
        self.closed = False

    def load(self) -> None:
        """Load the state from disk, and assign a new disk ID if there is none.

        If data that was known to be durable is lost, the replica starts with a new disk ID: it must not vote in place
        of the old one, since its votes and accepted entries are no longer known.

        Raises:
            OSError: The disk can't be read or written.
        """
        vote_records = self.vote_file.load()
        entry_records = self.entry_file.load()
        if vote_records is not None:
            self.disk = vote_records[DISK_KEY].decode()
            self.vote = parse_vote(vote_records[VOTE_KEY])
        if entry_records is not None and vote_records is not None:
            self.entry = LogEntry.FromString(entry_records[ENTRY_KEY])
        elif self.has_lost_data():
            log.error(
                "durable data was lost: starting with a new disk ID", extra={"code": "DISK_LOST", "disk": self.disk}
            )
            self.disk, self.vote = "", Vote(0, "")
        if not self.disk:
            self.disk = uuid.uuid4().hex
            self.write_vote(self.vote)
            self.mark()

    def has_lost_data(self) -> bool:
        """Whether durable data is lost, called if the vote or the entry can't be loaded.

        It is lost if a marked file is unreadable or there are several entry files.
        """
        return self.vote_file.has_lost_data or self.entry_file.has_lost_data or len(self.entry_file.numbers()) > 1

    def write_vote(self, vote: Vote) -> None:
        """Make the disk ID and a vote durable. Blocks.

        Raises:
            OSError: The write failed.
        """
        self.vote_file.save({DISK_KEY: self.disk.encode(), VOTE_KEY: f"{vote.term} {vote.candidate}".encode()})
        self.vote = vote

    def write(self, action: Persist) -> None:
        """Make the vote durable unless it already is, and then the entry. Blocks.

        Raises:
            OSError: A write failed.
        """
        if action.vote != self.vote or not self.vote_file.is_durable:
            self.write_vote(action.vote)
        if action.entry is not None:
            self.entry_file.save({ENTRY_KEY: action.entry.SerializeToString()})

    def save(self, action: Persist, on_saved: Callable[[int, bool], None]) -> None:
        """Write in the storage thread, after all earlier saves.

        Args:
            action: The vote and the entry to write.
            on_saved: Called on the event loop with the action's token and whether the write is durable. It is not
                called if the store is closed before the write starts.
        """
        if self.closed:
            return
        self.counters.saves += 1

        def on_written(future: asyncio.Future[None]) -> None:
            if not future.cancelled():  # cancelled if the store was closed before the write started
                on_saved(action.token, self.record_result(future.exception()))

        self.loop.run_in_executor(self.thread, self.write, action).add_done_callback(on_written)
        self.thread.submit(self.mark)

    def mark(self) -> None:
        """Write the sync marks of the latest saves. Blocks; no save waits for the marks."""
        self.counters.unmarked += [self.vote_file.mark(), self.entry_file.mark()].count(False)

    def verify(self) -> None:
        """Verify and repair the files in the storage thread, now and every :data:`VERIFY_INTERVAL`."""
        self.verify_timer = self.loop.call_later(VERIFY_INTERVAL, self.verify)

        def verify_files() -> list[bool]:
            return [self.vote_file.verify_and_repair(), self.entry_file.verify_and_repair()]

        def on_verified(future: asyncio.Future[list[bool]]) -> None:
            self.counters.verified += 1
            if not future.cancelled() and future.exception() is None:
                self.counters.repaired += future.result().count(False)

        self.loop.run_in_executor(self.thread, verify_files).add_done_callback(on_verified)
        self.thread.submit(self.mark)

    def record_result(self, error: BaseException | None) -> bool:
        """Count a save, log when writes begin to fail or succeed again, and return whether this one succeeded."""
        has_failed = error is not None
        self.counters.refused += has_failed
        if error is not None and not isinstance(error, OSError):
            log.error("unexpected error while saving", exc_info=error, extra={"code": "DISK_FAILED"})
        elif has_failed != self.refuses_writes:
            self.refuses_writes = has_failed
            log.warning(
                "writes to the disk fail" if has_failed else "writes to the disk succeed again",
                extra={"code": "DISK_REFUSES", "error": str(error)},
            )
        return not has_failed

    def close(self) -> None:
        """Stop the verification timer and the thread; saves that have not started are discarded."""
        self.closed = True
        if self.verify_timer is not None:
            self.verify_timer.cancel()
        self.thread.shutdown(wait=False, cancel_futures=True)


def parse_vote(encoded: bytes) -> Vote:
    """Decode a stored vote: the term and the candidate's disk ID, separated by a space."""
    term, _, candidate = encoded.decode().partition(" ")
    return Vote(int(term), candidate)


def ensure_folder(folder: Path) -> None:
    """Create the folder if it doesn't exist.

    Raises:
        OSError: The folder can't be created or listed.
    """
    try:
        os.listdir(folder)
    except FileNotFoundError:
        folder.mkdir(parents=True)


def read_stored_state(folder: Path) -> StoredState:
    """Read the state of a replica without modifying its files.

    Raises:
        MeshError: The folder can't be read, or holds no state.
    """
    try:
        vote_records = GenerationFile(folder, VOTE_FILES).load(repair=False)
        entry_records = GenerationFile(folder, ENTRY_FILES).load(repair=False)
    except OSError as error:
        raise MeshError("DISK_UNREADABLE", str(error)) from None
    if vote_records is None:
        raise MeshError("DISK_EMPTY", "holds no replica state", str(folder))
    entry = LogEntry.FromString(entry_records[ENTRY_KEY]) if entry_records is not None else None
    return StoredState(vote_records[DISK_KEY].decode(), parse_vote(vote_records[VOTE_KEY]), entry)
