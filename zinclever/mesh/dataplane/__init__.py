"""The data plane of the mesh: the way out, the hop to the sidecar beside an endpoint, and that endpoint."""
