"""Benchmarks that run too long for CI. Each prints its figures; the operators' documentation quotes them."""
