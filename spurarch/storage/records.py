"""The records in the state service: their keys and the type of the value under each.

Records that are in use are under `live/`. A terminal job leaves one small record under `final/`, so a controller that
starts reads the records in use and nothing else.

Some fields are stored under an older name, given by `field(name=...)`.
"""

from __future__ import annotations

import enum
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
    """State of an admitted task, with the number that is stored."""

    FREE = 0  # waits for a machine
    ASSIGNED = 1  # has a machine
    ENDED = 2
    RETURNED = 3  # left to the leader by its partition, to be allocated to another


# Bound once: a member of an enum takes several times as long to look up, and decisions compare millions of them.
FREE, ASSIGNED, ENDED, RETURNED = TaskState

UNRESOLVED = "in doubt"  # state of a final record: an operator has to decide how the job ended

GANG_VERSION = 1  # the first version that starts gangs as a whole
PROGRAM_VERSION = GANG_VERSION  # written into this process's member record


class JobRecord(Struct):
    """A job that is not terminal.

    `submitted_at` is the wall clock in seconds of its submission and only orders jobs. `cancelled_at` is that of its
    cancellation: a partition owner that learns of it late computes from it what is left of `cancel_s`.
    """

    spec: Submission
    submitted_at: float = field(name="at")
    cancelled: bool = False
    cancelled_at: float = 0.0


class AdmissionRecord(Struct, array_like=True):
    """How many tasks of a job were admitted, and in how many allocations.

    Every admission writes it, so two concurrent admissions can never both succeed, however late one is executed.
    """

    next: int
    chunks: int = 0


class TaskEntry(Struct, array_like=True):
    """One admitted task. `attempt` counts its starts; `incarnation` is that of the machine's worker."""

    index: int
    state: int = FREE  # a number of `TaskState`; one that a later version writes stays readable
    attempt: int = 0
    machine: str = ""
    incarnation: int = 0


class AllocationRecord(Struct, array_like=True):
    """Tasks of one job that are allocated to one partition."""

    tasks: list[TaskEntry]


class PartitionRecord(Struct):
    """The owner of a partition: a controller and its process. The epoch rises with every change of owner."""

    node: str
    epoch: int
    process_incarnation: str = field(name="boot", default="")


class MemberRecord(Struct):
    """A controller that is a member of the cluster.

    `isolated_zones` are the zones from whose workers it receives no heartbeats, while other controllers do;
    `unreachable_zones` those of its partitions whose workers no controller reaches.

    `version` says what the process can do, see `PROGRAM_VERSION`. Versions before gangs neither write nor read it.
    """

    node: str
    process_incarnation: str = field(name="boot")
    area: str
    isolated_zones: list[str] = field(name="unfit", default=[])
    unreachable_zones: list[str] = field(name="dark", default=[])
    version: int = 0


class LeaderRecord(Struct):
    """The leading controller."""

    node: str
    process_incarnation: str = field(name="boot")


class MachineRecord(Struct):
    """A machine whose worker has sent a heartbeat to its partition's owner."""

    type: str
    spot: bool
    addr: str
    schedulable: bool = field(name="open", default=True)


class FinalRecord(Struct):
    """A terminal job: its state and number of tasks."""

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
    """Decodes the value of a key; None if the key is of no record. Raises `msgspec.DecodeError`."""
    for prefix, decoder in _DECODERS:
        if key.startswith(prefix):
            record: Record = decoder.decode(raw)
            return record
    return None


ENTRY_BYTES_MOST = 80  # of one task entry as JSON, with room for long names of machines
ALLOCATION_TASKS_MOST = 100  # longer values cost every reader more than the changes that they save


def tasks_per_record(value_bytes: int) -> int:
    """How many task entries an allocation record may hold so that its value has at most `value_bytes`."""
    return max(1, min(ALLOCATION_TASKS_MOST, value_bytes // ENTRY_BYTES_MOST))


class _TeamOfJob(Struct):
    """The part of a job's record that names its team."""

    spec: SubmittedTeam


def team_of(key: str, raw: bytes | msgspec.Raw) -> str | None:
    """The team in a job's record that can't be decoded as a whole; None if the team can't be decoded either."""
    if not key.startswith(JOB):
        return None
    try:
        return msgspec.json.decode(raw, type=_TeamOfJob).spec.team
    except msgspec.DecodeError:
        return None


TXN_BYTES = 56_000  # room for guards is left below the state service's 64 KiB
_CHANGE_BYTES, _ENTRY_BYTES = 400, 60


def change_bytes(record: Record | None) -> int:
    """An upper bound of the bytes that a change takes in a request, without encoding it."""
    return _CHANGE_BYTES + (_ENTRY_BYTES * len(record.tasks) if isinstance(record, AllocationRecord) else 0)


class AllocationKey(NamedTuple):
    """Key of an allocation: the zone of its partition, the job, and a number."""

    zone: str
    job: str
    chunk: int

    def __str__(self) -> str:
        """The key in the state service."""
        return f"{ALLOCATION}{self.zone}/{self.job}/{self.chunk}"

    @staticmethod
    def parse(key: str) -> AllocationKey:
        """Parses a key in the state service; the inverse of `str()`."""
        zone, job, chunk = key[len(ALLOCATION) :].rsplit("/", 2)
        return AllocationKey(zone, job, int(chunk))


def job_of(key: str) -> str | None:
    """Id of the job that a key belongs to; None if it belongs to none."""
    if key.startswith(ALLOCATION):
        return AllocationKey.parse(key).job
    for prefix in (JOB, ADMISSION):
        if key.startswith(prefix):
            return key[len(prefix) :]
    return None


SPLIT_FROM = 1_000_000  # chunks from a split are numbered from here, apart from those of admissions
SPLIT_STRIDE = 1000


def pieces_of(record: AllocationRecord, most_tasks: int) -> int:
    """How many changes it takes to write the record with at most `most_tasks` tasks under each key."""
    return max(1, ceil(len(record.tasks) / most_tasks))


def split(
    allocation: AllocationKey, record: AllocationRecord, most_tasks: int
) -> list[tuple[AllocationKey, AllocationRecord]]:
    """Splits a record that holds more tasks than may be written under one key.

    The first piece keeps the key. All pieces have to be written in one transaction, so that no reader ever sees a task
    twice or not at all. Records from before a limit was lowered are split this way when they are next written.
    """
    pieces = [record.tasks[at : at + most_tasks] for at in range(0, len(record.tasks), most_tasks)]
    out = [(allocation, AllocationRecord(pieces[0] if pieces else []))]
    for number, tasks in enumerate(pieces[1:], start=1):
        chunk = SPLIT_FROM + (allocation.chunk % SPLIT_FROM) * SPLIT_STRIDE + number
        out.append((AllocationKey(allocation.zone, allocation.job, chunk), AllocationRecord(tasks)))
    return out


def machine_key(zone: str, name: str) -> str:
    """Key of a machine's record."""
    return f"{MACHINE}{zone}/{name}"


def parse_machine_key(key: str) -> tuple[str, str]:
    """Zone and name of the machine with a key."""
    zone, name = key[len(MACHINE) :].split("/", 1)
    return zone, name
