"""The operator file as typed settings, and the example on the operators' page."""

from __future__ import annotations

import textwrap
from pathlib import Path

from rpc import operator

from zinclever.configuration.check import check_operator
from zinclever.configuration.operator import OperatorConfig, build

ENDPOINTS_LINE = 'endpoints = ["127.0.0.1:9001", { address = "127.0.0.1:9002", zone = "kef", weight = 0.5 }]'
GOOD = operator(ENDPOINTS_LINE, group="zone", more='default_class = "tip"\nzone = "kef"')


def build_settings(text: str) -> OperatorConfig:
    report = check_operator(text.encode())
    assert not report.errors, report.errors
    return build(report.clean)


def test_a_complete_file_becomes_typed_settings() -> None:
    service = build_settings(GOOD).services["creator-tools"]
    assert service.listen == ("127.0.0.1", 7001)
    classes = service.settings.classes
    assert [(c.name, c.repeat, c.window, c.group) for c in classes] == [
        ("read", "idempotent", 0.0, "all"),
        ("unlock", "deduplicated", 12000.0, "zone"),
        ("tip", "at_most_once", 0.0, "all"),
    ]
    (one, _), (two, at) = service.endpoints
    assert (one.zone, two.zone, two.size, at) == (1, 0, 0.5, ("127.0.0.1", 9002))
    assert service.settings.zone == 0
    assert service.rules.default == 2 and service.rules.methods["unlock.buy"] == (1, ("key",))


def changed(old: str, new: str) -> str:
    assert old in GOOD
    return GOOD.replace(old, new, 1)


def test_the_example_on_the_operators_page_is_valid() -> None:
    page = (Path(__file__).parent.parent / "docs/operators/jsonrpc.md").read_text()
    block = page[page.index("    version = 1") : page.index("A file that can't be used")]
    service = build_settings(textwrap.dedent(block)).services["creator-tools"]
    assert service.endpoints[1][0].size == 0.5 and len(service.rules.methods) == 3
