"""Tests in this process run over the modules as they are written: a compiled one takes no scripted parts. Programs
that tests start choose for themselves, by the environment that the tests were started in."""

from __future__ import annotations

import os

_chosen = os.environ.get("ZINCLEVER_NATIVE")
os.environ["ZINCLEVER_NATIVE"] = "text"
import zinclever  # noqa: E402, F401

del os.environ["ZINCLEVER_NATIVE"]
if _chosen is not None:
    os.environ["ZINCLEVER_NATIVE"] = _chosen
