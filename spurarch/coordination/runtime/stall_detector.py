"""Whether this process has been running all along.

A process that was suspended while the clocks ran on resumes with outdated conclusions: it missed the heartbeats that
others did send, its partitions may have another owner, and timers that expired meanwhile all fire at once. So after a
stall nothing is concluded, commanded or released before an attestation of freshness that was requested after it.
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
STALL_S = 2.0  # less than a member's lease lasts after its latest renewal, so that nobody took over in a shorter one


class StallDetector:
    """Detects gaps between its own calls; whoever calls first after a stall finds it."""

    def __init__(self) -> None:
        self._last_check: float | None = None
        self.resumed_at = float("-inf")  # when the latest stall was found, by the monotonic clock

    def check(self, now: float) -> float:
        """Records that this process runs; returns when it last resumed after a stall."""
        if self._last_check is not None and now - self._last_check > STALL_S:
            self.resumed_at = now
        self._last_check = now
        return self.resumed_at

    def confirmed_since_stall(self, now: float, confirmed_at: float) -> bool:
        """What was confirmed at `confirmed_at` is no older than the latest stall."""
        return confirmed_at >= self.check(now)


class ProcessTimer:
    """The one timer of a controller: checks for stalls, measures the event loop's lag, and wakes all who wait.

    One timer serves all: a timeout on each wait for changes would cost more than most of what is done on waking.
    """

    def __init__(self, stall_detector: StallDetector, lag: EventLoopLag, replica: Replica) -> None:
        self._stall_detector, self._lag, self._replica = stall_detector, lag, replica

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            resumed_at = self._stall_detector.resumed_at
            if self._stall_detector.check(time.monotonic()) != resumed_at:
                log.warning("process stall detected, reading the state service before commands resume")
                await curio.spawn(self._replica.sync, daemon=True)
            await self._replica.notify()
            expected_at = time.monotonic() + CHECK_INTERVAL_S
            await curio.sleep(CHECK_INTERVAL_S)
            self._lag.record(time.monotonic() - expected_at)
