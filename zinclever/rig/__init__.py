"""Runs scenarios ("days") on real sidecar processes on one machine, with network faults, and audits the result.

The scenarios, servers, applications and figures are those of :mod:`zinclever.sim`; processes, clock and network are
real.
"""
