"""Random days of the distribution of configurations, with troubles that come in series and overlap.

``python -m zinclever.mesh.model.distribution_days --seeds 50`` plays the days of 50 seeds and lists the sidecars that
got a configuration late. Times are in seconds.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from .distribution_field import DistributionField

APPLY_BOUND = 2.0  # from an acknowledgement until a version has to be in force
CONTACT_PERIOD = 3.0  # of calm after a trouble, after which a process has to have the newest version
START_PERIOD = 4.0  # from the start of all processes to the first change
ELECTION = (0.4, 1.2)  # shortest and longest time until restarted control nodes know what is committed
COMMIT_DELAY = (0.001, 0.06)  # between the leader and the other control nodes
MAX_OUTAGE = 9.0
ROUNDS = 4
SECOND_CHANGE = 0.6  # probability of another change while a trouble lasts, if the leader is running
WATCH_INTERVAL = 0.25


@dataclass(frozen=True)
class Late:
    """A sidecar that didn't have the newest version when it had to."""

    seed: int
    trouble: str
    sidecar: str
    index: int
    newest: int
    delay: float
    """From the acknowledgement to the check."""

    def __str__(self) -> str:
        return (
            f"seed {self.seed}, {self.trouble}: {self.sidecar} uses version {self.index} "
            f"{self.delay:.1f} s after version {self.newest} was acknowledged"
        )


class Day:
    """One day: rounds of a change, a trouble around it, and a check once the processes have been in touch again."""

    def __init__(self, seed: int, max_sidecars: int = 40) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.field = DistributionField(
            sidecars=self.rng.randint(3, max_sidecars),
            control_count=self.rng.choice((3, 5)),
            seed=seed,
            idle_routes=self.rng.choice((0, 300)),
            loss=self.rng.choice((0.0, 0.02)),
        )
        self.leader = self.field.control_nodes[0]
        self.acknowledged_at = 0.0
        self.calm_since: dict[str, float] = {}
        """By name of a process that was stopped: when it started again, or will."""
        self.trouble = ""
        self.late: dict[tuple[str, int], Late] = {}
        """By sidecar and version."""
        self.troubles: dict[str, Callable[[], None]] = {
            "core dark": self.lose_core_power,
            "core killed": self.kill_core,
            "leader dark": self.lose_leader_power,
            "all killed": lambda: self.restart_all(dark=False),
            "all dark": lambda: self.restart_all(dark=True),
            "sidecars dark": self.lose_sidecar_power,
            "none": lambda: None,
        }

    def play(self) -> list[Late]:
        """Play the day, and return the versions that were late."""
        self.field.run(START_PERIOD)
        self.commit()
        self.field.run(START_PERIOD)
        for _ in range(ROUNDS):
            names = self.rng.sample(sorted(self.troubles), self.rng.choice((1, 1, 2)))
            self.trouble = " and ".join(names)
            self.field.connect(self.rng.choice((0.0, 0.5)))
            self.commit()
            for name in names:
                self.field.run(self.rng.choice((0.0, 0.002, 0.005, 0.02, 0.3)))
                self.troubles[name]()
            self.watch(self.rng.uniform(0.0, 3.0))
            if self.leader in self.field.processes and self.rng.random() < SECOND_CHANGE:
                self.commit()
            self.watch(max(self.calm_since.values(), default=0.0) + CONTACT_PERIOD - self.field.now)
            self.watch(self.rng.uniform(APPLY_BOUND, 3.0))
        return list(self.late.values())

    def watch(self, span: float) -> None:
        """Let ``span`` s pass, and note the versions that are late."""
        until = self.field.now + span
        while self.field.now < until:
            self.field.run(min(WATCH_INTERVAL, until - self.field.now))
            self.find_late()

    def find_late(self) -> None:
        """Note the sidecars that don't use the newest version, although they have been in touch for long enough."""
        field = self.field
        core_calm_since = max(self.calm_since.get(name, 0.0) for name in field.control_nodes)
        for name in field.sidecars:
            in_touch_at = max(core_calm_since, self.calm_since.get(name, 0.0)) + CONTACT_PERIOD
            if field.now <= max(self.acknowledged_at + APPLY_BOUND, in_touch_at):
                continue
            index = field.active_index(name)
            if index < field.committed:
                delay = field.now - self.acknowledged_at
                late = Late(self.seed, self.trouble, name, index, field.committed, delay)
                self.late.setdefault((name, field.committed), late)

    # --- changes ---

    def commit(self) -> None:
        """Commit and acknowledge a change. The leader knows first, the other control nodes a little later."""
        self.field.committed += 1
        self.acknowledged_at = self.field.now
        self.field.activate(self.leader)
        for name in self.field.control_nodes:
            if name != self.leader:
                self.field.call_later(self.rng.uniform(*COMMIT_DELAY), partial(self.field.activate, name))

    # --- troubles ---

    def stop_for(self, names: list[str], outage: float, dark: bool) -> None:
        """Stop processes, and start them again after ``outage`` s; control nodes then wait for an election."""
        for name in names:
            self.field.stop(name, dark)
            self.calm_since[name] = max(self.calm_since.get(name, 0.0), self.field.now + outage)
            self.field.call_later(outage, partial(self.field.restart, name))
            if name in self.field.control_nodes:
                known_after = outage + self.rng.uniform(*ELECTION)
                self.field.call_later(known_after, partial(self.field.activate, name))

    def lose_core_power(self) -> None:
        """All control machines lose power."""
        self.stop_for(self.field.control_nodes, self.rng.uniform(1.0, MAX_OUTAGE), dark=True)

    def kill_core(self) -> None:
        """All control processes are killed."""
        self.stop_for(self.field.control_nodes, self.rng.uniform(0.2, MAX_OUTAGE), dark=False)

    def lose_leader_power(self) -> None:
        """The machine that has acknowledged the change loses power; another control node leads meanwhile."""
        old = self.leader
        self.stop_for([old], self.rng.uniform(1.0, MAX_OUTAGE), dark=True)
        self.leader = next(name for name in self.field.control_nodes if name != old)

    def restart_all(self, dark: bool) -> None:
        """All processes end and start again."""
        self.stop_for(self.field.names, self.rng.uniform(0.4, 2.0), dark)

    def lose_sidecar_power(self) -> None:
        """More than half of the sidecars lose power."""
        count = max(1, int(0.6 * len(self.field.sidecars)))
        self.stop_for(self.rng.sample(self.field.sidecars, count), self.rng.uniform(1.0, 3.0), dark=True)


def main(arguments: list[str] | None = None) -> int:
    """Play days and print what came late. Returns 1 if anything did."""
    parser = argparse.ArgumentParser(description="play random days of the distribution of configurations")
    parser.add_argument("--seeds", type=int, default=50, help="number of days (default: %(default)s)")
    parser.add_argument("--first", type=int, default=1, help="seed of the first day (default: %(default)s)")
    options = parser.parse_args(arguments)
    late = [found for seed in range(options.first, options.first + options.seeds) for found in Day(seed).play()]
    for found in late:
        print(found)
    days = len({found.seed for found in late})
    print(f"{options.seeds} days, {days} of them with a late version, {len(late)} late sidecars")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
