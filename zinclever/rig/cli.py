"""The command ``python -m zinclever rig``: scenarios on real sidecar processes with faults between them."""

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
    """Runs scenarios on several sidecar processes on this machine, with faults, and audits the result."""
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
    help="First attempts per second of all sidecars. [default: 62 % of the endpoints' capacity]",
)
@click.option("--command", default=PROGRAM, help="Shell command of each sidecar. [default: this program]")
@click.option("--into", type=click.Path(path_type=Path), help="Keep the machines' directories, with their logs, here.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
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
    """Run one day, WHAT being its kind or its file; the exit code is 1 if a rule was broken."""
    day = draw(what, seed, sidecars, endpoints, seconds, rate or 0.0) if what in KINDS else read_day(Path(what))
    try:
        with tempfile.TemporaryDirectory(prefix="rig-") as name:
            result = play(day, into or Path(name), command)
    except (OSError, RigError) as error:
        for line in str(error).splitlines():
            click.echo(f"{what}: {line}", err=True)
        raise SystemExit(EXIT_INVALID_INPUT) from error
    show(result, as_json)


@rig.command(name="hunt")
@click.option(
    "--kind",
    "kinds",
    type=click.Choice(list(KINDS)),
    multiple=True,
    help="Only these kinds. [default: those whose faults involve processes and the kernel]",
)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="First seed.")
@click.option("--budget", type=click.FloatRange(1.0), default=60.0, show_default=True, help="Wall time in s.")
@click.option("--jobs", type=click.IntRange(1, 64), default=2, show_default=True, help="Number of parallel runs.")
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
    """Draw and run days; save those with a breach as files."""
    played = broken = failed = 0
    days = drawn(kinds or hunting.KINDS, first, sidecars, endpoints, seconds)
    for result in hunt(days, budget, jobs, hunting.play_one, die_with_parent):
        played += 1
        failure = result.figures.get("failed", "")
        failed += bool(failure)
        broken += bool(result.figures["breaches"])
        name = f"{result.day.kind}, seed {result.day.seed}"
        if result.figures["breaches"]:
            into.mkdir(parents=True, exist_ok=True)
            path = into / f"rig-{result.day.kind}-{result.day.seed}.toml"
            path.write_bytes(dayfile.write(result.day))
            click.echo(f"{path}: {'; '.join(result.figures['breaches'][:3])}")
        elif failure:
            click.echo(f"{name}: could not be run: {failure.splitlines()[0]}")
    click.echo(f"{played} runs, {broken} with a breach, {failed} that prove nothing")
    if broken or failed:
        raise SystemExit(EXIT_BREACH)


@rig.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--tries", type=click.IntRange(1), default=20, show_default=True, help="Maximum number of days to run.")
@click.option("--times", type=click.IntRange(1), default=2, show_default=True, help="Runs of each day.")
@click.option("--command", default=PROGRAM, help="Shell command of each sidecar. [default: this program]")
def shrink(file: Path, tries: int, times: int, command: str) -> None:
    """Reduce a day that breaks a rule to few machines, faults and seconds; print it as a file."""
    day = read_day(file)
    breaches = [b for _ in range(times) for b in hunting.play_one(day, command).figures["breaches"]]
    if not breaches:
        raise click.ClickException(f"{file}: no rule was broken in {times} runs")
    rule = breaches[0].partition(":")[0]
    minimized = DayMinimizer(hunting.breaks(rule, times, command), tries).minimize_environment(day)
    click.echo(dayfile.write(minimized), nl=False)
    description = (
        f"{size(minimized)} faults, {minimized.sidecars} sidecars, {minimized.endpoints} endpoints, "
        f"{minimized.seconds:g} s"
    )
    click.echo(f"{rule}: {description}", err=True)


@rig.command(name="list")
def list_kinds() -> None:
    """List the kinds of days."""
    for name, kind in KINDS.items():
        click.echo(f"{name:<16}{(kind.__doc__ or '').splitlines()[0]}")
