"""Test harness: records the file operations of a folder, and shows what a power failure may leave of them.

As DEPLOY has it: a file holds what its last sync covered, and each write after that may be present, absent or torn; a
new file persists through its own sync or that of its folder, a rename or removal through that of its folder, and each
name that changed without it may be kept or lost by itself.
"""

from __future__ import annotations

import io
import os
import random
import shutil
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol
from unittest import mock

BLOCK_BYTES = 512
NEWLINE = ord("\n")


class PowerFailure(Exception):
    """The power fails before an operation. Not an OSError, so that code under test doesn't handle it."""


@dataclass(frozen=True, slots=True)
class Write:
    """A write to a file."""

    offset: int
    data: bytes

    def boundaries(self) -> list[int]:
        """Return the lengths at which a line or a block of the file ends: tears there are hard to detect."""
        lines = [index + 1 for index, byte in enumerate(self.data) if byte == NEWLINE]
        return [0, *lines, *range(BLOCK_BYTES - self.offset % BLOCK_BYTES, len(self.data), BLOCK_BYTES)]

    def torn(self, length: int) -> Write:
        """Return what is left of the write if only its first ``length`` bytes are present."""
        return Write(self.offset, self.data[:length])

    def zeroed(self, length: int) -> Write:
        """Return what is left if the file has grown by the whole write, but the rest of its bytes is absent."""
        return Write(self.offset, self.data[:length] + bytes(len(self.data) - length))


@dataclass(slots=True, eq=False)
class RecordedFile:
    """The content of a file by its last sync, and the writes since."""

    synced: bytes = b""
    unsynced: list[Write] = field(default_factory=list)

    def content(self, remains_of: RemainsOf) -> bytes:
        """Return the content, with what remains of each unsynced write."""
        content = bytearray(self.synced)
        for write in self.unsynced:
            for remaining in remains_of(write):
                content.extend(bytes(max(0, remaining.offset - len(content))))
                content[remaining.offset : remaining.offset + len(remaining.data)] = remaining.data
        return bytes(content)


RemainsOf = Callable[[Write], list[Write]]
KeepsName = Callable[[str], bool]


def present(write: Write) -> list[Write]:
    """An unsynced write is present."""
    return [write]


def absent(write: Write) -> list[Write]:
    """An unsynced write is absent."""
    return []


class FolderObserver(Protocol):
    """Is told of each operation on the files of a folder, after it was carried out."""

    def on_created(self, name: str) -> None: ...
    def on_written(self, name: str, write: Write) -> None: ...
    def on_synced(self, name: str) -> None: ...
    def on_folder_synced(self) -> None: ...
    def on_renamed(self, old: str, new: str) -> None: ...
    def on_removed(self, name: str) -> None: ...


class DiskRecord:
    """What was written to the files of a folder, and what of it is durable."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        """Begin with durable files, given by name."""
        self.files = {name: RecordedFile(content) for name, content in (files or {}).items()}
        self.durable_files = dict(self.files)

    def on_created(self, name: str) -> None:
        self.files[name] = RecordedFile()

    def on_written(self, name: str, write: Write) -> None:
        self.files[name].unsynced.append(write)

    def on_synced(self, name: str) -> None:
        file = self.files[name]
        file.synced, file.unsynced = file.content(present), []
        self.durable_files[name] = file

    def on_folder_synced(self) -> None:
        self.durable_files = dict(self.files)

    def on_renamed(self, old: str, new: str) -> None:
        self.files[new] = self.files.pop(old)

    def on_removed(self, name: str) -> None:
        del self.files[name]

    def unsynced_writes(self) -> list[Write]:
        """Return all unsynced writes to files that have a name."""
        return [write for file in self.files.values() for write in file.unsynced]

    def after_power_failure(self, keeps_name: KeepsName, remains_of: RemainsOf) -> dict[str, bytes]:
        """Return the files by name.

        ``keeps_name`` tells whether an unsynced creation, rename or removal of a name is kept.
        """
        contents: dict[str, bytes] = {}
        for name in {*self.files, *self.durable_files}:
            file = (self.files if keeps_name(name) else self.durable_files).get(name)
            if file is not None:
                contents[name] = file.content(remains_of)
        return contents

    def draw_power_failure(self, rng: random.Random) -> dict[str, bytes]:
        """Return the files by name, with random fates of all that was not synced."""

        def remains_of(write: Write) -> list[Write]:
            length = rng.choice((rng.randrange(len(write.data) + 1), rng.choice(write.boundaries())))
            return rng.choice(([], [write], [write.torn(length)], [write.zeroed(length)]))

        if rng.random() < 0.2:  # some losses of power remove every unsynced write
            return self.after_power_failure(lambda name: False, absent)
        return self.after_power_failure(lambda name: rng.random() < 0.5, remains_of)


class DurableCopy:
    """A copy of what is durable in a folder, in a folder of its own: it outlives the process that writes the files."""

    SUFFIX = ".durable"
    INCOMPLETE = ".new"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.copy = folder.with_name(folder.name + self.SUFFIX)

    def on_created(self, name: str) -> None:
        """Do nothing: what is not synced isn't in the copy."""

    def on_written(self, name: str, write: Write) -> None:
        """Do nothing: what is not synced isn't in the copy."""

    def on_renamed(self, old: str, new: str) -> None:
        """Do nothing: what is not synced isn't in the copy."""

    def on_removed(self, name: str) -> None:
        """Do nothing: what is not synced isn't in the copy."""

    def on_synced(self, name: str) -> None:
        self.keep(name, (self.folder / name).read_bytes())

    def on_folder_synced(self) -> None:
        names, kept = set(os.listdir(self.folder)), set(os.listdir(self.copy))
        for name in names - kept:
            self.keep(name, b"")
        for name in kept - names:
            (self.copy / name).unlink()

    def keep(self, name: str, content: bytes) -> None:
        """Replace a file of the copy; the process may be killed at any time."""
        incomplete = self.copy / (name + self.INCOMPLETE)
        incomplete.write_bytes(content)
        incomplete.replace(self.copy / name)

    def record(self) -> DiskRecord:
        """Return the record of the folder, in which each file has one unsynced write at most."""
        durable = {path.name: path.read_bytes() for path in self.copy.iterdir() if path.suffix != self.INCOMPLETE}
        record = DiskRecord(durable)
        record.files = {}
        for path in self.folder.iterdir():
            file = record.durable_files.get(path.name, RecordedFile())
            content = path.read_bytes()
            if content != file.synced:
                file.unsynced.append(Write(0, content))
            record.files[path.name] = file
        return record

    def lose_power(self, rng: random.Random) -> None:
        """Leave in the folder, and in the copy, what a power failure leaves."""
        if not self.folder.exists():
            return
        contents = self.record().draw_power_failure(rng)
        for folder in (self.folder, self.copy):
            write_files(folder, contents)

    def lose_disk(self) -> None:
        """Remove the folder and the copy."""
        for folder in (self.folder, self.copy):
            shutil.rmtree(folder, ignore_errors=True)


