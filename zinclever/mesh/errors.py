"""What goes wrong in the mesh, by code."""

from __future__ import annotations


class MeshError(Exception):
    """``code`` is stable and documented in ``docs/operators/mesh.md``; ``field`` is the path of what is wrong."""

    def __init__(self, code: str, text: str, field: str = "") -> None:
        super().__init__(f"{code}: {field + ': ' if field else ''}{text}")
        self.code, self.text, self.field = code, text, field
