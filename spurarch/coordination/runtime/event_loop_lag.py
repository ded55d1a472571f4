"""How late the event loop runs its timers, and what is postponed meanwhile.

If a controller has only a small share of a processor, all of its timers can fire late. Work that others wait for is
never postponed: lease renewals, responses to workers and users, cancellations and starts. Decision rounds wait longer
to handle more changes at once, and work that only improves a placement is postponed for a bounded time.
"""

from __future__ import annotations

DECAY = 0.7  # factor of the recent lag from one measurement to the next
LATE_THRESHOLD_S = 0.2
MAX_ROUND_PAUSE_S = 0.25


class EventLoopLag:
    """The recent lag of the event loop, in seconds."""

    def __init__(self) -> None:
        self.recent_s = 0.0

    def record(self, late_s: float) -> None:
        """Records that a timer fired `late_s` seconds late."""
        self.recent_s = max(late_s, self.recent_s * DECAY)

    @property
    def late(self) -> bool:
        """Whether processor time is too short for work that can wait."""
        return self.recent_s > LATE_THRESHOLD_S

    def round_pause_s(self, min_s: float) -> float:
        """Seconds for which changes are collected before the next decision round; at least `min_s`."""
        return max(min_s, min(MAX_ROUND_PAUSE_S, self.recent_s))
