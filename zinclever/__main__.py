"""The sidecar program: configuration, start, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import uvloop

from .assembly import Platform
from .config import Config, ConfigError, read_config
from .core.descriptors import Descriptors
from .core.service import drain

log = logging.getLogger("zinclever")


def reload(platform: Platform) -> None:
    """What a SIGHUP does: the file is read again, and what differs from before is put into service.

    A file that can't be read or used is logged, and what holds goes on. The environment is that of the
    start and can't have changed since: for discovery the file holds.
    """
    env = {k: v for k, v in os.environ.items() if k != "LB_DISCOVERY"}
    try:
        config = read_config(env)
    except ConfigError as wrong:
        log.error("configuration not reloaded: %s", wrong)
        return
    if config.listen != platform.config.listen:
        log.warning("configuration: listen takes effect at the next start only")
    platform.adopt(config)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is held."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    platform = Platform(config, Descriptors(config.sockets))
    loop.add_signal_handler(signal.SIGHUP, reload, platform)
    await platform.service.listen()
    await stopped.wait()
    await drain([platform.service])


def main() -> int:
    """Run the sidecar; 2 after a configuration that it can't start with, 1 if it can't listen."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = read_config(os.environ)
    except ConfigError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config))
    except OSError as wrong:
        print(f"zinclever: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
