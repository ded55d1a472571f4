"""Evidence on a lost history: copies of its records, and heartbeats that workers sent after it was sealed."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from spurarch.protocol import wire
from spurarch.protocol.recovery_messages import StoredRecord
from spurarch.storage import records
from spurarch.storage.history import PACKED, decode_packed
from spurarch.storage.records import AllocationRecord, FinalRecord, PartitionRecord, Record
from spurarch.storage.seeds import SEED, SEED_VERSION, decode_seed


class SourceKind(enum.Enum):
    """Origin of a copy."""

    REPLICA = "replica"  # the memory of a controller that was not restarted since the loss
    ARCHIVE = "archive"
    STATE_SERVICE = "remains"  # records that are still in the state service
    ANCESTOR = "ancestor"  # the archive of the parent of the lost history


@dataclass(frozen=True, slots=True)
class Versioned:
    """A record and the revision of its last change."""

    version: int
    record: Record


@dataclass(slots=True)
class Source:
    """A copy of a history's records.

    Attributes:
        name: Controller or other component that gave the copy.
        complete_since_revision: The copy has all final records that were written after this revision.
        revision: The copy has all other records that existed at this revision, and possibly some that are newer.
        live_records: Records other than final records, by key.
        finals: Final records, by job id.
        unreadable: Number of values that could not be decoded.
    """

    kind: SourceKind
    name: str
    complete_since_revision: int
    revision: int
    live_records: dict[str, Versioned] = field(default_factory=dict)
    finals: dict[str, FinalRecord] = field(default_factory=dict)
    unreadable: int = 0

    def add(self, stored: StoredRecord) -> None:
        """Adds a record, or the records that share a value; counts a value that can't be decoded as unreadable."""
        try:
            if stored.key.startswith(PACKED):
                for job, final in decode_packed(stored.value).jobs.items():
                    self.finals.setdefault(job, FinalRecord(*final))
                return
            if stored.key.startswith(SEED):
                for seed in decode_seed(stored.value).records:
                    self.add(StoredRecord(seed.key, SEED_VERSION, bytes(seed.value)))
                return
            record = records.decode(stored.key, stored.value)
        except msgspec.DecodeError:
            self.unreadable += 1
            return
        if isinstance(record, FinalRecord):
            self.finals[stored.key[len(records.FINAL) :]] = record
        elif record is not None:
            known = self.live_records.get(stored.key)
            if known is None or stored.version > known.version:
                self.live_records[stored.key] = Versioned(stored.version, record)


@dataclass(slots=True)
class Evidence:
    """The input of a merge.

    Attributes:
        sources: Copies of the lost history's records.
        heartbeats: By machine, the newest heartbeat with the rebuild's fencing token. Commands that were sent to such a
            worker earlier no longer have an effect.
        has_all_copies: Every controller of the lost history gave its copy.
        jobs_may_be_missing: The lost history may already have lacked jobs.
        responses_await_archive: Users were notified only of what the archive already held.
    """

    sources: list[Source] = field(default_factory=list)
    heartbeats: dict[str, wire.Heartbeat] = field(default_factory=dict)
    has_all_copies: bool = False
    jobs_may_be_missing: bool = False
    responses_await_archive: bool = False

    def add_heartbeat(self, heartbeat: wire.Heartbeat) -> None:
        """Adds a worker's heartbeat unless the same or a newer one of this worker was added before."""
        known = self.heartbeats.get(heartbeat.machine)
        if known is None or (heartbeat.incarnation, heartbeat.seq) > (known.incarnation, known.seq):
            self.heartbeats[heartbeat.machine] = heartbeat


def highest_epoch(sources: Iterable[Source]) -> int:
    """Returns the highest epoch in the partition records of all copies; 0 if there are none."""
    return max(
        (
            found.record.epoch
            for source in sources
            for found in source.live_records.values()
            if isinstance(found.record, PartitionRecord)
        ),
        default=0,
    )


def machines_on_record(sources: Iterable[Source]) -> set[str]:
    """Returns the names of the machines that have a record, or a task assigned to them, in any copy."""
    machines: set[str] = set()
    for source in sources:
        for key, found in source.live_records.items():
            if key.startswith(records.MACHINE):
                machines.add(records.parse_machine_key(key)[1])
            elif isinstance(found.record, AllocationRecord):
                machines.update(entry.machine for entry in found.record.tasks if entry.state == records.ASSIGNED)
    return machines
