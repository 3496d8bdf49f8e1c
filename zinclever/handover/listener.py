"""The clients' listening socket where the platform keeps it and every process inherits it."""

from __future__ import annotations

import socket


def inherited(descriptor: int) -> socket.socket:
    """The socket behind a descriptor. OSError, with a reason, where it is none that listens on TCP.

    Connections that nobody has accepted stay in it when a process closes its own descriptor: the next one that
    accepts gets them.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as wrong:
        raise OSError(wrong.errno, f"inherited descriptor {descriptor} is no socket: {wrong.strerror}") from wrong
    listens = sock.type == socket.SOCK_STREAM and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if not listens:
        sock.detach()  # it isn't ours to close
        raise OSError(f"inherited descriptor {descriptor} doesn't listen")
    sock.setblocking(False)
    return sock
