"""The disk: files that are whole or not there."""
