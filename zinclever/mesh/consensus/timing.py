"""Timeouts and intervals of the consensus protocol, in seconds of a replica's own monotonic clock."""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.1
ELECTION_TIMEOUT = 0.7  # without contact to the leader, until the first voter in election order becomes a candidate
ELECTION_STAGGER = 0.35  # additional delay of each further voter in election order
STARTUP_GRACE = 0.25  # after the start of a replica, during which it presumes that the other voters are up
LEADER_STICKINESS = 0.45  # after a heartbeat of the leader, during which votes for other candidates are denied
QUORUM_TIMEOUT = 0.9  # without contact to a majority, until the leader steps down
ELECTION_ROUND = 0.5  # until a candidate without a majority gives up its term
RESEND_AFTER = 0.15  # until a proposal is resent to voters that have not acknowledged it
BOOTSTRAP_STAGGER = 1.0  # until the next initial member proposes the first voter set, if those before it don't
BOOTSTRAP_TIMEOUT = 2.0  # from the proposal of the first voter set, until it is proposed again in a higher term
STALL_THRESHOLD = 0.3  # gap between two ticks that is treated as a stall of this process
