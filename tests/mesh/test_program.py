"""The program as started from the command line: which modules run, and errors in the settings."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from mesh.cases import params
from mesh.processes import ignores_hangup

ROOT = Path(__file__).parents[2]


def start(*arguments: str, boot: str | None = None, native: str = "") -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if k not in ("ZINCLEVER_BOOT", "ZINCLEVER_NATIVE")}
    if boot is not None:
        env["ZINCLEVER_BOOT"] = boot
    if native:
        env["ZINCLEVER_NATIVE"] = native
    return subprocess.run(
        [sys.executable, "meshd.py", *arguments], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )


class Program(unittest.TestCase):
    # Guards against a SIGHUP that ends a process while its modules are imported.
    @params("sidecar", "control")
    def test_hangup_is_ignored_before_the_libraries_are_imported(self, role: str) -> None:
        process = subprocess.Popen([sys.executable, "meshd.py", role], cwd=ROOT, stderr=subprocess.DEVNULL)
        try:
            while not ignores_hangup(process.pid):
                has_library = "uvloop" in Path(f"/proc/{process.pid}/maps").read_text()
                if has_library:  # the signal may have been ignored since it was last looked at
                    self.assertTrue(ignores_hangup(process.pid))
                self.assertIsNone(process.poll())
        finally:
            process.kill()
            process.wait()

    # Guards against an exit code other than 0 after a SIGTERM that comes while the modules are imported.
    @params("sidecar", "control")
    def test_terminated_before_the_start(self, role: str) -> None:
        process = subprocess.Popen([sys.executable, "meshd.py", role], cwd=ROOT, stderr=subprocess.PIPE)
        while not ignores_hangup(process.pid):
            self.assertIsNone(process.poll())
        process.terminate()
        _, output = process.communicate(timeout=60)
        self.assertEqual((process.returncode, output), (0, b""))

    @params("sidecar", "control")
    def test_invalid_settings(self, role: str) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "boot.json"
            path.write_text('{"NodeName": ""}')
            for boot, code in ((None, "BOOT_MISSING"), (directory, "BOOT_UNREADABLE"), (str(path), "BOOT_INVALID")):
                process = start(role, boot=boot)
                self.assertEqual(process.returncode, 2)
                self.assertIn(code, process.stderr)
                self.assertEqual(len(process.stderr.splitlines()), 1)

    def test_interpreted_modules_are_used(self) -> None:
        """Compiled modules of the standalone sidecar are not used, whatever the environment says."""
        code = (
            "import sys, meshd, zinclever.http1.request_handler as d, zinclever.policy.admission as a;"
            "print(d.__file__[-3:], a.__file__[-3:])"
        )
        env = {**os.environ, "ZINCLEVER_NATIVE": os.fspath(ROOT / "zinclever" / "_native")}
        process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True)
        self.assertEqual(process.stdout.strip(), ".py .py", process.stderr)

    def test_help_names_each_role(self) -> None:
        process = start("--help")
        self.assertEqual(process.returncode, 0)
        for role in ("sidecar", "control"):
            self.assertIn(role, process.stdout)

    def test_role_names_of_the_previous_version(self) -> None:
        for role in ("forager", "comb"):
            process = start(role, boot="{")
            self.assertEqual(process.returncode, 2)
            self.assertIn("BOOT_UNREADABLE", process.stderr)


if __name__ == "__main__":
    unittest.main()
