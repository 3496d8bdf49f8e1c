"""Forwarding of requests: egress for clients, attempts to other sidecars, ingress in front of the endpoint."""
