"""Tests that are known to fail: `KNOWN-RED.txt` at the root, a line each with test, cause and issue.

They still run, and have to fail: one that passes, or that is not found, or a list that is too long, fails the whole
run. With pytest-xdist, each worker process marks the listed tests, and the process that starts the workers does the
rest: only an error that it raises itself ends the run with a message, and only it prints.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
FIELDS = 3


@dataclass(frozen=True)
class KnownRed:
    """One test that fails for a real fault."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Reads the list; a line is `test; cause; issue`."""
    lines = [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(lines) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(lines)} tests, at most {MOST} may be listed")
    out = []
    for line in lines:
        parts = [part.strip() for part in line.split(";")]
        if len(parts) != FIELDS or not all(parts):
            raise pytest.UsageError(f"{FILE}: expected `test; cause; issue`, got {line!r}")
        out.append(KnownRed(*parts))
    return out


class KnownRedPlugin:
    """Expects the listed tests to fail, and prints them."""

    def __init__(self, root: Path) -> None:
        path = root / FILE
        self.listed = parse(path.read_text()) if path.exists() else []

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Marks the listed tests."""
        for red in self.listed:
            for item in items:
                if item.nodeid == red.test:
                    item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))
        if not hasattr(config, "workerinput"):
            self._check_all_collected(config, [item.nodeid for item in items])

    @pytest.hookimpl(optionalhook=True)  # there without pytest-xdist, too
    def pytest_xdist_node_collection_finished(self, node: Any, ids: Sequence[str]) -> None:
        """Looks at what a worker process has collected."""
        self._check_all_collected(node.config, ids)

    def _check_all_collected(self, config: pytest.Config, collected: Sequence[str]) -> None:
        """Refuses a list with unknown tests; a selection of tests by hand need not hold them all."""
        if config.option.keyword or any("::" in arg for arg in config.args):
            return
        for red in self.listed:
            if red.test not in collected:
                raise pytest.UsageError(f"{FILE}: no such test: {red.test}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints what was passed over."""
        for red in self.listed:
            terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} (issue {red.issue})")
