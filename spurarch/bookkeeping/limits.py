"""Client-side token buckets, so that a controller stays under the published rates instead of being refused."""

from __future__ import annotations

SLACK = 1e-6
SHORTEST_S = 0.001


class TokenBucket:
    """Allows `rate` units a second with bursts of `burst`; urgent callers may go into debt by one burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level = burst
        self._at = 0.0

    def delay(self, now: float, amount: float, urgent: bool = False) -> float:
        """Takes `amount` and returns 0, or returns how long to wait and takes nothing."""
        self._level = min(self.burst, self._level + (now - self._at) * self.rate) if self._at else self.burst
        self._at = now
        floor = min(-self.burst if urgent else 0.0, self.burst - amount)
        # The slack guards against rounding: without it, a caller whose amount is just the burst would be told to wait
        # for no time at all, again and again, and never be served (tests/scenarios/rate-limits.txt).
        if self._level - amount >= floor - SLACK:
            self._level -= amount
            return 0.0
        return max(SHORTEST_S, (floor + amount - self._level) / self.rate)

    def penalize(self, now: float) -> None:
        """Empties the bucket: the service said that the rate is exceeded by all callers together."""
        self._at = now
        self._level = min(self._level, 0.0)
