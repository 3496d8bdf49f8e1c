"""A short soak of real processes, and tests of what a soak checks."""

from __future__ import annotations

import math
import unittest
from types import SimpleNamespace

from mesh.cases import params
from mesh.cluster import run
from mesh.early_endpoint import Way
from mesh.machines import Contact, Machine
from mesh.observations import ClientRequest, Execution, Outcome, RouteClass
from mesh.soak import Soak, run_soak
from mesh.soak_checks import (
    BROKEN_OFF_BY_ENDPOINT,
    MAX_UNANSWERED,
    RECORDING_DELAY,
    CutOffCheck,
    LossCheck,
    VersionCheck,
)
from mesh.versioned_mesh import NO_ANSWER, Probe, VersionedMesh
from mesh.work import LONG_DEADLINE, Work
from zinclever.mesh.model.distribution_days import APPLY_BOUND, CONTACT_PERIOD

SIDECARS = 5


class ShortSoak(unittest.TestCase):
    # Seed 3 has planned work only, the others all kinds of trouble; in seed 2 a process is killed at the first start.
    @params(2, 3, 5)
    def test_no_violation(self, seed: int) -> None:
        self.assertEqual(run_soak(lambda: Soak(seed, SIDECARS, rounds=1)), [])


def probe(status: int, sent_at: float, generation: int = 1) -> Probe:
    return Probe(0, generation, sent_at, sent_at + 0.01, status)


class Versions(unittest.TestCase):
    def setUp(self) -> None:
        self.is_in_touch = True
        self.check = VersionCheck(lambda sidecar, since: self.is_in_touch)
        self.check.on_acknowledged(1, 0.0)

    def test_older_version_in_touch(self) -> None:
        self.check.on_probe(probe(404, APPLY_BOUND))
        self.assertEqual(self.check.violations, [])
        self.check.on_probe(probe(404, APPLY_BOUND + 0.1))
        self.assertEqual(len(self.check.violations), 1)

    def test_older_version_out_of_touch(self) -> None:
        self.is_in_touch = False
        self.check.on_probe(probe(404, 60.0))
        self.assertEqual(self.check.violations, [])

    def test_return_to_an_older_version(self) -> None:
        self.is_in_touch = False
        self.check.on_probe(probe(200, 1.0))
        self.check.on_probe(probe(404, 1.1))
        self.assertEqual(self.check.violations, [])
        self.check.on_probe(probe(404, 1.5))
        self.assertEqual(len(self.check.violations), 1)

    def test_new_process_may_begin_with_an_older_version(self) -> None:
        self.is_in_touch = False
        self.check.on_probe(probe(200, 1.0))
        self.check.on_started(0)
        self.check.on_probe(probe(404, 1.5))
        self.assertEqual(self.check.violations, [])

    @params(NO_ANSWER, 502, 503)
    def test_unanswered_probes(self, status: int) -> None:
        for number in range(MAX_UNANSWERED - 1):
            self.check.on_probe(probe(status, 10.0 + number))
        self.check.on_probe(probe(200, 20.0))
        for number in range(MAX_UNANSWERED):
            self.assertEqual(self.check.violations, [])
            self.check.on_probe(probe(status, 30.0 + number))
        self.assertEqual(len(self.check.violations), 1)


def request(elapsed: float, outcome: Outcome = Outcome.UNKNOWN, has_response: bool = False) -> ClientRequest:
    return ClientRequest("r", RouteClass.IDEMPOTENT, outcome, "", b"", has_response, 10.0, 10.0 + elapsed)


class Losses(unittest.TestCase):
    def lost(self, request: ClientRequest, executed: bool = False, unplanned: float = -math.inf) -> int:
        executions = [Execution("r", "/", b"", "i", 10.0)] if executed else []
        return len(LossCheck([unplanned]).violations([request], executions))

    def test_closed_after_it_was_passed_on(self) -> None:
        self.assertEqual(self.lost(request(0.1), executed=True), 1)

    def test_closed_after_it_had_time_to_be_passed_on(self) -> None:
        self.assertEqual(self.lost(request(0.3)), 1)

    def test_closed_as_it_was_sent(self) -> None:
        self.assertEqual(self.lost(request(0.1)), 0)

    def test_answered_and_refused(self) -> None:
        self.assertEqual(self.lost(request(0.3, Outcome.UNKNOWN, has_response=True), executed=True), 0)
        self.assertEqual(self.lost(request(0.3, Outcome.ANSWERED, has_response=True), executed=True), 0)

    def test_deadline_was_reached(self) -> None:
        self.assertEqual(self.lost(request(2.1)), 0)

    def test_unplanned_trouble(self) -> None:
        self.assertEqual(self.lost(request(0.3), unplanned=10.1), 0)
        self.assertEqual(self.lost(request(0.3), unplanned=10.0 - CONTACT_PERIOD), 0)
        self.assertEqual(self.lost(request(0.3), unplanned=9.9 - CONTACT_PERIOD), 1)

    def test_kill_that_is_recorded_after_a_client_has_seen_it(self) -> None:
        self.assertEqual(self.lost(request(0.3), unplanned=10.3 + RECORDING_DELAY / 2), 0)
        self.assertEqual(self.lost(request(0.3), unplanned=10.3 + 2 * RECORDING_DELAY), 1)


