"""A file system for tests that offers what DEPLOY lists for the disks of the mesh, and refuses all else."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

#: What is listed, by the names of Python's audit events: open, remove, rename, list, set the length. Reading, writing
#: and syncing need an open file and raise no event.
LISTED = frozenset({"open", "os.remove", "os.rename", "os.listdir", "os.scandir", "os.truncate"})
#: Families of audit events that reach the file system.
FAMILIES = ("os.", "shutil.", "fcntl.", "mmap.", "pathlib.", "tempfile.")
#: Calls that raise no audit event, and would ask or set what the disks don't keep.
UNAUDITED = ("stat", "lstat", "access", "umask", "statvfs", "sync", "sendfile", "copy_file_range")


class NotListed(Exception):
    """An operation was asked for that the disks don't offer. Not an OSError, so that no caller takes it for one."""


refusing = False


def refuse_unlisted(event: str, args: tuple[Any, ...]) -> None:
    """The audit hook: can't be taken out again, so it does nothing unless a test wants it."""
    if refusing and event.startswith(FAMILIES) and event not in LISTED:
        raise NotListed(event)


sys.addaudithook(refuse_unlisted)


@contextmanager
def only_listed_operations() -> Iterator[None]:
    """Within it, each call of this process that is not listed raises :class:`NotListed`."""
    global refusing
    with ExitStack() as patches:
        for name in UNAUDITED:
            patches.enter_context(mock.patch.object(os, name, side_effect=NotListed(name)))
        refusing = True
        try:
            yield
        finally:
            refusing = False
