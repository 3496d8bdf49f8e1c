"""The operator file: services beside the platform's, as TOML, read into frozen and checked settings."""

from .file import Operator, read_operator
from .reader import OperatorError

__all__ = ["Operator", "OperatorError", "read_operator"]
