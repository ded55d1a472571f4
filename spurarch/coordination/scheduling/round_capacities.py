"""The machines on which one placement round of a partition may place tasks, and the bookings made in the round."""

from __future__ import annotations

from functools import cached_property

from spurarch.coordination.fleet.capacity import LISTED_TASK, MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.machine import Machine
from spurarch.coordination.partition.partition import Partition


class RoundCapacities:
    """Schedulable machines of one partition during one round.

    The `MachineCapacity` objects belong to the fleet view, which other decisions use as well, so the code that runs the
    round has to undo `bookings` at its end.

    Attributes:
        bookings: Bookings that the round has made on the fleet view.
        schedulable: Machines that take new tasks and whose last heartbeat is at most `max_silence_s` ago, without
            machines excluded in this round.
        with_free_capacity: Machines of `schedulable` that can take tasks and are not reserved for gangs; empty until
            `collect_with_free_capacity` is called.
        reserved_for_gangs: Machines that arrays must not use; service replicas that fit nowhere else use them.
    """

    def __init__(self, partition: Partition, view: FleetView, now: float, max_silence_s: float) -> None:
        self.bookings = TentativeBookings()
        self.with_free_capacity: list[MachineCapacity] = []
        self.reserved_for_gangs: list[MachineCapacity] = []
        self._partition, self._machine_names = partition, view.machines
        self.schedulable = self._schedulable_machines(view, now, max_silence_s)
        self._unplaceable: list[Requirements] = []

    def _schedulable_machines(self, view: FleetView, now: float, max_silence_s: float) -> list[MachineCapacity]:
        schedulable = []
        for capacity in view.capacities_by_zone[view.zones.index(self._partition.zone)].values():
            machine = self._partition.machines.get(self._machine_names.name(capacity.machine))
            if machine is None or not machine.is_schedulable(now):
                continue
            if now - (machine.last_heartbeat_at or now) <= max_silence_s:
                schedulable.append(capacity)
        return schedulable

    @cached_property
    def by_name(self) -> dict[str, MachineCapacity]:
        """The schedulable machines by name, as of the first use; `exclude` does not remove machines from it."""
        return {self._machine_names.name(capacity.machine): capacity for capacity in self.schedulable}

    def find(self, machine: int) -> MachineCapacity | None:
        """Returns the schedulable machine with this index, or None."""
        return next((capacity for capacity in self.schedulable if capacity.machine == machine), None)

    def find_fitting(self, name: str, requirements: Requirements) -> MachineCapacity | None:
        """Returns the schedulable machine of this name if the task fits there, else None."""
        for capacity in self.schedulable:
            if self._machine_names.name(capacity.machine) == name and capacity.fits(requirements):
                return capacity
        return None

    def machine_of(self, capacity: MachineCapacity) -> Machine:
        """Returns the partition's state of the machine."""
        return self._partition.machines[self._machine_names.name(capacity.machine)]

    def book_listed_tasks(self) -> None:
        """Books a place for each task that a worker lists without a record, until the worker is told to forget it."""
        for capacity in self.schedulable:
            listed = self.machine_of(capacity).listed_without_record
            if listed:
                self.bookings.book(capacity, LISTED_TASK, listed)

    def collect_with_free_capacity(self) -> None:
        """Sets `with_free_capacity` to all schedulable machines with free capacity."""
        self.with_free_capacity = [capacity for capacity in self.schedulable if capacity.has_free_capacity]

    def drop_full_machines(self) -> None:
        """Removes machines without free capacity from `with_free_capacity`."""
        self.with_free_capacity = [capacity for capacity in self.with_free_capacity if capacity.has_free_capacity]

    def reserve_for_gangs(self, machines: frozenset[int]) -> None:
        """Adds machines to `reserved_for_gangs` and removes them from `with_free_capacity`."""
        self.reserved_for_gangs += [capacity for capacity in self.schedulable if capacity.machine in machines]
        self.with_free_capacity = [capacity for capacity in self.with_free_capacity if capacity.machine not in machines]

    def not_reserved_for_gangs(self) -> list[MachineCapacity]:
        """Returns the schedulable machines that are not reserved for gangs, also those without free capacity."""
        reserved = {capacity.machine for capacity in self.reserved_for_gangs}
        return [capacity for capacity in self.schedulable if capacity.machine not in reserved]

    def exclude(self, excluded: MachineCapacity) -> None:
        """Excludes a machine from placement for the rest of the round."""
        self.schedulable.remove(excluded)
        self.with_free_capacity = [capacity for capacity in self.with_free_capacity if capacity is not excluded]

    def record_unplaceable(self, requirements: Requirements) -> None:
        """Records that a task with these requirements fitted on no machine in this round."""
        self._unplaceable.append(requirements)

    def is_unplaceable(self, requirements: Requirements) -> bool:
        """Returns whether this round has found no machine for a task that requires the same or less."""
        return any(requirements.requires_at_least(other) for other in self._unplaceable)
