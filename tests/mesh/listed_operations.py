"""Test guard that rejects file system operations which DEPLOY doesn't list for the disks of the mesh."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

#: Listed operations, as names of Python's audit events. Reading, writing and syncing an open file raise no event.
LISTED = frozenset({"open", "os.remove", "os.rename", "os.listdir", "os.scandir", "os.truncate"})
#: Prefixes of audit events of file system operations.
FAMILIES = ("os.", "shutil.", "fcntl.", "mmap.", "pathlib.", "tempfile.")
#: Functions of ``os`` that raise no audit event and are not listed.
UNAUDITED = ("stat", "lstat", "access", "umask", "statvfs", "sync", "sendfile", "copy_file_range")


class NotListed(Exception):
    """An operation is not listed. Not an OSError, so that code under test doesn't handle it."""


is_enforced = False


def reject_unlisted(event: str, args: tuple[Any, ...]) -> None:
    """Audit hook. Hooks can't be removed, so it does nothing outside :func:`only_listed_operations`."""
    if is_enforced and event.startswith(FAMILIES) and event not in LISTED:
        raise NotListed(event)


sys.addaudithook(reject_unlisted)


@contextmanager
def only_listed_operations() -> Iterator[None]:
    """A context in which operations of this process that are not listed raise :class:`NotListed`."""
    global is_enforced
    with ExitStack() as patches:
        for name in UNAUDITED:
            patches.enter_context(mock.patch.object(os, name, side_effect=NotListed(name)))
        is_enforced = True
        try:
            yield
        finally:
            is_enforced = False
