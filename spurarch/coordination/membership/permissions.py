"""What this controller may still do, by what it knows of its own standing."""

from __future__ import annotations

import time

from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.storage.replica import Replica

FRESH_S = 2.0


class Permissions:
    """Asked before every answer, command, return and conclusion."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        reachability: StoreReachability,
        stall_detector: StallDetector,
        cancel_s: float,
    ) -> None:
        self.replica, self.membership, self.reachability, self._stall_detector = (
            replica,
            membership,
            reachability,
            stall_detector,
        )
        self._cancel_s = cancel_s

    def may_answer(self, now: float) -> bool:
        """May keep workers' leases: no cancellation can have been missed for too long."""
        return self.reachability.may_answer(self.replica.synced_at, now)

    def may_command(self, now: float) -> bool:
        """May give commands: that, and it did not stand still since the newest word."""
        return self.may_answer(now) and self.is_not_stalled(now)

    def is_not_stalled(self, now: float) -> bool:
        """Not just woken from standing still without a word from anyone since."""
        return self._stall_detector.confirmed_since_stall(
            now, self.reachability.freshness_bound(self.replica.synced_at)
        )

    def records_are_fresh(self, now: float) -> bool:
        """The copy of the records is recent: what only serves placement waits while this controller may be deposed."""
        return now - self.replica.synced_at < FRESH_S and self.is_not_stalled(now) and self.replica.store.trusted

    def owns(self, partition: Partition) -> bool:
        """The part is still held as it was when this was begun.

        Not by another, and not anew by ourselves, whose earlier knowledge of it would then be as stale as a stranger's.
        """
        record = self.membership.owned_record(partition.zone)
        return record is not None and record.epoch == partition.epoch

    def superseded(self, zone: str) -> bool:
        """Another holds the zone by now, as a peer says whose copy is newer than ours."""
        heard, partition = self.reachability.partitions_by_peers.get(zone), self.replica.state.partitions.get(zone)
        return (
            heard is not None and heard[0] != self.membership.node and (partition is None or heard[1] > partition.epoch)
        )

    def time_since_cancellation(self, job: str) -> float | None:
        """Seconds since a job was cancelled, as far as can be told, or None if it is not known to be."""
        record = self.replica.state.jobs.get(job)
        if record is not None and record.cancelled:
            ago = time.time() - record.cancelled_at if record.cancelled_at > 0 else 0.0
            return min(max(ago, 0.0), self._cancel_s)
        told = self.reachability.cancelled_by_peers.get(job)
        return time.monotonic() - told if told is not None else None
