"""Simulations and a model checker for the mesh's state machines, used by tests and benchmarks."""
