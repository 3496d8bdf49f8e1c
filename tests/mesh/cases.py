"""Tables of cases, typed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, cast

from nose2.tools import params as untyped

F = TypeVar("F", bound=Callable[..., Any])


def params(*cases: Any) -> Callable[[F], F]:
    """One test for each case: a tuple of arguments, or the only one."""
    return cast(Callable[[F], F], untyped(*cases))
