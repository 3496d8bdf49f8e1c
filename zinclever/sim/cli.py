"""The ``python -m zinclever sim`` commands: simulate days of a whole fleet."""

from __future__ import annotations

import logging
import os
import sys
import time
import warnings
from collections.abc import Sequence
from pathlib import Path
from typing import Any, TextIO

import click
import orjson

from ..simnet.trace import Trace
from . import dayfile, exploring, hunting
from .days import KINDS, draw
from .model import Day
from .world import World

EXIT_INVALID_INPUT = 2
"""Exit code for an unreadable or invalid day file."""
EXIT_BREACH = 1
"""Exit code for a day on which a rule was broken or a sidecar crashed."""


SCALE_OPTIONS = (
    click.option("--sidecars", type=click.IntRange(1, 10_000), default=100, show_default=True),
    click.option("--endpoints", type=click.IntRange(1, 2_000), default=18, show_default=True),
    click.option("--seconds", type=click.FloatRange(1.0, 36_000.0), default=50.0, show_default=True),
)


def scale_options(command: Any) -> Any:
    """Add the options for the size and length of a day to a command."""
    return with_options(command, SCALE_OPTIONS)


def with_options(command: Any, options: Sequence[Any]) -> Any:
    """Apply option decorators so that ``--help`` lists them in the given order."""
    for option in reversed(options):
        command = option(command)
    return command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def sim() -> None:
    """Simulate a whole fleet: hundreds of instances of the unmodified program on one simulated clock."""
    logging.basicConfig(level=logging.CRITICAL)
    # Killed processes leave unfinished coroutines, which Python warns about.
    warnings.simplefilter("ignore", RuntimeWarning)


def list_kinds(context: click.Context, option: click.Parameter, value: bool) -> None:
    """Callback of ``--list``: print each kind of day with its description, then exit."""
    if value and not context.resilient_parsing:
        for name, kind in KINDS.items():
            click.echo(f"{name:<12}{(kind.__doc__ or '').splitlines()[0]}")
        context.exit()


