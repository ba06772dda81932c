"""KNOWN-RED.txt excuses exactly the failing tests that it lists."""

from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = """
import pytest

def test_sound():
    pass

@pytest.mark.parametrize("number", [1, 2])
def test_faulty(number):
    assert number == 0

def test_left_out():
    pytest.skip("not today")
"""
FAULTY = "tests/test_sample.py::test_faulty"


def run(pytester: pytest.Pytester, *listed: str, args: tuple[str, ...] = ()):
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "test_sample.py").write_text(TESTS)
    (pytester.path / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\n'
    )
    lines = [f"{test} | pytest {test} | number is not 0 | issue 7\n" for test in listed]
    (pytester.path / "KNOWN-RED.txt").write_text("# known\n\n" + "".join(lines))
    return pytester.runpytest_subprocess("-p", "no:cacheprovider", *args)


# Guards against a run that excuses nothing, or more than what is listed.
def test_only_listed_tests_are_passed_over_and_printed(
    pytester: pytest.Pytester,
) -> None:
    result = run(pytester, f"{FAULTY}[1]", args=("--deselect", f"{FAULTY}[2]"))
    assert result.ret == 0
    result.assert_outcomes(passed=1, skipped=1, xfailed=1, deselected=1)
    result.stdout.fnmatch_lines([f"*{FAULTY}[[]1]: number is not 0 (issue 7)"])


# Guards against passing over a parametrised test's other cases.
def test_a_failing_test_that_is_not_listed_fails(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"{FAULTY}[1]")
    assert result.ret == 1
    result.assert_outcomes(passed=1, skipped=1, xfailed=1, failed=1)


# Guards against entries that outlive their fault.
@pytest.mark.parametrize("name", ["test_sound", "test_left_out"])
def test_a_listed_test_that_does_not_fail_fails_the_run(
    pytester: pytest.Pytester, name: str
) -> None:
    listed = (f"{FAULTY}[1]", f"{FAULTY}[2]", f"tests/test_sample.py::{name}")
    result = run(pytester, *listed)
    assert result.ret == 1
    assert result.parseoutcomes()["failed"] == 1


# Guards against entries for tests that were renamed or removed.
@pytest.mark.parametrize("name", ["test_gone", "test_faulty", "test_faulty[3]"])
def test_an_entry_that_names_no_test_fails_the_run(
    pytester: pytest.Pytester, name: str
) -> None:
    result = run(pytester, f"tests/test_sample.py::{name}")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f"KNOWN-RED.txt names no test: tests/test_sample.py::{name}" in str(
        result.stderr
    )


# Guards against a run of one file that fails over entries for others.
def test_a_run_of_some_tests_needs_no_test_for_each_entry(
    pytester: pytest.Pytester,
) -> None:
    args = ("tests/test_sample.py::test_sound",)
    result = run(pytester, f"{FAULTY}[1]", args=args)
    assert result.ret == 0
    result.assert_outcomes(passed=1)


# Guards against an entry that is silently ignored because a field is missing.
def test_an_entry_without_its_four_fields_is_an_error(
    pytester: pytest.Pytester,
) -> None:
    pytester.makepyfile(conftest=CONFTEST.read_text())
    (pytester.path / "KNOWN-RED.txt").write_text("tests/test_sample.py::test_sound\n")
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*KNOWN-RED.txt:1: an entry has the 4 fields*"])
