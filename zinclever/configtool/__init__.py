"""The config tool: writes, checks, explains, compares, migrates and shows files. A running sidecar never imports it."""
