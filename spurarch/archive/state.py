"""The records of a history as the archive has them."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.archive.format import Entry


@dataclass(slots=True)
class ArchivedState:
    """All records of a history at one revision."""

    history: str
    number: int
    revision: int
    records: dict[str, Entry] = field(default_factory=dict)

    def apply(self, entry: Entry) -> None:
        """Applies a change, or a mark, which raises the revision."""
        if entry.is_mark:
            self.revision = max(self.revision, entry.revision)
        elif entry.value is None:
            self.records.pop(entry.key, None)
        else:
            self.records[entry.key] = entry
