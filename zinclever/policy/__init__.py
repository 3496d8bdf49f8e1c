"""The decision module: events in, actions out, no sockets and no clock. :class:`Balancer` joins its parts."""

from .balancer import Balancer
from .requests import HEDGE_DELAY_SHARE

__all__ = ["HEDGE_DELAY_SHARE", "Balancer"]
