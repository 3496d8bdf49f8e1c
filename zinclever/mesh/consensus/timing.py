"""Spans of the protocol between replicas, in s. Each is measured on a replica's own steady clock."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1  # between two heartbeats of a member to the others
ELECTION_TIMEOUT = 0.7  # without a heartbeat of the leader after which the next in order stands for election ...
ELECTION_STAGGER = 0.35  # ... and each further one so much later
STARTUP_GRACE = 0.25  # after its own start for which a member takes the others to be up, before it has heard them
LEADER_STICKINESS = 0.45  # since the leader's last heartbeat for which nobody helps to replace it
QUORUM_TIMEOUT = 0.9  # without a heartbeat of a majority after which the leader steps down
ELECTION_ROUND = 0.5  # for which votes are asked for before a higher term is tried
RESEND_AFTER = 0.15  # after which what is not answered is sent again
STANDSTILL = 0.3  # between two ticks from which on this member has stood still, or was not given the processor
