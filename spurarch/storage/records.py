"""The records in the state service: their keys and the types of their values.

Records in use are stored under `live/`. A terminal job leaves only one small record under `final/`, so a starting
controller has to read the records in use and nothing else.

Some fields are stored under an older name, given by `field(name=...)`.
"""

from __future__ import annotations

import enum
from collections.abc import Container
from math import ceil
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct, field

from spurarch.protocol.wire import Submission, SubmittedTeam

LIVE = "live/"
JOB, ADMISSION, ALLOCATION = "live/job/", "live/admitted/", "live/allot/"
PARTITION, MEMBER, LEADER, MACHINE = "live/part/", "live/member/", "live/leader", "live/machine/"
FINAL = "final/"


class TaskState(enum.IntEnum):
    """State of an admitted task; the numbers are stored."""

    UNASSIGNED = 0  # not assigned to a machine yet
    ASSIGNED = 1  # assigned to a machine
    ENDED = 2
    RETURNED = 3  # returned to the leader by the partition owner, to be allocated to another partition


# Module-level aliases: looking up an enum member takes several times as long, and decisions compare millions of them.
UNASSIGNED, ASSIGNED, ENDED, RETURNED = TaskState

UNRESOLVED = "in doubt"  # state of a final record whose job ended in an unknown way, for an operator to resolve

GANG_VERSION = 1  # first version that starts all tasks of a gang together
PROGRAM_VERSION = GANG_VERSION  # version that this process writes to its member record


class JobRecord(Struct):
    """A job that is not terminal.

    `submitted_at` and `cancelled_at` are wall-clock times in seconds. `submitted_at` orders jobs, and a job's deadline
    and the time that it has waited are counted from it. From `cancelled_at`, a partition owner that receives the
    cancellation late computes what is left of `cancel_s`.
    """

    spec: Submission
    submitted_at: float = field(name="at")
    cancelled: bool = False
    cancelled_at: float = 0.0


class AdmissionRecord(Struct, array_like=True):
    """Number of a job's tasks that were admitted (`next`), and of the allocations made for them (`chunks`).

    Every admission guards this record, and writes it unless it admits the whole job at once. So two concurrent
    admissions can never both commit, however late one is executed.
    """

    next: int
    chunks: int = 0


TaskKey = tuple[str, int]  # job and index; a plain tuple, as each heartbeat creates and compares one per task


class TaskEntry(Struct, array_like=True):
    """One admitted task: `attempt` counts its starts, `incarnation` identifies the process of the machine's worker."""

    index: int
    state: int = UNASSIGNED  # of `TaskState`; an int, so that states of later versions can be decoded
    attempt: int = 0
    machine: str = ""
    incarnation: int = 0


class AllocationRecord(Struct, array_like=True):
    """Some tasks of a job that are allocated to one partition."""

    tasks: list[TaskEntry]


class PartitionRecord(Struct):
    """The owner of a partition: a controller and its process. Every change of owner increases the epoch.

    A rebuild of the records writes an empty `node`: the partition has no owner until the leader assigns one.
    """

    node: str
    epoch: int
    process_incarnation: str = field(name="boot", default="")


class MemberRecord(Struct):
    """A controller that is a member of the cluster.

    Workers of `isolated_zones` send heartbeats to other controllers, but no heartbeat of these workers reaches this
    member. The `unreachable_zones` are the zones of this member's partitions from which no controller gets heartbeats.

    `version` is the `PROGRAM_VERSION` of the process. Versions before `GANG_VERSION` neither write nor read the field.
    """

    node: str
    process_incarnation: str = field(name="boot")
    area: str
    isolated_zones: list[str] = field(name="unfit", default=[])
    unreachable_zones: list[str] = field(name="dark", default=[])
    version: int = 0

    @property
    def starts_gangs(self) -> bool:
        """Whether the member starts all tasks of a gang together; earlier versions start them one by one."""
        return self.version >= GANG_VERSION


class LeaderRecord(Struct):
    """The leader: a controller and its process."""

    node: str
    process_incarnation: str = field(name="boot")


class MachineRecord(Struct):
    """A machine whose worker has sent a heartbeat to the partition owner."""

    type: str
    spot: bool
    addr: str
    schedulable: bool = field(name="open", default=True)


class FinalRecord(Struct):
    """A terminal job: its final state and its number of tasks."""

    state: str
    tasks: int


Record = (
    JobRecord
    | AdmissionRecord
    | AllocationRecord
    | PartitionRecord
    | MemberRecord
    | LeaderRecord
    | MachineRecord
    | FinalRecord
)

