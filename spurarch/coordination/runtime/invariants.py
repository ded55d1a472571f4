"""Counts violations of invariants. The controller goes on; tests and operators look at the count and the log."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

LOGGED_MOST = 200  # lines; a fault that repeats must not fill the log


class InvariantViolations:
    """The violations found by this process."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        self.count = 0

    def record(self, text: str) -> None:
        """Counts a violation and logs it, up to a number of lines."""
        self.count += 1
        if self.count <= LOGGED_MOST:
            self.messages.append(text)
            log.error("invariant violated count=%d detail=%s", self.count, text)
