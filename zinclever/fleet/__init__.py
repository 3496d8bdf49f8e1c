"""What each instance decides for itself so that many instances can share a fleet: its subset, its share of the limits.

The modules do no I/O and read no clock: the current instant (in ms) and the random generator are arguments.
"""
