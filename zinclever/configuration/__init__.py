"""Configuration files: the model of both formats, the checks, and the typed settings built from files that pass.

The sidecar and the config tool call the same :func:`~zinclever.configuration.check.check`, so their verdicts agree.
"""
