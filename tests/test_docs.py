"""The pages that list definitions of the code match the code."""

import re
from pathlib import Path

import pytest

from masticdrum.model.errors import ANSWERS, ErrorKind
from masticdrum.model.telemetry import LogNumber
from masticdrum.platform import rolloutctl
from masticdrum.programs.ctl import main
from masticdrum.programs.ctloutput import ExitCode

DOCS = Path(__file__).parents[1] / "docs"


def read_rows(page: str) -> list[list[str]]:
    lines = (DOCS / page).read_text().splitlines()
    cells = [line.strip("|").split("|") for line in lines if line.startswith("|")]
    return [[cell.strip() for cell in row] for row in cells]


def test_every_log_event_is_listed_under_its_number() -> None:
    rows = [row for row in read_rows("EVENTS.md") if row[0].isdigit()]
    listed = {int(row[0]): row[1].strip("`") for row in rows}
    assert listed == {int(number): number.name.lower() for number in LogNumber}


def test_error_table_matches_the_answers_to_callers() -> None:
    rows = [row for row in read_rows("ERRORS.md") if row[0].startswith("`")]
    listed = {row[0].strip("`"): row[1:] for row in rows}
    assert listed == {
        kind.value: [
            str(answer.status),
            f"{answer.retry_after_s:g}",
            "yes" if answer.retry_elsewhere else "no",
            answer.text,
        ]
        for kind, answer in ANSWERS.items()
    }
    assert set(ANSWERS) == set(ErrorKind)


def test_operators_page_names_every_error_kind() -> None:
    text = (DOCS / "OPERATORS.md").read_text()
    named = set(re.findall(r"`([a-z_]+)`", text))
    assert {kind.value for kind in ErrorKind} <= named


def test_every_exit_code_and_command_is_on_the_operators_page() -> None:
    rows = read_rows("OPERATORS.md")
    codes = {int(row[0]) for row in rows if row[0].isdigit()}
    assert codes == {int(code) for code in ExitCode}
    text = (DOCS / "OPERATORS.md").read_text()
    assert all(f"`{name}" in text for name in main.commands)
    assert all(f"`{name}" in text for name in rolloutctl.main.commands)


@pytest.mark.parametrize("path", sorted(DOCS.rglob("*.md")), ids=lambda p: p.name)
def test_named_tests_exist(path: Path) -> None:
    for file, name in re.findall(r"`(tests/[\w/]+\.py)::(\w+)", path.read_text()):
        assert f"def {name}(" in (DOCS.parent / file).read_text(), name
