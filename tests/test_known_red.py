"""The list of tests that are known to fail passes over just these, and can't hide anything else."""

from __future__ import annotations

import pytest

from tests.known_red import FILE, KnownRedPlugin

TESTS = "def test_bad():\n    assert False\n\ndef test_good():\n    pass\n"


def play(pytester: pytest.Pytester, listed: str) -> pytest.RunResult:
    pytester.makepyfile(test_it=TESTS)
    (pytester.path / FILE).write_text(listed)
    return pytester.runpytest_inprocess("-p", "no:cacheprovider", plugins=[KnownRedPlugin(pytester.path)])


def test_a_listed_test_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    result = play(pytester, "test_it.py::test_bad; the cause; 7\n")
    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["KNOWN RED: test_it.py::test_bad: the cause (issue 7)"])


def test_a_test_that_is_not_listed_fails_the_run(pytester: pytest.Pytester) -> None:
    assert play(pytester, "").ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_fails_the_run(pytester: pytest.Pytester) -> None:
    result = play(pytester, "test_it.py::test_bad; c; 7\ntest_it.py::test_good; c; 7\n")
    result.assert_outcomes(failed=1, xfailed=1)


def test_an_unknown_test_fails_the_run(pytester: pytest.Pytester) -> None:
    assert play(pytester, "test_it.py::test_none; c; 7\n").ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize("listed", ["a; c; 1\nb; c; 1\nc; c; 1\nd; c; 1\n", "a; c\n", "a; ; 1\n"])
def test_a_list_that_is_too_long_or_incomplete_is_refused(pytester: pytest.Pytester, listed: str) -> None:
    with pytest.raises(pytest.UsageError):
        play(pytester, listed)
