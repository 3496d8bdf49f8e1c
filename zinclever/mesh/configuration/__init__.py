"""Operators' configurations: parsing, checks, route lookup, the one in force."""
