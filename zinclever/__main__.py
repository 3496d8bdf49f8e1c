"""The sidecar program: configuration, start, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

import uvloop

from .assembly import Assembly
from .config import Config, ConfigError, read_config
from .core.service import drain

if TYPE_CHECKING:
    from .operator import Operator

OPERATOR = "ZINCLEVER_OPERATOR"  # names the operator file

log = logging.getLogger("zinclever")


def read(env: Mapping[str, str]) -> tuple[Config | None, Operator | None]:
    """Both files; the platform's may be left out where there is an operator file."""
    operator: Operator | None = None
    if path := env.get(OPERATOR):
        # Loaded where it is needed: the platform's sidecar lives in little memory.
        from .operator import OperatorError, read_operator

        try:
            operator = read_operator(path)
        except OperatorError as wrong:
            raise ConfigError(f"{OPERATOR}: {wrong}") from wrong
        if not env.get("LB_CONFIG"):
            return None, operator
    return read_config(env), operator


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
    """Run the sidecar; 2 after a configuration that it can't start with, 1 if it can't listen."""
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
