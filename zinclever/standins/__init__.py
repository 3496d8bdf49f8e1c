"""Test doubles of the systems around a sidecar, and the auditor of the four rules, for tests and benchmarks.

Each endpoint is a server on 127.0.0.1 whose faults are scripted or drawn from a seed, and which logs the requests that
it receives and executes. Clients and discovery write to the same :class:`~zinclever.standins.log.Log`;
:func:`~zinclever.standins.audit.audit` reads it and reports each violation, whatever the protocol.
"""

from .audit import Breach, RuleParameters, audit
from .faults import Fault, Plan, Step, always, in_turn, seeded
from .log import Log

__all__ = ["Breach", "Fault", "Log", "Plan", "RuleParameters", "Step", "always", "audit", "in_turn", "seeded"]
