"""Imports the Python sources in the tests' process, as compiled modules can't be patched.

Programs started by tests choose between sources and compiled modules by the original environment.
"""

from __future__ import annotations

import os

_original = os.environ.get("ZINCLEVER_NATIVE")
os.environ["ZINCLEVER_NATIVE"] = "text"
import zinclever  # noqa: E402, F401

del os.environ["ZINCLEVER_NATIVE"]
if _original is not None:
    os.environ["ZINCLEVER_NATIVE"] = _original
