"""Detects stalls: intervals in which this process didn't run although the clocks did.

A process that resumes after a stall has an outdated view: it hasn't received the heartbeats sent meanwhile, its
partitions possibly have another owner, and all timers that expired meanwhile fire at once. So after a stall it draws no
conclusions from missing heartbeats, sends no commands and releases no machines until it has an attestation of freshness
(see `membership.store_reachability`) that was requested after the stall.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import curio

from spurarch.coordination.runtime.event_loop_lag import EventLoopLag

if TYPE_CHECKING:
    from spurarch.storage.replica import Replica

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
STALL_S = 2.0  # less than a member lease lasts after its renewal, so no takeover can happen in a shorter gap


class StallDetector:
    """Detects gaps between calls of `check`; the first call after a stall detects it.

    Attributes:
        resumed_at: Monotonic time at which the latest stall was detected.
    """

    def __init__(self) -> None:
        self._last_check: float | None = None
        self.resumed_at = float("-inf")

    def check(self, now: float) -> float:
        """Records that this process runs at `now`; returns when it last resumed after a stall."""
        if self._last_check is not None and now - self._last_check > STALL_S:
            self.resumed_at = now
        self._last_check = now
        return self.resumed_at

    def confirmed_since_stall(self, now: float, confirmed_at: float) -> bool:
        """Whether a confirmation made at `confirmed_at` is no older than the end of the latest stall.

        Calls `check`, so it also records that this process runs at `now`.
        """
        return confirmed_at >= self.check(now)


class ProcessTimer:
    """A controller's shared timer: checks for stalls, measures the event loop's lag, and wakes the replica's listeners.

    The timer is shared because a timeout on each wait for changes would cost more than most of the work done on waking.
    """

    def __init__(self, stall_detector: StallDetector, lag: EventLoopLag, replica: Replica) -> None:
        self._stall_detector, self._lag, self._replica = stall_detector, lag, replica

    async def run(self) -> None:
        """Runs the timer until cancelled."""
        while True:
            resumed_at = self._stall_detector.resumed_at
            if self._stall_detector.check(time.monotonic()) != resumed_at:
                log.warning("process stall detected, reading the state service before commands resume")
                await curio.spawn(self._replica.sync, daemon=True)
            await self._replica.notify()
            expected_at = time.monotonic() + CHECK_INTERVAL_S
            await curio.sleep(CHECK_INTERVAL_S)
            self._lag.record(time.monotonic() - expected_at)
