"""The balancing policy: :class:`Balancer` turns events into actions. It has no sockets and reads no clock."""

from .balancer import Balancer
from .requests import HEDGE_DELAY_SHARE

__all__ = ["HEDGE_DELAY_SHARE", "Balancer"]
