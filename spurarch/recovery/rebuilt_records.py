"""The output of a merge: the records of the next history, and the outcomes that operators have to resolve."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from msgspec import Struct

from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, FinalRecord, JobRecord


class UnresolvedKind(enum.Enum):
    """Why an outcome is unresolved; the values are stored."""

    OUTCOME = "outcome"  # the job is terminal, but no record says whether it was done or cancelled
    CONFLICT = "conflict"  # the copies have different final states
    UNKNOWN_JOB = "unknown job"  # a worker runs a task of a job without a record


class UnresolvedOutcome(Struct, frozen=True, order=True):
    """An outcome of a job that only an operator can resolve."""

    job: str
    kind: str  # value of an `UnresolvedKind`
    detail: str


@dataclass(slots=True)
class RebuiltRecords:
    """The records that the next history begins with.

    Attributes:
        ignored_entries: Number of unreadable records and of invalid task entries in heartbeats, all of which were
            ignored.
        jobs_may_be_missing: Jobs may have been accepted or ended without any remaining record.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    admitted: dict[str, AdmissionRecord] = field(default_factory=dict)
    allocations: dict[AllocationKey, AllocationRecord] = field(default_factory=dict)
    finals: dict[str, FinalRecord] = field(default_factory=dict)
    unresolved: list[UnresolvedOutcome] = field(default_factory=list)
    ignored_entries: int = 0
    jobs_may_be_missing: bool = False
