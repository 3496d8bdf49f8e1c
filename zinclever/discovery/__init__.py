"""Sources of endpoint lists: the platform's discovery service, or the operator file."""
