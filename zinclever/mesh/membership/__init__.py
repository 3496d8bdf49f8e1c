"""Membership by gossip: who is there (SWIM), and replicated records of nodes, endpoints and the newest version.

:class:`.gossip.Gossip` puts the parts together; all of them are pure but :mod:`.gossip_socket`.
"""
