"""Reports allocation records that no transaction can update within the limits of the state service."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey

log = logging.getLogger(__name__)


class UnwritableAllocations:
    """Logs each such record once for each of its versions.

    The records were written under higher limits. Their tasks can't be started, moved or recorded as ended until the
    limits allow it again, so no round plans changes to them. They can be deleted once the job has been cancelled.
    """

    def __init__(self, state: ClusterState, limits: StateLimits) -> None:
        self._state, self._limits = state, limits
        self._reported: dict[AllocationKey, int] = {}  # versions

    def report(self, allocations: Iterable[AllocationKey]) -> None:
        """Logs the records among these that have changed since they were last reported, or were not reported yet."""
        for allocation in allocations:
            version = self._state.version(str(allocation))
            record = self._state.allocations.get(allocation.job, {}).get(allocation)
            if record is None or self._reported.get(allocation) == version:
                continue
            self._forget_deleted()
            self._reported[allocation] = version
            tasks_per_record = records.tasks_per_record(self._limits.value_bytes)
            log.warning(
                "allocation record too large to be updated job=%s partition=%s record=%s tasks=%d changes_needed=%d"
                " changes_allowed=%d",
                allocation.job,
                allocation.zone,
                allocation,
                len(record.tasks),
                records.count_split_records(record, tasks_per_record),
                self._limits.transaction_changes,
            )

    def _forget_deleted(self) -> None:
        self._reported = {key: version for key, version in self._reported.items() if self._state.version(str(key))}
