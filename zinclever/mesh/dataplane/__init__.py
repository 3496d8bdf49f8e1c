"""Forwarding of requests: egress, the hop to another sidecar, and the keeper of an endpoint."""
