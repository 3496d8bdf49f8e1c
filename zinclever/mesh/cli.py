"""The command line: each role is a subcommand."""

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


class Role(Protocol):
    async def start(self) -> None: ...

    async def stop(self, grace: float) -> None: ...

    def reload(self, boot: NodeSettings) -> None: ...


def sidecar() -> int:
    """Run the sidecar beside an endpoint."""
    from .roles.sidecar import Sidecar

    return run(Sidecar)


def control() -> int:
    """Run a control machine: a replica of the configuration, and the calls of operators and endpoints."""
    from .roles.control import ControlNode

    return run(ControlNode)


def run(make_role: Callable[[NodeSettings], Role]) -> int:
    """Run a role until SIGTERM: 0 after an end in order, 2 for settings that can't be used, 1 for an address or a disk
    that can't be had."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        boot = read_settings()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(make_role, boot))
    except MeshError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 2
    except OSError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 1
    return 0


def read_settings() -> NodeSettings:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise MeshError("BOOT_MISSING", f"{SETTINGS_VARIABLE} names no file")
    try:
        return parse(Path(path).read_bytes())
    except OSError as wrong:
        raise MeshError("BOOT_UNREADABLE", str(wrong)) from None


async def serve(make_role: Callable[[NodeSettings], Role], settings: NodeSettings) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    role = make_role(settings)
    watch = SettingsWatcher(role, settings)
    loop.add_signal_handler(signal.SIGHUP, watch.check)
    await role.start()
    log.info("started", extra={"code": "STARTED"})
    watch.run_check()
    await ended.wait()
    watch.stop()
    await role.stop(settings.bounds.get("GraceS", 6.0))


class SettingsWatcher:
    """Looks whether the settings file has changed: on SIGHUP, and now and then, as it may change without one."""

    def __init__(self, role: Role, boot: NodeSettings) -> None:
        self.role, self.settings = role, boot
        self.timer: asyncio.TimerHandle | None = None
        self.logged_error = ""

    def run_check(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(SETTINGS_CHECK_INTERVAL, self.run_check)
        self.check()

    def check(self) -> None:
        """What can't be used changes nothing, and is told once."""
        try:
            boot = read_settings()
        except MeshError as wrong:
            if str(wrong) != self.logged_error:
                self.logged_error = str(wrong)
                log.error("settings not taken", extra={"code": wrong.code, "field": wrong.field, "text": wrong.text})
            return
        self.logged_error = ""
        if boot != self.settings:
            self.settings = boot
            log.info("settings taken anew", extra={"code": "BOOT_TAKEN", "seeds": [s[0] for s in boot.seeds]})
            self.role.reload(boot)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


def main(arguments: list[str] | None = None) -> int:
    """The exit code of what was asked for."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    roles = {"sidecar": sidecar, "control": control, "forager": sidecar, "comb": control}  # the last two: of 0.1
    told = sys.argv[1:] if arguments is None else arguments
    if len(told) == 1 and told[0] in roles:
        return roles[told[0]]()  # a start waits for no library that reads the rest of the command line
    import defopt

    from .operator_cli.commands import COMMANDS

    try:
        return int(defopt.run([sidecar, control, *COMMANDS], argv=arguments, cli_options="has_default") or 0)
    except MeshError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 1
    except OSError as wrong:
        print(f"zinclever: FILE: {wrong}", file=sys.stderr)
        return 1
