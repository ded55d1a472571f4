"""Tests that are known to fail: `KNOWN-RED.txt` at the root, a line each with test, cause and issue.

They still run, and have to fail: one that passes, or that is not found, or a list that is too long, fails the whole run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

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
        """Marks the listed tests; a selection of tests by hand need not hold them all."""
        for red in self.listed:
            found = [item for item in items if item.nodeid == red.test]
            for item in found:
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))
            if not found and not config.option.keyword and not any("::" in arg for arg in config.args):
                raise pytest.UsageError(f"{FILE}: no such test: {red.test}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints what was passed over."""
        for red in self.listed:
            terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} (issue {red.issue})")
