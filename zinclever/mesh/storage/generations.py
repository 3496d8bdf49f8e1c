"""Sets of records on disk that are whole or not there, on ``dbm.dumb``.

``dbm.dumb`` rewrites its index in place and syncs nothing. So nothing is ever written to a pair of files that counts:
each change makes a new pair under the next number, synced with its folder before anything is promised; the one before
the last is removed only then. At a start the highest pair that is whole holds. Each record is there twice under a
checksum of its own (:mod:`.record_format`), with a seal over all of them: a damaged copy is mended from the other
one. Once a
pair is synced a mark is put beside it: a pair without one that can't be read is a save that power cut short, and the
one before it holds; a pair with one was promised, and nothing older may stand for it. Source: ALICE (Pillai and
others, 2014).
"""

from __future__ import annotations

import dbm.dumb
import hashlib
import logging
import os
from pathlib import Path
from typing import NamedTuple, Protocol

from .record_format import COPIES, count, pack, scan, unpack

log = logging.getLogger(__name__)

SEAL = b"seal"
KEPT = 2  # pairs: the one that counts, and the one before
UNREADABLE = (OSError, ValueError, KeyError, SyntaxError, TypeError)  # what a damaged index makes the library raise

Found = list[tuple[bytes, bytes]]


class Files(Protocol):
    """What is asked of the file system, so that tests can stop it between any two calls."""

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        """A new pair of files. OSError where that can't be."""

    def sync(self, path: Path) -> None:
        """The pair lasts from here on."""

    def mark(self, path: Path) -> None:
        """That the pair was synced lasts from here on."""

    def marked(self, path: Path) -> bool: ...

    def read(self, path: Path) -> Found:
        """The sound records that are there, one for each copy. Nothing where there is no file."""

    def remove(self, path: Path) -> None: ...

    def list(self, folder: Path) -> list[str]: ...


class PlainDatabase(dbm.dumb._Database):
    """``dbm.dumb`` without its changes of file modes, which the disks of the mesh don't offer."""

    def __init__(self, path: Path, flag: str) -> None:
        super().__init__(os.fspath(path), "", flag)

    def _chmod(self, file: str) -> None:
        """Called by the library after it has made a file: the mode stays as it is."""


class Disk:
    """:class:`Files` of the operating system.

    Uses only what the machines of the mesh offer: open, read, write, rename, remove, list, and sync of a file or a
    folder. ``Path.touch`` and ``Path.exists`` set or ask a file's attributes, which these disks may take no notice of.
    """

    PAIR = (".dat", ".dir", ".bak")
    MARK = ".ok"
    MARK_TEXT = b"synced\n"

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        self.remove(path)
        with PlainDatabase(path, "n") as pair:
            for key, value in values.items():
                pair[key] = value
        path.with_suffix(".bak").unlink(missing_ok=True)

    def sync(self, path: Path) -> None:
        """The index isn't: records are found without it."""
        fsync(path.with_suffix(".dat"))
        fsync(path.parent)

    def mark(self, path: Path) -> None:
        with path.with_suffix(self.MARK).open("wb") as mark:
            mark.write(self.MARK_TEXT)
            mark.flush()
            os.fsync(mark.fileno())
        fsync(path.parent)

    def marked(self, path: Path) -> bool:
        return path.with_suffix(self.MARK).name in os.listdir(path.parent)

    def read(self, path: Path) -> Found:
        try:
            data = path.with_suffix(".dat").read_bytes()
        except FileNotFoundError:
            return []
        try:
            return self.read_indexed(path) or scan(data)
        except UNREADABLE:
            return scan(data)

    def read_indexed(self, path: Path) -> Found:
        """By the index; nothing where anything is wrong with what it says. OSError where there is none."""
        with PlainDatabase(path, "r") as pair:
            values = {key: pair[key] for key in pair.keys() if isinstance(key, bytes)}  # noqa: SIM118
        if SEAL in values:  # as version 1 wrote them: each record once, without a checksum of its own
            return [(name, value) for name, value in values.items() for _ in range(COPIES)]
        found = [unpack(value) for value in values.values()]
        return [f for f in found if f is not None] if None not in found else []

    def remove(self, path: Path) -> None:
        for suffix in (self.MARK, *self.PAIR):
            path.with_suffix(suffix).unlink(missing_ok=True)

    def list(self, folder: Path) -> list[str]:
        return sorted({Path(name).stem for name in os.listdir(folder)})


