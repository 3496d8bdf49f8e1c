"""What a replica keeps on its disk: its identity, its vote and its newest entry. Saves are made one after another."""

from __future__ import annotations

import asyncio
import logging
import os
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from ..errors import MeshError
from ..storage.generations import Files, Generations
from ..transport.mesh_pb2 import LogEntry
from .messages import Persist, Vote

log = logging.getLogger(__name__)

# Names on disk, kept from version 0.1: a disk that it wrote is read as it is.
VOTE_FILES, ENTRY_FILES = "vow", "comb"
DISK_KEY, VOTE_KEY, ENTRY_KEY = b"disk", b"vow", b"change"

LOOK_EACH = 30.0  # s between two looks at whether the files are as they were saved


class Store:
    """Owns the folder's files and the one thread that writes them."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        ensure_folder(folder)
        self.votes, self.changes = Generations(folder, VOTE_FILES, files), Generations(folder, ENTRY_FILES, files)
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="storage")
        self.loop = asyncio.get_running_loop()
        self.disk = ""
        self.vote = Vote(0, "")
        self.change: LogEntry | None = None
        self.full = False
        self.counts = {"saves": 0, "refused": 0, "looks": 0, "mended": 0, "unmarked": 0}
        """``unmarked``: saves without a mark; damage to one of them could not be told from a save that was cut
        short."""
        self.looking: asyncio.TimerHandle | None = None
        self.closed = False

    def load(self) -> None:
        """Read what is there; a disk that holds nothing gets an identity of its own. OSError where it can't be used."""
        told = self.votes.load()
        kept = self.changes.load()
        if told is not None:
            self.disk = told[DISK_KEY].decode()
            term, _, whose = told[VOTE_KEY].decode().partition(" ")
            self.vote = Vote(int(term), whose)
        if kept is not None and told is not None:
            self.change = LogEntry.FromString(kept[ENTRY_KEY])
        elif self.votes.lost or self.changes.lost or len(self.changes.numbers()) > 1:
            # It has promised more than can be read: it must not vote as if it never had.
            log.error(
                "the disk has lost what it promised: it begins anew", extra={"code": "DISK_LOST", "disk": self.disk}
            )
            self.disk, self.vote = "", Vote(0, "")
        if not self.disk:
            self.disk = uuid.uuid4().hex
            self.write_vote(self.vote)
            self.mark()

    def write_vote(self, vote: Vote) -> None:
        self.votes.save({DISK_KEY: self.disk.encode(), VOTE_KEY: f"{vote.term} {vote.disk}".encode()})
        self.vote = vote

    def write(self, act: Persist) -> None:
        """Sync the vote, where it is another one or isn't known to be synced, and then the entry."""
        if act.vote != self.vote or not self.votes.durable:
            self.write_vote(act.vote)
        if act.accepted is not None:
            self.changes.save({ENTRY_KEY: act.accepted.SerializeToString()})

    def save(self, act: Persist, done: Callable[[int, bool], None]) -> None:
        """Write in the thread, after the saves before; ``done`` is called on the loop, unless the store is closed
        before: then nothing is promised."""
        if self.closed:
            return
        self.counts["saves"] += 1

        def written(future: asyncio.Future[None]) -> None:
            if not future.cancelled():  # the store was closed before its turn came
                done(act.token, self.judge(future.exception()))

        self.loop.run_in_executor(self.thread, self.write, act).add_done_callback(written)
        self.thread.submit(self.mark)

    def mark(self) -> None:
        """In the thread, once what was saved has been promised: nobody waits for the marks."""
        self.counts["unmarked"] += [self.votes.mark(), self.changes.mark()].count(False)

    def look(self) -> None:
        """Now and then: whether what is on the disk is as it was saved. Mended in the thread where it is not."""
        self.looking = self.loop.call_later(LOOK_EACH, self.look)

        def looked(f: asyncio.Future[list[bool]]) -> None:
            self.counts["looks"] += 1
            if f.cancelled() or f.exception() is not None:
                return
            self.counts["mended"] += f.result().count(False)

        self.loop.run_in_executor(self.thread, lambda: [self.votes.look(), self.changes.look()]).add_done_callback(
            looked
        )
        self.thread.submit(self.mark)

    def judge(self, wrong: BaseException | None) -> bool:
        self.counts["refused"] += wrong is not None
        if wrong is not None and not isinstance(wrong, OSError):
            log.error("not saved", exc_info=wrong, extra={"code": "DISK_FAILED"})
        elif (wrong is not None) != self.full:
            self.full = wrong is not None
            log.warning(
                "the disk takes nothing" if self.full else "the disk takes changes again",
                extra={"code": "DISK_REFUSES", "error": str(wrong)},
            )
        return wrong is None

    def close(self) -> None:
        self.closed = True
        if self.looking is not None:
            self.looking.cancel()
        self.thread.shutdown(wait=False, cancel_futures=True)


def ensure_folder(folder: Path) -> None:
    """Make the folder where it isn't there. OSError where it can't be used."""
    try:
        os.listdir(folder)
    except FileNotFoundError:
        folder.mkdir(parents=True)


def read_folder(folder: Path) -> dict[str, Any]:
    """What a member has on its disk, read without changing anything. MeshError where there is no state."""
    try:
        told, kept = Generations(folder, VOTE_FILES).load(mend=False), Generations(folder, ENTRY_FILES).load(mend=False)
    except OSError as wrong:
        raise MeshError("DISK_UNREADABLE", str(wrong)) from None
    if told is None:
        raise MeshError("DISK_EMPTY", "holds no state of a member", str(folder))
    change = LogEntry.FromString(kept[ENTRY_KEY]) if kept is not None else LogEntry()
    return {
        "Disk": told[DISK_KEY].decode(),
        "Vote": told[VOTE_KEY].decode(),
        "Term": change.term,
        "Number": change.index,
        "Generation": change.generation,
        "Config": change.text.decode(),
        "Voters": [{"Disk": s.disk, "Name": s.name, "Ip": s.ip} for s in change.voters],
    }
