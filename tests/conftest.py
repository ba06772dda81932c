"""Passes over the tests that KNOWN-RED.txt lists, and over no others.

Each entry is one line of four fields: the test's id, how to run it, what was seen, and
the open issue. A listed test still runs: once it passes, its entry has to go.
"""

from pathlib import Path

import pytest
from msgspec import Struct

KNOWN_RED = "KNOWN-RED.txt"
SEPARATOR = " | "
FIELDS = 4


class KnownFailure(Struct, frozen=True):
    """One entry: a test that fails because of a fault that is still open."""

    test: str
    command: str
    seen: str
    issue: str


KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Read all entries; blank lines and lines that begin with ``#`` are left out."""
    if not path.exists():
        return []
    entries = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELDS or not all(fields):
            raise pytest.UsageError(
                f"{path.name}:{number}: an entry has the {FIELDS} fields test, command "
                f"and seed, what was seen and issue, separated by {SEPARATOR!r}"
            )
        entries.append(KnownFailure(*fields))
    return entries


def pytest_configure(config: pytest.Config) -> None:
    """Read the entries before any test is collected."""
    entries = read_known_failures(config.rootpath / KNOWN_RED)
    config.stash[KNOWN_FAILURES] = entries


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Expect the listed tests to fail; in a whole run each entry must name a test."""
    by_test = {entry.test: entry for entry in config.stash[KNOWN_FAILURES]}
    for item in items:
        entry = by_test.pop(item.nodeid, None)
        if entry is not None:
            reason = f"{entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    if by_test and config.args_source is pytest.Config.ArgsSource.TESTPATHS:
        raise pytest.UsageError(f"{KNOWN_RED} names no test: {', '.join(by_test)}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo[None]):
    """Fail a listed test that was skipped, since nothing shows that it still fails."""
    report = yield
    listed = any(e.test == item.nodeid for e in item.config.stash[KNOWN_FAILURES])
    if listed and report.skipped and not hasattr(report, "wasxfail"):
        report.outcome = "failed"
        report.longrepr = f"{item.nodeid} is listed in {KNOWN_RED} but was skipped"
    return report


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print what was passed over."""
    entries = config.stash[KNOWN_FAILURES]
    if not entries:
        return
    terminalreporter.section(f"passed over, from {KNOWN_RED}")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.seen} ({entry.issue})")
        terminalreporter.line(f"    {entry.command}")
