"""Simulated time and a simulated TCP/IP network, on which the unmodified program runs.

:mod:`~zinclever.simnet.scheduler` holds the virtual clock and the events, :mod:`~zinclever.simnet.network` the machines
and the paths between them, :mod:`~zinclever.simnet.tcp` the kernel's state of each connection,
:mod:`~zinclever.simnet.loop` an asyncio event loop for each process, and :mod:`~zinclever.simnet.host` what a process
reads of its machine. No sockets, clocks or random generators of the real machine are used.
"""