class RecordedDisk:
    """Tells an observer what this process does to the files of a folder, which has no subfolders."""

    def __init__(self, folder: Path, observer: FolderObserver) -> None:
        self.folder, self.observer = folder, observer
        self.operations = 0
        self.fails_at: int | None = None
        """The number of the operation before which the power fails."""

    def begin_operation(self) -> None:
        """Count an operation. Raises PowerFailure if the power has failed."""
        if self.fails_at is not None and self.operations >= self.fails_at:
            raise PowerFailure
        self.operations += 1

    def name_of(self, path: str | bytes | os.PathLike[Any]) -> str | None:
        """Return the name of a file in the folder; None for other paths."""
        folder, name = os.path.split(os.path.abspath(os.fsdecode(path)))
        return name if folder == os.fspath(self.folder) else None

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Record the operations of this process; all others pass through."""
        with ExitStack() as patches:
            replacements: dict[str, Callable[..., Any]] = {"fsync": self.fsync, "rename": self.rename}
            replacements |= {"unlink": self.unlink, "remove": self.unlink}
            for name, replacement in replacements.items():
                patches.enter_context(mock.patch.object(os, name, replacement))
            patches.enter_context(mock.patch.object(io, "open", self.open))
            yield

    def open(self, path: Any, mode: str = "r", buffering: int = -1, *rest: Any, **options: Any) -> Any:
        name = self.name_of(path) if isinstance(path, (str, bytes, os.PathLike)) else None
        if name is None or mode in ("r", "rb"):
            return real_open(path, mode, buffering, *rest, **options)
        raw = RecordingFile(self, name, os.fsdecode(path), mode.replace("b", "").replace("t", ""))
        buffered = io.BufferedRandom(raw) if raw.readable() else io.BufferedWriter(raw)
        return buffered if "b" in mode else io.TextIOWrapper(buffered, encoding=options.get("encoding"))

    def fsync(self, descriptor: int) -> None:
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        name = self.name_of(path)
        is_folder = path == os.fspath(self.folder)
        if name is not None or is_folder:
            self.begin_operation()
        if name is not None:
            self.observer.on_synced(name)
        elif is_folder:
            self.observer.on_folder_synced()
        else:
            real_fsync(descriptor)

    def rename(self, old: Any, new: Any) -> None:
        names = self.name_of(old), self.name_of(new)
        if names[0] is not None:
            self.begin_operation()
        real_rename(old, new)
        if names[0] is not None and names[1] is not None:
            self.observer.on_renamed(names[0], names[1])

    def unlink(self, path: Any, *rest: Any, **options: Any) -> None:
        name = self.name_of(path)
        if name is not None:
            self.begin_operation()
        real_unlink(path, *rest, **options)
        if name is not None:
            self.observer.on_removed(name)


class RecordingFile(io.FileIO):
    """A file in a recorded folder that is open for writing."""

    def __init__(self, disk: RecordedDisk, name: str, path: str, mode: str) -> None:
        self.disk, self.recorded_name, self.appends = disk, name, mode.startswith("a")
        is_new = not os.path.exists(path)
        if is_new:
            disk.begin_operation()
        elif mode.startswith("w"):
            raise NotImplementedError("files of the storage are never truncated")
        super().__init__(path, mode)
        if is_new:
            disk.observer.on_created(name)

    def write(self, data: Any) -> int:
        offset = self.seek(0, os.SEEK_END) if self.appends else self.tell()
        self.disk.begin_operation()
        written = super().write(data)
        self.disk.observer.on_written(self.recorded_name, Write(offset, bytes(data)[:written]))
        return written


real_open, real_fsync, real_rename, real_unlink = io.open, os.fsync, os.rename, os.unlink


def write_files(folder: Path, contents: dict[str, bytes]) -> None:
    """Replace all files of a folder."""
    for path in folder.iterdir():
        path.unlink()
    for name, content in contents.items():
        (folder / name).write_bytes(content)
