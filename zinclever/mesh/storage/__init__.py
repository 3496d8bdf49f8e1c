"""Durable files: sets of records that are whole or not there, whenever power is lost."""
