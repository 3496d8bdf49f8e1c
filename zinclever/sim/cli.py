"""``python -m zinclever sim``: days of a whole fleet in simulated time."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any

import click
import orjson

from .days import KINDS, draw
from .model import Day
from .world import World

EXIT_BREACH = 1
"""A day on which a rule was broken, or a sidecar failed."""


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def sim() -> None:
    """Days of a whole fleet in simulated time: the unchanged program, hundreds of times, on one clock."""
    logging.basicConfig(level=logging.CRITICAL)


def list_kinds(context: click.Context, option: click.Parameter, value: bool) -> None:
    if value and not context.resilient_parsing:
        for name, kind in KINDS.items():
            click.echo(f"{name:<12}{(kind.__doc__ or '').splitlines()[0]}")
        context.exit()


@sim.command()
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.option("--list", is_flag=True, is_eager=True, expose_value=False, callback=list_kinds, help="Name the kinds.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--sidecars", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option("--endpoints", type=click.IntRange(1, 2_000), default=18, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 36_000.0), default=50.0, show_default=True)
@click.option("--rate", type=click.FloatRange(0.0, min_open=True), help="First tries a second of all. "
              "[default: 62 % of what the endpoints can do]")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def day(kind: str, seed: int, sidecars: int, endpoints: int, seconds: float, rate: float | None, as_json: bool) -> None:
    """Play one day; exit code 1 where a rule was broken."""
    show(play(draw(kind, seed, sidecars, endpoints, seconds, rate or 0.0)), as_json)


def play(told: Day) -> dict[str, Any]:
    """The figures of a day; on standard error, what it took to play it."""
    began = time.process_time()
    found = World(told).play()
    print(f"played in {time.process_time() - began:.1f} s of a core", file=sys.stderr)
    return found


def show(found: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(orjson.dumps(found))
    else:
        for name, value in found.items():
            click.echo(f"{name:<26}{value}")
    if found["breaches"]:
        raise SystemExit(EXIT_BREACH)
