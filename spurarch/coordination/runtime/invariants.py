"""Counts what must never be so. The controller goes on; tests and operators look at the count and the lines of log."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

LOGGED_MOST = 200  # lines; a fault that repeats must not fill the log


class InvariantViolations:
    """Violated invariants of this process."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        self.count = 0

    def record(self, text: str) -> None:
        """Notes one."""
        self.count += 1
        if self.count <= LOGGED_MOST:
            self.messages.append(text)
            log.error("invariant violated count=%d detail=%s", self.count, text)
