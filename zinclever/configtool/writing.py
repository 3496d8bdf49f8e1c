"""``config write``: a whole, commented file from a short description of the application."""

from __future__ import annotations

import os
import sys
import tempfile
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from ..configuration.check import check_operator
from ..configuration.model import VERSION
from ..configuration.reading import UnreadableFileError, read_file
from ..configuration.relations import IDLE_MB, MARGIN
from ..core.descriptors import DESCRIPTOR_RESERVE
from ..core.shared import MOST_CONNECTIONS
from .report import as_text, place

TEXT_KB = 64  # of one text: what the platform's own bodies may hold
MOST_CLIENTS = 512  # connections: an application opens far fewer, and each may hold a text
LEAST_CLIENTS = 8
CONNECT_MS = 250.0
LISTEN = "127.0.0.1:7001"


@dataclass(frozen=True, slots=True)
class Endpoint:
    address: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class App:
    """What an operator knows of an application."""

    name: str
    listen: str = LISTEN
    zone: str = ""
    endpoints: tuple[Endpoint, ...] = ()
    reads: tuple[str, ...] = ()
    unlocks: tuple[tuple[str, str], ...] = ()
    """Methods and the JSON Pointers to their keys."""
    tips: tuple[str, ...] = ()
    framing: str = "lines"
    aim_ms: float = 1000.0
    deadline_ms: float = 4000.0
    window_ms: float = 12000.0
    rate: float = 50.0
    """Calls a second that this sidecar expects."""
    memory_mb: int = 64
    sockets: int = 1024
    instances: int = 1


class Impossible(Exception):
    """No file can be written for what was told."""


def clients(app: App) -> tuple[int, str]:
    """How many clients fit, and why."""
    by_memory = (app.memory_mb - IDLE_MB) * 1024 // TEXT_KB
    by_sockets = app.sockets - DESCRIPTOR_RESERVE - MOST_CONNECTIONS * len(app.endpoints)
    most = min(MOST_CLIENTS, by_memory, by_sockets)
    if most < LEAST_CLIENTS:
        raise Impossible(
            f"{app.memory_mb} MB and {app.sockets} descriptors leave room for {max(0, most)} clients; "
            f"{LEAST_CLIENTS} is the least that is of use"
        )
    if most == by_memory:
        return most, f"{app.memory_mb} MB less {IDLE_MB} idle hold so many texts of {TEXT_KB} KiB"
    if most == by_sockets:
        return most, (
            f"{app.sockets} descriptors less {DESCRIPTOR_RESERVE} in reserve and {MOST_CONNECTIONS} for each of "
            f"{len(app.endpoints)} endpoints"
        )
    return most, "far more than one application opens"


def render(app: App) -> str:
    """The file. The same for the same description, byte for byte. Impossible where none can pass its check."""
    if not app.endpoints:
        raise Impossible("no endpoint is told")
    if not (app.reads or app.unlocks or app.tips):
        raise Impossible("no method is told")
    text = "\n".join(lines(app)) + "\n"
    report = check_operator(text.encode())
    if report.errors:
        raise Impossible(as_text(place(app.name, text.encode(), report)).strip())
    return text


def lines(app: App) -> Iterator[str]:
    most, why = clients(app)
    busy = app.rate * app.aim_ms / 1000.0
    attempts = 3 if len(app.endpoints) > 2 else 2
    yield f"# {quoted_comment(app.name)}: written by `zinclever config write`."
    yield "# `zinclever config check` judges it, `zinclever config explain KEY` tells what a key means."
    yield f"version = {VERSION}"
    yield ""
    yield "[limits]"
    yield f"sockets = {app.sockets}  # descriptors that the process may hold"
    yield f"memory_mb = {app.memory_mb}  # memory that it may use: checked against max_clients times max_text_kb"
    yield ""
    yield f"[services.{quote(app.name)}]"
    yield 'protocol = "jsonrpc"'
    yield f"listen = {quote(app.listen)}  # the application beside it connects here"
    yield f"framing = {quote(app.framing)}"
    if app.zone:
        yield f"zone = {quote(app.zone)}  # the sidecar's own"
    yield "endpoints = ["
    for endpoint in app.endpoints:
        zone = f", zone = {quote(endpoint.zone)}" if endpoint.zone else ""
        yield f"    {{ address = {quote(endpoint.address)}{zone} }},"
    yield "]"
    yield f"instances = {app.instances}  # sidecars that share these endpoints"
    yield f"max_clients = {most}  # {why}"
    yield f"max_text_kb = {TEXT_KB}  # of one text, a whole batch among them"
    yield (
        f"max_attempts = {attempts}  # {len(app.endpoints)} endpoints; {app.rate:g} calls a second keep about "
        f"{busy:.0f} out at the aim"
    )
    yield f"connect_timeout_ms = {CONNECT_MS:g}  # an unreachable endpoint costs this much of the aim"
    if app.tips:
        yield 'default_class = "tip"  # what is not listed might do something twice, and is never sent again'
    yield from classes(app)
    yield from methods(app)


