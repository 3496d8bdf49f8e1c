"""The HTTP API of a node for endpoints, operators and the platform: a router and the listener."""
