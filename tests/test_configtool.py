"""The configuration tool as a new user would run it, and as a release pipeline does."""

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
from zinclever.configtool.writing import App, Endpoint, Impossible, render
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


def tool(*args: str | Path, **more: Any) -> Result:
    return CliRunner().invoke(config, [str(a) for a in args], **more)


# --- write ---


def test_write_makes_the_same_file_each_time_and_it_passes(tmp_path: Path) -> None:
    path = tmp_path / "made.toml"
    first, second = tool("write", "creator-tools", *FLAGS), tool("write", "creator-tools", *FLAGS, "-o", path)
    assert first.exit_code == second.exit_code == 0
    assert path.read_text() == first.output
    assert tool("check", "--strict", path).exit_code == 0
    assert "48 MB less 30 idle" in first.output
    load.read({"ZINCLEVER_OPERATOR": str(path)})


def test_write_reads_a_description_and_flags_come_first(tmp_path: Path) -> None:
    path = tmp_path / "app.toml"
    path.write_text('endpoints = ["127.0.0.1:9001"]\ntips = ["pay"]\nrate = 5\nmemory_mb = 64\n')
    told = tool("write", "bridge", "--describe", path, "--rate", "7")
    assert told.exit_code == 0 and "7 calls a second" in told.output
    path.write_text("endpoints = 1\n")
    assert "an array of texts" in tool("write", "bridge", "--describe", path).output
    path.write_text("endpoint = []\n")
    assert "endpoint is not known" in tool("write", "bridge", "--describe", path).output
    path.write_text('memory_mb = "64"\n')
    assert "memory_mb takes a int" in tool("write", "bridge", "--describe", path).output


def test_write_refuses_what_cannot_work() -> None:
    for args, said in (
        ([], "no endpoint"),
        (["--endpoint", "127.0.0.1:1"], "no method"),
        ([*FLAGS, "--memory-mb", "30"], "leave room for 0 clients"),
        ([*FLAGS, "--sockets", "50"], "room for 2"),
        ([*FLAGS, "--window-ms", "4000"], "ZC204"),
        ([*FLAGS, "--aim-ms", "9000"], "ZC201"),
        ([*FLAGS, "--endpoint", "127.0.0.1:7001"], "ZC226"),
        ([*FLAGS, "--unlock", "a"], "METHOD=POINTER"),
    ):
        told = tool("write", "app", *args)
        assert told.exit_code == 1 and said in told.output, told.output


def test_questions_and_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    answers = iter(["127.0.0.1:7009", "127.0.0.1:9001 127.0.0.1:9002", "page.get", "", "tip.send", 10.0, 64, 512, 3])
    monkeypatch.setattr(click, "prompt", lambda *a, **k: next(answers))
    draft = writing.Draft()
    draft.ask()
    text = render(App("asked", **draft.told))
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
def test_whatever_write_makes_passes_and_starts(app: App) -> None:
    try:
        text = render(app)
    except Impossible:
        return
    assert text == render(app)
    report = check_operator(text.encode())
    assert not report.errors
    from zinclever.configuration.operator import build

    assert build(report.clean).services[app.name].rules.max_clients >= writing.LEAST_CLIENTS


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
def test_a_value_out_of_bounds_is_told_on_its_line(key: str, data: st.DataObject) -> None:
    lines = PLAIN.splitlines()
    number = data.draw(st.sampled_from([n for n, line in enumerate(lines) if line.startswith(f"{key} =")]))
    lines[number] = f"{key} = {data.draw(st.sampled_from(MUTATIONS[key]))}"
    text = "\n".join(lines).encode()
    placed = place("x", text, check_operator(text))
    assert [p.line for p in placed if p.finding.severity == "error"][:1] == [number + 1], placed


