"""Counts and logs violations of invariants. The controller keeps running; tests and operators check both."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)

MAX_LOGGED = 200  # violations; a recurring fault must not fill the log


class InvariantViolations:
    """Invariant violations found by this process; `messages` holds the first `MAX_LOGGED`."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        self.count = 0

    def record(self, text: str) -> None:
        """Counts a violation, and logs it if it is one of the first `MAX_LOGGED`."""
        self.count += 1
        if self.count <= MAX_LOGGED:
            self.messages.append(text)
            log.error("invariant violated count=%d detail=%s", self.count, text)
