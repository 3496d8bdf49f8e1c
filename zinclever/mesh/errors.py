"""What goes wrong in the mesh, by code."""

from __future__ import annotations


class MeshError(Exception):
    """An error that a caller, an operator or a log line is told of.

    ``code`` is stable and documented in ``docs/operators/mesh.md``, ``text`` says what was wrong and ``field`` is the
    path of the field that was.
    """

    def __init__(self, code: str, text: str, field: str = "") -> None:
        super().__init__(f"{code}: {field + ': ' if field else ''}{text}")
        self.code = code
        self.text = text
        self.field = field
