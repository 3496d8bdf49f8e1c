"""The machine of the operating system, as the program's modules are handed it."""

from __future__ import annotations

import os
import select
import socket as sockets
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from random import Random

from .configuration.reading import read_file
from .core.protocol import Address
from .handover.listener import inherited
from .handover.presence import Presence


class System:
    """A :class:`~zinclever.core.host.Host`."""

    time_ns = staticmethod(time.time_ns)
    monotonic_ns = staticmethod(time.monotonic_ns)
    read_file = staticmethod(read_file)
    inherited = staticmethod(inherited)

    def __init__(self) -> None:
        self.environ: Mapping[str, str] = os.environ

    def random(self) -> Random:
        return Random()

    def socket(self) -> sockets.socket:
        return sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM | sockets.SOCK_NONBLOCK)

    def unread(self, sock: sockets.socket) -> bool:
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def presence(self, address: Address) -> Presence:
        return Presence(Path(tempfile.gettempdir()), address)
