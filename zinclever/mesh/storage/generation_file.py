"""Atomic and durable storage of a set of records, on top of ``dbm.dumb``.

``dbm.dumb`` rewrites its index in place and never syncs, so files in use are never modified. Each save writes a new
generation under the next number and syncs it with its folder before it returns; only then older generations than the
previous one are removed. After a restart, the highest complete generation is current.

Each record is stored twice with its own checksum (:mod:`.record_codec`), and a seal, which is a checksum over all
records, detects incomplete generations. A damaged copy is repaired from the other one. After the sync, a mark file is
written next to the generation. An unreadable generation without a mark is an interrupted save, and the previous one is
current. An unreadable generation with a mark is lost durable data, and no older generation may be used in its place.
See ALICE (Pillai and others, 2014).
"""

from __future__ import annotations

import dbm.dumb
import hashlib
import logging
import os
from pathlib import Path
from typing import NamedTuple, Protocol

from .record_codec import COPIES, StoredRecord, count_copies, encode, scan

log = logging.getLogger(__name__)

SEAL = b"seal"
KEPT_GENERATIONS = 2  # the current and the previous one
INDEX_ERRORS = (OSError, ValueError, KeyError, SyntaxError, TypeError)  # raised by ``dbm.dumb`` for a damaged index


class FileSystem(Protocol):
    """File system operations on generations; an interface so that tests can inject failures between any two calls.

    A path names a generation without the suffixes of its files. All methods may raise OSError.
    """

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        """Write a new generation."""

    def sync(self, path: Path) -> None:
        """Make a generation durable."""

    def mark(self, path: Path) -> None:
        """Write a durable mark that a generation was synced."""

    def is_marked(self, path: Path) -> bool:
        """Whether a generation has a mark."""

    def read(self, path: Path) -> list[StoredRecord]:
        """Read the undamaged copies of all records of a generation; empty if there is no file."""

    def remove(self, path: Path) -> None:
        """Remove a generation and its mark."""

    def list(self, folder: Path) -> list[str]:
        """The names of all generations in a folder, whatever set of records they belong to."""


class DatabaseWithoutChmod(dbm.dumb._Database):
    """``dbm.dumb`` without changes of file modes, which the disks of the mesh don't support."""

    def __init__(self, path: Path, flag: str) -> None:
        super().__init__(os.fspath(path), "", flag)

    def _chmod(self, file: str) -> None:
        """Leave the mode of a newly created file unchanged; called by the base class."""


class OsFileSystem:
    """:class:`FileSystem` on the operating system.

    Uses only operations that the disks of the mesh support: open, read, write, rename, remove, list, and sync of a file
    or a folder. ``Path.touch`` and ``Path.exists`` are avoided, since these disks may not maintain file attributes.
    """

    SUFFIXES = (".dat", ".dir", ".bak")
    MARK_SUFFIX = ".ok"
    MARK_TEXT = b"synced\n"

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        """See :meth:`FileSystem.write`."""
        self.remove(path)
        with DatabaseWithoutChmod(path, "n") as database:
            for key, value in values.items():
                database[key] = value
        path.with_suffix(".bak").unlink(missing_ok=True)

    def sync(self, path: Path) -> None:
        """See :meth:`FileSystem.sync`. The index isn't synced, because records are read without it."""
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
        """See :meth:`FileSystem.read`.

        The records are read from the data alone. The index is never synced: after a power failure it may name any part
        of the records, and look complete. Only files of format version 1 can't be read without it.
        """
        try:
            data = path.with_suffix(".dat").read_bytes()
        except FileNotFoundError:
            return []
        return scan(data) or self.read_version_1(path)

    def read_version_1(self, path: Path) -> list[StoredRecord]:
        """Read the records of format version 1, each stored once without a checksum; empty for other formats."""
        try:
            with DatabaseWithoutChmod(path, "r") as database:
                values = {key: database[key] for key in database.keys() if isinstance(key, bytes)}  # noqa: SIM118
        except INDEX_ERRORS:
            return []
        if SEAL not in values:
            return []
        return [StoredRecord(name, value) for name, value in values.items() for _ in range(COPIES)]

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


def seal_checksum(records: dict[bytes, bytes]) -> bytes:
    """The checksum over all records of a generation."""
    hashed = hashlib.blake2b(digest_size=16)
    for name in sorted(records):
        hashed.update(len(name).to_bytes(4, "big") + name + len(records[name]).to_bytes(8, "big") + records[name])
    return hashed.digest()


class Generation(NamedTuple):
    """A complete generation as read from disk."""

    records: dict[bytes, bytes]
    is_intact: bool
    """Whether all copies of all records are undamaged."""


def verify(stored: list[StoredRecord]) -> Generation | None:
    """Check the records of a generation against its seal; None if it is incomplete."""
    counts = count_copies(stored)
    records = {name: max(values, key=lambda value: values[value]) for name, values in counts.items()}
    stored_seal = records.pop(SEAL, None)
    if stored_seal is None or stored_seal != seal_checksum(records):
        return None
    return Generation(records, all(sum(values.values()) >= COPIES for values in counts.values()))


