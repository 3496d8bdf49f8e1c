"""Processes of the program on this machine: started held, let go together, stopped, killed; none outlives the rig."""

from __future__ import annotations

import asyncio
import ctypes
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from pathlib import Path

PROGRAM = f"trap '' HUP; exec {sys.executable} -m zinclever"
"""What a machine runs unless it is told otherwise, as the deploy file's ``run`` words it."""
ROOT = Path(__file__).parent.parent.parent
HELD = 9  # the descriptor that a process waits on before it begins
PR_SET_PDEATHSIG = 1  # prctl(2)
TAIL = 30  # lines of a log that are told of a process that failed
_prctl = ctypes.CDLL(None, use_errno=True).prctl


def die_with_parent() -> None:
    """From now on this process is killed when the one that made it ends, however it does."""
    _prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gate:
    """What processes wait at; opened once, for all of them at the same moment."""

    def __init__(self) -> None:
        self.inside, self.outside = os.pipe2(os.O_CLOEXEC)

    def open(self) -> None:
        """Harmless when it is open."""
        if self.outside >= 0:
            os.close(self.outside)
            os.close(self.inside)
            self.inside = self.outside = -1


class Program:
    """One process. Owns its pid until :meth:`ended`: no signal is sent to a number that may be another's by then."""

    def __init__(
        self,
        environ: Mapping[str, str],
        log: Path,
        gate: Gate | None,
        on_end: Callable[[int], None],
        command: str = PROGRAM,
        descriptors: int = 0,
        address_space: int = 0,
    ) -> None:
        """``on_end`` is told the return code, negative for a signal. Limits of 0 are none; ``address_space``: bytes.

        OSError where no process can be had.
        """
        self.log, self.on_end = log, on_end
        self.loop = asyncio.get_running_loop()
        self.killed = False
        held = gate is not None and gate.inside >= 0
        rig = os.getpid()

        def prepare() -> None:
            die_with_parent()
            if os.getppid() != rig:  # it died in between
                os._exit(1)
            if held and gate is not None:
                os.dup2(gate.inside, HELD)
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
            if address_space:
                resource.setrlimit(resource.RLIMIT_AS, (address_space, address_space))

        text = f"read _ <&{HELD}; exec {HELD}<&-; {command}" if held else command
        with log.open("ab") as out:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", text],
                cwd=ROOT,
                env=dict(environ),
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                preexec_fn=prepare,
                start_new_session=True,
                pass_fds=(HELD,) if held else (),
            )
        self.pidfd = os.pidfd_open(self.popen.pid)
        self.loop.add_reader(self.pidfd, self.ended)

    @property
    def pid(self) -> int:
        return self.popen.pid

    @property
    def alive(self) -> bool:
        return self.popen.returncode is None

    def signal(self, number: int) -> None:
        """Nothing happens to one that has ended."""
        if self.alive:
            signal.pidfd_send_signal(self.pidfd, number)

    def kill(self) -> None:
        """By the rig: whoever else kills it is somebody's fault."""
        self.killed = True
        self.signal(signal.SIGKILL)

    def ended(self) -> None:
        code = self.popen.wait()  # it has ended: this waits for nothing
        self.loop.remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.on_end(code)

    def descriptors(self) -> int:
        """Open now; 0 where that can't be told any more."""
        try:
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return 0

    def tail(self) -> str:
        """The end of its log."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-TAIL:])
