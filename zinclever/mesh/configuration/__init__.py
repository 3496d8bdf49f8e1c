"""Operators' configurations: parsing, validation, route lookup, the one in force, and who is asked for a newer one."""
