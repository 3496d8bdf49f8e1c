"""Takeover by a new process under load: the inherited listening socket, and detection of the other processes.

:mod:`~zinclever.handover.listener` opens the listening socket that the platform keeps,
:mod:`~zinclever.handover.presence` counts the live processes of a sidecar.
"""
