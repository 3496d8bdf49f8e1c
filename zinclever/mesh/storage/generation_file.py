"""Sets of records on disk that are whole or not there, on ``dbm.dumb``.

``dbm.dumb`` rewrites its index in place and syncs nothing. So nothing is ever written to files that count: each change
makes a new generation under the next number, synced with its folder before anything is promised; the generation before
the last is removed only then. At a start the highest generation that is whole is current.

Each record is there twice under a checksum of its own (:mod:`.record_codec`), with a seal over all of them: a damaged
copy is repaired from the other one. Once a generation is synced a mark is put beside it. A generation without a mark
that can't be read is a save that power cut short, and the one before it is current; a generation with a mark was
promised, and nothing older may stand for it. Source: ALICE (Pillai and others, 2014).
"""

from __future__ import annotations

import dbm.dumb
import hashlib
import logging
import os
from pathlib import Path
from typing import NamedTuple, Protocol

from .record_codec import COPIES, StoredRecord, count_copies, decode, encode, scan

log = logging.getLogger(__name__)

SEAL = b"seal"
KEPT_GENERATIONS = 2  # the current one, and the one before
INDEX_ERRORS = (OSError, ValueError, KeyError, SyntaxError, TypeError)  # what a damaged index makes the library raise


class FileSystem(Protocol):
    """What is asked of the file system, so that tests can stop it between any two calls."""

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        """Write a new generation. OSError where that can't be."""

    def sync(self, path: Path) -> None:
        """Make a generation durable. OSError where that can't be."""

    def mark(self, path: Path) -> None:
        """Make it durable that a generation was synced. OSError where that can't be."""

    def is_marked(self, path: Path) -> bool:
        """Whether a generation has a mark."""

    def read(self, path: Path) -> list[StoredRecord]:
        """The sound records of a generation, one for each copy. Nothing where there is no file."""

    def remove(self, path: Path) -> None:
        """Remove a generation and its mark."""

    def list(self, folder: Path) -> list[str]:
        """The names of all generations in a folder, of all sets of records."""


class PlainDatabase(dbm.dumb._Database):
    """``dbm.dumb`` without its changes of file modes, which the disks of the mesh don't offer."""

    def __init__(self, path: Path, flag: str) -> None:
        super().__init__(os.fspath(path), "", flag)

    def _chmod(self, file: str) -> None:
        """Called by the library after it has made a file: the mode stays as it is."""


class OsFileSystem:
    """:class:`FileSystem` of the operating system.

    Uses only what the machines of the mesh offer: open, read, write, rename, remove, list, and sync of a file or a
    folder. ``Path.touch`` and ``Path.exists`` set or ask a file's attributes, which these disks may take no notice of.
    """

    SUFFIXES = (".dat", ".dir", ".bak")
    MARK_SUFFIX = ".ok"
    MARK_TEXT = b"synced\n"

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        """See :meth:`FileSystem.write`."""
        self.remove(path)
        with PlainDatabase(path, "n") as database:
            for key, value in values.items():
                database[key] = value
        path.with_suffix(".bak").unlink(missing_ok=True)

    def sync(self, path: Path) -> None:
        """See :meth:`FileSystem.sync`. The index isn't synced: records are found without it."""
        fsync(path.with_suffix(".dat"))
        fsync(path.parent)

    def mark(self, path: Path) -> None:
        """See :meth:`FileSystem.mark`."""
        with path.with_suffix(self.MARK_SUFFIX).open("wb") as mark:
            mark.write(self.MARK_TEXT)
            mark.flush()
            os.fsync(mark.fileno())
        fsync(path.parent)

    def is_marked(self, path: Path) -> bool:
        """See :meth:`FileSystem.is_marked`."""
        return path.with_suffix(self.MARK_SUFFIX).name in os.listdir(path.parent)

    def read(self, path: Path) -> list[StoredRecord]:
        """See :meth:`FileSystem.read`."""
        try:
            data = path.with_suffix(".dat").read_bytes()
        except FileNotFoundError:
            return []
        try:
            return self.read_indexed(path) or scan(data)
        except INDEX_ERRORS:
            return scan(data)

    def read_indexed(self, path: Path) -> list[StoredRecord]:
        """Read by the index; nothing where anything is wrong with what it says. OSError where there is none."""
        with PlainDatabase(path, "r") as database:
            values = {key: database[key] for key in database.keys() if isinstance(key, bytes)}  # noqa: SIM118
        if SEAL in values:  # as version 1 wrote them: each record once, without a checksum of its own
            return [StoredRecord(name, value) for name, value in values.items() for _ in range(COPIES)]
        decoded = [decode(value) for value in values.values()]
        return [record for record in decoded if record is not None] if None not in decoded else []

    def remove(self, path: Path) -> None:
        """See :meth:`FileSystem.remove`."""
        for suffix in (self.MARK_SUFFIX, *self.SUFFIXES):
            path.with_suffix(suffix).unlink(missing_ok=True)

    def list(self, folder: Path) -> list[str]:
        """See :meth:`FileSystem.list`."""
        return sorted({Path(name).stem for name in os.listdir(folder)})


