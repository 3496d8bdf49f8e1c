"""The command line of ``zinclever config``."""

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

EXIT_CLEAN, EXIT_FINDINGS, EXIT_UNREADABLE = 0, 1, 2
FILE_KINDS = click.Choice(["auto", "operator", "platform"])


@click.group(name="config", context_settings={"help_option_names": ["-h", "--help"]})
def config() -> None:
    """Write, check, explain, compare and migrate a sidecar's configuration."""


def load_file(path: str, kind: str) -> tuple[bytes, Report]:
    """Read and check a file. Exits with code 2 if it is unreadable."""
    try:
        data = read_file(path)
    except UnreadableFileError as error:
        click.echo(f"zinclever: {error}", err=True)
        sys.exit(EXIT_UNREADABLE)
    file_format: Format = guess_format(data) if kind == "auto" else "platform" if kind == "platform" else "operator"
    return data, check(data, file_format)


def print_text(text: str) -> None:
    """Print a text, through a pager if it is longer than 40 lines and the output is a terminal."""
    if sys.stdout.isatty() and text.count("\n") > 40:
        click.echo_via_pager(text)
    else:
        click.echo(text, nl=False)


def colour_severities(text: str) -> str:
    """Colour the severities in a text report."""
    return text.replace(" error ZC", click.style(" error ", fg="red") + "ZC").replace(
        " warning ZC", click.style(" warning ", fg="yellow") + "ZC"
    )


@config.command("check")
@click.argument("files", nargs=-1, required=True)
@click.option("--format", "format", type=click.Choice(list(reports.FORMATS)), default="text")
@click.option("--kind", type=FILE_KINDS, default="auto", help="Which file it is; auto: JSON is the platform's.")
@click.option("--strict", is_flag=True, help="Warnings count as findings for the exit code.")
def check_command(files: tuple[str, ...], format: str, kind: str, strict: bool) -> None:
    """Tell everything that is wrong with FILES. Exit code 0: clean, 1: findings, 2: not readable."""
    placed: list[reports.Placed] = []
    unreadable = False
    for path in files:
        try:
            data = read_file(path)
        except UnreadableFileError as error:
            click.echo(f"zinclever: {error}", err=True)
            unreadable = True
            continue
        file_format: Format = guess_format(data) if kind == "auto" else "platform" if kind == "platform" else "operator"
        placed += reports.place(path, data, check(data, file_format))
    text = reports.FORMATS[format](placed)
    print_text(colour_severities(text) if format == "text" and sys.stdout.isatty() else text)
    if unreadable:
        sys.exit(EXIT_UNREADABLE)
    relevant = [p for p in placed if strict or p.finding.severity == "error"]
    sys.exit(EXIT_FINDINGS if relevant else EXIT_CLEAN)


@config.command("explain")
@click.argument("what")
def explain_command(what: str) -> None:
    """Tell what a finding's CODE or a KEY means: its unit, default, bounds and since when."""
    text = reference.explain(what)
    if text is None:
        suggestions = ", ".join(reference.nearest(what))
        click.echo(
            f"zinclever: no code and no key {what!r}" + (f"; near: {suggestions}" if suggestions else ""), err=True
        )
        sys.exit(EXIT_UNREADABLE)
    print_text(text)


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
    cleaned = []
    for path in (before, after):
        _, report = load_file(path, "operator")
        if report.errors:
            click.echo(f"zinclever: {path} has {len(report.errors)} errors: check it first", err=True)
            sys.exit(EXIT_UNREADABLE)
        cleaned.append(report.clean)
    found_changes = changes.compare(*cleaned)
    for change in found_changes:
        click.echo(("RISK " if change.risk else "     ") + f"{change.key}: {change.text}")
    if not found_changes:
        click.echo("no change in behaviour")
    sys.exit(EXIT_FINDINGS if fail_on_risk and any(c.risk for c in found_changes) else EXIT_CLEAN)


@config.command("migrate")
@click.argument("file")
@click.option("--write", is_flag=True, help="Replace the file, at once and whole; else only show the difference.")
def migrate_command(file: str, write: bool) -> None:
    """Bring an older version's FILE up, keeping comments and order."""
    data, _ = load_file(file, "operator")
    try:
        new = migration.migrate(data.decode())
    except (migration.MigrationError, UnicodeDecodeError) as error:
        click.echo(f"zinclever: {file}: {error}", err=True)
        sys.exit(EXIT_UNREADABLE)
    if new.encode() == data:
        click.echo("nothing to change")
        return
    print_text(migration.difference(data.decode(), new, file))
    if write:
        writing.replace_file(Path(file), new)


@config.command("show")
@click.argument("file", required=False)
@click.option("--kind", type=FILE_KINDS, default="auto")
def show_command(file: str | None, kind: str) -> None:
    """Print the effective settings with where each value comes from."""
    path = file or os.environ.get("ZINCLEVER_OPERATOR") or os.environ.get("LB_CONFIG")
    if path is None:
        raise click.UsageError("name a FILE, or set ZINCLEVER_OPERATOR or LB_CONFIG")
    data, report = load_file(path, kind)
    if report.errors:
        click.echo(reports.as_text(reports.place(path, data, report)), nl=False, err=True)
        sys.exit(EXIT_FINDINGS)
    print_text(origins.show(path, data, report, os.environ))


config.add_command(writing.write_command)
