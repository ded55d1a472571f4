"""Whether this process has been running all along.

A process that stood still, its clocks running on, wakes with old conclusions in hand: everybody else's silence was its
own, its parts may have another owner, and timers that came due meanwhile all fire at once. So after a gap nothing is
concluded, commanded or returned before a word that was asked for after it.
"""

from __future__ import annotations

BEAT_S = 0.25
GAP_S = 2.0  # less than a member's lease lasts after its latest renewal, so that nobody took over in a shorter one


class StallDetector:
    """Notices gaps in its own calls; whoever calls first after one finds it."""

    def __init__(self) -> None:
        self._last: float | None = None
        self.woke_at = float("-inf")

    def beat(self, now: float) -> float:
        """Notes that this process runs; returns when it last woke."""
        if self._last is not None and now - self._last > GAP_S:
            self.woke_at = now
        self._last = now
        return self.woke_at

    def steady(self, now: float, word: float) -> bool:
        """The newest word was asked for after the latest gap."""
        return word >= self.beat(now)