@sim.command()
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.option(
    "--list", is_flag=True, is_eager=True, expose_value=False, callback=list_kinds, help="List the kinds of days."
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@scale_options
@click.option(
    "--rate",
    type=click.FloatRange(0.0, min_open=True),
    help="Requests per second of all clients, without retries. [default: 62 % of the endpoints' capacity]",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def day(kind: str, seed: int, sidecars: int, endpoints: int, seconds: float, rate: float | None, as_json: bool) -> None:
    """Simulate one day; exit with code 1 if a rule was broken."""
    show(play(draw(kind, seed, sidecars, endpoints, seconds, rate or 0.0)), as_json)


@sim.command(name="draw")
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@scale_options
def draw_day(kind: str, seed: int, sidecars: int, endpoints: int, seconds: float) -> None:
    """Print a generated day as a file that can be edited and replayed."""
    click.echo(dayfile.write(draw(kind, seed, sidecars, endpoints, seconds)), nl=False)


def read_day(path: Path) -> Day:
    """Read a day file. Print all errors and exit with code 2 if it is invalid."""
    try:
        return dayfile.read(path.read_bytes())
    except (OSError, dayfile.DayError) as error:
        for line in str(error).splitlines():
            click.echo(f"{path}: {line}", err=True)
        raise SystemExit(EXIT_INVALID_INPUT) from error


@sim.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--trace", type=click.File("w"), help="Write a line for each network segment.")
@click.option("--permute", type=int, help="Seed for the order of simultaneous events.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def replay(file: Path, trace: TextIO | None, permute: int | None, as_json: bool) -> None:
    """Simulate the day of a file; the same file always gives the same trace."""
    write = (lambda line: trace.write(line + "\n")) if trace is not None else None
    show(World(read_day(file), Trace(write), permute).play(), as_json)


HUNT_OPTIONS = (
    click.option(
        "--sidecars",
        type=click.IntRange(1, 10_000),
        default=200,
        show_default=True,
        help="Effects of many sidecars acting together appear from about 200 on.",
    ),
    click.option("--endpoints", type=click.IntRange(1, 2_000), default=30, show_default=True),
    SCALE_OPTIONS[2],
)


def hunt_options(command: Any) -> Any:
    """Add the options for the size and length of hunted days to a command."""
    return with_options(command, HUNT_OPTIONS)


@sim.command()
@click.option("--kind", "kinds", type=click.Choice(list(KINDS)), multiple=True, help="Kind to draw. [default: all]")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="First seed.")
@click.option("--budget", type=click.FloatRange(1.0), default=60.0, show_default=True, help="Wall time in seconds.")
@click.option("--jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
@click.option("--below", type=click.FloatRange(0.0, 1.0), default=0.0, help="Also keep days whose goal is lower.")
@click.option("--into", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@hunt_options
def hunt(
    kinds: tuple[str, ...],
    first: int,
    budget: float,
    jobs: int,
    below: float,
    into: Path,
    sidecars: int,
    endpoints: int,
    seconds: float,
) -> None:
    """Simulate random days on all cores; keep those with a breach or a low goal."""
    ordinary = [name for name in KINDS if name != "soak"]
    days = hunting.drawn(kinds or ordinary, first, sidecars, endpoints, seconds)
    played = kept = broken = 0
    for result in hunting.hunt(days, budget, jobs):
        played += 1
        broken += bool(result.figures["breaches"])
        if result.figures["breaches"] or result.figures["goal"] < below:
            kept += 1
            into.mkdir(parents=True, exist_ok=True)
            path = into / f"{result.day.kind}-{result.day.seed}.toml"
            path.write_bytes(dayfile.write(result.day))
            click.echo(f"{path}: goal {result.figures['goal']}; {'; '.join(result.figures['breaches'][:3])}")
    click.echo(f"{played} days played, {broken} with a breach, {kept} kept")
    if broken:
        raise SystemExit(EXIT_BREACH)


@sim.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--tries",
    type=click.IntRange(1),
    default=hunting.DEFAULT_MAX_TRIALS,
    show_default=True,
    help="Maximum number of days to run.",
)
def shrink(file: Path, tries: int) -> None:
    """Minimize a day that breaks a rule to few sidecars, requests and faults; print it as a file."""
    original = read_day(file)
    breaches = World(original).play()["breaches"]
    if not breaches:
        raise click.ClickException(f"{file}: no rule is broken on this day")
    rule = breaches[0].partition(":")[0]
    smallest = hunting.DayMinimizer(hunting.breaches_rule(rule), tries).minimize(original)
    click.echo(dayfile.write(smallest), nl=False)
    parts = f"{hunting.size(smallest)} events, {smallest.sidecars} sidecars, {smallest.endpoints} endpoints"
    click.echo(f"{rule}: {parts}", err=True)


@sim.command()
@click.option("--fault", "faults", type=click.Choice(list(exploring.FAULTS)), multiple=True, help="[default: all]")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--steps", type=click.IntRange(1), default=20, show_default=True, help="Maximum injection points per fault."
)
@click.option("--orders", type=click.IntRange(1), default=40, show_default=True, help="Maximum event orders per step.")
def explore(faults: tuple[str, ...], seed: int, steps: int, orders: int) -> None:
    """Run a small fleet in many orders of its simultaneous events, with one fault at each step."""
    result = exploring.explore(list(faults or exploring.FAULTS), seed, steps, orders)
    for breach in result.breaches:
        click.echo(breach)
    coverage = "all orders" if result.complete else "limit reached"
    click.echo(f"{result.orders} orders ({coverage}), {result.ties} choices, {len(result.breaches)} breaches")
    if result.breaches:
        raise SystemExit(EXIT_BREACH)


def play(spec: Day) -> dict[str, Any]:
    """Simulate a day and return its summary; print the CPU time that it took to standard error."""
    started = time.process_time()
    result = World(spec).play()
    print(f"played in {time.process_time() - started:.1f} s of a core", file=sys.stderr)
    return result


def show(result: dict[str, Any], as_json: bool) -> None:
    """Print a day's summary; exit with code 1 if a rule was broken."""
    if as_json:
        click.echo(orjson.dumps(result))
    else:
        for name, value in result.items():
            click.echo(f"{name:<26}{value}")
    if result["breaches"]:
        raise SystemExit(EXIT_BREACH)