LONG_WORK = Work(deadline=LONG_DEADLINE)


class CutOffs(unittest.TestCase):
    """A request that is sent at 10 s, cut off ``elapsed`` s later, by a sidecar that got SIGTERM at ``terminated``."""

    def cut_off(
        self,
        elapsed: float,
        terminated: float = -math.inf,
        unplanned: float = -math.inf,
        asked: Work = LONG_WORK,
        executed: bool = True,
    ) -> int:
        sent = ClientRequest(
            "r", RouteClass.NON_IDEMPOTENT, Outcome.UNKNOWN, "", b"", True, 10.0, 10.0 + elapsed, asked
        )
        executions = [Execution("r", "/", b"", "i", 10.0)] if executed else []
        return len(CutOffCheck([unplanned], 6.0).violations([sent], executions, [terminated]))

    def test_cut_off_without_sigterm(self) -> None:
        self.assertEqual(self.cut_off(1.0), 1)
        self.assertEqual(self.cut_off(1.0, executed=False), 0)

    def test_sent_more_than_3_s_after_sigterm(self) -> None:
        self.assertEqual(self.cut_off(2.6, terminated=6.9), 1)

    def test_sent_within_3_s_after_sigterm(self) -> None:
        self.assertEqual(self.cut_off(2.6, terminated=7.1), 0)
        self.assertEqual(self.cut_off(2.0, terminated=7.1), 1)  # cut off before the last sixth of the grace period

    def test_ended_by_its_deadline(self) -> None:
        self.assertEqual(self.cut_off(LONG_DEADLINE, terminated=6.9), 0)

    def test_broken_off_by_its_endpoint(self) -> None:
        for way in Way:
            self.assertEqual(self.cut_off(1.0, asked=Work(way)), 0 if way in BROKEN_OFF_BY_ENDPOINT else 1)

    def test_unplanned_trouble(self) -> None:
        self.assertEqual(self.cut_off(1.0, unplanned=10.5), 0)


def machine(disturbed_at: float = -math.inf, is_frozen: bool = False) -> Machine:
    machine = Machine(SimpleNamespace(), "127.0.0.1", 1)  # type: ignore[arg-type]
    machine.disturbed_at, machine.is_frozen = disturbed_at, is_frozen
    return machine


class InTouch(unittest.TestCase):
    def test_undisturbed(self) -> None:
        self.assertTrue(Contact([machine()], [machine()]).in_touch(0, 0.0))

    def test_sidecar_was_disturbed(self) -> None:
        contact = Contact([machine()], [machine(disturbed_at=5.0), machine()])
        self.assertFalse(contact.in_touch(0, 4.9 + CONTACT_PERIOD))
        self.assertTrue(contact.in_touch(0, 5.0 + CONTACT_PERIOD))
        self.assertTrue(contact.in_touch(1, 0.0))

    def test_sidecar_is_terminating(self) -> None:
        contact = Contact([machine()], [machine()])
        contact.sidecars[0].is_terminating = True
        self.assertFalse(contact.in_touch(0, 60.0))

    def test_core_was_disturbed(self) -> None:
        contact = Contact([machine(), machine(), machine(disturbed_at=5.0, is_frozen=True)], [machine()])
        self.assertFalse(contact.in_touch(0, 4.9 + CONTACT_PERIOD))
        self.assertTrue(contact.in_touch(0, 5.0 + CONTACT_PERIOD))  # with two of three control nodes

    def test_core_without_majority(self) -> None:
        contact = Contact([machine(), machine(is_frozen=True), machine(is_frozen=True)], [machine()])
        self.assertFalse(contact.in_touch(0, 60.0))


class Breach(unittest.TestCase):
    """A soak of real processes detects a sidecar that keeps an old version, and one that doesn't answer."""

    def test_detects_a_sidecar_without_the_version_and_one_without_answers(self) -> None:
        async def test() -> None:
            async with VersionedMesh(2, control_nodes=1) as mesh:
                check = VersionCheck(lambda sidecar, since: True)
                check.on_acknowledged(2, 0.0)  # a version that the mesh never got
                check.on_probe(await mesh.probe(0, 2))
                self.assertEqual(len(check.violations), 1)
                mesh.sidecar_processes[1].kill()
                for _ in range(MAX_UNANSWERED):
                    check.on_probe(await mesh.probe(1, 1))
                self.assertEqual(len(check.violations), 2)

        run(test)


if __name__ == "__main__":
    unittest.main()
