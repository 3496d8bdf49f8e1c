"""Consensus: a replicated log of configurations and voters among the control nodes.

:class:`.replica.Replica` is one replica as a pure state machine; :mod:`.replica_store` keeps its state on disk.
"""
