"""Timeouts and intervals of the protocol between replicas, in s, each by a replica's own monotonic clock."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1  # between two heartbeats to the others
ELECTION_TIMEOUT = 0.7  # without a heartbeat of the leader after which the next voter in order stands for election ...
ELECTION_STAGGER = 0.35  # ... and each further one so much later
STARTUP_GRACE = 0.25  # after its own start for which a replica takes the others to be up, before it has heard them
LEADER_STICKINESS = 0.45  # since the leader's last heartbeat for which no vote is given to another
QUORUM_TIMEOUT = 0.9  # without a heartbeat of a majority after which the leader steps down
ELECTION_ROUND = 0.5  # for which a candidate asks for votes before it tries a higher term
RESEND_AFTER = 0.15  # after which an unanswered message is sent again
STALL_THRESHOLD = 0.3  # between two ticks from which on this process stood still, or was not given the processor
