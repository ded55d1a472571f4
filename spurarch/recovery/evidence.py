"""What is known of a lost history: copies of its records, and reports that workers sent after it was sealed."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from spurarch.protocol import wire
from spurarch.protocol.recovery_messages import StoredRecord
from spurarch.storage import records
from spurarch.storage.history import PACKED, decode_packed
from spurarch.storage.records import FinalRecord, Record
from spurarch.storage.seeds import SEED, SEED_VERSION, decode_seed


class SourceKind(enum.Enum):
    """Where a copy comes from."""

    REPLICA = "replica"  # the memory of a controller that lived on
    ARCHIVE = "archive"
    REMAINS = "remains"  # what the state service still holds
    ANCESTOR = "ancestor"  # the archive of the history before the lost one


@dataclass(frozen=True, slots=True)
class Versioned:
    """A record and the revision of its last change."""

    version: int
    record: Record


@dataclass(slots=True)
class Source:
    """A copy of a history's records.

    It holds everything that was alive at `revision`, and perhaps single records that are newer; final standings are
    complete from `since` on. `unreadable` counts values that make no sense.
    """

    kind: SourceKind
    name: str
    since: int
    revision: int
    alive: dict[str, Versioned] = field(default_factory=dict)
    finals: dict[str, FinalRecord] = field(default_factory=dict)
    unreadable: int = 0

    def take(self, stored: StoredRecord) -> None:
        """Adds a record; one that can't be read is set aside and counted."""
        try:
            if stored.key.startswith(PACKED):
                for job, final in decode_packed(stored.value).jobs.items():
                    self.finals.setdefault(job, FinalRecord(*final))
                return
            if stored.key.startswith(SEED):
                for seed in decode_seed(stored.value).records:
                    self.take(StoredRecord(seed.key, SEED_VERSION, bytes(seed.value)))
                return
            record = records.decode(stored.key, stored.value)
        except msgspec.DecodeError:
            self.unreadable += 1
            return
        if isinstance(record, FinalRecord):
            self.finals[stored.key[len(records.FINAL) :]] = record
        elif record is not None:
            known = self.alive.get(stored.key)
            if known is None or stored.version > known.version:
                self.alive[stored.key] = Versioned(stored.version, record)


@dataclass(slots=True)
class Evidence:
    """All that a rebuilding goes by.

    `reports` holds the newest report of each worker that has shown the token of this rebuilding, so that nothing sent to
    it before can act any more. `complete` says that every controller of the lost history lived on and gave its copy.
    """

    sources: list[Source] = field(default_factory=list)
    heartbeats: dict[str, wire.Heartbeat] = field(default_factory=dict)
    complete: bool = False
    uncertain: bool = False  # jobs without a trace were possible in the lost history already
    archived_answers: bool = False  # users were told only what the archive held

    def add_heartbeat(self, heartbeat: wire.Heartbeat) -> None:
        """Adds a worker's report unless something newer is known of it."""
        known = self.heartbeats.get(heartbeat.machine)
        if known is None or (heartbeat.incarnation, heartbeat.seq) > (known.incarnation, known.seq):
            self.heartbeats[heartbeat.machine] = heartbeat
