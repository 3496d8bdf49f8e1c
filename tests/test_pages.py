"""The pages for developers name what is there: modules, names and paths."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [
    ROOT / "README.md",
    ROOT / "docs" / "GLOSSARY.md",
    ROOT / "docs" / "ARCHITECTURE.md",
    ROOT / "docs" / "CONTRIBUTING.md",
]
FOLDERS = ("zinclever/", "tests/", "docs/", "benchmarks/", "deploy/")
MADE_BY_A_RUN = ("target/",)
ROW = re.compile(r"^\| .* \| .* \| `(?P<name>\w+)` \| `(?P<path>[\w/.]+)` \|$", re.MULTILINE)


def rows() -> list[tuple[str, str]]:
    """The names in the glossary, each with its module."""
    text = (ROOT / "docs" / "GLOSSARY.md").read_text()
    return [(row["name"], row["path"]) for row in ROW.finditer(text)]


def test_every_row_of_the_glossary_is_read() -> None:
    lines = [line for line in (ROOT / "docs" / "GLOSSARY.md").read_text().splitlines() if "zinclever/" in line]
    assert len(rows()) == len(lines) > 40


@pytest.mark.parametrize(("name", "path"), rows())
def test_the_glossary_names_what_the_module_defines(name: str, path: str) -> None:
    text = (ROOT / path).read_text()
    defined = rf"^\s*(class|def) {name}\b|^(    )?{name}\b.* = |^\s+self\.{name}\b.* = |^\s+{name}: "
    assert re.search(defined, text, re.MULTILINE), f"{path} doesn't define {name}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_paths_on_the_pages_exist(page: Path) -> None:
    text = page.read_text()
    quoted = set(re.findall(r"`([\w./-]+)`", text)) | set(re.findall(r"(?<![\w/])(zinclever/[\w./]+)", text))
    paths = {name.rstrip(".,") for name in quoted if name.startswith(FOLDERS)}
    assert paths
    missing = sorted(name for name in paths if not (ROOT / name).exists())
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_on_the_pages_lead_somewhere(page: Path) -> None:
    links = re.findall(r"\]\(([^)#\s]+)(?:#[\w-]+)?\)", page.read_text())
    assert all((page.parent / link).exists() for link in links)


def test_only_tests_need_no_docstrings() -> None:
    """Public parts of all packages and benchmarks have docstrings, checked by ruff."""
    ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    assert "D1" in ruff["select"]
    assert [path for path, rules in ruff["per-file-ignores"].items() if "D1" in rules] == ["tests/**"]
