"""Decisions of a client-side load balancer: speculative copies over a latency-payoff draw."""

from . import native

native.install()  # before the first of the modules that may be compiled is imported

from . import interface  # noqa: E402
from .interface import Settings  # noqa: E402
from .policy import Balancer  # noqa: E402

__all__ = ["Balancer", "Settings", "interface"]
__version__ = "0.1.0"
