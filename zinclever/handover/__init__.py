"""A process that takes over from another under load: the socket that both accept from, and who else is there.

:mod:`~zinclever.handover.listener` takes the socket that the platform keeps, :mod:`~zinclever.handover.presence` tells
how many processes of one sidecar are alive.
"""