def classes(app: App) -> Iterator[str]:
    def times() -> Iterator[str]:
        yield f"aim_ms = {app.aim_ms:g}  # an answer within it is in time; copies of a read follow after 0.36 of it"
        yield f"deadline_ms = {app.deadline_ms:g}  # the client hears by then; it should wait a little longer"

    base = f"services.{quote(app.name)}.classes"
    if app.reads:
        yield from ("", f"[{base}.read]", 'repeat = "idempotent"  # safe to repeat')
        yield from times()
    if app.unlocks:
        yield from ("", f"[{base}.unlock]", 'repeat = "deduplicated"  # resent inside group and window only')
        yield from times()
        least = app.deadline_ms + CONNECT_MS + MARGIN
        yield f"window_ms = {app.window_ms:g}  # how long endpoints remember a key; {least:g} is the least here"
        zoned = all(e.zone for e in app.endpoints)
        yield f'group = "{"zone" if zoned else "all"}"  # the endpoints that discard each other\'s repeats'
    if app.tips:
        yield from ("", f"[{base}.tip]", 'repeat = "at_most_once"  # never sent twice')
        yield from times()


def methods(app: App) -> Iterator[str]:
    yield ""
    yield f"[services.{quote(app.name)}.methods]"
    for name in app.reads:
        yield f'{quote(name)} = {{ class = "read" }}'
    for name, key in app.unlocks:
        yield f'{quote(name)} = {{ class = "unlock", key = {quote(key)} }}'
    for name in app.tips:
        yield f'{quote(name)} = {{ class = "tip" }}'


def quote(text: str) -> str:
    """A TOML basic string."""
    escaped = "".join(
        f"\\u{ord(c):04x}" if ord(c) < 32 or ord(c) == 127 else "\\" + c if c in '"\\' else c for c in text
    )
    return f'"{escaped}"'


def quoted_comment(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)


