"""``python -m zinclever rig``: days of several processes of the program, with faults between them."""

from __future__ import annotations

import logging
import tempfile
from pathlib import Path

import click

from ..sim import dayfile
from ..sim.cli import EXIT_BREACH, EXIT_INVALID_INPUT, read_day, show
from ..sim.days import KINDS, draw
from ..sim.hunting import DayMinimizer, drawn, hunt, size
from . import hunting
from .processes import PROGRAM, die_with_parent
from .run import play
from .world import RigError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def rig() -> None:
    """Days of several processes of the program on this machine, with faults between them, and a judge."""
    logging.basicConfig(level=logging.ERROR)


@rig.command()
@click.argument("what")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--sidecars", type=click.IntRange(1, 1000), default=6, show_default=True)
@click.option("--endpoints", type=click.IntRange(1, 250), default=6, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=12.0, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(0.0, min_open=True),
    help="First tries a second of all. [default: 62 % of what the endpoints can do]",
)
@click.option("--command", default=PROGRAM, help="What a machine runs. [default: this program]")
@click.option("--into", type=click.Path(path_type=Path), help="Keep the machines' directories, with their logs, here.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def run(
    what: str,
    seed: int,
    sidecars: int,
    endpoints: int,
    seconds: float,
    rate: float | None,
    command: str,
    into: Path | None,
    as_json: bool,
) -> None:
    """Play one day, WHAT being its kind or its file; exit code 1 where a rule was broken."""
    day = draw(what, seed, sidecars, endpoints, seconds, rate or 0.0) if what in KINDS else read_day(Path(what))
    try:
        with tempfile.TemporaryDirectory(prefix="rig-") as name:
            found = play(day, into or Path(name), command)
    except (OSError, RigError) as wrong:
        for line in str(wrong).splitlines():
            click.echo(f"{what}: {line}", err=True)
        raise SystemExit(EXIT_INVALID_INPUT) from wrong
    show(found, as_json)


@rig.command(name="hunt")
@click.option(
    "--kind",
    "kinds",
    type=click.Choice(list(KINDS)),
    multiple=True,
    help="Only these. [default: those that kernels have a part in]",
)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="Seed to begin with.")
@click.option("--budget", type=click.FloatRange(1.0), default=60.0, show_default=True, help="s of wall time.")
@click.option("--jobs", type=click.IntRange(1, 64), default=2, show_default=True, help="Runs side by side.")
@click.option("--sidecars", type=click.IntRange(1, 1000), default=6, show_default=True)
@click.option("--endpoints", type=click.IntRange(1, 250), default=6, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=10.0, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
def hunt_days(
    kinds: tuple[str, ...],
    first: int,
    budget: float,
    jobs: int,
    sidecars: int,
    endpoints: int,
    seconds: float,
    into: Path,
) -> None:
    """Draw and play days; keep those with a breach as files."""
    played = broken = failed = 0
    days = drawn(kinds or hunting.KINDS, first, sidecars, endpoints, seconds)
    for found in hunt(days, budget, jobs, hunting.play_one, die_with_parent):
        played += 1
        told = found.figures.get("failed", "")
        failed += bool(told)
        broken += bool(found.figures["breaches"])
        name = f"{found.day.kind}, seed {found.day.seed}"
        if found.figures["breaches"]:
            into.mkdir(parents=True, exist_ok=True)
            path = into / f"rig-{found.day.kind}-{found.day.seed}.toml"
            path.write_bytes(dayfile.write(found.day))
            click.echo(f"{path}: {'; '.join(found.figures['breaches'][:3])}")
        elif told:
            click.echo(f"{name}: not played: {told.splitlines()[0]}")
    click.echo(f"{played} runs, {broken} with a breach, {failed} that prove nothing")
    if broken or failed:
        raise SystemExit(EXIT_BREACH)


@rig.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--tries", type=click.IntRange(1), default=20, show_default=True, help="Days played at most.")
@click.option("--times", type=click.IntRange(1), default=2, show_default=True, help="Runs in which a day may fail.")
@click.option("--command", default=PROGRAM, help="What a machine runs. [default: this program]")
def shrink(file: Path, tries: int, times: int, command: str) -> None:
    """Cut a day that breaks a rule down to few machines, troubles and seconds; print it as a file."""
    day = read_day(file)
    found = [b for _ in range(times) for b in hunting.play_one(day, command).figures["breaches"]]
    if not found:
        raise click.ClickException(f"{file}: no rule was broken in {times} runs")
    rule = found[0].partition(":")[0]
    least = DayMinimizer(hunting.breaks(rule, times, command), tries).minimize_environment(day)
    click.echo(dayfile.write(least), nl=False)
    parts = f"{size(least)} troubles, {least.sidecars} sidecars, {least.endpoints} endpoints, {least.seconds:g} s"
    click.echo(f"{rule}: {parts}", err=True)


@rig.command(name="list")
def list_kinds() -> None:
    """Name the kinds of days."""
    for name, kind in KINDS.items():
        click.echo(f"{name:<16}{(kind.__doc__ or '').splitlines()[0]}")
