"""The program as it is started: which modules run, and what it says of settings that it can't use."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from mesh.cases import params

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
    @params("sidecar", "control")
    def test_settings_that_can_not_be_used(self, role: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.json"
            path.write_text('{"NodeName": ""}')
            for boot, code in ((None, "BOOT_MISSING"), (folder, "BOOT_UNREADABLE"), (str(path), "BOOT_INVALID")):
                done = start(role, boot=boot)
                self.assertEqual(done.returncode, 2)
                self.assertIn(code, done.stderr)
                self.assertEqual(len(done.stderr.splitlines()), 1)

    def test_the_modules_run_as_they_are_written(self) -> None:
        """Whatever has been compiled for the sidecar in service, and whatever the environment says."""
        code = (
            "import sys, meshd, zinclever.http1.desk as d, zinclever.policy.admission as a;"
            "print(d.__file__[-3:], a.__file__[-3:])"
        )
        env = {**os.environ, "ZINCLEVER_NATIVE": os.fspath(ROOT / "zinclever" / "_native")}
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), ".py .py", done.stderr)

    def test_help_names_each_role(self) -> None:
        done = start("--help")
        self.assertEqual(done.returncode, 0)
        for role in ("sidecar", "control"):
            self.assertIn(role, done.stdout)

    def test_role_names_of_the_version_before_are_understood(self) -> None:
        for role in ("forager", "comb"):
            done = start(role, boot="{")
            self.assertEqual(done.returncode, 2)
            self.assertIn("BOOT_UNREADABLE", done.stderr)


if __name__ == "__main__":
    unittest.main()
