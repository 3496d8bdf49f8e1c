"""The operator file: what it may say, and that an error names the key and its line."""

from __future__ import annotations

import textwrap
from pathlib import Path

from rpc import operator

from zinclever.configuration.check import check_operator
from zinclever.configuration.operator import OperatorConfig, build

LINE = 'endpoints = ["127.0.0.1:9001", { address = "127.0.0.1:9002", zone = "kef", weight = 0.5 }]'
GOOD = operator(LINE, group="zone", more='default_class = "tip"\nzone = "kef"')


def read(text: str) -> OperatorConfig:
    report = check_operator(text.encode())
    assert not report.errors, report.errors
    return build(report.clean)


def test_a_whole_file() -> None:
    service = read(GOOD).services["creator-tools"]
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


def test_the_operators_page_shows_a_file_that_is_read() -> None:
    page = (Path(__file__).parent.parent / "docs/operators/jsonrpc.md").read_text()
    block = page[page.index("    version = 1") : page.index("A file that can't be used")]
    service = read(textwrap.dedent(block)).services["creator-tools"]
    assert service.endpoints[1][0].size == 0.5 and len(service.rules.methods) == 3
