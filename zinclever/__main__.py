"""The sidecar program: configuration, start, signals, exit code."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import uvloop

from .interface import Settings
from .net.http import Address, read_address
from .net.server import Front, ServerConnection
from .net.sidecar import Sidecar
from .policy import Balancer
from .settings import read_settings

log = logging.getLogger("zinclever")

KEEP_FOR = 0.45  # s after SIGTERM for which idle connections stay open; clients hear of it within 0.4 s
RESEND_FOR = 0.2  # s more in which a request that crossed the end of its connection may come on a new one
HELD_FOR = 3.0  # s more for what is held; no client waits longer, and half a request is not waited for
BACKLOG = 1024


class ConfigError(Exception):
    """The program can't start with what it was told."""


@dataclass(frozen=True, slots=True)
class Config:
    """What the program is told at its start."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: dict[str, Any]
    settings: Settings
    zones: list[str]


def read_config(env: Mapping[str, str]) -> Config:
    """The configuration file that ``LB_CONFIG`` names; the addresses in the environment come first."""
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set: it names the configuration file")
    try:
        told = orjson.loads(Path(path).read_bytes())
    except OSError as wrong:
        raise ConfigError(f"LB_CONFIG: {wrong}") from wrong
    except orjson.JSONDecodeError as wrong:
        raise ConfigError(f"LB_CONFIG: {path} is not JSON: {wrong}") from wrong
    try:
        settings = read_settings(told["settings"])
        if len({c.name for c in settings.classes} - {""}) < len(settings.classes):
            raise ValueError("settings.classes: each needs a name of its own")
        return Config(
            listen=read_address(env.get("LB_LISTEN") or told["listen"]),
            discovery=read_address(env.get("LB_DISCOVERY") or told["discovery"]),
            seed=int(str(told.get("seed") or "0"), 16),
            sockets=int((told.get("limits") or {}).get("sockets") or 1024),
            known=told.get("known") or {},
            settings=settings,
            zones=list(told["settings"].get("zones") or ()),
        )
    except KeyError as wrong:
        raise ConfigError(f"LB_CONFIG: {path}: no {wrong}") from wrong
    except (LookupError, TypeError, ValueError, AttributeError) as wrong:
        raise ConfigError(f"LB_CONFIG: {path}: {wrong}") from wrong


class Reload:
    """What a SIGHUP does: the file is read again, and what differs from before is put into service."""

    def __init__(self, config: Config, front: Front) -> None:
        self.config, self.front = config, front

    def __call__(self) -> None:
        """A file that can't be read or used is logged, and what holds goes on.

        The environment is that of the start and can't have changed since: for discovery the file holds.
        """
        env = {k: v for k, v in os.environ.items() if k != "LB_DISCOVERY"}
        try:
            config = read_config(env)
        except ConfigError as wrong:
            log.error("configuration not reloaded: %s", wrong)
            return
        before, self.config = self.config, config
        sidecar = self.front.sidecar
        kept = (before.settings, before.zones, before.sockets)
        if (config.settings, config.zones, config.sockets) != kept:
            sidecar.adopt(Balancer(config.settings, config.seed), config.zones, config.sockets)
            self.front.configure()
        if config.discovery != sidecar.discovery.address:
            sidecar.move_discovery(config.discovery)
        if config.listen != before.listen:
            log.warning("configuration: listen takes effect at the next start only")


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is held."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    balancer = Balancer(config.settings, config.seed)
    sidecar = Sidecar(balancer, config.zones, config.sockets, config.discovery)
    front = Front(sidecar)
    loop.add_signal_handler(signal.SIGHUP, Reload(config, front))
    server = await loop.create_server(lambda: ServerConnection(front), *config.listen, backlog=BACKLOG)
    sidecar.start(config.known)
    await stopped.wait()
    await drain(front, server)


async def drain(front: Front, server: asyncio.Server) -> None:
    """Go on answering while clients still come, then end with the last answer.

    Clients learn late of a planned restart: whoever connects in the meantime has to be served, and kept
    connections end with their next answer.
    """
    front.draining = True
    await asyncio.sleep(KEEP_FOR)
    front.close_idle()
    await asyncio.sleep(RESEND_FOR)
    server.close()
    front.close_idle()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HELD_FOR):
            await front.all_left()
    front.stop()
    front.sidecar.stop()


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
