"""The exception of the mesh, identified by an error code."""

from __future__ import annotations


class MeshError(Exception):
    """An error that is reported to a caller or operator, or logged.

    Attributes:
        code: Stable identifier, documented in ``docs/operators/mesh.md``.
        text: What is wrong.
        field: Path of the invalid field; empty if the error concerns none.
    """

    def __init__(self, code: str, text: str, field: str = "") -> None:
        super().__init__(f"{code}: {field + ': ' if field else ''}{text}")
        self.code = code
        self.text = text
        self.field = field
