"""Plans the admission of service replicas, and of other tasks whose number per zone is limited."""

from __future__ import annotations

from collections.abc import Iterable

from spurarch.coordination.admission.plan import ZoneAssignment
from spurarch.coordination.admission.planning_state import PlanningState
from spurarch.coordination.admission.preemption import PreemptionPlanner
from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import best_fit

SPREAD_ZONES = 2  # zones over which a service's replicas are spread while they have free capacity


class ReplicaPlanner:
    """Spreads the tasks of a job evenly over two zones if possible, and prefers machines that have its image."""

    def __init__(self, state: PlanningState, preemption: PreemptionPlanner) -> None:
        self._state, self._preemption = state, preemption

    def assign(self, job: JobView, only_zone: int | None, count: int) -> ZoneAssignment:
        """Books up to `count` tasks on machines, only in `only_zone` if given; returns the number for each zone."""
        tasks_by_zone = dict(job.tasks_by_zone)
        assignment = ZoneAssignment()
        for _ in range(count):
            capacity = self._choose_machine(job, only_zone, tasks_by_zone, assignment)
            if capacity is None:
                break
            self._state.bookings.book(capacity, job.requirements)
            tasks_by_zone[capacity.zone] = tasks_by_zone.get(capacity.zone, 0) + 1
            assignment.add(capacity.zone, 1)
        return assignment

    def _choose_machine(
        self, job: JobView, only_zone: int | None, tasks_by_zone: dict[int, int], assignment: ZoneAssignment
    ) -> MachineCapacity | None:
        """Returns the machine for the next task, or None if there is none.

        Tries, in this order: machines with free capacity, group by group of `_zones_by_preference`; machines where work
        of lower priority can be preempted; booting machines. If the machine with free capacity lacks the image,
        preemption on a machine of the same group that has the image is preferred.
        """
        state, requirements, max_per_zone = self._state, job.requirements, job.max_tasks_per_zone
        allowed_zones = [
            zone
            for zone in state.view.capacities_by_zone
            if (only_zone is None or zone == only_zone)
            and (max_per_zone is None or tasks_by_zone.get(zone, 0) < max_per_zone)
        ]
        for zones in _zones_by_preference(allowed_zones, tasks_by_zone):
            searched = [zone for zone in zones if not state.no_free_capacity.covers(requirements, zone)]
            capacity = best_fit(
                requirements, (candidate for zone in searched for candidate in state.with_free_capacity[zone])
            )
            if capacity is not None:
                if requirements.image in capacity.images:
                    return capacity
                return self._preemption.machine_with_image(job, zones) or capacity
            for zone in searched:
                state.no_free_capacity.add(requirements, zone)
        return self._preemption.machine_in_zones(job, allowed_zones) or self._choose_booting(
            job, allowed_zones, tasks_by_zone, assignment
        )

    def _choose_booting(
        self, job: JobView, allowed_zones: list[int], tasks_by_zone: dict[int, int], assignment: ZoneAssignment
    ) -> MachineCapacity | None:
        """Returns a booting machine of the first zone, by preference, where one fits; None if there is none.

        Counts the task in `assignment.on_booting_machines`.
        """
        state = self._state
        for zones in _zones_by_preference(allowed_zones, tasks_by_zone):
            for zone in zones:
                if state.no_booting_capacity.covers(job.requirements, zone):
                    continue
                capacity = best_fit(job.requirements, state.booting[zone])
                if capacity is not None:
                    assignment.on_booting_machines += 1
                    return capacity
                state.no_booting_capacity.add(job.requirements, zone)
        return None


def _zones_by_preference(zones: list[int], tasks_by_zone: dict[int, int]) -> Iterable[list[int]]:
    """Yields groups of zones for the next replica, the preferred group first.

    `tasks_by_zone` holds the job's tasks so far. Replicas are spread evenly over two zones: a zone is allowed half of
    the replicas of a service that is spread, so two are enough. Each further zone needs an allocation record of its
    own, which costs two more record changes per service, and the rate of record changes is the scarcest resource of a
    large fleet.
    """
    used = [zone for zone in zones if tasks_by_zone.get(zone, 0) > 0]
    if len(used) >= SPREAD_ZONES:
        for number in sorted({tasks_by_zone[zone] for zone in used}):
            yield [zone for zone in used if tasks_by_zone[zone] == number]
    elif used:
        yield [zone for zone in zones if zone not in used]
        yield used
        return
    unused = [zone for zone in zones if zone not in used]
    if unused:
        yield unused
