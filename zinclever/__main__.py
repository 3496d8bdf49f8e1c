"""Entry point of the sidecar program."""

from __future__ import annotations

import asyncio
import logging
import sys

import uvloop

from .configuration.load import ConfigError, read
from .program import serve
from .system import System


def main() -> int:
    """Runs the sidecar; returns 2 if the configuration is unusable and 1 if an address can't be bound.

    The argument ``config`` runs the configuration tool instead, ``sim`` simulates days of operation and ``rig`` runs
    them on real processes.
    """
    # Imported only on demand: the sidecar itself needs none of these.
    if sys.argv[1:2] == ["config"]:
        from .configtool.cli import config as tool

        tool(sys.argv[2:], prog_name="zinclever config")
    if sys.argv[1:2] == ["sim"]:
        from .sim.cli import sim

        sim(sys.argv[2:], prog_name="zinclever sim")
    if sys.argv[1:2] == ["rig"]:
        from .rig.cli import rig

        rig(sys.argv[2:], prog_name="zinclever rig")
    if sys.argv[1:]:
        print("zinclever: no arguments but config, sim and rig; the environment names its files", file=sys.stderr)
        return 2
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    host = System()
    host.block_reload_signal()
    try:
        config, operator = read(host.environ, host.read_file)
    except ConfigError as error:
        print(f"zinclever: {error}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, operator, host))
    except OSError as error:
        print(f"zinclever: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
