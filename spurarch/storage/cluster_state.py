"""The in-memory copy of the cluster's records, with indexes for the lookups that controllers need.

Every change carries the state service's revision at which it was made. A change that is not newer than the copy of its
key is ignored, so changes may arrive in any order from several watches and from this controller's transactions.
"""

from __future__ import annotations

import logging
from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.records import (
    AdmissionRecord,
    AllocationKey,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    LeaderRecord,
    MachineRecord,
    MemberRecord,
    PartitionRecord,
    Record,
)
from spurarch.storage.transaction import Write

if TYPE_CHECKING:
    from spurarch.storage.seeds import Seeds

log = logging.getLogger(__name__)

MAX_FINAL_RECORDS = 20_000  # final records kept in memory; the oldest are dropped first


@dataclass(slots=True)
class VersionedRecord:
    """A record and the state service's revision of its last change."""

    version: int
    record: Record


class ClusterState:
    """The records at `revision` or later, with indexes. Performs no I/O except logging.

    Records are later than `revision` if this controller committed them and no watch has delivered the change yet, or if
    they were read page by page.
    """

    def __init__(self) -> None:
        self.entries: dict[str, VersionedRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.admissions: dict[str, AdmissionRecord] = {}
        self.allocations: dict[str, dict[AllocationKey, AllocationRecord]] = defaultdict(dict)  # by job id
        self.zone_allocations: dict[str, dict[AllocationKey, AllocationRecord]] = defaultdict(dict)
        self.partitions: dict[str, PartitionRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self.machines: dict[str, dict[str, MachineRecord]] = defaultdict(dict)  # by zone
        self.leader: LeaderRecord | None = None
        self.gang_count = 0  # number of jobs that are gangs
        self.finals: OrderedDict[str, FinalRecord] = OrderedDict()  # by job id, oldest first
        self.revision = 0
        self.consistent_from_revision = 0.0  # lowest `revision` at which all records here are of one revision
        self.undecodable_keys: dict[str, str | None] = {}  # by key; for jobs, the team if it can be decoded
        self.seeds: Seeds | None = None  # shared values not yet unpacked; only in a seeded history
        self._deleted_revisions: dict[str, int] = {}  # by key, the revision of a deletion newer than `revision`
        self._subscribers: list[dict[str, None]] = []

    def subscribe(self) -> dict[str, None]:
        """Returns a mapping that collects the changed keys in order; the subscriber clears it.

        It initially holds all keys. The order is preserved so that the same changes lead to the same decisions.
        """
        changed_keys: dict[str, None] = dict.fromkeys(self.entries)
        self._subscribers.append(changed_keys)
        return changed_keys

    @property
    def consistent(self) -> bool:
        """Whether all records are of one revision. After they were read page by page, a watch has to catch up first."""
        return self.revision >= self.consistent_from_revision

    def version(self, key: str) -> int:
        """Returns the revision of a key's last change; 0 if the key does not exist."""
        entry = self.entries.get(key)
        return entry.version if entry else 0

    def put(self, key: str, version: int, record: Record) -> None:
        """Adds or replaces a record unless a change of its key at this or a later revision was applied.

        A final record is only put into `finals`, whatever its version, and subscribers are not notified. The oldest
        final record is dropped if there are more than `MAX_FINAL_RECORDS`.
        """
        if version <= self.version(key) or version <= self._deleted_revisions.get(key, 0):
            return
        if isinstance(record, FinalRecord):
            self.finals[key[len(records.FINAL) :]] = record
            while len(self.finals) > MAX_FINAL_RECORDS:
                self.finals.popitem(last=False)
            return
        self.undecodable_keys.pop(key, None)
        self.entries[key] = VersionedRecord(version, record)
        self._index(key, record)
        self._mark_changed(key)

    def put_encoded(self, key: str, version: int, value: msgspec.Raw) -> None:
        """Decodes a value and puts its record; if that fails, logs it once and adds the key to `undecodable_keys`."""
        try:
            record = records.decode(key, value)
        except msgspec.DecodeError as err:
            if self._record_unreadable(key, records.team_of(key, value)):
                log.error("unreadable record record=%s error=%s", key, err)
            return
        if record is not None:
            self.put(key, version, record)

    def _record_unreadable(self, key: str, team: str | None) -> bool:
        """Adds a key to `undecodable_keys`; returns whether it was not there before."""
        new = key not in self.undecodable_keys
        self.undecodable_keys[key] = team
        if new:
            self._mark_changed(key)
        return new

    def delete(self, key: str, version: int) -> None:
        """Deletes a record unless its key was written after the revision `version`.

        Also removes the key from `undecodable_keys`. Final records stay in `finals`.
        """
        if key in self.undecodable_keys:
            del self.undecodable_keys[key]
            self._mark_changed(key)
        entry = self.entries.get(key)
        if entry is not None and entry.version > version:
            return
        if version > self.revision:
            # A watch may deliver an older change of the key after this controller's transaction deleted it.
            self._deleted_revisions[key] = version
        if entry is not None:
            del self.entries[key]
            self._unindex(key, entry.record)
            self._mark_changed(key)

    def apply_commit(self, writes: list[Write], revision: int) -> None:
        """Applies the writes of a transaction of this controller that was committed at `revision`.

        Does nothing if a watch has already delivered the transaction, possibly with later changes of the same keys.
        Applying it again could restore a key that another controller has since deleted, and every later transaction
        that writes or guards this key would fail.
        """
        if revision <= self.revision:
            return
        for write in writes:
            if write.record is None:
                self.delete(write.key, revision)
            else:
                self.put(write.key, revision, write.record)

    def advance(self, revision: int) -> None:
        """Sets `revision` after all changes up to it were applied; never lowers it."""
        self.revision = max(self.revision, revision)
        if self._deleted_revisions:
            self._deleted_revisions = {k: v for k, v in self._deleted_revisions.items() if v > self.revision}

    def _mark_changed(self, key: str) -> None:
        for changed_keys in self._subscribers:
            changed_keys[key] = None

    def _index(self, key: str, record: Record) -> None:
        if isinstance(record, JobRecord):
            self.gang_count += record.spec.kind == wire.GANG and record.spec.id not in self.jobs
            self.jobs[record.spec.id] = record
        elif isinstance(record, AdmissionRecord):
            self.admissions[key[len(records.ADMISSION) :]] = record
        elif isinstance(record, AllocationRecord):
            allocation = AllocationKey.parse(key)
            self.allocations[allocation.job][allocation] = record
            self.zone_allocations[allocation.zone][allocation] = record
        elif isinstance(record, PartitionRecord):
            self.partitions[key[len(records.PARTITION) :]] = record
        elif isinstance(record, MemberRecord):
            self.members[record.node] = record
        elif isinstance(record, LeaderRecord):
            self.leader = record
        elif isinstance(record, MachineRecord):
            zone, name = records.parse_machine_key(key)
            self.machines[zone][name] = record

    def _unindex(self, key: str, record: Record) -> None:
        if isinstance(record, JobRecord):
            self.gang_count -= record.spec.kind == wire.GANG and record.spec.id in self.jobs
            self.jobs.pop(record.spec.id, None)
        elif isinstance(record, AdmissionRecord):
            self.admissions.pop(key[len(records.ADMISSION) :], None)
        elif isinstance(record, AllocationRecord):
            allocation = AllocationKey.parse(key)
            job_allocations = self.allocations[allocation.job]
            job_allocations.pop(allocation, None)
            if not job_allocations:
                del self.allocations[allocation.job]
            self.zone_allocations[allocation.zone].pop(allocation, None)
        elif isinstance(record, PartitionRecord):
            self.partitions.pop(key[len(records.PARTITION) :], None)
        elif isinstance(record, MemberRecord):
            self.members.pop(record.node, None)
        elif isinstance(record, LeaderRecord):
            self.leader = None
        elif isinstance(record, MachineRecord):
            zone, name = records.parse_machine_key(key)
            self.machines[zone].pop(name, None)
