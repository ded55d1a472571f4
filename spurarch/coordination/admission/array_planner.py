"""Admission of arrays: independent tasks are placed as a group, ahead of time, or by their team's guaranteed quota."""

from __future__ import annotations

from collections import defaultdict

from spurarch.coordination.admission.plan import ZoneAssignment
from spurarch.coordination.admission.planning_state import PlanningState, in_zone_or_all
from spurarch.coordination.admission.preemption import PreemptionPlanner
from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import fill

MAX_PREEMPTING_TASKS = 50  # tasks of a job for which other work is stopped, in one round


class ArrayPlanner:
    """Assigns tasks that need not be spread over zones."""

    def __init__(self, state: PlanningState, preemption: PreemptionPlanner) -> None:
        self._state, self._preemption = state, preemption
        self._borrowed_cpus: dict[int, float] | None = None  # by zone; summed up when first asked for

    def assign(self, job: JobView, only_zone: int | None, count: int) -> ZoneAssignment:
        """Assigns up to `count` tasks, to one zone only if `only_zone` is given.

        Free room comes first, then room that running arrays free soon, machines that boot, CPUs that other teams
        borrow, and last the room of work of lower priority.
        """
        assignment = ZoneAssignment()
        count -= self._assign_free_room(job, only_zone, count, assignment)
        if count:
            count -= self._assign_ahead(job, only_zone, count, assignment)
        if count:
            count -= self._assign_booting(job, only_zone, count, assignment)
        if count and only_zone is None and job.requirements.cpus > 0:
            count -= self._assign_guaranteed(job, count, assignment)
        if count and not assignment.tasks_by_zone and only_zone is None:
            self._assign_by_preemption(job, count, assignment)
        return assignment

    def _assign_free_room(self, job: JobView, only_zone: int | None, count: int, assignment: ZoneAssignment) -> int:
        """Best fit on machines with free room; returns how many tasks were assigned."""
        state = self._state
        if state.no_free_room.covers(job.requirements, only_zone):
            return 0
        booked = fill(job.requirements, in_zone_or_all(state.with_room, only_zone), count, state.bookings)
        for capacity, number in booked:
            assignment.add(capacity.zone, number)
        self._drop_small_shares(job, booked, assignment, count)
        assigned = assignment.tasks
        if assigned < count:
            state.no_free_room.add(job.requirements, only_zone)
            state.drop_full_machines()
        return assigned

    def _drop_small_shares(
        self, job: JobView, booked: list[tuple[MachineCapacity, int]], assignment: ZoneAssignment, count: int
    ) -> None:
        """Leaves a zone with room for a few tasks alone until it has room for more.

        Every zone that gets tasks of a job costs record changes of its own: at admission, at starts and at ends. The
        last tasks of a job are assigned however few they are.
        """
        fewest = min(self._state.min_tasks_per_zone, count)
        small = {zone for zone, number in assignment.tasks_by_zone.items() if number < fewest}
        for capacity, number in booked:
            if capacity.zone in small:
                self._state.bookings.book(capacity, job.requirements, -number)
        for zone in small:
            del assignment.tasks_by_zone[zone]

    def _assign_ahead(self, job: JobView, only_zone: int | None, count: int, assignment: ZoneAssignment) -> int:
        """Gives tasks to zones that free room for them soon; returns how many.

        Zones with more CPUs that have the image come first, then those with the most room beyond their queue.
        """
        state, cpus = self._state, job.requirements.cpus
        if cpus <= 0:
            return 0
        starving = state.is_starving(job) and not job.charged
        able = state.zones_for(job.requirements) if state.freed_cpus or starving else set()
        room = {zone: state.spare_freed_cpus(zone) for zone in able if only_zone is None or zone == only_zone}
        cpus_with_image = state.cpus_with_image(job.requirements.image)
        assigned = 0
        for zone in sorted(room, key=lambda zone: (-cpus_with_image.get(zone, 0.0), -room[zone])):
            number = min(count - assigned, int(room[zone] / cpus))
            if number >= min(count - assigned, state.min_tasks_per_zone) > 0:
                assignment.add(zone, number)
                assigned += number
                state.queued_cpus[zone] += number * cpus
        if room and not assigned and starving:
            # No zone frees enough room for so large a task by itself: its partition owner reserves a machine for it.
            assignment.add(max(room, key=lambda zone: room[zone]), 1)
            assigned = 1
        return assigned

    def _assign_booting(self, job: JobView, only_zone: int | None, count: int, assignment: ZoneAssignment) -> int:
        """Books tasks on machines that boot; returns how many."""
        state = self._state
        if state.no_booting_room.covers(job.requirements, only_zone):
            return 0
        booked = fill(job.requirements, in_zone_or_all(state.booting, only_zone), count, state.bookings)
        assigned = 0
        for capacity, number in booked:
            assignment.add(capacity.zone, number)
            assigned += number
        assignment.on_booting_machines += assigned
        if assigned < count:
            state.no_booting_room.add(job.requirements, only_zone)
        return assigned

    def _assign_guaranteed(self, job: JobView, count: int, assignment: ZoneAssignment) -> int:
        """Gives a job within its team's guaranteed quota the CPUs that other teams run beyond theirs.

        The partition owner stops that work. Returns how many tasks were assigned.
        """
        state, cpus = self._state, job.requirements.cpus
        if job.job_id not in state.view.jobs_within_guarantee():
            return 0
        if self._borrowed_cpus is None:
            self._borrowed_cpus = borrowed_cpus(state.view)
            for zone, queued in state.queued_cpus.items():
                self._borrowed_cpus[zone] = self._borrowed_cpus.get(zone, 0.0) - queued
        borrowed = self._borrowed_cpus
        assigned = 0
        for zone in sorted(state.zones_for(job.requirements), key=lambda zone: -borrowed.get(zone, 0.0)):
            number = min(count - assigned, int(borrowed.get(zone, 0.0) / cpus))
            if number > 0:
                assignment.add(zone, number)
                assigned += number
                borrowed[zone] -= number * cpus
        return assigned

    def _assign_by_preemption(self, job: JobView, count: int, assignment: ZoneAssignment) -> None:
        """Gives tasks to machines whose owner stops work of lower priority for them."""
        state = self._state
        for _ in range(min(count, MAX_PREEMPTING_TASKS)):
            capacity = self._preemption.machine_in_zones(job, list(state.view.capacities_by_zone))
            if capacity is None:
                break
            state.bookings.book(capacity, job.requirements)
            assignment.add(capacity.zone, 1)


def borrowed_cpus(view: FleetView) -> dict[int, float]:
    """By zone, CPUs that teams use beyond their guaranteed quota and that teams within theirs may take back."""
    borrowed: dict[int, float] = defaultdict(float)
    for team, cpus_by_zone in view.running_cpus.items():
        beyond = view.borrowed_cpus(team)
        total = sum(cpus_by_zone.values())
        if beyond > 0 and total > 0:
            for zone, cpus in cpus_by_zone.items():
                borrowed[zone] += cpus * min(1.0, beyond / total)
    return borrowed
