"""The archived records of a history."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.archive.format import Entry


@dataclass(slots=True)
class ArchivedState:
    """All records of a history at one revision."""

    history: str
    history_number: int
    revision: int
    records: dict[str, Entry] = field(default_factory=dict)

    def apply(self, entry: Entry) -> None:
        """Applies a change to the records; an end mark raises the revision instead."""
        if entry.is_end_mark:
            self.revision = max(self.revision, entry.revision)
        elif entry.value is None:
            self.records.pop(entry.key, None)
        else:
            self.records[entry.key] = entry
