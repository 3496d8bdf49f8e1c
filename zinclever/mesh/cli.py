"""The command line: each role is a subcommand, and so is each command of operators."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import uvloop
from pythonjsonlogger.json import JsonFormatter

from .errors import MeshError
from .roles.node_settings import SETTINGS_VARIABLE, NodeSettings, parse

log = logging.getLogger(__name__)

SETTINGS_CHECK_INTERVAL = 2.0  # s between two looks at the settings file
DEFAULT_GRACE = 6.0  # s from SIGTERM to the end

EXIT_FAILED = 1  # an address or a disk that can't be had, or a call that was refused
EXIT_USAGE = 2  # settings or a command line that can't be used


class Role(Protocol):
    """What a process runs, from its start to SIGTERM."""

    async def start(self) -> None:
        """Take addresses and disk. OSError where they can't be had."""

    async def stop(self, grace: float) -> None:
        """End in order, within ``grace`` s."""

    def reload(self, settings: NodeSettings) -> None:
        """Take new settings."""


def sidecar() -> int:
    """Run the sidecar beside an endpoint."""
    from .roles.sidecar import Sidecar

    return run(Sidecar)


def control() -> int:
    """Run a control machine: a replica of the configuration, and the calls of operators and endpoints."""
    from .roles.control import ControlNode

    return run(ControlNode)


def run(make_role: Callable[[NodeSettings], Role]) -> int:
    """Run a role until SIGTERM; the exit code: 0 after an end in order, else one of those above."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = read_settings()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(make_role, settings))
    except MeshError as error:
        print(f"zinclever: {error}", file=sys.stderr)
        return EXIT_USAGE
    except OSError as error:
        print(f"zinclever: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def read_settings() -> NodeSettings:
    """The settings that the environment names. MeshError where they can't be used."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise MeshError("BOOT_MISSING", f"{SETTINGS_VARIABLE} names no file")
    try:
        return parse(Path(path).read_bytes())
    except OSError as error:
        raise MeshError("BOOT_UNREADABLE", str(error)) from None


async def serve(make_role: Callable[[NodeSettings], Role], settings: NodeSettings) -> None:
    """Run a role in the event loop until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    role = make_role(settings)
    watcher = SettingsWatcher(role, settings)
    loop.add_signal_handler(signal.SIGHUP, watcher.check)
    await role.start()
    log.info("started", extra={"code": "STARTED"})
    watcher.run_check()
    await ended.wait()
    watcher.stop()
    await role.stop(settings.bounds.get("GraceS", DEFAULT_GRACE))


class SettingsWatcher:
    """Checks whether the settings file has changed: on SIGHUP, and periodically, as it may change without one."""

    def __init__(self, role: Role, settings: NodeSettings) -> None:
        self.role, self.settings = role, settings
        self.timer: asyncio.TimerHandle | None = None
        self.logged_error = ""

    def run_check(self) -> None:
        """Check now, and every :data:`SETTINGS_CHECK_INTERVAL`."""
        self.timer = asyncio.get_running_loop().call_later(SETTINGS_CHECK_INTERVAL, self.run_check)
        self.check()

    def check(self) -> None:
        """Take changed settings. Settings that can't be used change nothing, and are logged once."""
        try:
            settings = read_settings()
        except MeshError as error:
            if str(error) != self.logged_error:
                self.logged_error = str(error)
                log.error("settings not taken", extra={"code": error.code, "field": error.field, "text": error.text})
            return
        self.logged_error = ""
        if settings != self.settings:
            self.settings = settings
            log.info("settings taken anew", extra={"code": "BOOT_TAKEN", "seeds": [ip for ip, _ in settings.seeds]})
            self.role.reload(settings)

    def stop(self) -> None:
        """Check no more."""
        if self.timer is not None:
            self.timer.cancel()


def main(arguments: list[str] | None = None) -> int:
    """Run what the command line asks for; its exit code."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    roles = {"sidecar": sidecar, "control": control, "forager": sidecar, "comb": control}  # the last two: of 0.1
    given = sys.argv[1:] if arguments is None else arguments
    if len(given) == 1 and given[0] in roles:
        return roles[given[0]]()  # a start waits for no library that parses the rest of the command line
    import defopt

    from .operator_cli.commands import COMMANDS

    try:
        return int(defopt.run([sidecar, control, *COMMANDS], argv=arguments, cli_options="has_default") or 0)
    except MeshError as error:
        print(f"zinclever: {error}", file=sys.stderr)
        return EXIT_FAILED
    except OSError as error:
        print(f"zinclever: FILE: {error}", file=sys.stderr)
        return EXIT_FAILED
