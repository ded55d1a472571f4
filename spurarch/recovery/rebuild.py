"""One rebuild of lost records, by the controller that holds the rebuild claim.

The steps are: seal the lost history, gather copies of it, collect heartbeats, merge both, write and open a new history.
No controller reads the new records before the last transaction opens the new history. A rebuild that stops earlier
leaves only unused keys behind, and the next one starts from the first step under a new name.
"""

from __future__ import annotations

import logging

import curio
import msgspec

from spurarch.protocol import wire
from spurarch.recovery.claim import ClaimLostError, RebuildClaim
from spurarch.recovery.copy_gathering import CopyGathering
from spurarch.recovery.evidence import Evidence, highest_epoch
from spurarch.recovery.history_writer import HistoryWriter
from spurarch.recovery.merge import Merger
from spurarch.recovery.rebuild_progress import RebuildContext, RebuildProgress, RebuildRefusedError, Step
from spurarch.recovery.rebuilt_records import RebuiltRecords
from spurarch.recovery.worker_survey import WorkerSurvey
from spurarch.storage import records
from spurarch.storage.history import CURRENT, OPEN, REBUILD, HistoryRecord, OpenMarker

log = logging.getLogger(__name__)

EPOCH_MARGIN = 1 << 16  # upper bound of owner changes whose epochs are in no record or heartbeat seen here
MAX_EPOCH = 1 << 27


class Rebuild:
    """One attempt to rebuild the records, under the unique name of the history that it would open.

    `own_history` is the history that this controller last worked in or found lost, or None.
    """

    def __init__(
        self, context: RebuildContext, claim: RebuildClaim, name: str, own_history: HistoryRecord | None
    ) -> None:
        self._context, self._name = context, name
        self._own_history = own_history
        self._progress = RebuildProgress(claim, name)

    async def run(self) -> HistoryRecord:
        """Executes all steps and returns the history that was opened.

        Raises `ClaimLostError`, `RebuildRefusedError` or `StoreUnavailableError`.
        """
        context, progress = self._context, self._progress
        lost_history = await self._seal()
        progress.advance(Step.GATHERING)
        copies = await CopyGathering(context, progress).gather(lost_history)
        progress.advance(Step.COLLECTING)
        evidence = await WorkerSurvey(context, progress).collect(lost_history, copies)
        rebuilt = await self._merge(evidence)
        progress.advance(Step.WRITING)
        history = await HistoryWriter(context, progress).write(lost_history, rebuilt)
        progress.advance(Step.OPENED)
        return history

    async def _seal(self) -> HistoryRecord:
        """Deletes the marker of the lost history, so that no transaction of that history can commit any more.

        The same transaction writes the rebuild's own key, and the new history's partition epoch into the claim. After
        it, the collection of heartbeats for this epoch begins. Returns the lost history.

        Raises `ClaimLostError`, `RebuildRefusedError` or `StoreUnavailableError`.
        """
        store = self._context.store
        item = await store.get(CURRENT)
        current = msgspec.json.decode(item.value, type=HistoryRecord) if item is not None else None
        candidates = [history for history in (current, self._own_history) if history is not None]
        if not candidates:
            raise RebuildRefusedError(
                "no history to rebuild is on record; for a new installation, run `spurarch recovery init`"
            )
        lost_history = max(candidates, key=lambda history: history.number)
        changes: list[wire.Put | wire.Delete] = [wire.Put(REBUILD + self._name, OpenMarker(lost_history.number + 1))]
        guards = [wire.Guard(REBUILD + self._name, 0)]
        for name in dict.fromkeys(history.name for history in candidates):
            marker = await store.get(OPEN + name)
            if marker is None:
                continue
            if self._own_history is not None and lost_history.number > self._own_history.number:
                raise ClaimLostError(f"history {lost_history.number} was opened by another controller")
            changes.append(wire.Delete(OPEN + name))
            guards.append(wire.Guard(OPEN + name, marker.version))
        self._progress.epoch = self._choose_epoch(lost_history)
        await self._progress.commit(changes, guards)
        self._progress.mark_sealed()
        self._context.collector.begin(self._progress.epoch)
        return lost_history

    def _choose_epoch(self, lost_history: HistoryRecord) -> int:
        """Returns a partition epoch above all that were ever assigned, including those that no worker has reported.

        It is chosen before copies are requested from other controllers: workers whose partition owner has stopped need
        responses with its fencing token before their leases expire. Raises `RebuildRefusedError` if none is left.
        """
        own_copy = self._context.own_copy()
        highest_seen = max(
            lost_history.epoch,
            self._context.collector.highest_epoch,
            highest_epoch([own_copy] if own_copy is not None else []),
        )
        epoch = highest_seen + EPOCH_MARGIN
        if epoch > MAX_EPOCH:
            raise RebuildRefusedError("no partition epoch is left for a new history")
        return epoch

    async def _merge(self, evidence: Evidence) -> RebuiltRecords:
        merger = Merger(evidence, records.tasks_per_record(self._context.deployment.state.value_bytes))
        for _ in merger.steps():
            await curio.sleep(0)
            await self._progress.renew_claim_if_due()
        rebuilt = merger.rebuilt
        log.info(
            "records rebuilt jobs=%d final=%d in_doubt=%d set_aside=%d certainty=%s",
            len(rebuilt.jobs),
            len(rebuilt.finals),
            len(rebuilt.unresolved),
            rebuilt.ignored_entries,
            "uncertain" if rebuilt.jobs_may_be_missing else "certain",
        )
        return rebuilt
