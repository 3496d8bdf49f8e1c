"""Process tests: the core is killed right after it has acknowledged a configuration, and comes back later."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass

from mesh.cluster import run
from mesh.processes import kill_all
from mesh.versioned_mesh import IDLE_ROUTES, Probe, VersionedMesh, VersionSeen
from zinclever.mesh.model.distribution_days import APPLY_BOUND, CONTACT_PERIOD

SIDECARS = 5
ROUNDS = 2  # changes with an outage after each
MARGIN = 0.5  # after the bound from which a sidecar has to use a version
WATCH_PERIOD = 1.2
PROBE_INTERVAL = 0.3
MAX_UNANSWERED = 2  # probes of a sidecar in one watch
TEST_TIMEOUT = 90.0


@dataclass(frozen=True)
class Outage:
    """How long after an acknowledgement the core is killed, and how long it stays away, in seconds."""

    delay: float
    duration: float


OUTAGES = (Outage(0.0, 1.5), Outage(0.0, 5.0), Outage(0.0, 5.5), Outage(0.001, 6.0), Outage(0.0, 9.0))


async def probes_after_outages(outage: Outage) -> list[Probe]:
    """Return the probes of all sidecars, sent when the acknowledged version has to be in force after each outage."""
    probes: list[Probe] = []
    loop = asyncio.get_running_loop()
    async with VersionedMesh(SIDECARS, idle_routes=IDLE_ROUTES) as mesh:
        for _ in range(ROUNDS):
            await asyncio.sleep(CONTACT_PERIOD)
            version = await mesh.change_and_kill(mesh.control_processes, outage.delay)
            acknowledged_at = loop.time()
            kill_all(mesh.control_processes)  # waits for them
            await asyncio.sleep(outage.duration)
            for process in mesh.control_processes:
                process.start()
            watch_from = max(loop.time(), acknowledged_at + APPLY_BOUND) + CONTACT_PERIOD + MARGIN
            await asyncio.sleep(watch_from - loop.time())
            while loop.time() < watch_from + WATCH_PERIOD:
                probes += await asyncio.gather(*(mesh.probe(index, version) for index in range(SIDECARS)))
                await asyncio.sleep(PROBE_INTERVAL)
    return probes


class CoreKilledAfterAcknowledgement(unittest.TestCase):
    # Guards against CONFIG, case 1 of the review: sidecars that wait for each other's text while the core is back.
    def test_acknowledged_version_is_in_force_once_the_core_is_back(self) -> None:
        async def test() -> list[list[Probe]]:
            return await asyncio.gather(*(probes_after_outages(outage) for outage in OUTAGES))

        results = run(test, TEST_TIMEOUT)
        for outage, probes in zip(OUTAGES, results, strict=True):
            with self.subTest(outage):
                self.check(probes)

    def check(self, probes: list[Probe]) -> None:
        self.assertEqual([probe for probe in probes if probe.seen is VersionSeen.OLDER], [])
        for sidecar in range(SIDECARS):
            for version in {probe.generation for probe in probes}:
                seen = [p.seen for p in probes if (p.sidecar, p.generation) == (sidecar, version)]
                self.assertIn(VersionSeen.CURRENT, seen)
                self.assertLessEqual(seen.count(VersionSeen.UNKNOWN), MAX_UNANSWERED)


if __name__ == "__main__":
    unittest.main()
