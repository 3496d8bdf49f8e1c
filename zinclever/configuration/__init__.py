"""Configuration: one model of both files, its checks, and the typed settings made from what passes them.

The program and the tool ask the same :func:`~zinclever.configuration.check.check`, so that they never disagree.
"""
