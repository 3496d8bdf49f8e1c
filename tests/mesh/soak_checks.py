"""What a soak checks: the versions that sidecars use, their answers, and requests that are lost. No I/O.

Times are in seconds on the clock of the event loop.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from mesh.early_endpoint import Way
from mesh.observations import ClientRequest, Execution, Outcome
from mesh.versioned_mesh import Probe, VersionSeen
from zinclever.mesh.model.distribution_days import APPLY_BOUND, CONTACT_PERIOD

REVERT_SLACK = 0.25  # RevertSlackS of the rules
LOSS_SLACK = 0.2  # LossSlackS of the rules
EXCUSED_PERIOD = 3.0  # from SIGTERM; requests that are sent in it may be cut off late in the grace period
EXCUSED_SHARE = 5 / 6  # of the grace period, after which such a request may be cut off
DEADLINE_SLACK = 0.1  # before its deadline, from which a request counts as ended by it
LONGEST_TROUBLE = 4.0  # between two records of one trouble
BROKEN_OFF_BY_ENDPOINT = (*(way for way in Way if way.loses_answer), Way.ANSWER_AND_CLOSE)
RECORDING_DELAY = 0.1  # from a kill to its record: clients may see it before the task that has killed goes on
MAX_UNANSWERED = 3  # probes in a row that a sidecar in touch may leave without 200 or 404


class VersionCheck:
    """Checks the answers to probes of all sidecars."""

    def __init__(self, in_touch: Callable[[int, float], bool]) -> None:
        """Create a check; ``in_touch`` tells whether a sidecar has been in touch from a time until now."""
        self.in_touch = in_touch
        self.acknowledged_at: dict[int, float] = {}
        """By version."""
        self.seen_at: dict[int, dict[int, float]] = {}
        """By sidecar, when it was first seen to use each version, in the present life of its process."""
        self.unanswered: dict[int, int] = {}
        """By sidecar, probes in a row without 200 or 404."""
        self.violations: list[str] = []

    def on_acknowledged(self, generation: int, now: float) -> None:
        self.acknowledged_at[generation] = now

    def on_started(self, sidecar: int) -> None:
        """Forget what an earlier process of the sidecar used."""
        self.seen_at.pop(sidecar, None)
        self.unanswered.pop(sidecar, None)

    def on_probe(self, probe: Probe) -> bool:
        """Check an answer as soon as it is there. Returns whether it is right."""
        before = len(self.violations)
        in_touch = self.in_touch(probe.sidecar, probe.sent_at)
        seen_at = self.seen_at.setdefault(probe.sidecar, {})
        if probe.seen is VersionSeen.CURRENT:
            seen_at.setdefault(probe.generation, probe.ended_at)
        elif probe.seen is VersionSeen.OLDER:
            self.check_older(probe, in_touch, seen_at.get(probe.generation))
        self.check_answered(probe, in_touch)
        return len(self.violations) == before

    def check_older(self, probe: Probe, in_touch: bool, used_at: float | None) -> None:
        acknowledged_at = self.acknowledged_at[probe.generation]
        if in_touch and probe.sent_at > acknowledged_at + APPLY_BOUND:
            self.report(
                probe, f"uses an older version {probe.sent_at - acknowledged_at:.1f} s after {{}} was acknowledged"
            )
        elif used_at is not None and probe.sent_at > used_at + REVERT_SLACK:
            self.report(probe, f"has gone back to an older version, {probe.sent_at - used_at:.1f} s after it used {{}}")

    def check_answered(self, probe: Probe, in_touch: bool) -> None:
        if not in_touch or probe.seen is not VersionSeen.UNKNOWN:
            self.unanswered[probe.sidecar] = 0
            return
        self.unanswered[probe.sidecar] = self.unanswered.get(probe.sidecar, 0) + 1
        if self.unanswered[probe.sidecar] == MAX_UNANSWERED:
            self.report(
                probe,
                f"has left {MAX_UNANSWERED} probes of {{}} in a row unanswered (status {probe.status}) "
                + probe.explanation.replace("{", "{{").replace("}", "}}"),
            )

    def report(self, probe: Probe, text: str) -> None:
        self.violations.append(f"sidecar {probe.sidecar} {text.format(f'version {probe.generation}')}")


@dataclass(frozen=True)
class LossCheck:
    """Checks requests that end without an answer though all that is done to the processes is planned work."""

    unplanned: Sequence[float]
    """When there was unplanned trouble."""

    def violations(self, requests: Iterable[ClientRequest], executions: Iterable[Execution]) -> list[str]:
        """Return the requests that a process had read, and whose connection it closed without an answer."""
        executed = {execution.id for execution in executions}
        return [
            f"request {request.id} was lost {request.ended_at - request.sent_at:.2f} s after it was sent, "
            f"{'executed' if request.id in executed else 'not executed'}"
            for request in requests
            if self.is_lost(request, request.id in executed) and not self.had_trouble(request)
        ]

    def is_lost(self, request: ClientRequest, was_executed: bool) -> bool:
        """Return whether a request was closed before its deadline, though it had been passed on or had time to be."""
        elapsed = request.ended_at - request.sent_at
        is_closed = request.outcome is Outcome.UNKNOWN and not request.has_response and elapsed < request.work.deadline
        return is_closed and (was_executed or elapsed > LOSS_SLACK)

    def had_trouble(self, request: ClientRequest) -> bool:
        """Return whether unplanned trouble came between ``ContactS`` before a request and its end."""
        earliest, latest = request.sent_at - CONTACT_PERIOD, request.ended_at + RECORDING_DELAY
        return any(earliest <= at <= latest for at in self.unplanned)


@dataclass(frozen=True)
class CutOffCheck:
    """Checks requests that a sidecar answers with a failure of its own although their endpoint worked on them."""

    unplanned: Sequence[float]
    """When there was unplanned trouble."""
    grace: float

    def violations(
        self, requests: Iterable[ClientRequest], executions: Iterable[Execution], terminated: Sequence[float]
    ) -> list[str]:
        """Return the requests that were cut off without an excuse.

        Args:
            requests: The requests that were sent to one sidecar.
            executions: All executions.
            terminated: When that sidecar got SIGTERM.
        """
        executed = {execution.id for execution in executions}
        return [
            f"request {request.id} was cut off {request.ended_at - request.sent_at:.2f} s after it was sent"
            for request in requests
            if self.is_cut_off(request)
            and request.id in executed
            and not self.had_trouble(request)
            and not any(self.is_excused(request, at) for at in terminated)
        ]

    def is_cut_off(self, request: ClientRequest) -> bool:
        """Return whether a request failed before its deadline, though not by its endpoint."""
        elapsed = request.ended_at - request.sent_at
        has_failed = request.outcome is Outcome.UNKNOWN and request.has_response
        return (
            has_failed
            and elapsed < request.work.deadline - DEADLINE_SLACK
            and request.work.way not in BROKEN_OFF_BY_ENDPOINT
        )

    def is_excused(self, request: ClientRequest, terminated_at: float) -> bool:
        """Return whether a request was sent soon after SIGTERM, and its endpoint worked on it until the exit."""
        earliest_cut = terminated_at + EXCUSED_SHARE * self.grace
        return request.sent_at <= terminated_at + EXCUSED_PERIOD and request.ended_at >= earliest_cut

    def had_trouble(self, request: ClientRequest) -> bool:
        """Return whether there was unplanned trouble from ``ContactS`` before a request to its end."""
        earliest = request.sent_at - CONTACT_PERIOD - LONGEST_TROUBLE
        return any(earliest <= at <= request.ended_at + RECORDING_DELAY for at in self.unplanned)
