"""What the state service keeps: keys and the typed value under each.

Everything that is not yet over lives under `live/`; a job that is over leaves one small record under `final/`, so a
starting controller reads what is alive and nothing else.
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
    """Where an admitted task stands, with the number that is stored."""

    FREE = 0  # waits for a machine
    ASSIGNED = 1  # has a machine
    ENDED = 2
    RETURNED = 3  # given back to the leader by its partition


# Bound once: a member of an enum takes several times as long to look up, and decisions compare millions of them.
FREE, ASSIGNED, ENDED, RETURNED = TaskState

UNRESOLVED = "in doubt"  # state of a final record: the job is over or was lost, and an operator has to say which

GANG_VERSION = 1  # the first version that starts gangs as a whole
PROGRAM_VERSION = GANG_VERSION  # written into this process's member record


class JobRecord(Struct):
    """A job that is not over.

    `at` is the wall clock of its submission and only orders jobs; `cancelled_at` that of its cancellation, by which a
    owner that learns of it late knows what is left of `cancel_s`.
    """

    spec: Submission
    submitted_at: float = field(name="at")
    cancelled: bool = False
    cancelled_at: float = 0.0


class AdmissionRecord(Struct, array_like=True):
    """How many tasks of a job were admitted, and in how many allocations.

    Every admission writes it, so two of them can never both succeed, however late one is executed.
    """

    next: int
    chunks: int = 0


class TaskEntry(Struct, array_like=True):
    """One admitted task: free, assigned, ended, or returned to the leader."""

    index: int
    state: int = FREE  # a number of `TaskState`; one that a later version writes stays readable
    attempt: int = 0
    machine: str = ""
    incarnation: int = 0


class AllocationRecord(Struct, array_like=True):
    """Tasks of one job that one part has to run."""

    tasks: list[TaskEntry]


class PartitionRecord(Struct):
    """Which controller holds a part. The epoch rises with every change; `boot` names the process that claimed it."""

    node: str
    epoch: int
    process_incarnation: str = field(name="boot", default="")


class MemberRecord(Struct):
    """A controller that lives.

    `unfit` are the zones whose workers it seems not to hear, while others do; `dark` those of its parts whose workers
    nobody hears.

    `version` says what the process can do, see `PROGRAM_VERSION`. Versions before gangs neither write nor know it.
    """

    node: str
    process_incarnation: str = field(name="boot")
    area: str
    isolated_zones: list[str] = field(name="unfit", default=[])
    unreachable_zones: list[str] = field(name="dark", default=[])
    version: int = 0

    @property
    def starts_gangs(self) -> bool:
        """The member's version starts the tasks of a gang together; earlier ones would start them one by one."""
        return self.version >= GANG_VERSION


class LeaderRecord(Struct):
    """The leading controller."""

    node: str
    process_incarnation: str = field(name="boot")


class MachineRecord(Struct):
    """A machine that has reported to its partition's owner."""

    type: str
    spot: bool
    addr: str
    schedulable: bool = field(name="open", default=True)


class FinalRecord(Struct):
    """A job that is over."""

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
    """The record under a key, or None for a key that is not ours."""
    for prefix, decoder in _DECODERS:
        if key.startswith(prefix):
            record: Record = decoder.decode(raw)
            return record
    return None


ENTRY_BYTES_MOST = 80  # of one task entry as JSON, with room for long names of machines
ALLOCATION_TASKS_MOST = 100  # longer values cost every reader more than the changes that they save


def tasks_per_record(value_bytes: int) -> int:
    """How many task entries an allocation record may hold, so that its value stays within a limit on values."""
    return max(1, min(ALLOCATION_TASKS_MOST, value_bytes // ENTRY_BYTES_MOST))


class _TeamOfJob(Struct):
    """As much of a job's record as says whose it is."""

    spec: SubmittedTeam


def team_of(key: str, raw: bytes | msgspec.Raw) -> str | None:
    """The team in a job's record that can't be read otherwise; None if that can't be told either."""
    if not key.startswith(JOB):
        return None
    try:
        return msgspec.json.decode(raw, type=_TeamOfJob).spec.team
    except msgspec.DecodeError:
        return None


TXN_BYTES = 56_000  # room for guards is left below the state service's 64 KiB
_CHANGE_BYTES, _ENTRY_BYTES = 400, 60


def change_bytes(record: Record | None) -> int:
    """No less than a change takes on the wire, without encoding it."""
    return _CHANGE_BYTES + (_ENTRY_BYTES * len(record.tasks) if isinstance(record, AllocationRecord) else 0)


class AllocationKey(NamedTuple):
    """Where an allocation belongs."""

    zone: str
    job: str
    chunk: int

    def __str__(self) -> str:
        """The key in the state service."""
        return f"{ALLOCATION}{self.zone}/{self.job}/{self.chunk}"

    @staticmethod
    def parse(key: str) -> AllocationKey:
        """The inverse of str()."""
        zone, job, chunk = key[len(ALLOCATION) :].rsplit("/", 2)
        return AllocationKey(zone, job, int(chunk))


def job_of(key: str) -> str | None:
    """The job that a key belongs to, if it does to one."""
    if key.startswith(ALLOCATION):
        return AllocationKey.parse(key).job
    for prefix in (JOB, ADMISSION):
        if key.startswith(prefix):
            return key[len(prefix) :]
    return None


SPLIT_FROM = 1_000_000  # chunks that come from splitting are counted from here, apart from those that admission numbers
SPLIT_STRIDE = 1000


def pieces_of(record: AllocationRecord, most_tasks: int) -> int:
    """How many changes it takes to write the record within a limit on its tasks."""
    return max(1, ceil(len(record.tasks) / most_tasks))


def split(
    allocation: AllocationKey, record: AllocationRecord, most_tasks: int
) -> list[tuple[AllocationKey, AllocationRecord]]:
    """The record, or what takes its place if it holds more tasks than may be written to one key.

    The first piece keeps the key. All pieces go into one transaction, so no reader of any version ever sees a task twice
    or not at all; records from before a limit was lowered are split that way when they are next written.
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
    """Zone and name of a machine's key."""
    zone, name = key[len(MACHINE) :].split("/", 1)
    return zone, name
