"""The operating system's implementation of :class:`~zinclever.core.host.Host`."""

from __future__ import annotations

import os
import select
import signal
import socket as sockets
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from random import Random

from .configuration.reading import read_file
from .core.protocol import Address
from .handover.listener import inherited
from .handover.presence import Presence

LAST_RECEIVED = 52  # byte offset of tcpi_last_data_recv (32 bits, ms) in struct tcp_info (linux/tcp.h)


class System:
    """The machine that the process runs on; see :class:`~zinclever.core.host.Host`."""

    time_ns = staticmethod(time.time_ns)
    monotonic_ns = staticmethod(time.monotonic_ns)
    read_file = staticmethod(read_file)
    inherited = staticmethod(inherited)

    def __init__(self) -> None:
        self.environ: Mapping[str, str] = os.environ

    def random(self) -> Random:
        """See :meth:`~zinclever.core.host.Host.random`."""
        return Random()

    def socket(self) -> sockets.socket:
        """See :meth:`~zinclever.core.host.Host.socket`."""
        return sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM | sockets.SOCK_NONBLOCK)

    def unread(self, sock: sockets.socket) -> bool:
        """See :meth:`~zinclever.core.host.Host.unread`."""
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def ms_since_received(self, sock: sockets.socket) -> float:
        """See :meth:`~zinclever.core.host.Host.ms_since_received`."""
        try:
            info = sock.getsockopt(sockets.IPPROTO_TCP, sockets.TCP_INFO, LAST_RECEIVED + 4)
        except OSError:
            return 0.0
        return float(int.from_bytes(info[LAST_RECEIVED:], sys.byteorder))

    def block_reload_signal(self) -> None:
        """Blocks SIGHUP until :meth:`unblock_reload_signal`: without a handler it would end the process."""
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

    def unblock_reload_signal(self) -> None:
        """See :meth:`~zinclever.core.host.Host.unblock_reload_signal`."""
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def presence(self, address: Address) -> Presence:
        """See :meth:`~zinclever.core.host.Host.presence`."""
        return Presence(Path(tempfile.gettempdir()), address)
