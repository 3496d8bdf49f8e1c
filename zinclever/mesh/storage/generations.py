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


class Disk:
    """:class:`Files` of the operating system."""

    PAIR = (".dat", ".dir", ".bak")
    MARK = ".ok"

    def write(self, path: Path, values: dict[bytes, bytes]) -> None:
        self.remove(path)
        with dbm.dumb.open(os.fspath(path), "n") as pair:
            for key, value in values.items():
                pair[key] = value
        path.with_suffix(".bak").unlink(missing_ok=True)

    def sync(self, path: Path) -> None:
        """The index isn't: records are found without it."""
        fsync(path.with_suffix(".dat"))
        fsync(path.parent)

    def mark(self, path: Path) -> None:
        path.with_suffix(self.MARK).touch()
        fsync(path.with_suffix(self.MARK))

    def marked(self, path: Path) -> bool:
        return path.with_suffix(self.MARK).exists()

    def read(self, path: Path) -> Found:
        if not path.with_suffix(".dat").exists():
            return []
        try:
            return self.read_indexed(path) or scan(path.with_suffix(".dat").read_bytes())
        except UNREADABLE:
            return scan(path.with_suffix(".dat").read_bytes())

    def read_indexed(self, path: Path) -> Found:
        """By the index; nothing where anything is wrong with what it says."""
        if not path.with_suffix(".dir").exists():
            return []
        with dbm.dumb.open(os.fspath(path), "r") as pair:
            values = {key: pair[key] for key in pair.keys() if isinstance(key, bytes)}  # noqa: SIM118
        if SEAL in values:  # as version 1 wrote them: each record once, without a checksum of its own
            return [(name, value) for name, value in values.items() for _ in range(COPIES)]
        found = [unpack(value) for value in values.values()]
        return [f for f in found if f is not None] if None not in found else []

    def remove(self, path: Path) -> None:
        for suffix in (self.MARK, *self.PAIR):
            path.with_suffix(suffix).unlink(missing_ok=True)

    def list(self, folder: Path) -> list[str]:
        return sorted({p.stem for p in folder.iterdir()})


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
                self.records = pair.records
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
        path = self.path(self.number)
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
        self.records = records
        for number in self.numbers()[KEPT:]:
            self.discard(number)

    def mark(self) -> None:
        """Note that the latest pair was synced. Not waited for by anybody: without it a pair that is damaged looks like
        a save that was cut short."""
        if self.records is None:
            return
        try:
            self.files.mark(self.path(self.number))
        except OSError:
            log.warning("no mark can be made", extra={"code": "DISK_REFUSES"})

    def discard(self, number: int) -> None:
        try:
            self.files.remove(self.path(number))
        except OSError:
            log.warning("files can't be removed", extra={"code": "DISK_REMOVE"})
