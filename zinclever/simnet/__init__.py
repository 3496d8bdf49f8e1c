"""Simulated time and a simulated TCP/IP network, on which the unchanged program runs.

:mod:`~zinclever.simnet.scheduler` is the one clock, :mod:`~zinclever.simnet.network` the machines and the ways
between them, :mod:`~zinclever.simnet.tcp` what a kernel keeps of each connection, :mod:`~zinclever.simnet.loop` an
asyncio event loop for each process, :mod:`~zinclever.simnet.host` what a process reads of its machine. Nothing here
touches a socket, a clock or a generator of the machine that it runs on.
"""
