"""Messages of the published protocols, spoken with users, workers, the cloud and the state service.

The protocols have field names of their own. Each `field(name=...)` maps one to the name that the rest of the code uses.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct, field

T = TypeVar("T")

MAX_TASKS = 100_000  # of one job
MAX_JOB_ID_DIGITS = 24
JOB_ID_PATTERN = re.compile(rf"job-[0-9]{{1,{MAX_JOB_ID_DIGITS}}}")
MAX_COUNT = 2**63 - 1
MAX_NAME_LENGTH = 160  # characters

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]

# Paths of the HTTP interfaces; those without a leading slash are the last segment of a path.
PATH_JOBS = "/submissions"
PATH_CANCEL = "cancel"
PATH_HEALTH = "/up"
PATH_HEARTBEAT = "/agent/beat"
PATH_COMMANDS = "/do"
PATH_TYPES = "/machine_types"
PATH_MACHINES = "/machines"
PATH_RELEASE = "/machines/release"
PATH_KV = "/kv"
PATH_TXN = "/txn"
PATH_WATCH = "/watch"
PATH_GRANTS = "/grants"
PATH_EXTEND = "extend"

# Kinds, priorities and states of jobs
BATCH, GANG, SERVICE = "batch", "gang", "daemon"
PRIORITIES = {"production": 0, "high": 1, "normal": 2, "low": 3}
QUEUED, RUNNING, DONE, CANCELLED = "pending", "running", "done", "aborted"

# States of task attempts in heartbeats, and reasons of their exit
FETCHING, GATHERING, CHECKPOINTING, EXITED = "fetching", "gathering", "saving", "ended"
REASON_DONE, REASON_ERROR, REASON_STOPPED = "done", "error", "halted"
REASON_PEER_LOST, REASON_GANG_INCOMPLETE = "peers", "incomplete"
REASON_NO_CAPACITY, REASON_TASK_PRESENT, REASON_UNKNOWN_TASK = "full", "in_use", "no_such"
TASK_STATES = (FETCHING, GATHERING, RUNNING, CHECKPOINTING, EXITED)
EXIT_REASONS = (
    REASON_DONE,
    REASON_ERROR,
    REASON_STOPPED,
    REASON_PEER_LOST,
    REASON_GANG_INCOMPLETE,
    REASON_NO_CAPACITY,
    REASON_TASK_PRESENT,
    REASON_UNKNOWN_TASK,
)

MAX_CLOCK_RATE_RATIO = 1.001  # of the monotonic clocks of two machines, which drift apart by at most 0.05%

# Commands to workers
START, STOP, FORGET = "run", "halt", "forget"
COMMANDS = (START, STOP, FORGET)
# States of machines in the cloud's list
BOOTING, FAILED = "booting", "failed"


class Submission(Struct, forbid_unknown_fields=False):
    """A job as submitted by its user and as stored in the job's record."""

    id: Name = field(name="ref")
    job_class: Annotated[str, Meta(max_length=200)] = field(name="circuit")
    team: Annotated[str, Meta(max_length=200)] = field(name="crew")
    kind: Annotated[str, Meta(pattern="^(batch|gang|daemon)$")] = field(name="gait")
    priority: Annotated[str, Meta(pattern="^(production|high|normal|low)$")] = field(name="precedence")
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = field(name="legs")
    cpus: Amount = field(name="vcpus")
    gpus: Amount
    memory_gb: Amount
    image: Annotated[str, Meta(max_length=400)] = field(name="kit")
    image_gb: Amount = field(name="pull_gb")
    one_zone: bool = field(name="together")
    spread: bool
    spot: bool = field(name="lendable")
    estimate_s: Amount = field(name="reckon_s")
    checkpoint_interval_s: Amount = field(name="waypoint_s")
    checkpoint_duration_s: Amount = field(name="stow_s")
    types: Annotated[list[Name], Meta(max_length=1000)] | None = field(name="builds", default=None)
    zone: Name | None = field(name="district", default=None)
    deadline_s: Amount | None = field(name="cutoff_s", default=None)


class SubmittedTeam(Struct):
    """The team of a submission, decoded alone where the rest of a record can't be decoded."""

    team: str = field(name="crew")


class JobState(Struct, omit_defaults=True):
    """A job's state in responses to users. `done` and `running` are numbers of tasks."""

    id: str = field(name="ref")
    state: str = field(name="standing")
    done: int | None = None
    running: int | None = None


class TaskStatus(Struct):
    """One task attempt in a heartbeat."""

    task: Name = field(name="leg")
    attempt: Count = field(name="try")
    state: str = field(name="standing")
    exit_reason: str | None = field(name="cause", default=None)
    checkpointed: bool | None = field(name="stored", default=None)


class Heartbeat(Struct):
    """A worker's heartbeat. `seq` increases with every message that the worker sends in one incarnation."""

    machine: Name = field(name="croft")
    addr: Name
    type: Name = field(name="build")
    zone: Name = field(name="district")
    incarnation: Count = field(name="tenure")
    seq: Count = field(name="tally")
    fencing_token: Annotated[int, Meta(ge=0)] = field(name="baton")
    tasks: list[TaskStatus] = field(name="legs")
    spot: bool = field(name="lendable", default=False)
    termination_notice_s: float | None = field(name="warning_s", default=None)


