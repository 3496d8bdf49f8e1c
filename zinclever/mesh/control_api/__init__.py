"""HTTP calls to a node: by endpoints, operators and the platform."""
