"""Consensus among the control nodes: a replicated log of the configuration and the voter set.

:class:`.replica.Replica` implements the protocol as a state machine without I/O; :mod:`.replica_store` persists its
state.
"""