def test_exit_codes_and_formats() -> None:
    good, broken = CORPUS / "good" / "plain.toml", CORPUS / "broken" / "repaet.toml"
    assert tool("check", good).exit_code == 0 and tool("check", good).output == ""
    text = tool("check", broken)
    assert text.exit_code == 1 and "repaet.toml:9:1: error ZC110" in text.output
    assert "did you mean repeat?" in text.output
    (one,) = json.loads(tool("check", broken, "--format", "json").output)
    assert (one["code"], one["line"], one["column"]) == ("ZC110", 9, 1)
    github = tool("check", broken, "--format", "github").output
    assert github.startswith("::error file=") and ",line=9,col=1,title=ZC110::" in github
    sarif = json.loads(tool("check", broken, "--format", "sarif").output)
    (result,) = sarif["runs"][0]["results"]
    assert sarif["version"] == "2.1.0" and result["ruleId"] == "ZC110"
    assert result["locations"][0]["physicalLocation"]["region"]["startLine"] == 9
    warned = CORPUS / "broken" / "one-attempt.toml"
    assert tool("check", warned).exit_code == 0 and tool("check", warned, "--strict").exit_code == 1


def test_files_that_cannot_be_read(tmp_path: Path) -> None:
    """A folder, a pipe that nobody writes to, a loop of links, 10 MB: each is told, and none is waited for."""
    os.mkfifo(tmp_path / "pipe")
    (tmp_path / "loop").symlink_to(tmp_path / "loop")
    (tmp_path / "big").write_bytes(b"#" * (10 << 20))
    for name, said in (
        (".", "folder"),
        ("pipe", "no ordinary file"),
        ("loop", "symbolic links"),
        ("big", "bytes"),
        ("none", "No such file"),
    ):
        told = tool("check", tmp_path / name)
        assert told.exit_code == 2 and said in told.output.replace("Is a directory", "folder"), (name, told.output)
        with pytest.raises(load.ConfigError):
            load.read({"ZINCLEVER_OPERATOR": str(tmp_path / name)})


def test_a_file_that_changes_while_it_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "changing.toml"
    path.write_text(PLAIN)
    real = os.fstat
    times = iter(range(100))

    def fstat(descriptor: int) -> os.stat_result:
        if next(times) % 2:
            path.write_text(PLAIN + "#" * next(times))
        return real(descriptor)

    monkeypatch.setattr(os, "fstat", fstat)
    with pytest.raises(reading.UnreadableFileError, match="changes while it is read"):
        reading.read_file(str(path))


def test_the_file_in_service_is_replaced_whole(tmp_path: Path) -> None:
    """A reader that never stops reads the old file or the new one, and never anything else."""
    path = tmp_path / "served.toml"
    versions = [PLAIN, PLAIN + "# longer\n" * 2000]
    writing.replace(path, versions[0])
    over, seen = threading.Event(), set()

    def read() -> None:
        while not over.is_set():
            seen.add(path.read_text())

    reader = threading.Thread(target=read)
    reader.start()
    for n in range(200):
        writing.replace(path, versions[n % 2])
    over.set()
    reader.join()
    assert seen <= set(versions) and [p.name for p in tmp_path.iterdir()] == ["served.toml"]


