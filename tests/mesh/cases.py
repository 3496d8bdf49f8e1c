"""A typed version of nose2's parameterized tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, cast

from nose2.tools import params as untyped

F = TypeVar("F", bound=Callable[..., Any])


def params(*cases: Any) -> Callable[[F], F]:
    """Run a test once for each case, which is a tuple of arguments or a single argument."""
    return cast(Callable[[F], F], untyped(*cases))
