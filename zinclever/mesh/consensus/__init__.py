"""Replication of the configuration among the control replicas."""
