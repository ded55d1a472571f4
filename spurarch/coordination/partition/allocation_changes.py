"""Merges changes into allocation records, and reads the job of an allocation from its record. Pure functions."""

from __future__ import annotations

from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationRecord, JobRecord, TaskEntry, TaskState

# Applied to the checkpoint duration of the submission, to get the grace period.
CHECKPOINT_GRACE_FACTOR, CHECKPOINT_GRACE_MARGIN_S = 1.5, 1.0


def is_uncancelled_job(cluster: ClusterState, job: str) -> bool:
    """Whether the job has a record, which is deleted when the job ends, and isn't cancelled."""
    record: JobRecord | None = cluster.jobs.get(job)
    return record is not None and not record.cancelled


def checkpoint_grace_s(spec: wire.Submission) -> float:
    """Returns the seconds that a task gets to checkpoint when it is stopped; 0 if it never checkpoints."""
    if spec.checkpoint_interval_s <= 0:
        return 0.0
    return spec.checkpoint_duration_s * CHECKPOINT_GRACE_FACTOR + CHECKPOINT_GRACE_MARGIN_S


def is_uncancelled_gang(cluster: ClusterState, job: str) -> bool:
    """Whether `is_uncancelled_job` holds for the job and the job is a gang."""
    return is_uncancelled_job(cluster, job) and cluster.jobs[job].spec.kind == wire.GANG


_PREVIOUS_STATES: dict[int, set[TaskState]] = {
    records.RETURNED: {records.UNASSIGNED, records.ASSIGNED},
    records.ENDED: {records.ASSIGNED},
    records.UNASSIGNED: {records.ASSIGNED},
}


def _still_applies(entry: TaskEntry, new: TaskEntry, gang: bool) -> bool:
    """Whether a planned change still applies to the current entry of its task.

    A new attempt has the next number; in a gang, any higher number, as it is the next one that no member has had. Every
    other change applies only to the attempt for which it was planned.
    """
    if new.state == records.ASSIGNED:
        newer = new.attempt > entry.attempt if gang else new.attempt == entry.attempt + 1
        return entry.state == records.UNASSIGNED and newer
    return entry.state in _PREVIOUS_STATES[new.state] and new.attempt == entry.attempt


def merge_changes(
    record: AllocationRecord, changes: dict[int, TaskEntry], gang: bool = False
) -> AllocationRecord | None:
    """Returns a copy of an allocation with some entries replaced, or None if no change applies any more.

    Members of a gang are assigned together: if the entry of one has changed meanwhile, no change is made to the record.
    """
    entries, changed = [], False
    for entry in record.tasks:
        new = changes.get(entry.index)
        if new is not None and _still_applies(entry, new, gang):
            entries.append(new)
            changed = True
        elif new is not None and gang and new.state == records.ASSIGNED:
            return None
        else:
            entries.append(entry)
    return AllocationRecord(entries) if changed else None
