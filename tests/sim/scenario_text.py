"""Parses the text of a scenario; its words are listed in scenario.py and scenario_checks.py.

A line is `at SECONDS ACTION ...`, `expect ...`, `end SECONDS` or `vary NAME VALUE...`; any other line is a setup line.
Words are split as by a shell, and `#` begins a comment.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path


def options(words: list[str]) -> dict[str, str]:
    """Returns the `name=value` words as a dictionary; other words are ignored."""
    return dict(word.split("=", 1) for word in words if "=" in word)


@dataclass
class Scenario:
    """The parsed lines of a scenario; each is a list of words."""

    setup: list[list[str]] = field(default_factory=list)
    actions: list[tuple[float, list[str]]] = field(default_factory=list)
    expects: list[list[str]] = field(default_factory=list)
    end: float = 60.0

    @staticmethod
    def variants(path: Path) -> list[dict[str, str]]:
        """Returns all combinations of the values of the `vary` lines, each by name."""
        lines = [shlex.split(line) for line in path.read_text().splitlines() if line.startswith("vary ")]
        return [dict(zip([w[1] for w in lines], values, strict=True)) for values in product(*(w[2:] for w in lines))]

    @staticmethod
    def read(path: Path, values: dict[str, str] | None = None) -> Scenario:
        """Reads a file; `{NAME}` is replaced by the value of a `vary` line, `{NAME+0.2}` by that value plus 0.2."""
        return Scenario.parse(path.read_text(), values or {})

    @staticmethod
    def parse(text: str, values: dict[str, str]) -> Scenario:
        """Parses the text of a scenario; `values` replace `{NAME}` as in read()."""
        out = Scenario()

        def value(match: re.Match[str]) -> str:
            found = values[match[1]]
            return f"{float(found) + float(match[2]):.3f}" if match[2] else found

        for line in text.splitlines():
            words = shlex.split(re.sub(r"\{(\w+)([+-][\d.]+)?\}", value, line), comments=True)
            if not words or words[0] == "vary":
                continue
            if words[0] == "at":
                out.actions.append((float(words[1]), words[2:]))
            elif words[0] == "expect":
                out.expects.append(words[1:])
            elif words[0] == "end":
                out.end = float(words[1])
            else:
                out.setup.append(words)
        return out
