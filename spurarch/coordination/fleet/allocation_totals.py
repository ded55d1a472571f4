"""Task counts of one allocation, computed from its record."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.coordination.fleet.interner import StringInterner
from spurarch.storage import records
from spurarch.storage.records import AllocationRecord

REPEATED_ATTEMPTS = 2  # from this many starts on, a fault of the task is likelier than a fault of the machines


@dataclass(slots=True)
class AllocationTotals:
    """Numbers of tasks of one allocation, by state and by machine."""

    zone: int
    tasks_by_machine: dict[int, int] = field(default_factory=dict)  # assigned tasks, by machine index
    assigned: int = 0
    unassigned: int = 0
    repeatedly_attempted: int = 0  # unassigned tasks with REPEATED_ATTEMPTS or more starts
    ended: int = 0
    returned: int = 0

    @property
    def charged(self) -> int:
        """Number of tasks that are charged to the team's quota."""
        return self.assigned + self.unassigned

    @classmethod
    def of(cls, record: AllocationRecord, zone: int, machines: StringInterner) -> AllocationTotals:
        """Counts the tasks of an allocation record; `machines` maps machine names to indices."""
        totals = cls(zone)
        for entry in record.tasks:
            if entry.state == records.ASSIGNED:
                machine = machines.index(entry.machine)
                totals.tasks_by_machine[machine] = totals.tasks_by_machine.get(machine, 0) + 1
                totals.assigned += 1
            elif entry.state == records.UNASSIGNED:
                totals.unassigned += 1
                totals.repeatedly_attempted += entry.attempt >= REPEATED_ATTEMPTS
            elif entry.state == records.ENDED:
                totals.ended += 1
            else:
                totals.returned += 1
        return totals
