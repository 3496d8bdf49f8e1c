"""Sidecar processes on this machine: started at a gate, released together, signalled and killed.

No process outlives the rig.
"""

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
"""Default shell command of a sidecar, the same as ``run`` in the deploy file."""
ROOT = Path(__file__).parent.parent.parent
GATE_DESCRIPTOR = 9  # the descriptor whose end of file a process waits for before it starts
PR_SET_PDEATHSIG = 1  # prctl(2)
LOG_TAIL_LINES = 30  # lines of the log that are reported for a failed process
_prctl = ctypes.CDLL(None, use_errno=True).prctl


def die_with_parent() -> None:
    """Makes the kernel kill the calling process when its parent ends, for whatever reason."""
    _prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gate:
    """Holds back processes at their start until it is opened for all of them at once."""

    def __init__(self) -> None:
        self.read_end, self.write_end = os.pipe2(os.O_CLOEXEC)

    def open(self) -> None:
        """Releases all waiting processes. Does nothing if the gate is already open."""
        if self.write_end >= 0:
            os.close(self.write_end)
            os.close(self.read_end)
            self.read_end = self.write_end = -1


class Program:
    """One process. Owns its pid until :meth:`ended`, so that no signal reaches a process that reuses the pid."""

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
        """Starts the process.

        Args:
            environ: Environment variables.
            log: File that standard output and standard error are appended to.
            gate: Gate that it waits at; None, or an open gate: it starts at once.
            on_end: Called with the return code, which is negative for a signal.
            command: Shell command.
            descriptors: Limit of open descriptors; 0: no limit.
            address_space: Limit of the address space in bytes; 0: no limit.

        Raises:
            OSError: The process can't be started.
        """
        self.log, self.on_end = log, on_end
        self.loop = asyncio.get_running_loop()
        self.killed = False
        waits_at_gate = gate is not None and gate.read_end >= 0
        rig = os.getpid()

        def prepare() -> None:
            die_with_parent()
            if os.getppid() != rig:  # the rig has ended before prctl(2) took effect
                os._exit(1)
            if waits_at_gate and gate is not None:
                os.dup2(gate.read_end, GATE_DESCRIPTOR)
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
            if address_space:
                resource.setrlimit(resource.RLIMIT_AS, (address_space, address_space))

        script = f"read _ <&{GATE_DESCRIPTOR}; exec {GATE_DESCRIPTOR}<&-; {command}" if waits_at_gate else command
        with log.open("ab") as log_file:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", script],
                cwd=ROOT,
                env=dict(environ),
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                preexec_fn=prepare,
                start_new_session=True,
                pass_fds=(GATE_DESCRIPTOR,) if waits_at_gate else (),
            )
        self.pidfd = os.pidfd_open(self.popen.pid)
        self.loop.add_reader(self.pidfd, self.ended)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not been reaped yet."""
        return self.popen.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal; does nothing once the process has ended."""
        if self.alive:
            signal.pidfd_send_signal(self.pidfd, number)

    def kill(self) -> None:
        """Sends SIGKILL and records that the rig did it: a SIGKILL from elsewhere counts as a crash."""
        self.killed = True
        self.signal(signal.SIGKILL)

    def ended(self) -> None:
        """Reaps the process and reports its return code."""
        code = self.popen.wait()  # returns at once: the process has ended
        self.loop.remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.on_end(code)

    def descriptors(self) -> int:
        """Returns the number of open descriptors; 0 if the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return 0

    def tail(self) -> str:
        """Returns the last lines of the log."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:])