def fsync(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def seal(records: dict[bytes, bytes]) -> bytes:
    """A checksum over all records."""
    made = hashlib.blake2b(digest_size=16)
    for name in sorted(records):
        made.update(len(name).to_bytes(4, "big") + name + len(records[name]).to_bytes(8, "big") + records[name])
    return made.digest()


class Pair(NamedTuple):
    """What was read of a pair that is whole."""

    records: dict[bytes, bytes]
    sound: bool
    """All copies of it are."""


def judge(found: Found) -> Pair | None:
    """The records of a pair that its seal vouches for; None where it is not whole."""
    told = count(found)
    records = {name: max(values, key=lambda v: values[v]) for name, values in told.items()}
    sealed = records.pop(SEAL, None)
    if sealed is None or sealed != seal(records):
        return None
    return Pair(records, all(sum(values.values()) >= COPIES for values in told.values()))


class Generations:
    """One set of records under a name. Blocks while the disk works: to be called from a thread of its own."""

    def __init__(self, folder: Path, name: str, files: Files | None = None) -> None:
        self.folder, self.name = folder, name
        self.files = files or Disk()
        self.number = 0
        self.records: dict[bytes, bytes] | None = None
        """As they were saved or read last."""
        self.lost = False
        """What was synced can't be read any more."""
        self.held = 0
        """The number of the pair that ``records`` is in."""
        self.durable = False
        """That pair is known to be synced. One that was read without a mark may be the unsynced work of a process that
        was killed: nothing may be promised on it before it is saved anew."""
        self.unmarked: int | None = None
        """The number of the latest pair, while it is synced and not marked yet."""
        self.guard_fails = False
        """The last mark could not be made."""

    def path(self, number: int) -> Path:
        return self.folder / f"{self.name}-{number:012d}"

    def numbers(self) -> list[int]:
        """Of the pairs that are there, whole or not, highest first."""
        found: list[int] = []
        for stem in self.files.list(self.folder):
            name, _, number = stem.rpartition("-")
            if name == self.name and number.isdecimal():
                found.append(int(number))
        return sorted(set(found), reverse=True)

    def load(self, mend: bool = True) -> dict[bytes, bytes] | None:
        """The records of the highest pair that is whole; None where there is none, or where it is older than what
        was promised (:attr:`lost`). A damaged copy is written anew, unless ``mend`` is False: then nothing is
        changed. OSError where the folder can't be read."""
        numbers = self.numbers()
        self.number = max(self.number, numbers[0] if numbers else 0)
        for number in numbers:
            path = self.path(number)
            pair = self.read(path)
            if pair is not None:
                self.records, self.held = pair.records, number
                self.durable = self.files.marked(path)
                if mend and not pair.sound:
                    self.mend(path)
                return pair.records
            if self.files.marked(path):
                log.error("files that were promised are damaged", extra={"code": "DISK_SEAL", "pair": str(path)})
                self.lost = True
                return None
            log.warning("a save was cut short", extra={"code": "DISK_TORN", "pair": str(path)})
        return None

    def read(self, path: Path) -> Pair | None:
        try:
            return judge(self.files.read(path))
        except OSError:
            log.warning("files can't be read", extra={"code": "DISK_UNREADABLE", "pair": str(path)})
            return None

    def mend(self, path: Path) -> None:
        """Write anew what a damaged pair holds."""
        log.warning("a damaged copy is mended", extra={"code": "DISK_MENDED", "pair": str(path)})
        assert self.records is not None
        try:
            self.save(self.records)
        except OSError:
            log.warning("it can't be mended now", extra={"code": "DISK_REFUSES"})

    def look(self) -> bool:
        """Whether the pair that counts is as it was saved; where it is not, it is written anew from what is held."""
        if self.records is None:
            return True
        path = self.path(self.held)
        pair = self.read(path)
        good = pair is not None and pair.sound and pair.records == self.records
        if not good:
            self.mend(path)
        return good

    def save(self, records: dict[bytes, bytes]) -> None:
        """Whole and synced when it returns. OSError: what held before still holds, and these files are never used
        again."""
        self.number += 1
        path = self.path(self.number)
        try:
            self.files.write(path, pack({**records, SEAL: seal(records)}))
            self.files.sync(path)
        except OSError:
            self.discard(self.number)
            raise
        self.records, self.held, self.durable = records, self.number, True
        self.unmarked = self.number
        for number in self.numbers()[KEPT:]:
            self.discard(number)

    def mark(self) -> bool:
        """Note that the latest pair was synced; whether that could be noted. Not waited for by anybody: without a mark
        a pair that is damaged looks like a save that was cut short. A save that failed is never marked, as nothing was
        promised under its number."""
        if self.unmarked is None:
            return True
        path, self.unmarked = self.path(self.unmarked), None
        try:
            self.files.mark(path)
            wrong = "" if self.files.marked(path) else "made, and not there"
        except OSError as error:
            wrong = repr(error)
        if bool(wrong) != self.guard_fails:
            self.guard_fails = bool(wrong)
            self.tell_guard(path, wrong)
        return not wrong

    def tell_guard(self, path: Path, wrong: str) -> None:
        """One line when marks begin to fail, and one when they can be made again."""
        if wrong:
            log.error(
                "no mark can be made: damage to what was promised would look like a save that was cut short",
                extra={"code": "DISK_UNMARKED", "pair": str(path), "error": wrong},
            )
        else:
            log.warning("marks can be made again", extra={"code": "DISK_MARKED", "pair": str(path)})

    def discard(self, number: int) -> None:
        try:
            self.files.remove(self.path(number))
        except OSError:
            log.warning("files can't be removed", extra={"code": "DISK_REMOVE"})
