"""Plans a round of admission: which tasks of which job go to which partition. `AdmissionWriter` commits the plan.

The plan is the coarse tier of the paper that the scheduler is based on, `pMACH: Power and Migration Aware Container
scHeduling` (section IV-A): the leader distributes jobs over the partitions, and each partition owner places its tasks
on machines.

Admission enforces the quotas: a task is charged to its team from its admission until its end, or its return to the
leader, is recorded. Admission also enforces each job's allowed zones and limit of tasks per zone, and assigns a gang to
one zone. Partition owners need no view of the whole fleet for these rules.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import islice

from spurarch.coordination.admission.array_planner import ArrayPlanner
from spurarch.coordination.admission.gang_planner import GangPlanner
from spurarch.coordination.admission.plan import AdmissionGrant, AdmissionPlan, CapacityShortage, ZoneAssignment
from spurarch.coordination.admission.planning_state import PlanningState
from spurarch.coordination.admission.preemption import PreemptionPlanner
from spurarch.coordination.admission.replica_planner import ReplicaPlanner
from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.fleet.quota_ledger import NO_CHARGE, Charge
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, AllocationRecord, TaskEntry


class AdmissionPlanner:
    """Plans one round of admission from the fleet view. `now` is in Unix seconds.

    A zone without free capacity is assigned tasks ahead of time: as many as it is expected to free capacity for within
    `admit_ahead_s`, and as many as fit on booting machines. Its partition owner starts them as soon as capacity is
    free, many with one record change. Otherwise, each task that ends would need an admission of another one, just when
    record changes are scarcest.

    Tasks are not planned if they would have to be moved out of a record with more than `max_updatable_tasks` tasks:
    that plan could not be written, in this round or in any other, and would keep capacity from other jobs.
    """

    def __init__(
        self,
        view: FleetView,
        now: float,
        admit_ahead_s: float = 0.0,
        longest_wait_s: float = float("inf"),
        booting: Iterable[MachineCapacity] = (),
        min_tasks_per_zone: int = 1,
        max_updatable_tasks: float = float("inf"),
    ) -> None:
        self._view, self._max_updatable_tasks = view, max_updatable_tasks
        self._state = PlanningState(view, now, admit_ahead_s, longest_wait_s, booting, min_tasks_per_zone)
        preemption = PreemptionPlanner(self._state)
        self._arrays = ArrayPlanner(self._state, preemption)
        self._replicas = ReplicaPlanner(self._state, preemption)
        self._gangs = GangPlanner(self._state)
        self._planned: dict[int, Charge] = {}  # by team, charges of this plan that are not reserved yet

    def run(self, first_job: str | None, budget_spent: Callable[[], bool], max_grants: int) -> AdmissionPlan:
        """Plans the jobs that have tasks to admit, from `first_job` on, until the time budget is spent.

        The plan has `max_grants` grants at most, as many as can be committed soon; only those of the first granted job
        can exceed that. A job whose grants would exceed it is planned without grants, so that machines are requested
        for all waiting tasks, not only for the tasks that are admitted now.
        """
        plan = AdmissionPlan()
        try:
            self._book_unassigned(plan)
            for job_id in self._job_order(first_job):
                if budget_spent():
                    plan.next_job = job_id
                    break
                self._admit(self._view.jobs[job_id], plan, max_grants)
        finally:
            self._state.bookings.undo()
        return plan

    def _book_unassigned(self, plan: AdmissionPlan) -> None:
        """Books capacity for admitted tasks that wait for a machine, so that it is not assigned a second time.

        Tasks that don't fit on ready machines are recorded as a shortage, except tasks started so often that the fault
        is more likely in the task than in the machines. They are then booked on booting machines; the CPUs of tasks
        that don't fit there either are added to `queued_cpus` of their zone.
        """
        state = self._state
        for allocation, job, unassigned, often_tried in self._view.allocations_with_unassigned_tasks():
            zone = self._view.zones.index(allocation.zone)
            known_not_to_fit = state.no_free_capacity.covers(job.requirements, zone)
            unplaced = unassigned
            if not known_not_to_fit:
                unplaced -= state.book_on_free_machines(job.requirements, zone, unassigned)
            if not unplaced:
                continue
            if job.gang:
                state.zones_with_waiting_gang.add(zone)
            if not known_not_to_fit:
                state.no_free_capacity.add(job.requirements, zone)
            _record_shortage(plan, job, unplaced - often_tried)
            if state.booting[zone] and not state.no_booting_capacity.covers(job.requirements, zone):
                unplaced -= state.book_on_booting_machines(job.requirements, zone, unplaced)
                if unplaced:
                    state.no_booting_capacity.add(job.requirements, zone)
            state.add_queued(job.requirements, zone, unplaced)
        state.drop_full_machines()

    def _job_order(self, first_job: str | None) -> list[str]:
        """Returns the jobs to plan, ordered by rank.

        If `first_job` is among them, the order is rotated to start there, except that jobs of priority 0 stay in front.
        """
        order = sorted(self._jobs_to_admit(), key=self._rank)
        if first_job not in order:
            return order
        position = order.index(first_job)
        skipped = order[:position]
        urgent = [job_id for job_id in skipped if self._view.jobs[job_id].requirements.priority == 0]
        others = [job_id for job_id in skipped if self._view.jobs[job_id].requirements.priority != 0]
        return urgent + order[position:] + others

    def _jobs_to_admit(self) -> list[str]:
        found = []
        for job_id, job in self._view.jobs.items():
            if job.to_admit > 0:
                record = self._view.state.jobs.get(job_id)
                if record is not None and not record.cancelled:
                    found.append(job_id)
        return found

    def _rank(self, job_id: str) -> tuple[int, bool, float, float]:
        job = self._view.jobs[job_id]
        # Runs for every waiting job in every round, so it calls the job directly and not `PlanningState.is_starving`.
        return self._view.ranking.rank(job, job.is_starving(self._state.now, self._state.longest_wait_s))

    def _admit(self, job: JobView, plan: AdmissionPlan, max_grants: int) -> None:
        """Plans one job: assigns its tasks to zones, records its shortage, and adds grants within `max_grants`."""
        admissible = job.to_admit - self._unwritable_tasks(job, plan) if job.returned else job.to_admit
        allowed = min(self._tasks_allowed(job), admissible)
        if allowed <= 0:
            return
        if job.gang and allowed < job.to_admit:
            return  # blocked by the team's quota alone; more machines would not help
        assignment = self._assign(job, allowed)
        placed = assignment.tasks
        _record_shortage(plan, job, assignment.on_booting_machines + allowed - placed)
        self._charge(job, placed)
        if len(plan.grants) + len(assignment.tasks_by_zone) > max_grants and plan.grants:
            return  # granted in a later round; the bookings keep other jobs from using the capacity in this one
        self._grant(job, assignment, plan)

    def _unwritable_tasks(self, job: JobView, plan: AdmissionPlan) -> int:
        """Returns how many returned tasks are in records that can't be updated, and adds these to the plan."""
        tasks = 0
        for allocation, record in self._view.state.allocations.get(job.job_id, {}).items():
            if self._is_unwritable(record) and (returned := _count_returned(record)):
                plan.unwritable.append(allocation)
                tasks += returned
        return tasks

    def _is_unwritable(self, record: AllocationRecord) -> bool:
        return len(record.tasks) > self._max_updatable_tasks

    def _assign(self, job: JobView, allowed: int) -> ZoneAssignment:
        if job.gang:
            return self._gangs.assign(job)
        only_zone = None
        if job.one_zone:
            only_zone = self._zone_for_single_zone_job(job)
            if only_zone is None:
                return ZoneAssignment()
        if job.max_tasks_per_zone is not None or job.service:
            return self._replicas.assign(job, only_zone, allowed)
        return self._arrays.assign(job, only_zone, allowed)

    def _zone_for_single_zone_job(self, job: JobView) -> int | None:
        """Returns the zone that already has tasks of the job, or else the one with the most free task slots for it.

        Without free slots, returns the zone that is expected to free the most CPUs beyond the CPUs of its queued tasks;
        None if no zone has a machine that would fit a task when empty.
        """
        used_zones = [zone for zone, count in job.tasks_by_zone.items() if count > 0]
        if used_zones:
            return used_zones[0]
        state = self._state
        slots_by_zone: dict[int, int] = defaultdict(int)
        for zone, capacities in state.with_free_capacity.items():
            for capacity in capacities:
                if capacity.fits(job.requirements):
                    slots_by_zone[zone] += capacity.task_slots(job.requirements, job.tasks)
        if not slots_by_zone:
            return max(state.zones_for(job.requirements), key=state.spare_freed_cpus, default=None)
        return max(slots_by_zone, key=lambda zone: slots_by_zone[zone], default=None)

    def _tasks_allowed(self, job: JobView) -> int:
        """Returns how many more tasks of the job the team's quota allows."""
        ledger, planned = self._view.ledger, self._planned.get(job.team, NO_CHARGE)
        reserved = ledger.reserved_for(job.job_id)
        if reserved is not NO_CHARGE:
            planned = planned - reserved  # this plan replaces the job's pending admission, which must not count twice
        return ledger.tasks_allowed(job.team, job.charge_per_task, job.tasks, planned)

    def _charge(self, job: JobView, tasks: int) -> None:
        """Adds the tasks to the charge planned for the team, except for what is already reserved for the job."""
        charge = job.charge_per_task.times(tasks).excess_over(self._view.ledger.reserved_for(job.job_id))
        self._planned[job.team] = self._planned.get(job.team, NO_CHARGE) + charge

    def _grant(self, job: JobView, assignment: ZoneAssignment, plan: AdmissionPlan) -> None:
        pending = iter(self._pending_tasks(job))
        for zone, count in assignment.tasks_by_zone.items():
            grant = AdmissionGrant(job.job_id, zone)
            for entry, source in islice(pending, count):
                grant.entries.append(entry)
                if source is not None:
                    grant.moved_from.setdefault(source, set()).add(entry.index)
            plan.grants.append(grant)

    def _pending_tasks(self, job: JobView) -> Iterable[tuple[TaskEntry, AllocationKey | None]]:
        """Yields the tasks to admit: those returned by partitions, each with its allocation, then new ones by index."""
        if job.returned:
            for allocation, record in self._view.state.allocations.get(job.job_id, {}).items():
                if self._is_unwritable(record):
                    continue
                for entry in record.tasks:
                    if entry.state == records.RETURNED:
                        yield TaskEntry(entry.index, records.UNASSIGNED, entry.attempt), allocation
        for index in range(job.admitted, job.tasks):
            yield TaskEntry(index), None


def _count_returned(record: AllocationRecord) -> int:
    return sum(entry.state == records.RETURNED for entry in record.tasks)


def _record_shortage(plan: AdmissionPlan, job: JobView, count: int) -> None:
    if count > 0:
        plan.shortages.append(
            CapacityShortage(job.requirements, count, job.deadline, job.service, job.job_id, job.estimate_s, job.gang)
        )
