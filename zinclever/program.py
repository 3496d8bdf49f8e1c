"""Lifecycle of the program: start, signals, reload, takeover and orderly shutdown.

It runs on the event loop and the host that it is given.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
from typing import TYPE_CHECKING, Any

from .admin.server import Admin
from .assembly import Assembly
from .configuration.load import ConfigError, read
from .configuration.platform import Config
from .core.service import Service, drain
from .handover.presence import DETECTION_TIME, POLL_INTERVAL, PresenceMonitor

if TYPE_CHECKING:
    from .configuration.operator import OperatorConfig
    from .core.host import Host

log = logging.getLogger("zinclever")

LIST_TIMEOUT = 4.0  # s that a new process waits for an endpoint list while the old one still serves clients


def reload(assembly: Assembly, host: Host) -> None:
    """Handles SIGHUP: reads the configuration files again and applies what has changed.

    An unusable file is logged, and the current configuration stays in use. The environment can't change after the
    start, so that the discovery address is taken from the file.
    """
    env = {k: v for k, v in host.environ.items() if k != "LB_DISCOVERY"}
    try:
        config, operator = read(env, host.read_file)
    except ConfigError as error:
        log.error("configuration not reloaded: %s", error)
        return
    assembly.reconfigure(config, operator)


async def serve(config: Config | None, operator: OperatorConfig | None, host: Host) -> None:
    """Serves until SIGTERM or SIGINT, then finishes open requests."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    assembly = Assembly(config, operator, host)
    loop.add_signal_handler(signal.SIGHUP, reload, assembly, host)
    host.unblock_reload_signal()
    admin = await start_admin(assembly)
    monitor = monitor_processes(assembly, host)
    for service in assembly.services():
        service.start()
    if monitor is not None and monitor.others:
        await await_takeover(assembly)
    for service in assembly.services():
        await service.listen(listener(assembly, service, host))
    await stopped.wait()
    await drain(assembly.services(), monitor is not None and monitor.others > 0)
    if monitor is not None:
        monitor.stop()
    if admin is not None:
        admin.close()


async def start_admin(assembly: Assembly) -> Admin | None:
    """Starts the admin server, if an address is configured. Raises OSError if it can't be bound."""
    platform = assembly.platform
    if platform is None or platform.config.admin is None:
        return None
    admin = Admin(platform.pages())
    await admin.listen(platform.config.admin)
    return admin


def monitor_processes(assembly: Assembly, host: Host) -> PresenceMonitor | None:
    """Starts to monitor other processes of this sidecar, if the platform provides an inherited socket."""
    platform = assembly.platform
    if platform is None or platform.config.inherited is None:
        return None
    monitor = PresenceMonitor(host.presence(platform.config.listen), platform.share_limits)
    try:
        monitor.start()
    except OSError as error:
        log.error("can't monitor other processes of this sidecar: %s", error)
        return None
    return monitor


async def await_takeover(assembly: Assembly) -> None:
    """Waits until the running process has released its part of the descriptors and an endpoint list is known."""
    platform = assembly.platform
    assert platform is not None
    await asyncio.sleep(DETECTION_TIME)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LIST_TIMEOUT):
            while not platform.dispatcher.ready:
                await asyncio.sleep(POLL_INTERVAL)


def listener(assembly: Assembly, service: Service, host: Host) -> Any:
    """Returns the inherited listening socket of a service, if any. Raises OSError if it isn't one."""
    platform = assembly.platform
    if platform is None or service is not platform.service or platform.config.inherited is None:
        return None
    return host.inherited(platform.config.inherited)
