"""Runs pytest within a test, on a project of one test file with the hooks and settings of this project."""

from __future__ import annotations

import os
import shutil
from pathlib import Path

import pytest

from tests import conftest

ROOT = Path(__file__).parent.parent
ONE_PROCESS = ("--numprocesses", "0")
SIDE_BY_SIDE = ("--numprocesses", "2", "--dist", "worksteal")


class InnerRun:
    """A project whose tests run in one process or in several."""

    def __init__(self, pytester: pytest.Pytester, processes: tuple[str, ...]) -> None:
        self.path = pytester.path
        self._pytester, self._processes = pytester, processes
        pytester.makeconftest(Path(conftest.__file__).read_text())
        shutil.copy(ROOT / "pyproject.toml", self.path)

    def play(self, tests: str, *arguments: str) -> pytest.RunResult:
        """Runs the tests with the given command-line arguments, or all of them if there are none."""
        self._pytester.makepyfile(test_it=tests)
        selection = arguments or ("test_it.py",)
        return self._pytester.runpytest_subprocess(
            "-p", "no:cacheprovider", "-p", "xdist", *self._processes, *selection
        )


@pytest.fixture(params=[ONE_PROCESS, SIDE_BY_SIDE], ids=["one process", "side by side"])
def inner_run(request: pytest.FixtureRequest, pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> InnerRun:
    """A project whose run is isolated from the environment of the surrounding pytest run."""
    for name in [name for name in os.environ if name.startswith("PYTEST_")]:
        monkeypatch.delenv(name)
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")  # importing hypothesis takes longer than the run
    return InnerRun(pytester, request.param)
