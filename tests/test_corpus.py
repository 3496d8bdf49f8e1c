"""The corpus of configuration files: broken ones are rejected with code, line and reason, good ones load."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from zinclever.configtool.report import Placed, place
from zinclever.configuration import load
from zinclever.configuration.check import Report, check, check_operator, check_platform
from zinclever.configuration.findings import CODES

CORPUS = Path(__file__).parent / "corpus"
EXPECTED: dict[str, dict[str, Any]] = tomllib.loads((CORPUS / "expected.toml").read_text())
BROKEN = sorted(p.name for p in (CORPUS / "broken").iterdir())
GOOD = sorted(p.name for p in (CORPUS / "good").iterdir())


def check_file(path: Path) -> tuple[Report, list[Placed]]:
    data = path.read_bytes()
    report = check(data, "platform" if path.suffix == ".json" else "operator")
    return report, place(path.name, data, report)


def load_file(path: Path, tmp_path: Path) -> None:
    """Load a file as the program does at startup and on SIGHUP."""
    if path.suffix == ".json":
        load.read({"LB_CONFIG": str(path)})
    else:
        load.read({"ZINCLEVER_OPERATOR": str(path)})


def test_every_broken_file_has_an_expectation_and_every_code_a_file() -> None:
    """Guards against broken files without an expected finding, and finding codes without an example."""
    assert sorted(EXPECTED) == BROKEN and len(BROKEN) >= 150 and len(GOOD) >= 30
    assert {e["code"] for e in EXPECTED.values()} == set(CODES)


@pytest.mark.parametrize("name", BROKEN)
def test_broken_files_are_rejected_with_code_line_and_reason(name: str, tmp_path: Path) -> None:
    expected = EXPECTED[name]
    report, placed = check_file(CORPUS / "broken" / name)
    matching = [
        p
        for p in placed
        if p.finding.code == expected["code"]
        and p.line == expected["line"]
        and expected["reason"] in f"{p.finding.key}: {p.finding.reason}"
    ]
    assert matching, [(p.finding.code, p.line, p.finding.key, p.finding.reason) for p in placed]
    # The program must accept and reject the same files as the tool.
    if report.errors:
        with pytest.raises(load.ConfigError) as caught:
            load_file(CORPUS / "broken" / name, tmp_path)
        assert "\n" not in str(caught.value) and "line " in str(caught.value)
        assert any(p.finding.code in str(caught.value) for p in placed)
    else:
        assert CODES[expected["code"]].severity == "warning"
        load_file(CORPUS / "broken" / name, tmp_path)


@pytest.mark.parametrize("name", GOOD)
def test_good_files_have_no_findings_and_load(name: str, tmp_path: Path) -> None:
    _, placed = check_file(CORPUS / "good" / name)
    assert not placed
    load_file(CORPUS / "good" / name, tmp_path)


def test_conflicting_settings_are_reported_with_both_lines() -> None:
    for name in BROKEN:
        _, placed = check_file(CORPUS / "broken" / name)
        for p in placed:
            if p.finding.code in ("ZC201", "ZC204", "ZC205", "ZC206", "ZC210", "ZC220", "ZC221", "ZC227", "ZC222"):
                assert p.related and all(line > 1 for line, _, _ in p.related), (name, p)


def test_one_check_reports_all_findings() -> None:
    text = (CORPUS / "good" / "plain.toml").read_text()
    broken = (
        text.replace('repeat = "idempotent"', 'repaet = "idempotent"')
        .replace("window_ms = 12000", "window_ms = 100")
        .replace("aim_ms = 800", "aim_ms = true")
        .replace('listen = "127.0.0.1:7001"', 'listen = "0.0.0.0:7001"')
    )
    codes = {f.code for f in check_operator(broken.encode()).findings}
    assert codes == {"ZC110", "ZC204", "ZC112", "ZC225"}


def test_unknown_platform_keys_are_only_warnings() -> None:
    """Guards against a sidecar that fails to start because a newer platform sends additional keys."""
    data = (CORPUS / "good" / "platform-full.json").read_bytes()
    with_new_keys = data.replace(b'"listen"', b'"region-quota": 7, "listen"').replace(
        b'"moves"', b'"swaps": 1.0, "moves"'
    )
    assert with_new_keys != data
    report = check_platform(with_new_keys)
    assert [f.code for f in report.findings] == ["ZC119", "ZC119"] and not report.errors
