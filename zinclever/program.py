"""The program's life: start, signals, reload, takeover, the end in order. It runs on whatever loop and machine it is
handed."""

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
from .handover.presence import LOOK, NOTICED, Overlap

if TYPE_CHECKING:
    from .configuration.operator import Operator
    from .core.host import Host

log = logging.getLogger("zinclever")

LEARN_FOR = 4.0  # s for which a newcomer without a list leaves clients to the process that is there


def reload(assembly: Assembly, host: Host) -> None:
    """What a SIGHUP does: the files are read again, and what differs from before is put into service.

    Where one can't be read or used this is logged, and what holds goes on. The environment is that of the
    start and can't have changed since: for discovery the file holds.
    """
    env = {k: v for k, v in host.environ.items() if k != "LB_DISCOVERY"}
    try:
        config, operator = read(env, host.read_file)
    except ConfigError as wrong:
        log.error("configuration not reloaded: %s", wrong)
        return
    assembly.reconfigure(config, operator)


async def serve(config: Config | None, operator: Operator | None, host: Host) -> None:
    """Serve until SIGTERM or SIGINT, then finish what is held."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    assembly = Assembly(config, operator, host)
    loop.add_signal_handler(signal.SIGHUP, reload, assembly, host)
    host.unblock_reload_signal()
    admin = await answer_operators(assembly)
    overlap = take_over(assembly, host)
    for service in assembly.services():
        service.start()
    if overlap is not None and overlap.others:
        await let_make_room(assembly)
    for service in assembly.services():
        await service.listen(listener(assembly, service, host))
    await stopped.wait()
    await drain(assembly.services(), overlap is not None and overlap.others > 0)
    if overlap is not None:
        overlap.end()
    if admin is not None:
        admin.close()


async def answer_operators(assembly: Assembly) -> Admin | None:
    """Begin to answer on the operators' address, if there is one. OSError where it can't be had."""
    platform = assembly.platform
    if platform is None or platform.config.admin is None:
        return None
    admin = Admin(platform.pages())
    await admin.listen(platform.config.admin)
    return admin


def take_over(assembly: Assembly, host: Host) -> Overlap | None:
    """Look out for other processes of this sidecar, where the platform lets one take over from another."""
    platform = assembly.platform
    if platform is None or platform.config.inherited is None:
        return None
    overlap = Overlap(host.presence(platform.config.listen), platform.share_with)
    try:
        overlap.begin()
    except OSError as wrong:
        log.error("other processes of this sidecar are not seen: %s", wrong)
        return None
    return overlap


async def let_make_room(assembly: Assembly) -> None:
    """Another process serves: let it give up its part of the descriptors, and learn of the endpoints meanwhile."""
    platform = assembly.platform
    assert platform is not None
    await asyncio.sleep(NOTICED)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LEARN_FOR):
            while not platform.dispatcher.ready:
                await asyncio.sleep(LOOK)


def listener(assembly: Assembly, service: Service, host: Host) -> Any:
    """The socket that a service finds listening, if any. OSError where it is none."""
    platform = assembly.platform
    if platform is None or service is not platform.service or platform.config.inherited is None:
        return None
    return host.inherited(platform.config.inherited)
