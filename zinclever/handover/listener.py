"""The listening socket for clients, if the platform keeps it open and each process inherits it."""

from __future__ import annotations

import socket


def inherited(descriptor: int) -> socket.socket:
    """Returns the socket of an inherited descriptor. Raises OSError unless it is a listening TCP socket.

    Connections that have not been accepted stay queued when a process closes its descriptor; the next process that
    accepts gets them.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(error.errno, f"inherited descriptor {descriptor} is no socket: {error.strerror}") from error
    listens = sock.type == socket.SOCK_STREAM and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if not listens:
        sock.detach()  # leave the descriptor open: it serves another purpose
        raise OSError(f"inherited descriptor {descriptor} doesn't listen")
    sock.setblocking(False)
    return sock
