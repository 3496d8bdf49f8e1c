"""A client-side load balancer: latency-aware endpoint selection with speculative (hedged) requests."""

from . import native

native.install()  # before any module that may be compiled is imported

from . import interface  # noqa: E402
from .interface import Settings  # noqa: E402
from .policy import Balancer  # noqa: E402

__all__ = ["Balancer", "Settings", "interface"]
__version__ = "0.1.0"
