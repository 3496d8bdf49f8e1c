"""``zinclever config ...``: the command line."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import orjson

from ..configuration.check import Format, Report, check, guess_format
from ..configuration.reading import UnreadableFileError, read_file
from . import changes, migration, origins, reference, writing
from . import report as reports

CLEAN, FINDINGS, NOT_READABLE = 0, 1, 2
KINDS = click.Choice(["auto", "operator", "platform"])


@click.group(name="config", context_settings={"help_option_names": ["-h", "--help"]})
def config() -> None:
    """Write, check, explain, compare and migrate a sidecar's configuration."""


def load(path: str, kind: str) -> tuple[bytes, Report]:
    """A file's bytes and their check; ends with 2 where there is no text to judge."""
    try:
        data = read_file(path)
    except UnreadableFileError as wrong:
        click.echo(f"zinclever: {wrong}", err=True)
        sys.exit(NOT_READABLE)
    format: Format = guess_format(data) if kind == "auto" else "platform" if kind == "platform" else "operator"
    return data, check(data, format)


def page(text: str) -> None:
    """To a pager on a terminal that the text overruns, else as it is."""
    if sys.stdout.isatty() and text.count("\n") > 40:
        click.echo_via_pager(text)
    else:
        click.echo(text, nl=False)


def coloured(text: str) -> str:
    """Findings on a terminal; click takes colours out elsewhere."""
    return text.replace(" error ZC", click.style(" error ", fg="red") + "ZC").replace(
        " warning ZC", click.style(" warning ", fg="yellow") + "ZC"
    )


@config.command("check")
@click.argument("files", nargs=-1, required=True)
@click.option("--format", "format", type=click.Choice(list(reports.FORMATS)), default="text")
@click.option("--kind", type=KINDS, default="auto", help="Which file it is; auto: JSON is the platform's.")
@click.option("--strict", is_flag=True, help="Warnings count as findings for the exit code.")
def check_command(files: tuple[str, ...], format: str, kind: str, strict: bool) -> None:
    """Tell everything that is wrong with FILES. Exit code 0: clean, 1: findings, 2: not readable."""
    placed: list[reports.Placed] = []
    unreadable = False
    for path in files:
        try:
            data = read_file(path)
        except UnreadableFileError as wrong:
            click.echo(f"zinclever: {wrong}", err=True)
            unreadable = True
            continue
        chosen: Format = guess_format(data) if kind == "auto" else "platform" if kind == "platform" else "operator"
        placed += reports.place(path, data, check(data, chosen))
    text = reports.FORMATS[format](placed)
    page(coloured(text) if format == "text" and sys.stdout.isatty() else text)
    if unreadable:
        sys.exit(NOT_READABLE)
    counted = [p for p in placed if strict or p.finding.severity == "error"]
    sys.exit(FINDINGS if counted else CLEAN)


@config.command("explain")
@click.argument("what")
def explain_command(what: str) -> None:
    """Tell what a finding's CODE or a KEY means: its unit, default, bounds and since when."""
    told = reference.explain(what)
    if told is None:
        near = ", ".join(reference.nearest(what))
        click.echo(f"zinclever: no code and no key {what!r}" + (f"; near: {near}" if near else ""), err=True)
        sys.exit(NOT_READABLE)
    page(told)


@config.command("schema")
@click.option("--kind", type=click.Choice(["operator", "platform"]), default="operator")
def schema_command(kind: str) -> None:
    """Print a JSON Schema that editors take."""
    click.echo(orjson.dumps(reference.schema(kind), option=orjson.OPT_INDENT_2).decode())


@config.command("reference", hidden=True)
def reference_command() -> None:
    """Print the reference of the operators' page."""
    click.echo(reference.reference(), nl=False)


@config.command("diff")
@click.argument("before")
@click.argument("after")
@click.option("--fail-on-risk", is_flag=True, help="Exit code 1 where something may now be resent, or guards less.")
def diff_command(before: str, after: str, fail_on_risk: bool) -> None:
    """Tell what changes in behaviour from BEFORE to AFTER."""
    told = []
    for path in (before, after):
        _, report = load(path, "operator")
        if report.errors:
            click.echo(f"zinclever: {path} has {len(report.errors)} errors: check it first", err=True)
            sys.exit(NOT_READABLE)
        told.append(report.clean)
    found = changes.compare(*told)
    for change in found:
        click.echo(("RISK " if change.risk else "     ") + f"{change.key}: {change.text}")
    if not found:
        click.echo("no change in behaviour")
    sys.exit(FINDINGS if fail_on_risk and any(c.risk for c in found) else CLEAN)


@config.command("migrate")
@click.argument("file")
@click.option("--write", is_flag=True, help="Replace the file, at once and whole; else only show the difference.")
def migrate_command(file: str, write: bool) -> None:
    """Bring an older version's FILE up, keeping comments and order."""
    data, _ = load(file, "operator")
    try:
        new = migration.migrate(data.decode())
    except (migration.Refused, UnicodeDecodeError) as wrong:
        click.echo(f"zinclever: {file}: {wrong}", err=True)
        sys.exit(NOT_READABLE)
    if new.encode() == data:
        click.echo("nothing to change")
        return
    page(migration.difference(data.decode(), new, file))
    if write:
        writing.replace(Path(file), new)


@config.command("show")
@click.argument("file", required=False)
@click.option("--kind", type=KINDS, default="auto")
def show_command(file: str | None, kind: str) -> None:
    """Print the effective settings with where each value comes from."""
    path = file or os.environ.get("ZINCLEVER_OPERATOR") or os.environ.get("LB_CONFIG")
    if path is None:
        raise click.UsageError("name a FILE, or set ZINCLEVER_OPERATOR or LB_CONFIG")
    data, report = load(path, kind)
    if report.errors:
        click.echo(reports.as_text(reports.place(path, data, report)), nl=False, err=True)
        sys.exit(FINDINGS)
    page(origins.show(path, data, report, os.environ))


config.add_command(writing.write_command)
