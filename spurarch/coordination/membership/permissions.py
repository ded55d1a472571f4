"""What this controller may do at the moment, by what it knows of its own standing."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.storage.replica import Replica

if TYPE_CHECKING:
    from spurarch.coordination.partition.partition import Partition

FRESH_COPY_S = 2.0


class Permissions:
    """Asked before every answer, command, release of a machine and conclusion.

    `now` is a time of the monotonic clock; `cancel_s` is the deployment's.
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
        """May answer heartbeats and so extend workers' leases: no cancellation can have been missed for too long."""
        return self.reachability.may_answer(self._replica.synced_at, now)

    def may_command(self, now: float) -> bool:
        """May send commands: it may answer, and the process did not stall since the newest attestation."""
        return self.may_answer(now) and self.is_not_stalled(now)

    def is_not_stalled(self, now: float) -> bool:
        """The process has not stalled, or there has been an attestation of freshness since it resumed."""
        return self._stall_detector.confirmed_since_stall(
            now, self.reachability.freshness_bound(self._replica.synced_at)
        )

    def records_are_fresh(self, now: float) -> bool:
        """The copy of the records is recent: what only improves placement waits while another may own the partition."""
        return now - self._replica.synced_at < FRESH_COPY_S and self.is_not_stalled(now) and self._replica.store.trusted

    def owns(self, partition: Partition) -> bool:
        """The partition is still owned under the epoch under which its state in memory was begun.

        Under a later epoch, even of our own, that state may be outdated: another controller may have owned it
        meanwhile.
        """
        record = self._membership.owned_record(partition.zone)
        return record is not None and record.epoch == partition.epoch

    def superseded(self, zone: str) -> bool:
        """Another controller owns the zone's partition by now, as told by a peer whose copy is newer than ours."""
        known = self.reachability.partitions_by_peers.get(zone)
        if known is None or known.node == self._membership.node:
            return False
        partition = self._replica.state.partitions.get(zone)
        return partition is None or known.epoch > partition.epoch

    def time_since_cancellation(self, job: str) -> float | None:
        """Seconds since a job was cancelled, as far as can be told; None if it is not known to be cancelled.

        For a cancellation on record, this is between 0 and `cancel_s`, and 0 if the record has no time.
        """
        record = self._replica.state.jobs.get(job)
        if record is not None and record.cancelled:
            elapsed_s = time.time() - record.cancelled_at if record.cancelled_at > 0 else 0.0
            return min(max(elapsed_s, 0.0), self._cancel_s)
        reported_at = self.reachability.cancelled_by_peers.get(job)
        return time.monotonic() - reported_at if reported_at is not None else None
