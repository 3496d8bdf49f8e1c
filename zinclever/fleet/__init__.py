"""What an instance decides because it is one of many: its subset of a large fleet, its part of what all may use.

No I/O and no clock: the instant is handed in, in ms, and everything random comes from a generator that is
handed in.
"""
