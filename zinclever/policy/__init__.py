"""The decision module: events in, actions out, no sockets and no clock. :class:`Balancer` joins its parts."""

from .balancer import Balancer
from .requests import COPY_DELAY

__all__ = ["COPY_DELAY", "Balancer"]
