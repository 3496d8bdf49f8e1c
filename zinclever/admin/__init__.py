"""Where operators call: whether this process takes clients, and its figures.

:mod:`~zinclever.admin.figures` words what is counted and does no I/O; :mod:`~zinclever.admin.server` answers calls.
"""
