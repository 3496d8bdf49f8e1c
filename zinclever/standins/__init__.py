"""Stand-ins for the systems round a sidecar, and the auditor of the four rules. For tests and benchmarks.

Every endpoint here is a server on 127.0.0.1 whose faults are scripted or drawn from a seed, and that keeps a
log of what it was sent and what it ran. Clients and discovery write to the same :class:`~zinclever.standins.log.Log`;
:func:`~zinclever.standins.audit.audit` reads it and names each breach, whatever the protocol.
"""

from .audit import Breach, Terms, audit
from .faults import Fault, Plan, Step, always, in_turn, seeded
from .log import Log

__all__ = ["Breach", "Fault", "Log", "Plan", "Step", "Terms", "always", "audit", "in_turn", "seeded"]
