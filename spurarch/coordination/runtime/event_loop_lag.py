"""How late the event loop runs its timers, and what is put off while it is late.

On a busy share of a processor everything is late. What others wait for is done as it comes: lease renewals, answers to
workers and users, cancellations, starts. Decision rounds collect more changes before they begin, and what only improves
a placement is put off for a bounded time.
"""

from __future__ import annotations

DECAY = 0.7  # of the lateness that is remembered, from one measurement to the next
LATE_S = 0.2
LONGEST_PAUSE_S = 0.25


class EventLoopLag:
    """The recent lag of the event loop, in seconds."""

    def __init__(self) -> None:
        self.recent_s = 0.0

    def record(self, late_s: float) -> None:
        """A timer fired `late_s` seconds after its time."""
        self.recent_s = max(late_s, self.recent_s * DECAY)

    @property
    def late(self) -> bool:
        """There is too little processor time for what can wait."""
        return self.recent_s > LATE_S

    def pause_s(self, least_s: float) -> float:
        """How long changes are collected before the next decision round, in seconds."""
        return max(least_s, min(LONGEST_PAUSE_S, self.recent_s))
