"""Files on disk that are whole or not there, on ``dbm.dumb``.

``dbm.dumb`` rewrites its index in place and syncs nothing. So nothing is ever written to a pair of files that counts:
each change makes a new pair under the next number, whose records end with a seal over all of them; the pair is synced,
and only then the one before the last is removed. At a start the highest pair with a sound seal holds. A new file
persists through its own sync (``DEPLOY.md``), so that no pointer to it is needed. Source: ALICE (Pillai and others,
2014).
"""

from __future__ import annotations

import dbm.dumb
import hashlib
import logging
import os
from pathlib import Path
from typing import Protocol

log = logging.getLogger(__name__)

SEAL = b"seal"
KEPT = 2  # pairs: the one that counts, and the one before


class Files(Protocol):
    """What is asked of the file system, so that tests can stop it between any two calls."""

    def write(self, path: Path, records: dict[bytes, bytes]) -> None:
        """A new pair of files. OSError where that can't be."""

    def sync(self, path: Path) -> None: ...

    def read(self, path: Path) -> dict[bytes, bytes]:
        """OSError, ValueError or KeyError where there is no whole pair."""

    def remove(self, path: Path) -> None: ...

    def list(self, folder: Path) -> list[str]: ...


class Disk:
    """:class:`Files` of the operating system."""

    SUFFIXES = (".dat", ".dir")

    def write(self, path: Path, records: dict[bytes, bytes]) -> None:
        for suffix in (*self.SUFFIXES, ".bak"):
            path.with_suffix(suffix).unlink(missing_ok=True)
        with dbm.dumb.open(os.fspath(path), "n") as pair:
            for name, value in records.items():
                pair[name] = value
        path.with_suffix(".bak").unlink(missing_ok=True)

    def sync(self, path: Path) -> None:
        for suffix in self.SUFFIXES:
            descriptor = os.open(path.with_suffix(suffix), os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def read(self, path: Path) -> dict[bytes, bytes]:
        if not path.with_suffix(".dir").exists():
            raise FileNotFoundError(path)
        with dbm.dumb.open(os.fspath(path), "r") as pair:
            return {bytes(name): pair[name] for name in pair.keys() if isinstance(name, bytes)}  # noqa: SIM118

    def remove(self, path: Path) -> None:
        for suffix in (*self.SUFFIXES, ".bak"):
            path.with_suffix(suffix).unlink(missing_ok=True)

    def list(self, folder: Path) -> list[str]:
        return sorted({p.stem for p in folder.iterdir()})


def seal(records: dict[bytes, bytes]) -> bytes:
    """A checksum over all records."""
    made = hashlib.blake2b(digest_size=16)
    for name in sorted(records):
        made.update(len(name).to_bytes(4, "big") + name + len(records[name]).to_bytes(8, "big") + records[name])
    return made.digest()


class Generations:
    """One set of records under a name. Blocks while the disk works: to be called from a thread of its own."""

    def __init__(self, folder: Path, name: str, files: Files | None = None) -> None:
        self.folder, self.name = folder, name
        self.files = files or Disk()
        self.number = 0

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

    def load(self) -> dict[bytes, bytes] | None:
        """The records of the highest pair that is whole; None where there is none."""
        numbers = self.numbers()
        self.number = max(self.number, numbers[0] if numbers else 0)
        for number in numbers:
            try:
                records = self.files.read(self.path(number))
                told = records.pop(SEAL)
            except (OSError, ValueError, KeyError, SyntaxError, TypeError):
                log.warning("a pair of files is torn", extra={"code": "DISK_TORN", "pair": str(self.path(number))})
                continue
            if told == seal(records):
                return records
            log.warning("a pair of files is damaged", extra={"code": "DISK_SEAL", "pair": str(self.path(number))})
        return None

    def save(self, records: dict[bytes, bytes]) -> None:
        """Whole and synced when it returns. OSError: what held before still holds, and these files are never used
        again."""
        self.number += 1
        path = self.path(self.number)
        try:
            self.files.write(path, {**records, SEAL: seal(records)})
            self.files.sync(path)
        except OSError:
            self.discard(self.number)
            raise
        for number in self.numbers()[KEPT:]:
            self.discard(number)

    def discard(self, number: int) -> None:
        try:
            self.files.remove(self.path(number))
        except OSError:
            log.warning("files can't be removed", extra={"code": "DISK_REMOVE"})
