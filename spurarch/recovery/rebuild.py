"""One rebuild of lost records, by the controller that has claimed it.

The steps are: seal the lost history, gather copies of it, collect heartbeats, merge both, write and open a new history.
Nobody reads what is written before the last transaction opens the new history. A rebuild that ends at any step leaves
only keys that nobody reads, and the next one starts from the first step under a new name.
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

EPOCHS_UNSEEN = 1 << 16  # changes of owners that may have happened without a trace
EPOCHS_MOST = 1 << 27


class Rebuild:
    """One attempt to rebuild the records, under a name of its own."""

    def __init__(self, context: RebuildContext, claim: RebuildClaim, name: str, lost: HistoryRecord | None) -> None:
        self._context, self._name = context, name
        self._known = lost  # None if not even the name of the lost history is known
        self._progress = RebuildProgress(claim, name)

    async def run(self) -> HistoryRecord:
        """Goes through all steps and returns the history that was opened.

        Raises `ClaimLostError`, `RebuildRefusedError` or `StoreUnavailableError`.
        """
        context, progress = self._context, self._progress
        lost = await self._seal()
        progress.advance(Step.GATHERING)
        copies = await CopyGathering(context, progress).gather(lost)
        progress.advance(Step.COLLECTING)
        evidence = await WorkerSurvey(context, progress).collect(lost, copies)
        rebuilt = await self._merge(evidence)
        progress.advance(Step.WRITING)
        history = await HistoryWriter(context, progress).write(lost, rebuilt)
        progress.advance(Step.OPENED)
        return history

    async def _seal(self) -> HistoryRecord:
        """Deletes the lost history's marker: from then on, no transaction of that history can succeed."""
        store = self._context.store
        item = await store.get(CURRENT)
        current = msgspec.json.decode(item.value, type=HistoryRecord) if item is not None else None
        candidates = [history for history in (current, self._known) if history is not None]
        if not candidates:
            raise RebuildRefusedError("no history is known: is this a new installation? (recovery init)")
        lost = max(candidates, key=lambda history: history.number)
        changes: list[wire.Put | wire.Delete] = [wire.Put(REBUILD + self._name, OpenMarker(lost.number + 1))]
        guards = [wire.Guard(REBUILD + self._name, 0)]
        for name in dict.fromkeys(history.name for history in candidates):
            marker = await store.get(OPEN + name)
            if marker is None:
                continue
            if self._known is not None and lost.number > self._known.number:
                raise ClaimLostError(f"history {lost.number} is open by now")
            changes.append(wire.Delete(OPEN + name))
            guards.append(wire.Guard(OPEN + name, marker.version))
        self._progress.epoch = self._choose_epoch(lost)
        await self._progress.commit(changes, guards)
        self._progress.mark_sealed()
        self._context.collector.begin(self._progress.epoch)
        return lost

    def _choose_epoch(self, lost: HistoryRecord) -> int:
        """An epoch above all that were ever given, whether any worker has shown it or not.

        It is chosen at once, by what is known here. Workers whose partition owner has ended have to be answered before
        their leases expire, while the copies of other controllers are still being waited for.
        """
        own = self._context.own_copy()
        seen = max(lost.epoch, self._context.collector.highest_epoch, highest_epoch([own] if own is not None else []))
        epoch = seen + EPOCHS_UNSEEN
        if epoch > EPOCHS_MOST:
            raise RebuildRefusedError("partition epochs are used up")
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
            rebuilt.set_aside,
            "uncertain" if rebuilt.uncertain else "certain",
        )
        return rebuilt
