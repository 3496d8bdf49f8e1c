"""Durable files that are whole or not there."""
