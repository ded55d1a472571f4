"""Hangs, leaks and warnings must fail the test run, in one process and in several parallel ones."""

from __future__ import annotations

import pytest

from tests.inner_run import InnerRun

HANG = "import time\n\ndef test_hang():\n    time.sleep(600)\n"
UNCLOSED_SOCKET = "import socket\n\ndef test_leak():\n    socket.socket()\n"
UNCLOSED_KERNEL = "import curio\n\ndef test_leak():\n    curio.Kernel().run(curio.sleep, 0)\n"
WARNING = "import warnings\n\ndef test_warning():\n    warnings.warn('old', DeprecationWarning)\n"


def test_a_test_that_hangs_ends_the_run_and_its_stack_is_printed(inner_run: InnerRun) -> None:
    result = inner_run.play(HANG, "-o", "faulthandler_timeout=0.5", "test_it.py")
    assert result.ret not in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
    assert "Timeout (0:00:00.500000)!" in result.errlines
    assert any("in test_hang" in line for line in result.errlines)


@pytest.mark.parametrize(
    ("test", "message"),
    [
        (UNCLOSED_SOCKET, "*ResourceWarning: unclosed <socket*"),
        (UNCLOSED_KERNEL, "*RuntimeError: Curio kernel not properly terminated*"),
        (WARNING, "*DeprecationWarning: old"),
    ],
    ids=["socket", "kernel", "warning"],
)
def test_unclosed_resources_and_warnings_fail_the_run(inner_run: InnerRun, test: str, message: str) -> None:
    result = inner_run.play(test)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines([message])
