"""Gossip: which nodes and endpoints there are, failure detection, anti-entropy."""
