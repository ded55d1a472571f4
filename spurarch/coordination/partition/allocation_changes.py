"""What a change of an allocation's entries may follow, and what its job says of the tasks. Pure."""

from __future__ import annotations

from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationRecord, JobRecord, TaskEntry, TaskState

CHECKPOINT_GRACE_FACTOR, CHECKPOINT_GRACE_MARGIN_S = (
    1.5,
    1.0,
)  # the time that a task is given to save, from what its owner says it takes


def is_live(state: ClusterState, job: str) -> bool:
    """The job is on record and not cancelled."""
    record: JobRecord | None = state.jobs.get(job)
    return record is not None and not record.cancelled


def checkpoint_grace_s(spec: wire.Submission) -> float:
    """How long a task that is told to leave gets to save its progress; 0 if it never saves."""
    return (
        spec.checkpoint_duration_s * CHECKPOINT_GRACE_FACTOR + CHECKPOINT_GRACE_MARGIN_S
        if spec.checkpoint_interval_s > 0
        else 0.0
    )


def is_live_gang(state: ClusterState, job: str) -> bool:
    """The job is on record, not cancelled, and its tasks start together."""
    return is_live(state, job) and state.jobs[job].spec.kind == wire.GANG


_BEFORE: dict[int, set[TaskState]] = {
    records.RETURNED: {records.FREE, records.ASSIGNED},
    records.ENDED: {records.ASSIGNED},
    records.FREE: {records.ASSIGNED},
}


def _follows(entry: TaskEntry, new: TaskEntry, gang: bool) -> bool:
    """The entry still is what the change was decided for.

    A new attempt has the next number, in a gang the next that none of its members has had, and every other change
    belongs to the attempt that it was decided for.
    """
    if new.state == records.ASSIGNED:
        newer = new.attempt > entry.attempt if gang else new.attempt == entry.attempt + 1
        return entry.state == records.FREE and newer
    return entry.state in _BEFORE[new.state] and new.attempt == entry.attempt


def merge_changes(
    record: AllocationRecord, changes: dict[int, TaskEntry], gang: bool = False
) -> AllocationRecord | None:
    """A copy of an allocation with some entries replaced, as far as they still are what the change was decided for.

    Members of a gang are given machines together, so one whose entry has changed keeps the others from it.
    """
    out, changed = [], False
    for entry in record.tasks:
        new = changes.get(entry.index)
        if new is not None and _follows(entry, new, gang):
            entry, changed = new, True
        elif new is not None and gang and new.state == records.ASSIGNED:
            return None
        out.append(entry)
    return AllocationRecord(out) if changed else None
