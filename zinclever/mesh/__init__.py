"""The mesh: who is there, the operators' configuration and its delivery, round the sidecar in service.

Layers, from below: :mod:`.dance` (wire), :mod:`.wax` (disk), the pure machines :mod:`.gossip` (who is there and what is
known), :mod:`.comb` (the one order of changes), :mod:`.fetched` (configurations) and :mod:`.forage` (the data plane's
own
decisions), then the I/O round them and :mod:`.roles`, which puts them together.
"""
