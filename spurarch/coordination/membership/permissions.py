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

    "Fresh", "freshness bound" and "attestation of freshness" are defined in `store_reachability`. `now` is monotonic
    time in seconds. `cancel_s` is the deployment's time within which the tasks of a cancelled job have to be off their
    machines.
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
        """Whether heartbeats may be answered.

        They may while the freshness bound is recent enough: a lease renewed now then ends before any cancellation that
        this controller hasn't received is overdue.
        """
        return self.reachability.may_answer(self._replica.synced_at, now)

    def may_command(self, now: float) -> bool:
        """Whether commands may be sent: heartbeats may be answered, and no stall followed the newest attestation.

        Like `is_confirmed_since_stall`, this tells the stall detector that the process runs at `now`.
        """
        return self.may_answer(now) and self.is_confirmed_since_stall(now)

    def is_confirmed_since_stall(self, now: float) -> bool:
        """Whether the process never stalled, or has an attestation of freshness from after it resumed.

        Also tells the stall detector that the process runs at `now`, so a stall that ends with this call is detected.
        """
        return self._stall_detector.confirmed_since_stall(
            now, self.reachability.freshness_bound(self._replica.synced_at)
        )

    def records_are_fresh(self, now: float) -> bool:
        """Whether the copy of the records is recent and can be trusted.

        While the copy isn't fresh, another controller possibly owns the partition already. So work that can wait, such
        as preemption, the local search and the release of idle or silent machines, is postponed.
        """
        return (
            now - self._replica.synced_at < FRESH_COPY_AGE_S
            and self.is_confirmed_since_stall(now)
            and self._replica.store.trusted
        )

    def owns(self, partition: Partition) -> bool:
        """Whether, by the copy of the records, this process owns the partition in the epoch of its state in memory.

        Every change of owner raises the epoch (see `PartitionRecord`). If this process owns the partition again in a
        later epoch, the state in memory is possibly outdated, as another controller can have been the owner in between.
        """
        record = self._membership.owned_record(partition.zone)
        return record is not None and record.epoch == partition.epoch

    def is_owned_by_peer(self, zone: str) -> bool:
        """Whether a peer reported another owner of the zone's partition, in a later epoch than that of the record."""
        reported = self.reachability.reported_owners.get(zone)
        if reported is None or reported.node == self._membership.node:
            return False
        partition = self._replica.state.partitions.get(zone)
        return partition is None or reported.epoch > partition.epoch

    def time_since_cancellation(self, job: str) -> float | None:
        """Seconds since a job was cancelled, or None if neither the records nor the peers report a cancellation.

        If the job's record holds the cancellation, the result is computed by the wall clock and limited to
        0..`cancel_s`; it is 0 if the record holds no time. If only peers reported the cancellation, the result is the
        time since the first report.
        """
        record = self._replica.state.jobs.get(job)
        if record is not None and record.cancelled:
            elapsed_s = time.time() - record.cancelled_at if record.cancelled_at > 0 else 0.0
            return min(max(elapsed_s, 0.0), self._cancel_s)
        reported_at = self.reachability.reported_cancellations.get(job)
        return time.monotonic() - reported_at if reported_at is not None else None