def test_a_failed_write_leaves_the_old_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "served.toml"
    path.write_text(PLAIN)

    def full(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        writing.replace(path, "version = 1\n")
    assert path.read_text() == PLAIN and len(list(tmp_path.iterdir())) == 1


# --- explain, schema, show ---


def test_every_code_and_key_is_explained() -> None:
    for code in CODES:
        assert code in tool("explain", code).output
    for entry in reference.entries():
        assert entry.key.doc in (reference.explain(entry.path) or "")
    told = tool("explain", "window_ms").output
    assert "from 1 to 3.6e+06 ms" in told and "since    version 1" in told
    missing = tool("explain", "windw_ms")
    assert missing.exit_code == 2 and "window_ms" in missing.output


def test_the_schema_takes_good_files_and_not_most_broken_ones() -> None:
    schema = json.loads(tool("schema").output)
    jsonschema.Draft202012Validator.check_schema(schema)
    jsonschema.Draft202012Validator.check_schema(json.loads(tool("schema", "--kind", "platform").output))
    validator = jsonschema.Draft202012Validator(schema)
    for name in GOOD:
        if name.endswith(".toml"):
            validator.validate(tomllib.loads((CORPUS / "good" / name).read_bytes().decode()))
    refused = 0
    for name in BROKEN:
        try:
            values = tomllib.loads((CORPUS / "broken" / name).read_bytes().decode())
        except (ValueError, RecursionError):
            continue
        refused += not validator.is_valid(values)
    assert refused > 60


def test_the_operators_page_holds_the_reference() -> None:
    page = (ROOT / "docs/operators/configuration.md").read_text()
    assert reference.reference() in page, "run: python -m zinclever config reference"


def test_show_tells_where_each_value_comes_from(monkeypatch: pytest.MonkeyPatch) -> None:
    told = tool("show", CORPUS / "good" / "plain.toml").output
    assert "classes.read.aim_ms" in told and "plain.toml:10" in told and "# default" in told
    monkeypatch.setenv("LB_LISTEN", "127.0.0.1:9")
    told = tool("show", CORPUS / "good" / "platform-plain.json").output
    assert "'127.0.0.1:9'" in told and "# environment LB_LISTEN" in told
    assert tool("show", CORPUS / "broken" / "repaet.toml").exit_code == 1


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
def test_diff_says_what_changes_in_behaviour(tmp_path: Path, old: str, new: str, key: str, risk: bool) -> None:
    assert old in PLAIN
    before, after = tmp_path / "before.toml", tmp_path / "after.toml"
    before.write_text(PLAIN)
    after.write_text(PLAIN.replace(old, new, 1))
    told = tool("diff", before, after, "--fail-on-risk")
    found = [line for line in told.output.splitlines() if key in line]
    assert found and found[0].startswith("RISK") == risk, told.output
    assert told.exit_code == int(risk)
    assert tool("diff", before, before).output == "no change in behaviour\n"


def test_a_name_that_falls_to_the_default_class_or_out_of_it() -> None:
    one = check_operator(
        PLAIN.replace(
            "[services.tools.classes.read]", 'default_class = "tip"\n[services.tools.classes.read]', 1
        ).encode()
    ).clean
    two = check_operator(PLAIN.encode()).clean
    told = changes.compare(one, two)
    assert [c.key for c in told] == ["services.tools.default_class"] and not told[0].risk


# --- migrate ---


@pytest.mark.parametrize("path", sorted((CORPUS / "older").iterdir()), ids=lambda p: p.name)
def test_older_files_are_brought_up(tmp_path: Path, path: Path) -> None:
    copy = tmp_path / path.name
    copy.write_text(path.read_text())
    shown = tool("migrate", copy)
    assert shown.exit_code == 0 and "+" in shown.output and copy.read_text() == path.read_text()
    assert tool("migrate", copy, "--write").exit_code == 0
    text = copy.read_text()
    assert not check_operator(text.encode()).findings, check_operator(text.encode()).findings
    comments = [line.partition("#")[2] for line in path.read_text().splitlines() if "#" in line]
    assert [line.partition("#")[2] for line in text.splitlines() if "#" in line] == comments
    assert tool("migrate", copy).output == "nothing to change\n"
    assert migration.migrate(text) == text


def test_files_that_cannot_be_brought_up(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    for text, said in (("version = 2", "newer sidecar"), ("version = ", "no TOML"), ('version = "0"', "whole number")):
        path.write_text(text)
        told = tool("migrate", path)
        assert told.exit_code == 2 and said in told.output


def test_the_program_and_its_console_name() -> None:
    """``python -m zinclever config`` is the tool; other words are refused."""
    command = [sys.executable, "-m", "zinclever"]
    told = subprocess.run([*command, "config", "explain", "ZC204"], cwd=ROOT, capture_output=True, text=True)
    assert told.returncode == 0 and "window" in told.stdout and "\x1b" not in told.stdout
    told = subprocess.run([*command, "confg"], cwd=ROOT, capture_output=True, text=True)
    assert told.returncode == 2 and told.stderr.startswith("zinclever: no arguments but config")