class GenerationFile:
    """A named set of records, stored as numbered generations.

    Methods block on disk I/O and must be called from a thread of their own.
    """

    def __init__(self, folder: Path, name: str, file_system: FileSystem | None = None) -> None:
        self.folder, self.name = folder, name
        self.file_system = file_system or OsFileSystem()
        self.latest_number = 0
        """The highest generation number in use."""
        self.records: dict[bytes, bytes] | None = None
        """The records as last saved or loaded."""
        self.current_number = 0
        """The number of the generation that holds ``records``."""
        self.has_lost_data = False
        """Whether a generation that was synced can no longer be read."""
        self.is_durable = False
        """Whether the current generation is known to be synced.

        A generation without a mark may have been written but not synced by a process that was killed. It must be saved
        again before anything relies on it.
        """
        self.unmarked_number: int | None = None
        """The number of the latest generation if it is synced but not marked yet."""
        self.marking_fails = False
        """Whether the last mark could not be written."""

    def path(self, number: int) -> Path:
        """The path of a generation, without the suffixes of its files."""
        return self.folder / f"{self.name}-{number:012d}"

    def numbers(self) -> list[int]:
        """The numbers of all generations on disk, complete or not, highest first."""
        found: list[int] = []
        for stem in self.file_system.list(self.folder):
            name, _, number = stem.rpartition("-")
            if name == self.name and number.isdecimal():
                found.append(int(number))
        return sorted(set(found), reverse=True)

    def load(self, repair: bool = True) -> dict[bytes, bytes] | None:
        """Load the records of the highest complete generation.

        Args:
            repair: Whether to save the records again if a copy is damaged; without it, no file is modified.

        Returns:
            The records; None if there are none or if durable data was lost (:attr:`has_lost_data`).

        Raises:
            OSError: The folder can't be read.
        """
        numbers = self.numbers()
        self.latest_number = max(self.latest_number, numbers[0] if numbers else 0)
        for number in numbers:
            path = self.path(number)
            generation = self.read(path)
            if generation is not None:
                self.records, self.current_number = generation.records, number
                self.is_durable = self.file_system.is_marked(path)
                if repair and not generation.is_intact:
                    self.rewrite(path)
                return generation.records
            if self.file_system.is_marked(path):
                log.error("durable files are damaged", extra={"code": "DISK_SEAL", **self.describe(path)})
                self.has_lost_data = True
                return None
            log.warning("a save was cut short", extra={"code": "DISK_TORN", **self.describe(path)})
        return None

    def read(self, path: Path) -> Generation | None:
        """Read a generation; None if it is incomplete or can't be read."""
        try:
            return verify(self.file_system.read(path))
        except OSError:
            log.warning("files can't be read", extra={"code": "DISK_UNREADABLE", "pair": str(path)})
            return None

    def describe(self, path: Path) -> dict[str, object]:
        """What is left of an unreadable generation, for the log: the number of undamaged copies by record."""
        try:
            counts = count_copies(self.file_system.read(path))
        except OSError as error:
            return {"pair": str(path), "error": str(error)}
        return {"pair": str(path), "copies": {name.decode(): sum(values.values()) for name, values in counts.items()}}

    def rewrite(self, path: Path) -> None:
        """Save the records of a damaged generation again, as a new generation."""
        log.warning("repairing a damaged copy", extra={"code": "DISK_MENDED", "pair": str(path)})
        if self.records is None:
            return
        try:
            self.save(self.records)
        except OSError:
            log.warning("repairing a damaged copy failed", extra={"code": "DISK_REFUSES"})

    def verify_and_repair(self) -> bool:
        """Compare the current generation with the records in memory, and save these again if it differs.

        Returns:
            Whether the generation was undamaged.
        """
        if self.records is None:
            return True
        path = self.path(self.current_number)
        generation = self.read(path)
        is_undamaged = generation is not None and generation.is_intact and generation.records == self.records
        if not is_undamaged:
            self.rewrite(path)
        return is_undamaged

    def save(self, records: dict[bytes, bytes]) -> None:
        """Save records as a new generation, which is durable when this returns.

        Raises:
            OSError: The save failed. The previous generation stays current, and the new number is not reused.
        """
        self.latest_number += 1
        number = self.latest_number
        path = self.path(number)
        try:
            self.file_system.write(path, encode({**records, SEAL: seal_checksum(records)}))
            self.file_system.sync(path)
        except OSError:
            self.discard(number)
            raise
        self.records, self.current_number, self.is_durable = records, number, True
        self.unmarked_number = number
        for old in self.numbers()[KEPT_GENERATIONS:]:
            self.discard(old)

    def mark(self) -> bool:
        """Mark the latest generation as synced.

        Durability doesn't depend on the mark, but without it a damaged generation looks like an interrupted save.
        Failed saves are never marked.

        Returns:
            Whether the generation is marked, or there was nothing to mark.
        """
        if self.unmarked_number is None:
            return True
        path, self.unmarked_number = self.path(self.unmarked_number), None
        try:
            self.file_system.mark(path)
            error = "" if self.file_system.is_marked(path) else "written, but not found in the folder"
        except OSError as os_error:
            error = repr(os_error)
        if bool(error) != self.marking_fails:
            self.marking_fails = bool(error)
            self.log_marking(path, error)
        return not error

    def log_marking(self, path: Path, error: str) -> None:
        """Log that marks begin to fail, or that they succeed again."""
        if error:
            log.error(
                "generations can't be marked: later damage would look like an interrupted save",
                extra={"code": "DISK_UNMARKED", "pair": str(path), "error": error},
            )
        else:
            log.warning("generations can be marked again", extra={"code": "DISK_MARKED", "pair": str(path)})

    def discard(self, number: int) -> None:
        """Remove a generation; failures are logged."""
        try:
            self.file_system.remove(self.path(number))
        except OSError:
            log.warning("files can't be removed", extra={"code": "DISK_REMOVE"})
