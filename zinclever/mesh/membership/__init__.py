"""Gossip membership: SWIM failure detection and replicated records of nodes, endpoints and the newest configuration.

:class:`.gossip.Gossip` combines the parts. Only :mod:`.gossip_socket` does I/O.
"""