class Command(Struct, omit_defaults=True):
    """One command to a worker."""

    op: str = field(name="verb")
    task: str = field(name="leg")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="leeway_s", default=None)


class HeartbeatResponse(Struct):
    """The response to a heartbeat."""

    fencing_token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class Redirect(Struct, omit_defaults=True):
    """Redirects a worker to the controller that owns its partition; without `node`, to any other controller."""

    node: str | None = field(name="steward", default=None)


class DirectCommands(Struct):
    """Commands sent directly to a worker's address, without waiting for its next heartbeat."""

    fencing_token: int = field(name="baton")
    incarnation: int = field(name="tenure")
    commands: list[Command] = field(name="orders")


class MachineType(Struct):
    """A machine type in the cloud's price list."""

    name: Name = field(name="sku")
    cpus: Amount = field(name="vcpus")
    gpus: Amount
    memory_gb: Amount
    price: Amount = field(name="hourly")
    spot_price: Amount
    boot_s: Amount
    zones: list[str] = field(name="districts")
    cache_gb: Amount = field(name="local_gb", default=0.0)
    fetch_gb_per_s: Amount = 0.0


class MachineTypes(Struct):
    """The cloud's price list."""

    types: list[MachineType] = field(name="builds")


class ScaleOutRequest(Struct):
    """A request to the cloud for machines."""

    request_id: str = field(name="hire")
    type: str = field(name="build")
    zone: str = field(name="district")
    spot: bool = field(name="lendable")
    count: int = field(name="how_many")


class MachineNames(Struct):
    """Names of machines: those that a scale-out request returned, or those to release."""

    machines: list[str] = field(name="crofts")


class ListedMachine(Struct):
    """A machine in the cloud's list."""

    id: Name = field(name="ref")
    addr: str
    type: str = field(name="build")
    zone: str = field(name="district")
    spot: bool = field(name="lendable")
    state: str = field(name="standing")
    age_s: float = field(name="held_s")


class MachineList(Struct):
    """A page of the cloud's list of machines."""

    machines: list[ListedMachine] = field(name="crofts")
    more: bool = field(name="has_next", default=False)


class Item(Struct):
    """A key of the state service. The value is decoded later, by the record type that belongs to the key."""

    key: str
    value: msgspec.Raw
    version: int = field(name="stamp")
    lease: int | None = field(name="tether", default=None)


class Page(Struct):
    """A page of keys."""

    items: list[Item]
    revision: int = field(name="ledger")
    more: bool = field(name="has_next", default=False)


class Event(Struct):
    """A change in the response of a watch: a put or a deletion."""

    version: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="drop", default=None)
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(Struct):
    """Response of a watch: the changes after a revision."""

    revision: int = field(name="ledger")
    events: list[Event] = field(name="news")


class Guard(Struct):
    """A guard of a transaction: the revision that the key's last change must have, 0 if the key must not exist."""

    key: str
    version: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A put of a transaction."""

    key: str = field(name="write")
    value: Any
    lease: int | None = field(name="tether", default=None)


class Delete(Struct):
    """A deletion of a transaction."""

    key: str = field(name="drop")


class Txn(Struct):
    """A transaction."""

    guards: list[Guard]
    then: list[Put | Delete]


class TxnAnswer(Struct):
    """Response to a transaction: the state service's revision, and the keys of the guards that failed, if any.

    The response to a read of a missing key has the same form.
    """

    revision: int = field(name="ledger")
    failed: list[str] = []


class GrantRequest(Struct):
    """A request to the state service to grant a lease."""

    ttl_ms: int = field(name="life_ms")


class Grant(Struct):
    """A lease of the state service."""

    lease: int = field(name="tether")


class ErrorBody(Struct):
    """Body of an error response."""

    error: str


encode = msgspec.json.encode
submission_decoder = msgspec.json.Decoder(Submission)
heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
types_decoder = msgspec.json.Decoder(MachineTypes)
names_decoder = msgspec.json.Decoder(MachineNames)
list_decoder = msgspec.json.Decoder(MachineList)
page_decoder = msgspec.json.Decoder(Page)
item_decoder = msgspec.json.Decoder(Item)
changes_decoder = msgspec.json.Decoder(Changes)
txn_decoder = msgspec.json.Decoder(TxnAnswer)
grant_decoder = msgspec.json.Decoder(Grant)


def query(**fields: object) -> str:
    """Returns the query string of a call to the state service or the cloud; parameters that are None are left out."""
    names = {"prefix": "prefix", "after": "from", "limit": "most", "wait_ms": "wait_ms"}
    return "&".join(f"{names[name]}={value}" for name, value in fields.items() if value is not None)


TASK_NAME_CACHE_SIZE = 16_384  # a cache pays off because every heartbeat names all tasks of a machine


def task_name(job: str, index: int) -> str:
    """Returns the name of a task on the wire."""
    return f"{job}/{index}"


@lru_cache(TASK_NAME_CACHE_SIZE)
def split_task(name: str) -> tuple[str, int] | None:
    """Returns job and index of a task by its name; None if the name is malformed."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > 6:
        return None
    return job, int(index)
