"""``config write``: generates a complete, commented file from a short description of an application."""

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
from ..configuration.relations import IDLE_MB, WINDOW_MARGIN
from ..core.descriptors import DESCRIPTOR_RESERVE
from ..core.shared import MOST_CONNECTIONS
from .report import as_text, place

MAX_TEXT_KB = 64  # largest message of a client, the same as for bodies of the platform's service
MAX_CLIENTS = 512  # client connections; each may hold a message of maximum size
MIN_CLIENTS = 8
CONNECT_TIMEOUT_MS = 250.0
DEFAULT_LISTEN = "127.0.0.1:7001"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint with its optional zone."""

    address: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class App:
    """Description of an application, as given by an operator."""

    name: str
    listen: str = DEFAULT_LISTEN
    zone: str = ""
    endpoints: tuple[Endpoint, ...] = ()
    reads: tuple[str, ...] = ()
    """Methods that are safe to repeat."""
    unlocks: tuple[tuple[str, str], ...] = ()
    """Methods, each with the JSON Pointer to its deduplication key."""
    tips: tuple[str, ...] = ()
    """Methods that must never run twice."""
    framing: str = "lines"
    aim_ms: float = 1000.0
    deadline_ms: float = 4000.0
    window_ms: float = 12000.0
    rate: float = 50.0
    """Expected calls per second through this sidecar."""
    memory_mb: int = 64
    sockets: int = 1024
    """Descriptors that the process may use."""
    instances: int = 1
    """Sidecars that share the endpoints."""


class InvalidAppError(Exception):
    """No valid file can be generated from the description."""


def client_limit(app: App) -> tuple[int, str]:
    """Return how many clients the memory and descriptor limits allow, and the reason for a comment in the file."""
    by_memory = (app.memory_mb - IDLE_MB) * 1024 // MAX_TEXT_KB
    by_sockets = app.sockets - DESCRIPTOR_RESERVE - MOST_CONNECTIONS * len(app.endpoints)
    limit = min(MAX_CLIENTS, by_memory, by_sockets)
    if limit < MIN_CLIENTS:
        raise InvalidAppError(
            f"{app.memory_mb} MB and {app.sockets} descriptors leave room for {max(0, limit)} clients; "
            f"{MIN_CLIENTS} is the least that is of use"
        )
    if limit == by_memory:
        return limit, f"{app.memory_mb} MB less {IDLE_MB} idle hold so many texts of {MAX_TEXT_KB} KiB"
    if limit == by_sockets:
        return limit, (
            f"{app.sockets} descriptors less {DESCRIPTOR_RESERVE} in reserve and {MOST_CONNECTIONS} for each of "
            f"{len(app.endpoints)} endpoints"
        )
    return limit, "far more than one application opens"


def render(app: App) -> str:
    """Return the file. The output is deterministic.

    Raises:
        InvalidAppError: The description is incomplete, or the resulting file fails its check.
    """
    if not app.endpoints:
        raise InvalidAppError("no endpoint is told")
    if not (app.reads or app.unlocks or app.tips):
        raise InvalidAppError("no method is told")
    text = "\n".join(render_lines(app)) + "\n"
    report = check_operator(text.encode())
    if report.errors:
        raise InvalidAppError(as_text(place(app.name, text.encode(), report)).strip())
    return text


def render_lines(app: App) -> Iterator[str]:
    """Yield the lines of the file."""
    limit, reason = client_limit(app)
    in_flight = app.rate * app.aim_ms / 1000.0
    attempts = 3 if len(app.endpoints) > 2 else 2
    yield f"# {comment_text(app.name)}: written by `zinclever config write`."
    yield "# `zinclever config check` judges it, `zinclever config explain KEY` tells what a key means."
    yield f"version = {VERSION}"
    yield ""
    yield "[limits]"
    yield f"sockets = {app.sockets}  # descriptors that the process may hold"
    yield f"memory_mb = {app.memory_mb}  # memory that it may use: checked against max_clients times max_text_kb"
    yield ""
    yield f"[services.{toml_string(app.name)}]"
    yield 'protocol = "jsonrpc"'
    yield f"listen = {toml_string(app.listen)}  # the application beside it connects here"
    yield f"framing = {toml_string(app.framing)}"
    if app.zone:
        yield f"zone = {toml_string(app.zone)}  # the sidecar's own"
    yield "endpoints = ["
    for endpoint in app.endpoints:
        zone = f", zone = {toml_string(endpoint.zone)}" if endpoint.zone else ""
        yield f"    {{ address = {toml_string(endpoint.address)}{zone} }},"
    yield "]"
    yield f"instances = {app.instances}  # sidecars that share these endpoints"
    yield f"max_clients = {limit}  # {reason}"
    yield f"max_text_kb = {MAX_TEXT_KB}  # of one text, a whole batch among them"
    yield (
        f"max_attempts = {attempts}  # {len(app.endpoints)} endpoints; {app.rate:g} calls a second keep about "
        f"{in_flight:.0f} out at the aim"
    )
    yield f"connect_timeout_ms = {CONNECT_TIMEOUT_MS:g}  # an unreachable endpoint costs this much of the aim"
    if app.tips:
        yield 'default_class = "tip"  # what is not listed might do something twice, and is never sent again'
    yield from render_classes(app)
    yield from render_methods(app)


def render_classes(app: App) -> Iterator[str]:
    """Yield the lines of the classes in use."""

    def timing_lines() -> Iterator[str]:
        yield f"aim_ms = {app.aim_ms:g}  # an answer within it is in time; copies of a read follow after 0.36 of it"
        yield f"deadline_ms = {app.deadline_ms:g}  # the client hears by then; it should wait a little longer"

    base = f"services.{toml_string(app.name)}.classes"
    if app.reads:
        yield from ("", f"[{base}.read]", 'repeat = "idempotent"  # safe to repeat')
        yield from timing_lines()
    if app.unlocks:
        yield from ("", f"[{base}.unlock]", 'repeat = "deduplicated"  # resent inside group and window only')
        yield from timing_lines()
        min_window = app.deadline_ms + CONNECT_TIMEOUT_MS + WINDOW_MARGIN
        yield f"window_ms = {app.window_ms:g}  # how long endpoints remember a key; {min_window:g} is the least here"
        all_zoned = all(e.zone for e in app.endpoints)
        yield f'group = "{"zone" if all_zoned else "all"}"  # the endpoints that discard each other\'s repeats'
    if app.tips:
        yield from ("", f"[{base}.tip]", 'repeat = "at_most_once"  # never sent twice')
        yield from timing_lines()


def render_methods(app: App) -> Iterator[str]:
    """Yield the lines of the methods table."""
    yield ""
    yield f"[services.{toml_string(app.name)}.methods]"
    for name in app.reads:
        yield f'{toml_string(name)} = {{ class = "read" }}'
    for name, key in app.unlocks:
        yield f'{toml_string(name)} = {{ class = "unlock", key = {toml_string(key)} }}'
    for name in app.tips:
        yield f'{toml_string(name)} = {{ class = "tip" }}'


def toml_string(text: str) -> str:
    """Return a TOML basic string."""
    escaped = "".join(
        f"\\u{ord(c):04x}" if ord(c) < 32 or ord(c) == 127 else "\\" + c if c in '"\\' else c for c in text
    )
    return f'"{escaped}"'


def comment_text(text: str) -> str:
    """Replace unprintable characters, for use in a comment."""
    return "".join(c if c.isprintable() else "?" for c in text)


def replace_file(path: Path, text: str) -> None:
    """Replace a file atomically: a concurrent reader sees the old or the new content, never a mixture."""
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


# --- description files, flags and prompts ---

FIELD_TYPES = {
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
    """Collects the fields of an :class:`App`: a description file, overridden by flags, and prompts for the rest."""

    options: dict[str, Any] = field(default_factory=dict)

    def load_description(self, path: str) -> None:
        """Read a description file."""
        try:
            values = tomllib.loads(read_file(path).decode())
        except (UnreadableFileError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            raise click.ClickException(f"{path}: {error}") from error
        for name, value in values.items():
            self.set_option(path, name, value)

    def set_option(self, path: str, name: str, value: Any) -> None:
        """Validate and store one field of a description file."""
        if name in FIELD_TYPES:
            expected_type = FIELD_TYPES[name]
            if isinstance(value, bool) or not isinstance(
                value, (int, float) if expected_type is float else expected_type
            ):
                raise click.ClickException(f"{path}: {name} takes a {expected_type.__name__}, not {value!r}")
            self.options[name] = expected_type(value)
        elif name in ("endpoints", "reads", "unlocks", "tips"):
            if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
                raise click.ClickException(f"{path}: {name} takes an array of texts")
            self.set_list(name, tuple(value))
        else:
            known = ", ".join([*FIELD_TYPES, "endpoints", "reads", "unlocks", "tips"])
            raise click.ClickException(f"{path}: {name} is not known; known: {known}")

    def set_list(self, name: str, values: tuple[str, ...]) -> None:
        """Parse and store a list. Endpoints are ADDRESS or ADDRESS@ZONE, unlocks METHOD=POINTER."""
        if name == "endpoints":
            split_values = [v.partition("@") for v in values]
            self.options[name] = tuple(Endpoint(address, zone) for address, _, zone in split_values)
        elif name == "unlocks":
            pairs = [v.rpartition("=") for v in values]
            if any(not method or not key.startswith("/") for method, _, key in pairs):
                raise click.ClickException("an unlock is METHOD=POINTER, as in unlock.buy=/key")
            self.options[name] = tuple((method, key) for method, _, key in pairs)
        else:
            self.options[name] = values

    def prompt(self) -> None:
        """Prompt on the terminal for the main fields that are not set yet."""
        if "listen" not in self.options:
            self.options["listen"] = click.prompt("Where the application connects", DEFAULT_LISTEN)
        for name, question in (
            ("endpoints", "Endpoints, as ADDRESS or ADDRESS@ZONE, with spaces between"),
            ("reads", "Methods that are safe to repeat (spaces between, empty: none)"),
            ("unlocks", "Methods with a key, as METHOD=POINTER"),
            ("tips", "Methods that must never run twice"),
        ):
            if name not in self.options:
                self.set_list(name, tuple(click.prompt(question, "", show_default=False).split()))
        for name, question in (
            ("rate", "Calls a second that this sidecar expects"),
            ("memory_mb", "Memory, MB"),
            ("sockets", "Descriptors"),
            ("instances", "Sidecars that share the endpoints"),
        ):
            if name not in self.options:
                self.options[name] = click.prompt(question, getattr(App("x"), name), type=FIELD_TYPES[name])


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
        draft.load_description(describe)
    for name, value in flags.items():
        if isinstance(value, tuple):
            if value:
                draft.set_list(name, value)
        elif value is not None:
            draft.options[name] = value
    if "endpoints" not in draft.options and sys.stdin.isatty():
        draft.prompt()
    try:
        text = render(App(app, **draft.options))
    except InvalidAppError as error:
        raise click.ClickException(str(error)) from error
    if output is None:
        click.echo(text, nl=False)
    else:
        replace_file(Path(output), text)
