"""The tasks of one allocation, counted as its record shows them."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.coordination.fleet.interner import StringInterner
from spurarch.storage import records
from spurarch.storage.records import AllocationRecord

OFTEN_TRIED_ATTEMPTS = 2  # starts after which it is more likely the task than the machines


@dataclass(slots=True)
class AllocationTotals:
    """Tasks of one allocation, counted by state and by machine."""

    zone: int
    tasks_by_machine: dict[int, int] = field(default_factory=dict)  # indices of machines
    assigned: int = 0
    unassigned: int = 0
    often_tried: int = 0  # unassigned ones with OFTEN_TRIED_ATTEMPTS or more
    ended: int = 0
    returned: int = 0

    @property
    def charged(self) -> int:
        """Number of tasks that their team is charged with."""
        return self.assigned + self.unassigned

    @classmethod
    def of(cls, record: AllocationRecord, zone: int, machines: StringInterner) -> AllocationTotals:
        """Counts the tasks of a record."""
        totals = cls(zone)
        for entry in record.tasks:
            if entry.state == records.ASSIGNED:
                machine = machines.index(entry.machine)
                totals.tasks_by_machine[machine] = totals.tasks_by_machine.get(machine, 0) + 1
                totals.assigned += 1
            elif entry.state == records.FREE:
                totals.unassigned += 1
                totals.often_tried += entry.attempt >= OFTEN_TRIED_ATTEMPTS
            elif entry.state == records.ENDED:
                totals.ended += 1
            else:
                totals.returned += 1
        return totals
