"""The list of tests known to fail must tolerate only these tests, and must not hide any other failure."""

from __future__ import annotations

import pytest

from tests.inner_run import InnerRun
from tests.known_red import FILE, parse

TESTS = "def test_bad():\n    assert False\n\ndef test_good():\n    pass\n"


def play(inner_run: InnerRun, listed: str, *arguments: str) -> pytest.RunResult:
    (inner_run.path / FILE).write_text(listed)
    return inner_run.play(TESTS, *arguments)


def test_the_failure_of_a_listed_test_is_tolerated_and_printed_once(inner_run: InnerRun) -> None:
    result = play(inner_run, "test_it.py::test_bad; the cause; 7\n")
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    assert result.outlines.count("KNOWN RED: test_it.py::test_bad: the cause (issue 7)") == 1


def test_a_failing_test_that_is_not_listed_fails_the_run(inner_run: InnerRun) -> None:
    result = play(inner_run, "")
    result.assert_outcomes(passed=1, failed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_fails_the_run(inner_run: InnerRun) -> None:
    result = play(inner_run, "test_it.py::test_bad; c; 7\ntest_it.py::test_good; the cause; 7\n")
    result.assert_outcomes(failed=1, xfailed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["*XPASS(strict)* the cause (issue 7)"])


def test_a_listed_test_that_does_not_exist_fails_the_run(inner_run: InnerRun) -> None:
    result = play(inner_run, "test_it.py::test_none; c; 7\n")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f"ERROR: {FILE}: no such test: test_it.py::test_none" in result.errlines
    result.assert_outcomes()


def test_a_selection_on_the_command_line_may_omit_listed_tests(inner_run: InnerRun) -> None:
    result = play(inner_run, "test_it.py::test_bad; c; 7\n", "test_it.py::test_good")
    result.assert_outcomes(passed=1)
    assert result.ret == 0


@pytest.mark.parametrize(("listed", "refused"), [("test_other.py::test_x", False), ("test_none.py::test_x", True)])
def test_a_run_of_one_file_may_omit_listed_tests_of_other_files(
    inner_run: InnerRun, listed: str, refused: bool
) -> None:
    (inner_run.path / "test_other.py").write_text("def test_x():\n    assert False\n")
    result = play(inner_run, f"test_it.py::test_bad; c; 7\n{listed}; c; 7\n", "test_it.py")
    assert (result.ret == pytest.ExitCode.USAGE_ERROR) is refused


def test_a_run_of_all_files_may_not_omit_a_listed_test(inner_run: InnerRun) -> None:
    (inner_run.path / "elsewhere.py").write_text("def test_x():\n    assert False\n")
    (inner_run.path / "tests").mkdir()
    (inner_run.path / "tests" / "test_here.py").write_text("def test_here():\n    pass\n")
    result = play(inner_run, "elsewhere.py::test_x; c; 7\n", "--color=no")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f"ERROR: {FILE}: no such test: elsewhere.py::test_x" in result.errlines


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        ("a; c; 1\nb; c; 1\nc; c; 1\nd; c; 1\n", "4 tests, at most 3 may be listed"),
        ("a; c\n", "expected `test; cause; issue`, got 'a; c'"),
        ("a; ; 1\n", "expected `test; cause; issue`, got 'a; ; 1'"),
    ],
)
def test_a_list_with_too_many_or_incomplete_lines_is_refused(inner_run: InnerRun, listed: str, message: str) -> None:
    with pytest.raises(pytest.UsageError):
        parse(listed)
    result = play(inner_run, listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f"ERROR: {FILE}: {message}" in result.errlines
    assert "passed" not in str(result.stdout), "no test was played"
