"""Calls of endpoints, operators and the platform."""
