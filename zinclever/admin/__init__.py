"""The admin server: health status and metrics of this process for operators.

:mod:`~zinclever.admin.figures` renders the metrics and does no I/O; :mod:`~zinclever.admin.server` answers HTTP calls.
"""
