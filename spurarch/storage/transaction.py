"""Transactions on the state service: the changes of a transaction, and its result."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from spurarch.storage.records import Record


@dataclass(slots=True, frozen=True)
class Write:
    """A change of one key: its new record, or None to delete the key."""

    key: str
    record: Record | None
    lease: int | None = None  # the service deletes the key when this lease expires


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
