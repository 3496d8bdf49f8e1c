"""What a replica keeps on its disk: its identity, its vote and its newest entry. Saves are made one after another."""

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

# Names on disk, kept from version 0.1: a disk that it wrote is read as it is.
VOTE_FILES, ENTRY_FILES = "vow", "comb"
DISK_KEY, VOTE_KEY, ENTRY_KEY = b"disk", b"vow", b"change"

VERIFY_INTERVAL = 30.0  # s between two checks whether the files are as they were saved


@dataclass(slots=True)
class StoreCounters:
    """Counts since the start."""

    saves: int = 0
    refused: int = 0
    """Saves that failed."""
    verified: int = 0
    """Checks whether the files are as they were saved."""
    repaired: int = 0
    """Files that were not, and were written anew."""
    unmarked: int = 0
    """Saves without a mark: damage to one of them could not be told from a save that was cut short."""


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica has on its disk."""

    disk: str
    vote: Vote
    entry: LogEntry | None


class ReplicaStore:
    """Owns the folder's files, and the one thread that writes them."""

    def __init__(self, folder: Path, file_system: FileSystem | None = None) -> None:
        """OSError where the folder can't be made or read."""
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
        """Read what is there; a disk that holds nothing gets an identity of its own. OSError where it can't be used."""
        vote_records = self.vote_file.load()
        entry_records = self.entry_file.load()
        if vote_records is not None:
            self.disk = vote_records[DISK_KEY].decode()
            self.vote = parse_vote(vote_records[VOTE_KEY])
        if entry_records is not None and vote_records is not None:
            self.entry = LogEntry.FromString(entry_records[ENTRY_KEY])
        elif self.has_lost_data():
            # It has promised more than can be read: it must not vote as if it never had.
            log.error(
                "the disk has lost what it promised: it begins anew", extra={"code": "DISK_LOST", "disk": self.disk}
            )
            self.disk, self.vote = "", Vote(0, "")
        if not self.disk:
            self.disk = uuid.uuid4().hex
            self.write_vote(self.vote)
            self.mark()

    def has_lost_data(self) -> bool:
        """Whether files that were promised can't be read, or a vote is missing beside several entries."""
        return self.vote_file.has_lost_data or self.entry_file.has_lost_data or len(self.entry_file.numbers()) > 1

    def write_vote(self, vote: Vote) -> None:
        """Make the identity and a vote durable. Blocks; OSError where the disk refuses it."""
        self.vote_file.save({DISK_KEY: self.disk.encode(), VOTE_KEY: f"{vote.term} {vote.candidate}".encode()})
        self.vote = vote

    def write(self, action: Persist) -> None:
        """Make the vote durable, where it is another one or isn't known to be durable, and then the entry. Blocks."""
        if action.vote != self.vote or not self.vote_file.is_durable:
            self.write_vote(action.vote)
        if action.entry is not None:
            self.entry_file.save({ENTRY_KEY: action.entry.SerializeToString()})

    def save(self, action: Persist, done: Callable[[int, bool], None]) -> None:
        """Write in the thread, after the saves before.

        ``done`` is called on the event loop with the token of the action and whether it is durable, unless the store is
        closed before: then nothing is promised.
        """
        if self.closed:
            return
        self.counters.saves += 1

        def written(future: asyncio.Future[None]) -> None:
            if not future.cancelled():  # the store was closed before its turn came
                done(action.token, self.record_result(future.exception()))

        self.loop.run_in_executor(self.thread, self.write, action).add_done_callback(written)
        self.thread.submit(self.mark)

    def mark(self) -> None:
        """Mark, in the thread, what was saved as durable: nobody waits for the marks."""
        self.counters.unmarked += [self.vote_file.mark(), self.entry_file.mark()].count(False)

    def verify(self) -> None:
        """Check in the thread, now and again, whether the files are as they were saved, and repair them."""
        self.verify_timer = self.loop.call_later(VERIFY_INTERVAL, self.verify)

        def verify_files() -> list[bool]:
            return [self.vote_file.verify_and_repair(), self.entry_file.verify_and_repair()]

        def verified(future: asyncio.Future[list[bool]]) -> None:
            self.counters.verified += 1
            if not future.cancelled() and future.exception() is None:
                self.counters.repaired += future.result().count(False)

        self.loop.run_in_executor(self.thread, verify_files).add_done_callback(verified)
        self.thread.submit(self.mark)

    def record_result(self, error: BaseException | None) -> bool:
        """Log where the disk begins or ends to refuse writes; whether the save succeeded."""
        is_refused = error is not None
        self.counters.refused += is_refused
        if error is not None and not isinstance(error, OSError):
            log.error("not saved", exc_info=error, extra={"code": "DISK_FAILED"})
        elif is_refused != self.refuses_writes:
            self.refuses_writes = is_refused
            log.warning(
                "the disk refuses writes" if is_refused else "the disk accepts writes again",
                extra={"code": "DISK_REFUSES", "error": str(error)},
            )
        return not is_refused

    def close(self) -> None:
        """Stop the timer and the thread; saves that have not begun are dropped."""
        self.closed = True
        if self.verify_timer is not None:
            self.verify_timer.cancel()
        self.thread.shutdown(wait=False, cancel_futures=True)


def parse_vote(encoded: bytes) -> Vote:
    """A vote as it is stored: its term and the candidate's disk."""
    term, _, candidate = encoded.decode().partition(" ")
    return Vote(int(term), candidate)


def ensure_folder(folder: Path) -> None:
    """Make the folder where it isn't there. OSError where it can't be used."""
    try:
        os.listdir(folder)
    except FileNotFoundError:
        folder.mkdir(parents=True)


def read_stored_state(folder: Path) -> StoredState:
    """What a replica has on its disk, read without changing anything. MeshError where there is no state."""
    try:
        vote_records = GenerationFile(folder, VOTE_FILES).load(repair=False)
        entry_records = GenerationFile(folder, ENTRY_FILES).load(repair=False)
    except OSError as error:
        raise MeshError("DISK_UNREADABLE", str(error)) from None
    if vote_records is None:
        raise MeshError("DISK_EMPTY", "holds no state of a member", str(folder))
    entry = LogEntry.FromString(entry_records[ENTRY_KEY]) if entry_records is not None else None
    return StoredState(vote_records[DISK_KEY].decode(), parse_vote(vote_records[VOTE_KEY]), entry)
