"""How late the event loop runs, measured in one place, and what waits for it.

On a busy share of a processor everything is late. What others wait for goes on as it comes: renewals, answers to workers
and users, cancellations, starts. Rounds of decisions gather more news before they begin, and what only improves a
placement is put off, though not for ever.
"""

from __future__ import annotations

DECAY = 0.7  # of the lateness that is remembered, from one measurement to the next
LATE_S = 0.2
LONGEST_PAUSE_S = 0.25


class EventLoopLag:
    """The recent lateness of the event loop."""

    def __init__(self) -> None:
        self.recent_s = 0.0

    def record(self, late_s: float) -> None:
        """A timer fired so much later than it was due."""
        self.recent_s = max(late_s, self.recent_s * DECAY)

    @property
    def late(self) -> bool:
        """There is too little processor time for what can wait."""
        return self.recent_s > LATE_S

    def pause_s(self, least_s: float) -> float:
        """How long news are gathered before the next round of decisions."""
        return max(least_s, min(LONGEST_PAUSE_S, self.recent_s))
