"""Duration of a decision round, and of the pause after it, for a controller with a share of a processor."""

from __future__ import annotations

import time

MAX_ROUND_S = 0.05  # of wall-clock time, since all other work of the event loop waits, including heartbeats


class RoundBudget:
    """Limits the processor time of a round; the next round continues where this one stopped.

    On a share of a core, the same processor time takes proportionally longer, up to `MAX_ROUND_S`. The budget starts
    with the first call of `spent`: the work that every round does before its first decision isn't counted, since a slow
    controller would otherwise spend each round on that work and never make a decision.
    """

    def __init__(self, processor_s: float, share: float) -> None:
        self._span_s = min(MAX_ROUND_S, processor_s / min(1.0, share))
        self._deadline: float | None = None

    def spent(self) -> bool:
        """Whether the round has to stop."""
        now = time.monotonic()
        if self._deadline is None:
            self._deadline = now + self._span_s
        return now > self._deadline


def pause_after_round_s(took_s: float, share: float, factor: float, min_s: float) -> float:
    """Seconds to pause after a round that took `took_s` on the clock.

    That is `factor` times the round's processor time, but at least `min_s`.
    """
    return max(min_s, factor * took_s * min(1.0, share))
