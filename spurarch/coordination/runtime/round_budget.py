"""How long one decision round may take, and how long to pause after it, on a share of a processor."""

from __future__ import annotations

import time

LONGEST_S = 0.05  # whatever waits in the event loop, heartbeats among it, waits no longer


class RoundBudget:
    """Tells a round when to stop; the next round continues from there.

    The budget is processor time: on a share of a core it lasts accordingly longer on the clock, up to `LONGEST_S`. It
    starts with the first call of `spent`. What every round has to do before its first decision is not counted, or else
    a slow controller would spend all of its rounds on that and never decide anything.
    """

    def __init__(self, processor_s: float, share: float) -> None:
        self._span_s = min(LONGEST_S, processor_s / min(1.0, share))
        self._deadline: float | None = None

    def spent(self) -> bool:
        """The round has to stop."""
        now = time.monotonic()
        if self._deadline is None:
            self._deadline = now + self._span_s
        return now > self._deadline


def rest_s(took_s: float, share: float, factor: float, least_s: float) -> float:
    """Seconds to pause after a round that took `took_s` on the clock: `factor` times its processor time."""
    return max(least_s, factor * took_s * min(1.0, share))