def replace(path: Path, text: str) -> None:
    """Put a file in the place of another at once: who reads meanwhile has the old one or the new one, whole."""
    descriptor, name = tempfile.mkstemp(dir=path.resolve().parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8", newline="") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(name, path.stat().st_mode & 0o777 if path.exists() else 0o644)
        os.replace(name, path.resolve())
    except BaseException:
        os.unlink(name)
        raise


# --- descriptions ---

FIELDS = {
    "listen": str,
    "zone": str,
    "framing": str,
    "aim_ms": float,
    "deadline_ms": float,
    "window_ms": float,
    "rate": float,
    "memory_mb": int,
    "sockets": int,
    "instances": int,
}


@dataclass
class Draft:
    """What has been told so far: a description file first, flags over it, answers for the rest."""

    told: dict[str, Any] = field(default_factory=dict)

    def read(self, path: str) -> None:
        try:
            values = tomllib.loads(read_file(path).decode())
        except (UnreadableFileError, UnicodeDecodeError, tomllib.TOMLDecodeError) as wrong:
            raise click.ClickException(f"{path}: {wrong}") from wrong
        for name, value in values.items():
            self.take(path, name, value)

    def take(self, path: str, name: str, value: Any) -> None:
        if name in FIELDS:
            kind = FIELDS[name]
            if isinstance(value, bool) or not isinstance(value, (int, float) if kind is float else kind):
                raise click.ClickException(f"{path}: {name} takes a {kind.__name__}, not {value!r}")
            self.told[name] = kind(value)
        elif name in ("endpoints", "reads", "unlocks", "tips"):
            if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
                raise click.ClickException(f"{path}: {name} takes an array of texts")
            self.texts(name, tuple(value))
        else:
            known = ", ".join([*FIELDS, "endpoints", "reads", "unlocks", "tips"])
            raise click.ClickException(f"{path}: {name} is not known; known: {known}")

    def texts(self, name: str, values: tuple[str, ...]) -> None:
        """Endpoints are ADDRESS or ADDRESS@ZONE, unlocks METHOD=POINTER."""
        if name == "endpoints":
            made = [v.partition("@") for v in values]
            self.told[name] = tuple(Endpoint(address, zone) for address, _, zone in made)
        elif name == "unlocks":
            pairs = [v.rpartition("=") for v in values]
            if any(not method or not key.startswith("/") for method, _, key in pairs):
                raise click.ClickException("an unlock is METHOD=POINTER, as in unlock.buy=/key")
            self.told[name] = tuple((method, key) for method, _, key in pairs)
        else:
            self.told[name] = values

    def ask(self) -> None:
        """Question and answer, on a terminal."""
        if "listen" not in self.told:
            self.told["listen"] = click.prompt("Where the application connects", LISTEN)
        for name, question in (
            ("endpoints", "Endpoints, as ADDRESS or ADDRESS@ZONE, with spaces between"),
            ("reads", "Methods that are safe to repeat (spaces between, empty: none)"),
            ("unlocks", "Methods with a key, as METHOD=POINTER"),
            ("tips", "Methods that must never run twice"),
        ):
            if name not in self.told:
                self.texts(name, tuple(click.prompt(question, "", show_default=False).split()))
        for name, question in (
            ("rate", "Calls a second that this sidecar expects"),
            ("memory_mb", "Memory, MB"),
            ("sockets", "Descriptors"),
            ("instances", "Sidecars that share the endpoints"),
        ):
            if name not in self.told:
                self.told[name] = click.prompt(question, getattr(App("x"), name), type=FIELDS[name])


@click.command("write")
@click.argument("app")
@click.option("--describe", metavar="FILE", help="A description: a TOML file with the names of these flags.")
@click.option("--listen", help="Where the application connects.")
@click.option("--zone", help="The sidecar's own.")
@click.option("--endpoint", "endpoints", multiple=True, help="ADDRESS or ADDRESS@ZONE; several times.")
@click.option("--read", "reads", multiple=True, help="A method that is safe to repeat; several times.")
@click.option("--unlock", "unlocks", multiple=True, help="METHOD=POINTER to its key in params; several times.")
@click.option("--tip", "tips", multiple=True, help="A method that must never run twice; several times.")
@click.option("--framing", type=click.Choice(["lines", "headers"]))
@click.option("--aim-ms", type=float)
@click.option("--deadline-ms", type=float)
@click.option("--window-ms", type=float, help="How long endpoints remember a key.")
@click.option("--rate", type=float, help="Calls a second that this sidecar expects.")
@click.option("--memory-mb", type=int)
@click.option("--sockets", type=int, help="Descriptors that the process may hold.")
@click.option("--instances", type=int, help="Sidecars that share these endpoints.")
@click.option("--output", "-o", metavar="FILE", help="Replace this file, at once and whole; else print.")
def write_command(app: str, describe: str | None, output: str | None, **flags: Any) -> None:
    """Write a complete, commented file for APP."""
    draft = Draft()
    if describe is not None:
        draft.read(describe)
    for name, value in flags.items():
        if isinstance(value, tuple):
            if value:
                draft.texts(name, value)
        elif value is not None:
            draft.told[name] = value
    if "endpoints" not in draft.told and sys.stdin.isatty():
        draft.ask()
    try:
        text = render(App(app, **draft.told))
    except Impossible as wrong:
        raise click.ClickException(str(wrong)) from wrong
    if output is None:
        click.echo(text, nl=False)
    else:
        replace(Path(output), text)
