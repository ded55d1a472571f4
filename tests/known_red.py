"""Tests that are known to fail, listed in `KNOWN-RED.txt` at the root: a line each with test, cause and issue.

The listed tests still run and have to fail. A listed test that passes or does not exist fails the whole run, and so
does a list that is too long. With pytest-xdist, each worker process marks the listed tests. Checks and output are left
to the process that starts the workers: only an error raised there ends the run with a message, and only its output is
printed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

FILE = "KNOWN-RED.txt"
MAX_LISTED = 3
FIELDS_PER_LINE = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that fails because of a real fault in the code."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Reads the list; a line is `test; cause; issue`."""
    lines = [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MAX_LISTED:
        raise pytest.UsageError(f"{FILE}: {len(lines)} tests, at most {MAX_LISTED} may be listed")
    out = []
    for line in lines:
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != FIELDS_PER_LINE or not all(parts):
            raise pytest.UsageError(f"{FILE}: expected `test; cause; issue`, got {line!r}")
        out.append(KnownRed(*parts))
    return out


def _is_in_unselected_file(config: pytest.Config, red: KnownRed) -> bool:
    """Whether the command line names other files or folders than that of the test, which does exist."""
    if config.args_source is not pytest.Config.ArgsSource.ARGS:
        return False
    path = config.rootpath / red.test.split("::")[0]
    selected = [(config.invocation_params.dir / arg).resolve() for arg in config.args]
    return path.is_file() and not any(path.resolve().is_relative_to(folder) for folder in selected)


class KnownRedPlugin:
    """Pytest plugin that expects the listed tests to fail, and prints them."""

    def __init__(self, root: Path) -> None:
        path = root / FILE
        self.listed = parse(path.read_text()) if path.exists() else []

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Marks the listed tests as expected failures."""
        for red in self.listed:
            for item in items:
                if item.nodeid == red.test:
                    item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))
        if not hasattr(config, "workerinput"):
            self._check_all_collected(config, [item.nodeid for item in items])

    @pytest.hookimpl(optionalhook=True)  # pytest-xdist may be absent
    def pytest_xdist_node_collection_finished(self, node: Any, ids: Sequence[str]) -> None:
        """Checks the tests that a worker process has collected."""
        self._check_all_collected(node.config, ids)

    def _check_all_collected(self, config: pytest.Config, collected: Sequence[str]) -> None:
        """Refuses a list with tests that do not exist; a selection on the command line may omit listed tests."""
        if config.option.keyword or any("::" in arg for arg in config.args):
            return
        for red in self.listed:
            if red.test not in collected and not _is_in_unselected_file(config, red):
                raise pytest.UsageError(f"{FILE}: no such test: {red.test}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints the listed tests with their causes."""
        for red in self.listed:
            terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} (issue {red.issue})")
