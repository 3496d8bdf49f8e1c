"""The command line: each role and each operator command is a subcommand."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import uvloop
from pythonjsonlogger.json import JsonFormatter

from .errors import MeshError
from .process_signals import ProcessSignals
from .roles.node_settings import SETTINGS_VARIABLE, NodeSettings, parse

log = logging.getLogger(__name__)

SETTINGS_CHECK_INTERVAL = 2.0  # s between two checks of the settings file
REQUESTED_CHECK_DELAY = 0.05  # s from SIGHUP to the check; a series of signals must not keep the process from its work
DEFAULT_GRACE = 6.0  # s from SIGTERM until the process exits

EXIT_FAILED = 1  # an address or a disk is not available, or a call was rejected
EXIT_USAGE = 2  # invalid settings or command line


class Role(Protocol):
    """A process of the mesh, from its start until SIGTERM."""

    async def start(self) -> None:
        """Bind the addresses and open the disk. Raises OSError if that fails."""

    async def stop(self, grace: float) -> None:
        """Shut down gracefully, within ``grace`` s."""

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings."""


def sidecar() -> int:
    """Run the sidecar beside an endpoint."""
    from .roles.sidecar import Sidecar

    return run(Sidecar)


def control() -> int:
    """Run a control node, which replicates the configuration and serves the API of operators and endpoints."""
    from .roles.control import ControlNode

    return run(ControlNode)


def run(make_role: Callable[[NodeSettings], Role]) -> int:
    """Run a role until SIGTERM. Returns the exit code: 0 after a graceful shutdown, else one of those above."""
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
    """Read the settings file named by the environment. Raises MeshError if it can't be used."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise MeshError("BOOT_MISSING", f"{SETTINGS_VARIABLE} names no file")
    try:
        return parse(Path(path).read_bytes())
    except OSError as error:
        raise MeshError("BOOT_UNREADABLE", str(error)) from None


async def serve(make_role: Callable[[NodeSettings], Role], settings: NodeSettings) -> None:
    """Run a role in the event loop until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    role = make_role(settings)
    watcher = SettingsWatcher(role, settings)
    with ProcessSignals(stop_requested.set, watcher.request_check):
        await role.start()
        log.info("started", extra={"code": "STARTED"})
        watcher.start()
        await stop_requested.wait()
        watcher.stop()
        await role.stop(settings.bounds.get("GraceS", DEFAULT_GRACE))


class SettingsWatcher:
    """Reloads the settings file when it has changed: on SIGHUP, and periodically, as a change may come without one."""

    def __init__(self, role: Role, settings: NodeSettings) -> None:
        self.role, self.settings = role, settings
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.is_running = False
        self.logged_error = ""

    def start(self) -> None:
        """Check now and periodically, once the role has started."""
        self.is_running = True
        self.run_check()

    def run_check(self) -> None:
        """Check now, and again every :data:`SETTINGS_CHECK_INTERVAL`."""
        self.schedule_check(SETTINGS_CHECK_INTERVAL)
        self.check()

    def request_check(self) -> None:
        """Check within :data:`REQUESTED_CHECK_DELAY`, once for all requests that come until then."""
        due = self.loop.time() + REQUESTED_CHECK_DELAY
        if self.is_running and (self.timer is None or self.timer.when() > due):
            self.schedule_check(REQUESTED_CHECK_DELAY)

    def schedule_check(self, delay: float) -> None:
        """Run :meth:`run_check` after ``delay`` s, replacing the check that is scheduled."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, self.run_check)

    def check(self) -> None:
        """Apply changed settings. Invalid settings change nothing and are logged once."""
        try:
            settings = read_settings()
        except MeshError as error:
            if str(error) != self.logged_error:
                self.logged_error = str(error)
                log.error(
                    "settings can't be reloaded", extra={"code": error.code, "field": error.field, "text": error.text}
                )
            return
        self.logged_error = ""
        if settings != self.settings:
            self.settings = settings
            log.info("settings reloaded", extra={"code": "BOOT_TAKEN", "seeds": [ip for ip, _ in settings.seeds]})
            self.role.reload(settings)

    def stop(self) -> None:
        """Stop checking."""
        self.is_running = False
        if self.timer is not None:
            self.timer.cancel()


def main(arguments: list[str] | None = None) -> int:
    """Run the subcommand that the command line names, and return its exit code."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    roles = {
        "sidecar": sidecar,
        "control": control,
        "forager": sidecar,
        "comb": control,
    }  # the last two: names in version 0.1
    command_line = sys.argv[1:] if arguments is None else arguments
    if len(command_line) == 1 and command_line[0] in roles:
        return roles[command_line[0]]()  # avoids importing the command-line parser, which is slow, when a role starts
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
