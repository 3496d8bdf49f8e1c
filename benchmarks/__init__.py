"""Measurements that are too long for CI. Each prints its figures; the operators' pages quote them."""
