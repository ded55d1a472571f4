"""Transactions on the state service: the changes that make one up, and how one ends."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from spurarch.storage.records import Record


@dataclass(slots=True, frozen=True)
class Write:
    """A change to one key: a new record, or None to delete the key."""

    key: str
    record: Record | None
    lease: int | None = None  # the service deletes the key when this lease ends


class TransactionStatus(enum.Enum):
    """How a transaction ended."""

    COMMITTED = "done"
    CONFLICT = "conflict"  # a condition did not hold, nothing was changed
    NOT_EXECUTED = "refused"  # certainly not executed
    UNKNOWN = "unknown"  # may have been executed, or may be later
    NO_LEASE = "no lease"
    INVALID = "invalid"


@dataclass(slots=True)
class TransactionResult:
    """Result of a transaction: of a committed one, its revision; of a conflict, the keys whose condition failed."""

    status: TransactionStatus
    revision: int = 0
    failed_keys: list[str] = field(default_factory=list)
