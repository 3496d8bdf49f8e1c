"""The config tool's commands, run through its command line, and atomic replacement of files."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
import tomllib
from pathlib import Path
from typing import Any

import click
import jsonschema
import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st
from test_corpus import BROKEN, CORPUS, GOOD
from test_program import ROOT

from zinclever.configtool import changes, migration, reference, writing
from zinclever.configtool.cli import config
from zinclever.configtool.report import place
from zinclever.configtool.writing import App, Endpoint, InvalidAppError, render
from zinclever.configuration import load, reading
from zinclever.configuration.check import check_operator
from zinclever.configuration.findings import CODES

PLAIN = (CORPUS / "good" / "plain.toml").read_text()
FLAGS = [
    "--endpoint",
    "127.0.0.1:9001@rvk",
    "--endpoint",
    "127.0.0.1:9002@kef",
    "--read",
    "page.get",
    "--unlock",
    "unlock.buy=/key",
    "--tip",
    "tip.send",
    "--rate",
    "20",
    "--memory-mb",
    "48",
]


def run_tool(*args: str | Path, **invoke_options: Any) -> Result:
    return CliRunner().invoke(config, [str(a) for a in args], **invoke_options)


# --- write ---


def test_write_is_deterministic_and_its_output_passes_the_check(tmp_path: Path) -> None:
    path = tmp_path / "made.toml"
    first, second = run_tool("write", "creator-tools", *FLAGS), run_tool("write", "creator-tools", *FLAGS, "-o", path)
    assert first.exit_code == second.exit_code == 0
    assert path.read_text() == first.output
    assert run_tool("check", "--strict", path).exit_code == 0
    assert "48 MB less 30 idle" in first.output
    load.read({"ZINCLEVER_OPERATOR": str(path)})


def test_write_reads_a_description_that_flags_override(tmp_path: Path) -> None:
    path = tmp_path / "app.toml"
    path.write_text('endpoints = ["127.0.0.1:9001"]\ntips = ["pay"]\nrate = 5\nmemory_mb = 64\n')
    result = run_tool("write", "bridge", "--describe", path, "--rate", "7")
    assert result.exit_code == 0 and "7 calls a second" in result.output
    path.write_text("endpoints = 1\n")
    assert "an array of texts" in run_tool("write", "bridge", "--describe", path).output
    path.write_text("endpoint = []\n")
    assert "endpoint is not known" in run_tool("write", "bridge", "--describe", path).output
    path.write_text('memory_mb = "64"\n')
    assert "memory_mb takes a int" in run_tool("write", "bridge", "--describe", path).output


def test_write_rejects_invalid_descriptions() -> None:
    for args, expected in (
        ([], "no endpoint"),
        (["--endpoint", "127.0.0.1:1"], "no method"),
        ([*FLAGS, "--memory-mb", "30"], "leave room for 0 clients"),
        ([*FLAGS, "--sockets", "50"], "room for 2"),
        ([*FLAGS, "--window-ms", "4000"], "ZC204"),
        ([*FLAGS, "--aim-ms", "9000"], "ZC201"),
        ([*FLAGS, "--endpoint", "127.0.0.1:7001"], "ZC226"),
        ([*FLAGS, "--unlock", "a"], "METHOD=POINTER"),
    ):
        result = run_tool("write", "app", *args)
        assert result.exit_code == 1 and expected in result.output, result.output


def test_write_prompts_for_missing_fields(monkeypatch: pytest.MonkeyPatch) -> None:
    answers = iter(["127.0.0.1:7009", "127.0.0.1:9001 127.0.0.1:9002", "page.get", "", "tip.send", 10.0, 64, 512, 3])
    monkeypatch.setattr(click, "prompt", lambda *a, **k: next(answers))
    draft = writing.Draft()
    draft.prompt()
    text = render(App("asked", **draft.options))
    assert "instances = 3" in text and "127.0.0.1:7009" in text


NAMES = st.text(min_size=1, max_size=12).filter(lambda t: t.strip() and t.isprintable())
APPS = st.builds(
    App,
    name=NAMES,
    endpoints=st.lists(
        st.builds(
            Endpoint, st.integers(9000, 9099).map(lambda p: f"127.0.0.1:{p}"), st.sampled_from(["", "rvk", "kef"])
        ),
        min_size=1,
        max_size=6,
    ).map(tuple),
    reads=st.lists(NAMES, max_size=3).map(tuple),
    unlocks=st.lists(st.tuples(NAMES, st.sampled_from(["/key", "/0", "/a~1b"])), max_size=2).map(tuple),
    tips=st.lists(NAMES, max_size=3).map(tuple),
    aim_ms=st.floats(1, 5000),
    deadline_ms=st.floats(1, 9000),
    window_ms=st.floats(1, 20000),
    rate=st.floats(0.1, 1000),
    memory_mb=st.integers(24, 256),
    sockets=st.integers(64, 4096),
    instances=st.integers(1, 1000),
)


@given(APPS)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_every_rendered_file_passes_the_check_and_builds_settings(app: App) -> None:
    try:
        text = render(app)
    except InvalidAppError:
        return
    assert text == render(app)
    report = check_operator(text.encode())
    assert not report.errors
    from zinclever.configuration.operator import build

    assert build(report.clean).services[app.name].rules.max_clients >= writing.MIN_CLIENTS


# --- check ---


MUTATIONS: dict[str, list[str]] = {
    "aim_ms": ["0", "-1", "nan", "true", '"x"', "1e400", "9e9", "[]", "2026-01-01"],
    "deadline_ms": ["0", "inf", "false", "9e9"],
    "window_ms": ["0", "-0.0", "9e9", '"1"'],
    "repeat": ['"idempotant"', "1", "true"],
    "group": ['"rack"', "0"],
    "listen": ['"x"', "7001", '"a:0"'],
    "protocol": ['"http"', "[]"],
}


@given(st.sampled_from(sorted(MUTATIONS)), st.data())
@settings(derandomize=True, max_examples=150, deadline=None)
def test_an_invalid_value_is_reported_on_its_line(key: str, data: st.DataObject) -> None:
    lines = PLAIN.splitlines()
    number = data.draw(st.sampled_from([n for n, line in enumerate(lines) if line.startswith(f"{key} =")]))
    lines[number] = f"{key} = {data.draw(st.sampled_from(MUTATIONS[key]))}"
    text = "\n".join(lines).encode()
    placed = place("x", text, check_operator(text))
    assert [p.line for p in placed if p.finding.severity == "error"][:1] == [number + 1], placed


def test_check_exit_codes_and_output_formats() -> None:
    good, broken = CORPUS / "good" / "plain.toml", CORPUS / "broken" / "repaet.toml"
    assert run_tool("check", good).exit_code == 0 and run_tool("check", good).output == ""
    text = run_tool("check", broken)
    assert text.exit_code == 1 and "repaet.toml:9:1: error ZC110" in text.output
    assert "did you mean repeat?" in text.output
    (finding,) = json.loads(run_tool("check", broken, "--format", "json").output)
    assert (finding["code"], finding["line"], finding["column"]) == ("ZC110", 9, 1)
    github = run_tool("check", broken, "--format", "github").output
    assert github.startswith("::error file=") and ",line=9,col=1,title=ZC110::" in github
    sarif = json.loads(run_tool("check", broken, "--format", "sarif").output)
    (result,) = sarif["runs"][0]["results"]
    assert sarif["version"] == "2.1.0" and result["ruleId"] == "ZC110"
    assert result["locations"][0]["physicalLocation"]["region"]["startLine"] == 9
    file_with_warning = CORPUS / "broken" / "one-attempt.toml"
    assert (
        run_tool("check", file_with_warning).exit_code == 0
        and run_tool("check", file_with_warning, "--strict").exit_code == 1
    )


def test_unreadable_files_are_reported_without_blocking(tmp_path: Path) -> None:
    """A directory, a pipe without a writer, a loop of symbolic links, a missing file, and one of 10 MB."""
    os.mkfifo(tmp_path / "pipe")
    (tmp_path / "loop").symlink_to(tmp_path / "loop")
    (tmp_path / "big").write_bytes(b"#" * (10 << 20))
    for name, expected in (
        (".", "folder"),
        ("pipe", "no ordinary file"),
        ("loop", "symbolic links"),
        ("big", "bytes"),
        ("none", "No such file"),
    ):
        result = run_tool("check", tmp_path / name)
        assert result.exit_code == 2 and expected in result.output.replace("Is a directory", "folder"), (
            name,
            result.output,
        )
        with pytest.raises(load.ConfigError):
            load.read({"ZINCLEVER_OPERATOR": str(tmp_path / name)})


def test_a_file_that_keeps_changing_is_unreadable(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "changing.toml"
    path.write_text(PLAIN)
    real_fstat = os.fstat
    counter = iter(range(100))

    def changing_fstat(descriptor: int) -> os.stat_result:
        if next(counter) % 2:
            path.write_text(PLAIN + "#" * next(counter))
        return real_fstat(descriptor)

    monkeypatch.setattr(os, "fstat", changing_fstat)
    with pytest.raises(reading.UnreadableFileError, match="changes while it is read"):
        reading.read_file(str(path))


def test_replace_file_is_atomic(tmp_path: Path) -> None:
    """A concurrent reader sees the old or the new content, and nothing else; no temporary file is left."""
    path = tmp_path / "served.toml"
    versions = [PLAIN, PLAIN + "# longer\n" * 2000]
    writing.replace_file(path, versions[0])
    finished, contents_read = threading.Event(), set()

    def read_repeatedly() -> None:
        while not finished.is_set():
            contents_read.add(path.read_text())

    reader = threading.Thread(target=read_repeatedly)
    reader.start()
    for n in range(200):
        writing.replace_file(path, versions[n % 2])
    finished.set()
    reader.join()
    assert contents_read <= set(versions) and [p.name for p in tmp_path.iterdir()] == ["served.toml"]


def test_a_failed_replacement_keeps_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "served.toml"
    path.write_text(PLAIN)

    def fail_with_full_disk(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_with_full_disk)
    with pytest.raises(OSError, match="No space"):
        writing.replace_file(path, "version = 1\n")
    assert path.read_text() == PLAIN and len(list(tmp_path.iterdir())) == 1


# --- explain, schema, show ---


def test_explain_covers_every_code_and_key() -> None:
    for code in CODES:
        assert code in run_tool("explain", code).output
    for entry in reference.entries():
        assert entry.key.doc in (reference.explain(entry.path) or "")
    output = run_tool("explain", "window_ms").output
    assert "from 1 to 3.6e+06 ms" in output and "since    version 1" in output
    missing = run_tool("explain", "windw_ms")
    assert missing.exit_code == 2 and "window_ms" in missing.output


def test_the_schema_accepts_good_files_and_rejects_most_broken_ones() -> None:
    schema = json.loads(run_tool("schema").output)
    jsonschema.Draft202012Validator.check_schema(schema)
    jsonschema.Draft202012Validator.check_schema(json.loads(run_tool("schema", "--kind", "platform").output))
    validator = jsonschema.Draft202012Validator(schema)
    for name in GOOD:
        if name.endswith(".toml"):
            validator.validate(tomllib.loads((CORPUS / "good" / name).read_bytes().decode()))
    rejected = 0
    for name in BROKEN:
        try:
            values = tomllib.loads((CORPUS / "broken" / name).read_bytes().decode())
        except (ValueError, RecursionError):
            continue
        rejected += not validator.is_valid(values)
    assert rejected > 60


def test_the_operators_page_contains_the_reference() -> None:
    page = (ROOT / "docs/operators/configuration.md").read_text()
    assert reference.reference() in page, "run: python -m zinclever config reference"


def test_show_prints_the_origin_of_each_value(monkeypatch: pytest.MonkeyPatch) -> None:
    output = run_tool("show", CORPUS / "good" / "plain.toml").output
    assert "classes.read.aim_ms" in output and "plain.toml:10" in output and "# default" in output
    monkeypatch.setenv("LB_LISTEN", "127.0.0.1:9")
    output = run_tool("show", CORPUS / "good" / "platform-plain.json").output
    assert "'127.0.0.1:9'" in output and "# environment LB_LISTEN" in output
    assert run_tool("show", CORPUS / "broken" / "repaet.toml").exit_code == 1


# --- diff ---


@pytest.mark.parametrize(
    ("old", "new", "key", "risk"),
    [
        ('repeat = "at_most_once"', 'repeat = "idempotent"', "classes.tip.repeat", True),
        ('"tip.send" = { class = "tip" }', '"tip.send" = { class = "read" }', 'methods."tip.send"', True),
        ('"page.get" = { class = "read" }', '"page.get" = { class = "tip" }', 'methods."page.get"', False),
        ('"tip.send" = { class = "tip" }', '"tip.send" = { class = "tip", aliases = ["give"] }', "methods.give", False),
        ('"page.get" = { class = "read" }', '"page.get" = { class = "read", aliases = ["p"] }', "methods.p", True),
        ("window_ms = 12000", "window_ms = 15000", "window_ms", True),
        ("window_ms = 12000", "window_ms = 9000", "window_ms", False),
        ("deadline_ms = 2500", "deadline_ms = 2000", "deadline_ms", False),
        ('listen = "127.0.0.1:7001"', 'listen = "127.0.0.1:7001"\nnever_ran_errors = [-1]', "never_ran_errors", True),
        ('listen = "127.0.0.1:7001"', 'listen = "0.0.0.0:7001"\nexpose = true', "expose", True),
        ('"tip.send" = { class = "tip" }', "", 'methods."tip.send"', False),
        ('"127.0.0.1:9002"', '"127.0.0.1:9003"', "endpoints", False),
    ],
)
def test_diff_reports_behaviour_changes_and_risks(tmp_path: Path, old: str, new: str, key: str, risk: bool) -> None:
    assert old in PLAIN
    before, after = tmp_path / "before.toml", tmp_path / "after.toml"
    before.write_text(PLAIN)
    after.write_text(PLAIN.replace(old, new, 1))
    result = run_tool("diff", before, after, "--fail-on-risk")
    matching_lines = [line for line in result.output.splitlines() if key in line]
    assert matching_lines and matching_lines[0].startswith("RISK") == risk, result.output
    assert result.exit_code == int(risk)
    assert run_tool("diff", before, before).output == "no change in behaviour\n"


def test_compare_reports_a_changed_default_class() -> None:
    with_default = check_operator(
        PLAIN.replace(
            "[services.tools.classes.read]", 'default_class = "tip"\n[services.tools.classes.read]', 1
        ).encode()
    ).clean
    without_default = check_operator(PLAIN.encode()).clean
    changes_found = changes.compare(with_default, without_default)
    assert [c.key for c in changes_found] == ["services.tools.default_class"] and not changes_found[0].risk


# --- migrate ---


@pytest.mark.parametrize("path", sorted((CORPUS / "older").iterdir()), ids=lambda p: p.name)
def test_migrate_updates_older_files_and_keeps_comments(tmp_path: Path, path: Path) -> None:
    copy = tmp_path / path.name
    copy.write_text(path.read_text())
    shown = run_tool("migrate", copy)
    assert shown.exit_code == 0 and "+" in shown.output and copy.read_text() == path.read_text()
    assert run_tool("migrate", copy, "--write").exit_code == 0
    text = copy.read_text()
    assert not check_operator(text.encode()).findings, check_operator(text.encode()).findings
    comments = [line.partition("#")[2] for line in path.read_text().splitlines() if "#" in line]
    assert [line.partition("#")[2] for line in text.splitlines() if "#" in line] == comments
    assert run_tool("migrate", copy).output == "nothing to change\n"
    assert migration.migrate(text) == text


def test_migrate_rejects_files_it_cannot_convert(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    for text, expected in (
        ("version = 2", "newer sidecar"),
        ("version = ", "no TOML"),
        ('version = "0"', "whole number"),
    ):
        path.write_text(text)
        result = run_tool("migrate", path)
        assert result.exit_code == 2 and expected in result.output


def test_the_program_runs_the_config_tool_and_rejects_other_commands() -> None:
    """``python -m zinclever config`` runs the tool without colours; unknown commands are rejected."""
    command = [sys.executable, "-m", "zinclever"]
    completed = subprocess.run([*command, "config", "explain", "ZC204"], cwd=ROOT, capture_output=True, text=True)
    assert completed.returncode == 0 and "window" in completed.stdout and "\x1b" not in completed.stdout
    completed = subprocess.run([*command, "confg"], cwd=ROOT, capture_output=True, text=True)
    assert completed.returncode == 2 and completed.stderr.startswith("zinclever: no arguments but config")
