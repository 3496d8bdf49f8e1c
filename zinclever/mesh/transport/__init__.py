"""Framed TCP connections between the processes of the mesh, dialing, and channels that multiplex calls."""
