"""Whether this process has been running all along.

A process that stood still, its clocks running on, wakes with old conclusions in hand: everybody else's silence was its
own, its parts may have another owner, and timers that came due meanwhile all fire at once. So after a gap nothing is
concluded, commanded or returned before a word that was asked for after it.
"""

from __future__ import annotations

CHECK_INTERVAL_S = 0.25
STALL_S = 2.0  # less than a member's lease lasts after its latest renewal, so that nobody took over in a shorter one


class StallDetector:
    """Notices gaps in its own calls; whoever calls first after one finds it."""

    def __init__(self) -> None:
        self._last: float | None = None
        self.resumed_at = float("-inf")

    def check(self, now: float) -> float:
        """Notes that this process runs; returns when it last woke."""
        if self._last is not None and now - self._last > STALL_S:
            self.resumed_at = now
        self._last = now
        return self.resumed_at

    def confirmed_since_stall(self, now: float, confirmed_at: float) -> bool:
        """The newest word was asked for after the latest gap."""
        return confirmed_at >= self.check(now)
