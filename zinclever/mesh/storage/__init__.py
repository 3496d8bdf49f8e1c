"""Durable storage: sets of records that are saved atomically even if power fails."""
