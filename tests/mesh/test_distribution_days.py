"""Distribution of configurations in simulated time, while processes are killed and machines lose power."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

from mesh.cases import params
from zinclever.mesh.model.distribution_days import (
    APPLY_BOUND,
    CONTACT_PERIOD,
    START_PERIOD,
    Day,
)
from zinclever.mesh.model.distribution_field import DistributionField

ELECTION = 0.8  # s from the start of the control nodes until they know what is committed
SEEDS = range(1, 11)
ANNOUNCEMENT = 0.01  # s in which the record of a version has reached some sidecars, and its text fewer


def change(field: DistributionField) -> None:
    """Commit a change, which all control nodes know at once."""
    field.committed += 1
    for name in field.control_nodes:
        field.activate(name)


def started_field(seed: int, sidecars: int) -> DistributionField:
    """Return processes that know each other and use a configuration."""
    field = DistributionField(sidecars, control_count=3, seed=seed)
    field.run(START_PERIOD)
    change(field)
    field.run(START_PERIOD)
    return field


def late_sidecars(field: DistributionField) -> list[str]:
    """Return the running sidecars that don't use the newest configuration."""
    return [name for name in field.sidecars if name in field.processes and field.active_index(name) < field.committed]


PLAY = """
from zinclever.mesh.model.distribution_field import DistributionField
field = DistributionField(sidecars=50, control_count=3, seed=1, loss=0.02)
field.run(8.0)
print([(name, gossip.counters.as_dict()) for name, gossip in field.gossips.items()])
"""


class Repetition(unittest.TestCase):
    # Guards against a seed that plays another day in another process: then what it found can't be looked at again.
    def test_a_seed_plays_the_same_day_whatever_the_order_of_sets(self) -> None:
        played = [
            subprocess.run(
                [sys.executable, "-c", PLAY],
                env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
                capture_output=True,
                check=True,
            ).stdout
            for hash_seed in (1, 2, 3)
        ]
        self.assertTrue(played[0])
        self.assertEqual(played, played[:1] * 3)


class Losses(unittest.TestCase):
    # Guards against sidecars that wait for each other for a text that only the core has (incident of 2026-12-04).
    def test_sidecars_get_a_version_that_was_announced_just_before_the_core_lost_power(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                field = started_field(seed, sidecars=9)
                change(field)
                field.run(0.004)
                for name in field.control_nodes:
                    field.stop(name, dark=True)
                field.run(6.0)
                for name in field.control_nodes:
                    field.restart(name)
                field.run(ELECTION)
                for name in field.control_nodes:
                    field.activate(name)
                field.run(CONTACT_PERIOD - ELECTION)
                self.assertEqual(late_sidecars(field), [])

    # Guards against fetches from one dark machine after the other while the core is up (incident of 2026-12-04).
    def test_a_version_comes_in_time_while_most_other_sidecars_are_dark(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                field = started_field(seed, sidecars=50)
                field.connect(0.5)
                change(field)
                field.run(ANNOUNCEMENT)
                for name in field.sidecars[::3] + field.sidecars[1::3]:
                    field.stop(name, dark=True)
                field.run(APPLY_BOUND - ANNOUNCEMENT)
                self.assertEqual(late_sidecars(field), [])


class Days(unittest.TestCase):
    # Guards against any order of losses and changes after which a version comes late (incident of 2026-12-04).
    @params(*range(1, 21))
    def test_no_version_is_late_on_a_random_day(self, seed: int) -> None:
        self.assertEqual([str(late) for late in Day(seed).play()], [])


if __name__ == "__main__":
    unittest.main()
