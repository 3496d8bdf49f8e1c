"""The sidecar program: configuration, start, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from .assembly import Assembly
from .configuration.load import ConfigError, read
from .configuration.platform import Config
from .core.service import drain

if TYPE_CHECKING:
    from .configuration.operator import Operator

log = logging.getLogger("zinclever")


def reload(assembly: Assembly) -> None:
    """What a SIGHUP does: the files are read again, and what differs from before is put into service.

    Where one can't be read or used this is logged, and what holds goes on. The environment is that of the
    start and can't have changed since: for discovery the file holds.
    """
    env = {k: v for k, v in os.environ.items() if k != "LB_DISCOVERY"}
    try:
        config, operator = read(env)
    except ConfigError as wrong:
        log.error("configuration not reloaded: %s", wrong)
        return
    assembly.adopt(config, operator)


async def serve(config: Config | None, operator: Operator | None) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is held."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    assembly = Assembly(config, operator)
    loop.add_signal_handler(signal.SIGHUP, reload, assembly)
    for service in assembly.services():
        await service.listen()
    await stopped.wait()
    await drain(assembly.services())


def main() -> int:
    """Run the sidecar; 2 after a configuration that it can't start with, 1 if it can't listen.

    With the argument ``config`` it is the configuration tool.
    """
    if sys.argv[1:2] == ["config"]:
        # Loaded here only: a running sidecar needs none of it.
        from .configtool.cli import config as tool

        tool(sys.argv[2:], prog_name="zinclever config")
    if sys.argv[1:]:
        print("zinclever: no arguments but config; the environment names its files", file=sys.stderr)
        return 2
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config, operator = read(os.environ)
    except ConfigError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, operator))
    except OSError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
