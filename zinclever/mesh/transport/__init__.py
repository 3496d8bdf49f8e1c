"""Frames between two processes of the mesh: connections, dialling, and channels that multiplex calls."""
