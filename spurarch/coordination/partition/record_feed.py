"""Passes changed records to the partitions that this controller owns.

Imported once the records have been read: answering workers after a restart doesn't need it.
"""

from __future__ import annotations

import time

from spurarch.coordination.partition.owned_partition import OwnedPartition, OwnerContext
from spurarch.storage import records


class RecordFeed:
    """Keeps owned partitions up to date with the replica.

    Args:
        context: Dependencies of the partition owner.
        owned: The owned partitions by zone, maintained by the owner.
        changed_keys: Subscription to the keys of changed records, which is emptied here.
    """

    def __init__(self, context: OwnerContext, owned: dict[str, OwnedPartition], changed_keys: dict[str, None]) -> None:
        self._replica, self._view, self._reachability = context.replica, context.view, context.reachability
        self._owned, self._changed_keys = owned, changed_keys

    def distribute(self) -> None:
        """Queues the keys of changed records for every owned partition that they concern."""
        self._view.update()
        if self._changed_keys:
            for zone, owned in self._owned.items():
                prefixes = (f"{records.ALLOCATION}{zone}/", f"{records.MACHINE}{zone}/", records.JOB)
                owned.changed_keys.update((key, None) for key in self._changed_keys if key.startswith(prefixes))
            self._changed_keys.clear()

    def update(self, owned: OwnedPartition) -> None:
        """Applies all pending changes to a partition whose records have been read."""
        self.distribute()
        if owned.changed_keys:
            owned.partition.apply_records(self._replica.state, owned.changed_keys, time.monotonic())
            owned.changed_keys.clear()

    async def prepare(self, owned: OwnedPartition) -> None:
        """Brings a partition up to date before a round; the first time, from records read after its claim."""
        if owned.partition.state.records_read:
            self.update(owned)
        elif not await self._read(owned):
            return
        self.stop_jobs_reported_cancelled(owned)

    async def _read(self, owned: OwnedPartition) -> bool:
        partition, state = owned.partition, self._replica.state
        if not await self._replica.sync():
            if self._replica.loaded and not owned.provisional:
                # Records read before the claim are possibly outdated; they are used only to stop cancelled tasks.
                partition.apply_records(state, list(state.entries), time.monotonic())
                owned.provisional = True
            return False
        self.distribute()
        partition.apply_records(state, list(dict.fromkeys([*state.entries, *owned.changed_keys])), time.monotonic())
        owned.changed_keys.clear()
        partition.state.records_read = True
        return True

    def stop_jobs_reported_cancelled(self, owned: OwnedPartition) -> None:
        """Requests stops of tasks whose job was cancelled according to peers and possibly not yet by the records."""
        for job_id in self._reachability.reported_cancellations:
            owned.partition.stop_job(job_id, time.monotonic())