def fsync(path: Path) -> None:
    """Make a file or a folder durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def seal(records: dict[bytes, bytes]) -> bytes:
    """A checksum over all records."""
    hashed = hashlib.blake2b(digest_size=16)
    for name in sorted(records):
        hashed.update(len(name).to_bytes(4, "big") + name + len(records[name]).to_bytes(8, "big") + records[name])
    return hashed.digest()


class Generation(NamedTuple):
    """What was read of a generation that is whole."""

    records: dict[bytes, bytes]
    is_sound: bool
    """All copies of it are."""


def verify(found: list[StoredRecord]) -> Generation | None:
    """The records of a generation that its seal vouches for; None where it is not whole."""
    counts = count_copies(found)
    records = {name: max(values, key=lambda value: values[value]) for name, values in counts.items()}
    sealed = records.pop(SEAL, None)
    if sealed is None or sealed != seal(records):
        return None
    return Generation(records, all(sum(values.values()) >= COPIES for values in counts.values()))


class GenerationFile:
    """One set of records under a name. Blocks while the disk works: to be called from a thread of its own."""

    def __init__(self, folder: Path, name: str, file_system: FileSystem | None = None) -> None:
        self.folder, self.name = folder, name
        self.file_system = file_system or OsFileSystem()
        self.latest_number = 0
        """The highest number that was used."""
        self.records: dict[bytes, bytes] | None = None
        """As they were saved or read last."""
        self.current_number = 0
        """The number of the generation that ``records`` is in."""
        self.has_lost_data = False
        """What was synced can't be read any more."""
        self.is_durable = False
        """The current generation is known to be synced.

        One that was read without a mark may be the unsynced work of a process that was killed: nothing may be promised
        on it before it is saved anew.
        """
        self.unmarked_number: int | None = None
        """The number of the latest generation, while it is synced and not marked yet."""
        self.marking_fails = False
        """The last mark could not be made."""

    def path(self, number: int) -> Path:
        """The path of a generation, without the suffixes of its files."""
        return self.folder / f"{self.name}-{number:012d}"

    def numbers(self) -> list[int]:
        """Of the generations that are there, whole or not, highest first."""
        found: list[int] = []
        for stem in self.file_system.list(self.folder):
            name, _, number = stem.rpartition("-")
            if name == self.name and number.isdecimal():
                found.append(int(number))
        return sorted(set(found), reverse=True)

    def load(self, repair: bool = True) -> dict[bytes, bytes] | None:
        """The records of the highest generation that is whole.

        None where there is none, or where it is older than what was promised (:attr:`has_lost_data`). A damaged copy is
        written anew, unless ``repair`` is False: then nothing is changed. OSError where the folder can't be read.
        """
        numbers = self.numbers()
        self.latest_number = max(self.latest_number, numbers[0] if numbers else 0)
        for number in numbers:
            path = self.path(number)
            generation = self.read(path)
            if generation is not None:
                self.records, self.current_number = generation.records, number
                self.is_durable = self.file_system.is_marked(path)
                if repair and not generation.is_sound:
                    self.rewrite(path)
                return generation.records
            if self.file_system.is_marked(path):
                log.error("files that were promised are damaged", extra={"code": "DISK_SEAL", "pair": str(path)})
                self.has_lost_data = True
                return None
            log.warning("a save was cut short", extra={"code": "DISK_TORN", "pair": str(path)})
        return None

    def read(self, path: Path) -> Generation | None:
        """A generation; None where it is not whole, or can't be read."""
        try:
            return verify(self.file_system.read(path))
        except OSError:
            log.warning("files can't be read", extra={"code": "DISK_UNREADABLE", "pair": str(path)})
            return None

    def rewrite(self, path: Path) -> None:
        """Save anew what a damaged generation held."""
        log.warning("a damaged copy is repaired", extra={"code": "DISK_MENDED", "pair": str(path)})
        if self.records is None:
            return
        try:
            self.save(self.records)
        except OSError:
            log.warning("it can't be repaired now", extra={"code": "DISK_REFUSES"})

    def verify_and_repair(self) -> bool:
        """Whether the current generation is as it was saved; where it is not, it is written anew from memory."""
        if self.records is None:
            return True
        path = self.path(self.current_number)
        generation = self.read(path)
        is_good = generation is not None and generation.is_sound and generation.records == self.records
        if not is_good:
            self.rewrite(path)
        return is_good

    def save(self, records: dict[bytes, bytes]) -> None:
        """Save a new generation: whole and durable when this returns.

        OSError: what was current still is, and these files are never used again.
        """
        self.latest_number += 1
        number = self.latest_number
        path = self.path(number)
        try:
            self.file_system.write(path, encode({**records, SEAL: seal(records)}))
            self.file_system.sync(path)
        except OSError:
            self.discard(number)
            raise
        self.records, self.current_number, self.is_durable = records, number, True
        self.unmarked_number = number
        for old in self.numbers()[KEPT_GENERATIONS:]:
            self.discard(old)

    def mark(self) -> bool:
        """Mark the latest generation as synced; whether that could be done.

        Not waited for by anybody: without a mark a generation that is damaged looks like a save that was cut short. A
        save that failed is never marked, as nothing was promised under its number.
        """
        if self.unmarked_number is None:
            return True
        path, self.unmarked_number = self.path(self.unmarked_number), None
        try:
            self.file_system.mark(path)
            error = "" if self.file_system.is_marked(path) else "made, and not there"
        except OSError as raised:
            error = repr(raised)
        if bool(error) != self.marking_fails:
            self.marking_fails = bool(error)
            self.log_marking(path, error)
        return not error

    def log_marking(self, path: Path, error: str) -> None:
        """One line when marks begin to fail, and one when they can be made again."""
        if error:
            log.error(
                "no mark can be made: damage to what was promised would look like a save that was cut short",
                extra={"code": "DISK_UNMARKED", "pair": str(path), "error": error},
            )
        else:
            log.warning("marks can be made again", extra={"code": "DISK_MARKED", "pair": str(path)})

    def discard(self, number: int) -> None:
        """Remove a generation."""
        try:
            self.file_system.remove(self.path(number))
        except OSError:
            log.warning("files can't be removed", extra={"code": "DISK_REMOVE"})
