"""The configuration tool: write, check, explain, compare, migrate, show. A running sidecar loads none of it."""
