"""What a rebuild produces: the records of the next history, and the outcomes that operators have to decide."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from msgspec import Struct

from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, FinalRecord, JobRecord


class UnresolvedKind(enum.Enum):
    """Why an outcome is unresolved, with the text that is stored."""

    OUTCOME = "outcome"  # the job is terminal; whether done or cancelled is not on record
    CONFLICT = "conflict"  # two final states
    UNKNOWN_JOB = "unknown job"  # a worker runs a task of a job that no record describes


class UnresolvedOutcome(Struct, frozen=True, order=True):
    """An outcome that only an operator can decide."""

    job: str
    kind: str  # value of an `UnresolvedKind`
    detail: str


@dataclass(slots=True)
class RebuiltRecords:
    """The records that the next history begins with."""

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    admitted: dict[str, AdmissionRecord] = field(default_factory=dict)
    allocations: dict[AllocationKey, AllocationRecord] = field(default_factory=dict)
    finals: dict[str, FinalRecord] = field(default_factory=dict)
    unresolved: list[UnresolvedOutcome] = field(default_factory=list)
    set_aside: int = 0  # unreadable records and entries of heartbeats, which were ignored
    uncertain: bool = False  # jobs may have been accepted or ended without a trace
