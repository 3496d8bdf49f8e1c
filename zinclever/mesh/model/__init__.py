"""Simulated worlds of the mesh's state machines, for tests and measurements."""
