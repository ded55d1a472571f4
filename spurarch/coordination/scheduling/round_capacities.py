"""The machines of a partition as one placement round sees them, with the bookings that the round has made so far."""

from __future__ import annotations

from functools import cached_property

from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.machine import Machine
from spurarch.coordination.partition.partition import Partition


class RoundCapacities:
    """Schedulable machines of one partition during one round.

    The tables are shared with all other decisions: whoever runs the round undoes `bookings` at its end.
    """

    def __init__(self, partition: Partition, view: FleetView, now: float, max_silence_s: float) -> None:
        self.bookings = TentativeBookings()
        self.with_room: list[MachineCapacity] = []  # for arrays: machines with free CPUs that are not kept for gangs
        self.kept_for_gangs: list[MachineCapacity] = []
        self._partition, self._machine_names = partition, view.machines
        self.schedulable = self._schedulable_machines(view, now, max_silence_s)
        self._without_room_for: list[Requirements] = []

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
        """The schedulable machines by name."""
        return {self._machine_names.name(capacity.machine): capacity for capacity in self.schedulable}

    def find(self, machine: int) -> MachineCapacity | None:
        """The schedulable machine with this index."""
        return next((capacity for capacity in self.schedulable if capacity.machine == machine), None)

    def find_with_room(self, name: str, requirements: Requirements) -> MachineCapacity | None:
        """The schedulable machine of this name, if the task fits there."""
        for capacity in self.schedulable:
            if self._machine_names.name(capacity.machine) == name and capacity.fits(requirements):
                return capacity
        return None

    def machine_of(self, capacity: MachineCapacity) -> Machine:
        """The machine, as its partition knows it."""
        return self._partition.machines[self._machine_names.name(capacity.machine)]

    def collect_with_room(self) -> None:
        """Fills the list of machines with free CPUs from all schedulable ones."""
        self.with_room = [capacity for capacity in self.schedulable if capacity.free_cpus > EPSILON]

    def drop_full_machines(self) -> None:
        """Takes machines without free CPUs off the list of those with room."""
        self.with_room = [capacity for capacity in self.with_room if capacity.free_cpus > EPSILON]

    def keep_for_gangs(self, machines: frozenset[int]) -> None:
        """Keeps machines from arrays."""
        self.kept_for_gangs += [capacity for capacity in self.schedulable if capacity.machine in machines]
        self.with_room = [capacity for capacity in self.with_room if capacity.machine not in machines]

    def not_kept_for_gangs(self) -> list[MachineCapacity]:
        """Schedulable machines that are not kept for a gang, with room or without."""
        kept = {capacity.machine for capacity in self.kept_for_gangs}
        return [capacity for capacity in self.schedulable if capacity.machine not in kept]

    def close(self, closed: MachineCapacity) -> None:
        """Places nothing more on a machine in this round."""
        self.schedulable.remove(closed)
        self.with_room = [capacity for capacity in self.with_room if capacity is not closed]

    def record_no_room(self, requirements: Requirements) -> None:
        """Remembers that a task with these requirements found no room."""
        self._without_room_for.append(requirements)

    def has_no_room_for(self, requirements: Requirements) -> bool:
        """A task that requires no more than this one found no room in this round."""
        return any(requirements.requires_at_least(other) for other in self._without_room_for)