_DECODERS: list[tuple[str, Any]] = [
    (prefix, msgspec.json.Decoder(kind))
    for prefix, kind in (
        (JOB, JobRecord),
        (ADMISSION, AdmissionRecord),
        (ALLOCATION, AllocationRecord),
        (PARTITION, PartitionRecord),
        (MEMBER, MemberRecord),
        (LEADER, LeaderRecord),
        (MACHINE, MachineRecord),
        (FINAL, FinalRecord),
    )
]


def decode(key: str, raw: bytes | msgspec.Raw) -> Record | None:
    """Decodes the value of a key; returns None if the key is not that of a record. Raises `msgspec.DecodeError`."""
    for prefix, decoder in _DECODERS:
        if key.startswith(prefix):
            record: Record = decoder.decode(raw)
            return record
    return None


MAX_ENTRY_BYTES = 80  # upper bound of a task entry as JSON, allowing for long machine names
MAX_TASKS_PER_ALLOCATION = 100  # larger records cost every reader more than they save in changes


def tasks_per_record(value_bytes: int) -> int:
    """Returns how many task entries an allocation record may hold so that its value takes at most `value_bytes`."""
    return max(1, min(MAX_TASKS_PER_ALLOCATION, value_bytes // MAX_ENTRY_BYTES))


class _JobTeam(Struct):
    """The part of a job record that holds the team's name."""

    spec: SubmittedTeam


def team_of(key: str, raw: bytes | msgspec.Raw) -> str | None:
    """Returns the team of a job record that can't be fully decoded.

    Returns None if the key is not that of a job record, or if the team can't be decoded either.
    """
    if not key.startswith(JOB):
        return None
    try:
        return msgspec.json.decode(raw, type=_JobTeam).spec.team
    except msgspec.DecodeError:
        return None


class AllocationKey(NamedTuple):
    """Key of an allocation record: the zone of its partition, the job id, and the allocation's number in the job."""

    zone: str
    job: str
    chunk: int

    def __str__(self) -> str:
        """Returns the record's key."""
        return f"{ALLOCATION}{self.zone}/{self.job}/{self.chunk}"

    @staticmethod
    def parse(key: str) -> AllocationKey:
        """Parses a record's key; the inverse of `str()`."""
        zone, job, chunk = key[len(ALLOCATION) :].rsplit("/", 2)
        return AllocationKey(zone, job, int(chunk))


def job_of(key: str) -> str | None:
    """Returns the id of the job that a key belongs to; None for all other keys."""
    if key.startswith(ALLOCATION):
        return AllocationKey.parse(key).job
    for prefix in (JOB, ADMISSION):
        if key.startswith(prefix):
            return key[len(prefix) :]
    return None


FIRST_SPLIT_CHUNK = 1_000_000  # splits number their chunks from here, to keep apart from the numbers of admissions
MAX_SPLIT_CHUNKS = 1000  # numbers reserved for the chunks split from one record


def count_split_records(record: AllocationRecord, max_tasks: int) -> int:
    """Returns the number of records, and so of changes, that hold the tasks with at most `max_tasks` in each."""
    return max(1, ceil(len(record.tasks) / max_tasks))


def split(
    allocation: AllocationKey, record: AllocationRecord, max_tasks: int, used: Container[AllocationKey] = ()
) -> list[tuple[AllocationKey, AllocationRecord]]:
    """Splits a record into records of at most `max_tasks` tasks.

    The first piece keeps the key; no other piece gets a key that is in `used`. All pieces have to be written in one
    transaction, so that no reader sees a task twice or not at all. Records that were written before the size limit was
    lowered are split when they are next written.
    """
    pieces = [record.tasks[start : start + max_tasks] for start in range(0, len(record.tasks), max_tasks)]
    out = [(allocation, AllocationRecord(pieces[0] if pieces else []))]
    chunk = FIRST_SPLIT_CHUNK + (allocation.chunk % FIRST_SPLIT_CHUNK) * MAX_SPLIT_CHUNKS
    for tasks in pieces[1:]:
        chunk += 1
        # The numbers of a second split of a piece overlap with those of other records.
        while AllocationKey(allocation.zone, allocation.job, chunk) in used:
            chunk += 1
        out.append((AllocationKey(allocation.zone, allocation.job, chunk), AllocationRecord(tasks)))
    return out


def machine_key(zone: str, name: str) -> str:
    """Returns the key of a machine's record."""
    return f"{MACHINE}{zone}/{name}"


def parse_machine_key(key: str) -> tuple[str, str]:
    """Returns the zone and the name of the machine to which the key of a machine record belongs."""
    zone, name = key[len(MACHINE) :].split("/", 1)
    return zone, name
