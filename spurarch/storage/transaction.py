"""Transactions on the state service: their changes, their size and its limits, and their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.records import AllocationRecord, Record

MAX_REQUEST_BYTES = 64 * 1024  # of a transaction, by the protocol of the state service
BYTES_PER_REQUEST = 1024  # upper bound of a transaction's bytes without its changes and guards
BYTES_PER_CHANGE = 600  # upper bound of a change and its guard, with keys of 200 bytes, without an allocation's value
BYTES_PER_GUARD = 250  # upper bound of a guard, with a key of 200 bytes
BYTES_PER_ENTRY = 60  # of an assigned task in an allocation's value, with a machine name of up to 30 bytes
GUARDS_OF_UPDATE = 2  # greatest number of guards, beside the common ones, with which an allocation is updated
COMMON_GUARDS = 2  # the record that gives the permission to write, and the marker that `Store` adds to a transaction


@dataclass(slots=True, frozen=True)
class Write:
    """A change of one key: its new record, or None to delete the key."""

    key: str
    record: Record | None
    lease: int | None = None  # the service deletes the key when this lease expires


class TransactionSize(NamedTuple):
    """The size of a transaction, or the greatest size that is allowed.

    Attributes:
        changes: Number of changes. Each includes the guard of the key that it writes.
        guards: Number of guards of keys that are not written.
        request_bytes: Upper bound of the encoded bytes.
    """

    changes: int = 0
    guards: int = 0
    request_bytes: int = 0

    def plus(self, other: TransactionSize) -> TransactionSize:
        """Returns the size of a transaction that holds both."""
        return TransactionSize(
            self.changes + other.changes, self.guards + other.guards, self.request_bytes + other.request_bytes
        )

    def fits_in(self, limits: TransactionSize) -> bool:
        """Returns whether no part exceeds that of `limits`."""
        return (
            self.changes <= limits.changes
            and self.guards <= limits.guards
            and self.request_bytes <= limits.request_bytes
        )


def transaction_limits(limits: StateLimits) -> TransactionSize:
    """Returns how much a transaction may hold beside its `COMMON_GUARDS`, under the published limits."""
    return TransactionSize(
        limits.transaction_changes,
        limits.transaction_guards - limits.transaction_changes - COMMON_GUARDS,
        MAX_REQUEST_BYTES - BYTES_PER_REQUEST - COMMON_GUARDS * BYTES_PER_GUARD,
    )


def guard_size(guards: int) -> TransactionSize:
    """Returns the size of guards of keys that the transaction does not write."""
    return TransactionSize(0, guards, guards * BYTES_PER_GUARD)


def change_size(record: Record | None) -> TransactionSize:
    """Returns the size of a change to this record, or of a deletion if it is None."""
    value_bytes = len(msgspec.json.encode(record)) if isinstance(record, AllocationRecord) else 0
    return TransactionSize(1, 0, BYTES_PER_CHANGE + value_bytes)


def max_update_size(record: AllocationRecord, max_tasks: int) -> TransactionSize:
    """Returns an upper bound of the size of any update of an allocation, which may assign all of its tasks.

    A record of more than `max_tasks` tasks, written under a higher size limit, is split when it is updated.
    """
    changes = records.count_split_records(record, max_tasks)
    return TransactionSize(changes, 0, changes * BYTES_PER_CHANGE + len(record.tasks) * BYTES_PER_ENTRY)


def max_updatable_tasks(limits: StateLimits) -> int:
    """Returns the number of tasks above which an allocation record can't be updated by one transaction.

    Only a record that was written under higher limits can exceed it. It can still be deleted.
    """
    tasks_per_record = records.tasks_per_record(limits.value_bytes)
    update_bytes = transaction_limits(limits).request_bytes - GUARDS_OF_UPDATE * BYTES_PER_GUARD
    bytes_per_record = BYTES_PER_CHANGE + tasks_per_record * BYTES_PER_ENTRY
    return min(limits.transaction_changes, update_bytes // bytes_per_record) * tasks_per_record


class TransactionStatus(enum.Enum):
    """Outcome of a transaction."""

    COMMITTED = "done"
    CONFLICT = "conflict"  # a guard failed, so this request changed nothing
    NOT_EXECUTED = "refused"  # certainly not executed; may be retried
    UNKNOWN = "unknown"  # may have been executed, or may still be executed
    NO_LEASE = "no lease"  # the lease of a write does not exist any more
    INVALID = "invalid"  # rejected by the service for another reason; logged


@dataclass(slots=True)
class TransactionResult:
    """Result of a transaction.

    `revision` is that of the commit or of the conflict; `failed_keys` are the keys whose guards failed.
    """

    status: TransactionStatus
    revision: int = 0
    failed_keys: list[str] = field(default_factory=list)
