"""Plans the admission of arrays: groups of independent tasks, also ahead of time or within the guaranteed quota."""

from __future__ import annotations

from collections import defaultdict

from spurarch.coordination.admission.plan import ZoneAssignment
from spurarch.coordination.admission.planning_state import PlanningState, in_zone_or_all
from spurarch.coordination.admission.preemption import PreemptionPlanner
from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import book_by_best_fit

MAX_PREEMPTING_TASKS = 50  # tasks of one job that may preempt other work in one round


class ArrayPlanner:
    """Assigns tasks that need not be spread over zones."""

    def __init__(self, state: PlanningState, preemption: PreemptionPlanner) -> None:
        self._state, self._preemption = state, preemption
        # The result of `borrowed_cpus_by_zone`, less the CPUs of queued tasks and of tasks that this round assigned to
        # borrowed CPUs; None until first used.
        self._borrowed_cpus_by_zone: dict[int, float] | None = None

    def assign(self, job: JobView, only_zone: int | None, count: int) -> ZoneAssignment:
        """Assigns up to `count` tasks, only to `only_zone` if it is given.

        Free capacity is used first, then capacity that running tasks are expected to free soon, booting machines, CPUs
        that other teams use beyond their guarantee, and last the capacity of lower-priority work. The last two are not
        used with `only_zone`, and work is preempted by priority only if no task could be assigned otherwise.
        """
        assignment = ZoneAssignment()
        count -= self._assign_to_free_capacity(job, only_zone, count, assignment)
        if count:
            count -= self._assign_ahead_of_time(job, only_zone, count, assignment)
        if count:
            count -= self._assign_to_booting_machines(job, only_zone, count, assignment)
        if count and only_zone is None and job.requirements.cpus > 0:
            count -= self._assign_reclaimed_cpus(job, count, assignment)
        if count and not assignment.tasks_by_zone and only_zone is None:
            self._assign_by_preemption(job, count, assignment)
        return assignment

    def _assign_to_free_capacity(
        self, job: JobView, only_zone: int | None, count: int, assignment: ZoneAssignment
    ) -> int:
        """Assigns tasks to free capacity by best fit; returns how many were assigned."""
        state = self._state
        if state.no_free_capacity.covers(job.requirements, only_zone):
            return 0
        booked = book_by_best_fit(
            job.requirements, in_zone_or_all(state.with_free_capacity, only_zone), count, state.bookings
        )
        for capacity, number in booked:
            assignment.add(capacity.zone, number)
        self._cancel_small_assignments(job, booked, assignment, count)
        assigned = assignment.tasks
        if assigned < count:
            state.no_free_capacity.add(job.requirements, only_zone)
            state.drop_full_machines()
        return assigned

    def _cancel_small_assignments(
        self, job: JobView, booked: list[tuple[MachineCapacity, int]], assignment: ZoneAssignment, count: int
    ) -> None:
        """Cancels assignments to zones that have capacity for only a few of the tasks.

        Every zone with tasks of a job costs record changes of its own: at admission, at starts and at ends. A later
        round uses such zones once they have more capacity. The last tasks of a job are assigned however few they are.
        """
        min_tasks = min(self._state.min_tasks_per_zone, count)
        small = {zone for zone, number in assignment.tasks_by_zone.items() if number < min_tasks}
        for capacity, number in booked:
            if capacity.zone in small:
                self._state.bookings.book(capacity, job.requirements, -number)
        for zone in small:
            del assignment.tasks_by_zone[zone]

    def _assign_ahead_of_time(self, job: JobView, only_zone: int | None, count: int, assignment: ZoneAssignment) -> int:
        """Assigns tasks to zones that are expected to free capacity soon; returns how many were assigned.

        Zones with more CPUs on machines that have the image come first, then zones that free more CPUs beyond the CPUs
        of their queued tasks. If no zone frees enough, one task of a starving job that has none admitted is assigned.
        """
        state, cpus = self._state, job.requirements.cpus
        if cpus <= 0:
            return 0
        starving = state.is_starving(job) and not job.charged
        eligible_zones = state.zones_for(job.requirements) if state.freed_cpus or starving else set()
        spare_cpus = {
            zone: state.spare_freed_cpus(zone) for zone in eligible_zones if only_zone is None or zone == only_zone
        }
        cpus_with_image = state.cpus_with_image(job.requirements.image)
        assigned = 0
        for zone in sorted(spare_cpus, key=lambda zone: (-cpus_with_image.get(zone, 0.0), -spare_cpus[zone])):
            number = min(count - assigned, state.slots_ahead(zone, spare_cpus[zone], cpus))
            if number >= min(count - assigned, state.min_tasks_per_zone) > 0:
                assignment.add(zone, number)
                assigned += number
                state.add_queued(job.requirements, zone, number)
        if spare_cpus and not assigned and starving:
            # No zone frees enough capacity for a task of this size; the partition owner reserves a machine for it.
            assignment.add(max(spare_cpus, key=lambda zone: spare_cpus[zone]), 1)
            assigned = 1
        return assigned

    def _assign_to_booting_machines(
        self, job: JobView, only_zone: int | None, count: int, assignment: ZoneAssignment
    ) -> int:
        """Assigns tasks to booting machines by best fit; returns how many were assigned."""
        state = self._state
        if state.no_booting_capacity.covers(job.requirements, only_zone):
            return 0
        booked = book_by_best_fit(job.requirements, in_zone_or_all(state.booting, only_zone), count, state.bookings)
        assigned = 0
        for capacity, number in booked:
            assignment.add(capacity.zone, number)
            assigned += number
        assignment.on_booting_machines += assigned
        if assigned < count:
            state.no_booting_capacity.add(job.requirements, only_zone)
        return assigned

    def _assign_reclaimed_cpus(self, job: JobView, count: int, assignment: ZoneAssignment) -> int:
        """Assigns CPUs that teams use beyond their guaranteed quota to a job within its own team's guarantee.

        The partition owner preempts the work on these CPUs. Returns how many tasks were assigned; 0 if the job is not
        within its team's guarantee.
        """
        state, cpus = self._state, job.requirements.cpus
        if job.job_id not in state.view.jobs_within_guarantee():
            return 0
        if self._borrowed_cpus_by_zone is None:
            self._borrowed_cpus_by_zone = borrowed_cpus_by_zone(state.view)
            for zone, queued in state.queued_cpus.items():
                self._borrowed_cpus_by_zone[zone] = self._borrowed_cpus_by_zone.get(zone, 0.0) - queued
        borrowed = self._borrowed_cpus_by_zone
        assigned = 0
        for zone in sorted(state.zones_for(job.requirements), key=lambda zone: -borrowed.get(zone, 0.0)):
            number = min(count - assigned, int(borrowed.get(zone, 0.0) / cpus))
            if number > 0:
                assignment.add(zone, number)
                assigned += number
                borrowed[zone] -= number * cpus
        return assigned

    def _assign_by_preemption(self, job: JobView, count: int, assignment: ZoneAssignment) -> None:
        """Assigns tasks to machines where the partition owner has to preempt lower-priority work for them."""
        state = self._state
        for _ in range(min(count, MAX_PREEMPTING_TASKS)):
            capacity = self._preemption.machine_in_zones(job, list(state.view.capacities_by_zone))
            if capacity is None:
                break
            state.bookings.book(capacity, job.requirements)
            assignment.add(capacity.zone, 1)


def borrowed_cpus_by_zone(view: FleetView) -> dict[int, float]:
    """Returns an estimate, by zone, of the CPUs that teams use beyond their guaranteed quota.

    Jobs within the guarantee of their team may reclaim these CPUs. The CPUs that a team borrows are distributed over
    the zones in proportion to the CPUs of its assigned tasks. The estimate includes CPUs of services, of gangs and of
    the reclaiming team, whose tasks the partition owner does not preempt.
    """
    borrowed: dict[int, float] = defaultdict(float)
    for team, cpus_by_zone in view.running_cpus.items():
        team_borrowed = view.borrowed_cpus(team)
        total = sum(cpus_by_zone.values())
        if team_borrowed > 0 and total > 0:
            for zone, cpus in cpus_by_zone.items():
                borrowed[zone] += cpus * min(1.0, team_borrowed / total)
    return borrowed
