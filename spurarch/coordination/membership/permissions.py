"""Which actions this controller may take, by the age of its records, its partition ownership and recent stalls."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.storage.replica import Replica

if TYPE_CHECKING:
    from spurarch.coordination.partition.partition import Partition

FRESH_COPY_AGE_S = 2.0


class Permissions:
    """Checked before every heartbeat response, command, machine release, and conclusion from missing heartbeats.

    `now` is monotonic time in seconds. `cancel_s` is the deployment's time within which the tasks of a cancelled job
    have to be off their machines.
    """

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        reachability: StoreReachability,
        stall_detector: StallDetector,
        cancel_s: float,
    ) -> None:
        self.reachability = reachability
        self._replica, self._membership, self._stall_detector = replica, membership, stall_detector
        self._cancel_s = cancel_s

    def may_answer(self, now: float) -> bool:
        """Whether heartbeats may be answered; renewed leases then can't make a missed cancellation overdue."""
        return self.reachability.may_answer(self._replica.synced_at, now)

    def may_command(self, now: float) -> bool:
        """Whether commands may be sent: heartbeats may be answered, and no stall followed the newest attestation."""
        return self.may_answer(now) and self.is_confirmed_since_stall(now)

    def is_confirmed_since_stall(self, now: float) -> bool:
        """Whether the process never stalled, or has an attestation of freshness from after it resumed."""
        return self._stall_detector.confirmed_since_stall(
            now, self.reachability.freshness_bound(self._replica.synced_at)
        )

    def records_are_fresh(self, now: float) -> bool:
        """Whether the copy of the records is recent and can be trusted.

        While it isn't, another controller may own the partition, so work that can wait, such as improving a placement,
        is postponed.
        """
        return (
            now - self._replica.synced_at < FRESH_COPY_AGE_S
            and self.is_confirmed_since_stall(now)
            and self._replica.store.trusted
        )

    def owns(self, partition: Partition) -> bool:
        """Whether this process still owns the partition in the epoch for which its state in memory was created.

        In a later epoch, even if this process owns that too, the state may be outdated: another controller may have
        owned the partition in between.
        """
        record = self._membership.owned_record(partition.zone)
        return record is not None and record.epoch == partition.epoch

    def is_owned_by_peer(self, zone: str) -> bool:
        """Whether a peer reported, from newer records, that another controller owns the zone's partition."""
        reported = self.reachability.reported_owners.get(zone)
        if reported is None or reported.node == self._membership.node:
            return False
        partition = self._replica.state.partitions.get(zone)
        return partition is None or reported.epoch > partition.epoch

    def time_since_cancellation(self, job: str) -> float | None:
        """Seconds since a job was cancelled, or None if neither the records nor the peers report a cancellation.

        For a cancellation on record, the result is limited to 0..`cancel_s`, and is 0 if the record holds no time. For
        one that only peers reported, it is the time since the first report.
        """
        record = self._replica.state.jobs.get(job)
        if record is not None and record.cancelled:
            elapsed_s = time.time() - record.cancelled_at if record.cancelled_at > 0 else 0.0
            return min(max(elapsed_s, 0.0), self._cancel_s)
        reported_at = self.reachability.reported_cancellations.get(job)
        return time.monotonic() - reported_at if reported_at is not None else None
