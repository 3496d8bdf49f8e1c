"""Operator configurations: parsing, validation, route lookup, the active configuration, and fetching newer ones."""
