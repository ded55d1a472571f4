"""In-memory view of the whole fleet: capacity of machines, charges of teams, and unassigned tasks of partitions.

Each update applies only the records that changed. The leader uses the view for admission, final states of jobs and
scale out; partition owners use it for placement, preemption and the release of idle machines. Zones, machine types,
teams, images and machines are identified by dense integer indices, which `StringInterner` assigns to their names.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from spurarch.coordination.fleet.allocation_totals import AllocationTotals
from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.fleet.guaranteed_jobs import GuaranteedJobs
from spurarch.coordination.fleet.interner import StringInterner
from spurarch.coordination.fleet.job_ranking import JobRanking
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.fleet.quota_ledger import Charge, QuotaLedger
from spurarch.protocol import wire
from spurarch.settings import Objective, Team
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey

MAX_CACHED_IMAGES = 32  # per machine, those of the tasks assigned last
WAIT_OBJECTIVE = "wait"  # kind of the objectives that limit the time from submission to start, by job class
DEFAULT_GANG_START_S = 30.0  # time to start for gangs of a class without such an objective


class FleetView:
    """Tables of machines and teams by dense index, and of jobs by id, built from a `ClusterState`."""

    def __init__(
        self, state: ClusterState, teams: Iterable[Team], size_weight: float = 0.0, objectives: Iterable[Objective] = ()
    ) -> None:
        self.state = state
        self.zones, self.types, self.teams = StringInterner(), StringInterner(), StringInterner()
        self.images, self.machines = StringInterner(), StringInterner()
        self.capacities: dict[int, MachineCapacity] = {}
        self.capacities_by_zone: dict[int, dict[int, MachineCapacity]] = defaultdict(dict)
        self.jobs: dict[str, JobView] = {}
        self.running_cpus: dict[int, dict[int, float]] = defaultdict(lambda: defaultdict(float))  # by team and zone
        self.quotas: dict[int, Team] = {}
        self.ledger = QuotaLedger(self.quotas)
        self.machine_types: dict[str, wire.MachineType] = {}
        self._booked_totals: dict[AllocationKey, AllocationTotals] = {}
        self._allocations_without_job: dict[str, set[AllocationKey]] = {}  # by job id, for jobs without a record
        self._unassigned: dict[AllocationKey, AllocationTotals] = {}
        self._assigned: dict[int, dict[AllocationKey, int]] = defaultdict(dict)  # number of tasks by machine and key
        self._cached_images: dict[int, dict[int, None]] = defaultdict(dict)  # by machine, the latest used last
        self._guaranteed = GuaranteedJobs(self.jobs, self.quotas)
        self.ranking = JobRanking(self.jobs, self._guaranteed, size_weight)
        self._changed_keys = state.subscribe()
        self._was_consistent = state.consistent
        self._start_limits_s = {o.job_class: o.within_s for o in objectives if o.kind == WAIT_OBJECTIVE}
        for team in teams:
            self.quotas[self.teams.index(team.name)] = team

    def set_machine_types(self, offers: list[wire.MachineType]) -> None:
        """Sets the machine types that the cloud offers.

        The next update adds the recorded machines of types that were not listed before. The capacity of machines that
        are in the view stays as it is.
        """
        has_new_types = any(offer.name not in self.machine_types for offer in offers)
        self.machine_types = {offer.name: offer for offer in offers}
        if has_new_types:
            self._changed_keys.update((key, None) for key in self.state.entries if key.startswith(records.MACHINE))

    def update(self) -> None:
        """Applies the records changed since the last update, and checks the teams' totals against their quotas."""
        if not self._changed_keys:
            return
        was_consistent = self._was_consistent
        self._was_consistent = self.state.consistent
        keys = list(self._changed_keys)
        self._changed_keys.clear()
        self.ranking.invalidate()
        changed_jobs: dict[str, None] = {}
        changed_allocations: dict[AllocationKey, None] = {}
        for key in keys:
            if key.startswith(records.JOB):
                job_id = key[len(records.JOB) :]
                changed_jobs[job_id] = None
                self._apply_job(job_id)
                changed_allocations |= dict.fromkeys(self._allocations_without_job.pop(job_id, ()))
            elif key.startswith(records.MACHINE):
                self._apply_machine(*records.parse_machine_key(key))
            elif key.startswith(records.ALLOCATION):
                allocation = AllocationKey.parse(key)
                changed_allocations[allocation] = changed_jobs[allocation.job] = None
            elif key.startswith(records.ADMISSION):
                changed_jobs[key[len(records.ADMISSION) :]] = None
        for allocation in changed_allocations:
            self._apply_allocation(allocation)
        for job_id in changed_jobs:
            self._update_demand(job_id)
        self.ledger.check_quotas(was_consistent and self._was_consistent)
        self._update_unreadable_teams()

    def _update_unreadable_teams(self) -> None:
        """Blocks admission for teams with a job any of whose records can't be decoded: their charges are unknown."""
        if not self.state.undecodable_keys and not self.ledger.teams_with_unreadable_jobs:
            return
        unreadable_teams: set[int] = set()
        for key, team in self.state.undecodable_keys.items():
            job_id = records.job_of(key)
            job = self.jobs.get(job_id) if job_id is not None else None
            if job is not None:
                unreadable_teams.add(job.team)
            elif team is not None:
                unreadable_teams.add(self.teams.index(team))
        self.ledger.teams_with_unreadable_jobs = unreadable_teams

    def rebook_job(self, job_id: str) -> None:
        """Recomputes a job's bookings and counts from its records."""
        self._apply_job(job_id)
        booked = [allocation for allocation in self._booked_totals if allocation.job == job_id]
        for allocation in [*self.state.allocations.get(job_id, ()), *booked]:
            self._apply_allocation(allocation)
        self._update_demand(job_id)

    def _update_demand(self, job_id: str) -> None:
        """Updates a job's numbers of admitted and unfinished tasks; removes a job without record and allocations."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        record = self.state.jobs.get(job_id)
        admission = self.state.admissions.get(job_id)
        # A job without an admission record has all of its tasks admitted, by one transaction, or none.
        job.admitted = admission.next if admission else job.tasks if job_id in self.state.allocations else 0
        active = record is not None and not record.cancelled
        self._guaranteed.set_unfinished_tasks(job_id, job.tasks - job.ended if active else 0)
        if record is None and job_id not in self.state.allocations:
            del self.jobs[job_id]
            self._guaranteed.remove(job_id)

    def unreachable_zones(self) -> set[str]:
        """Zones that their partition owner reports as unreachable; no tasks can be placed there."""
        members = self.state.members
        owners = {zone: members.get(partition.node) for zone, partition in self.state.partitions.items()}
        return {zone for zone, member in owners.items() if member is not None and zone in member.unreachable_zones}

    def jobs_within_guarantee(self) -> set[str]:
        """Ids of the jobs within their team's guarantee, by `GuaranteedJobs`; they rank first in their priority."""
        return self._guaranteed.job_ids()

    def borrowed_cpus(self, team: int) -> float:
        """CPUs of a team's assigned tasks, services included, beyond its guarantee; negative if it uses less."""
        quota = self.quotas.get(team)
        return sum(self.running_cpus[team].values()) - (quota.guaranteed_cpus if quota is not None else 0.0)

    def _apply_job(self, job_id: str) -> None:
        record = self.state.jobs.get(job_id)
        if record is not None and job_id not in self.jobs:
            self.jobs[job_id] = self._job_view(job_id, record)

    def _job_view(self, job_id: str, record: records.JobRecord) -> JobView:
        """Builds the view of a job from its record."""
        spec = record.spec
        gang = spec.kind == wire.GANG
        requirements = Requirements(
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            frozenset(map(self.types.index, spec.types)) if spec.types is not None else None,
            spec.spot,
            self.images.index(spec.image),
            wire.PRIORITIES[spec.priority],
            frozenset([self.zones.index(spec.zone)]) if spec.zone is not None else None,
        )
        return JobView(
            job_id,
            requirements,
            Charge.of(spec.cpus, spec.gpus),
            self.teams.index(spec.team),
            spec.kind == wire.SERVICE,
            gang,
            spec.tasks,
            (spec.tasks + 1) // 2 if spec.spread else None,
            spec.one_zone or gang,
            record.submitted_at + spec.deadline_s if spec.deadline_s is not None else None,
            record.submitted_at,
            spec.estimate_s,
            spec.image_gb,
            record.submitted_at + self._start_limits_s.get(spec.job_class, DEFAULT_GANG_START_S) if gang else None,
        )

    def _apply_machine(self, zone: str, name: str) -> None:
        machine = self.machines.index(name)
        record = self.state.machines[zone].get(name)
        offer = self.machine_types.get(record.type) if record else None
        zone_index = self.zones.index(zone)
        if record is None or offer is None:
            self.capacities.pop(machine, None)
            self.capacities_by_zone[zone_index].pop(machine, None)
            if record is None:
                self._cached_images.pop(machine, None)
            return
        capacity = self.capacities.get(machine)
        if capacity is None:
            capacity = MachineCapacity(
                machine,
                zone_index,
                self.types.index(record.type),
                record.spot,
                offer.cpus,
                offer.gpus,
                offer.memory_gb,
                offer.cpus,
                offer.gpus,
                offer.memory_gb,
                set(self._cached_images[machine]),
            )
            self.capacities[machine] = self.capacities_by_zone[zone_index][machine] = capacity
            for allocation, count in self._assigned[machine].items():
                capacity.book(self.jobs[allocation.job].requirements, count)
        capacity.schedulable = record.schedulable

    def _apply_allocation(self, allocation: AllocationKey) -> None:
        job = self.jobs.get(allocation.job)
        if job is None:
            # The job has ended, or its record was not read yet: records are read in order of their keys, allocations
            # before jobs. The allocation is kept until the job's record is read; otherwise it would never be charged
            # (docs/incidents/2026-12-02-team-limit.md).
            self._track_without_job(allocation)
            return
        charged = 0  # change of the number of charged tasks
        old = self._booked_totals.pop(allocation, None)
        if old is not None:
            self._unassigned.pop(allocation, None)
            self._book(allocation, job, old, -1)
            charged -= old.charged
        record = self.state.allocations.get(allocation.job, {}).get(allocation)
        if record is not None:
            self._booked_totals[allocation] = new = AllocationTotals.of(
                record, self.zones.index(allocation.zone), self.machines
            )
            if new.unassigned:
                self._unassigned[allocation] = new
            self._book(allocation, job, new, 1)
            charged += new.charged
        if charged:
            self.ledger.add_recorded(job.team, job.charge_per_task.times(charged))

    def _track_without_job(self, allocation: AllocationKey) -> None:
        tracked = self._allocations_without_job.setdefault(allocation.job, set())
        if allocation in self.state.allocations.get(allocation.job, ()):
            tracked.add(allocation)
        else:
            tracked.discard(allocation)
        if not tracked:
            del self._allocations_without_job[allocation.job]

    def _book(self, allocation: AllocationKey, job: JobView, totals: AllocationTotals, sign: int) -> None:
        """Adds an allocation's tasks to the tables (`sign` 1), or removes them (`sign` -1)."""
        charged = totals.charged
        job.tasks_by_zone[totals.zone] += sign * charged
        job.charged += sign * charged
        job.ended += sign * totals.ended
        job.assigned += sign * totals.assigned
        job.returned += sign * totals.returned
        self.running_cpus[job.team][totals.zone] += sign * totals.assigned * job.requirements.cpus
        for machine, count in totals.tasks_by_machine.items():
            assigned = self._assigned[machine]
            if sign > 0:
                assigned[allocation] = count
            else:
                assigned.pop(allocation, None)
                if not assigned:
                    del self._assigned[machine]
            capacity = self.capacities.get(machine)
            if capacity is not None:
                capacity.book(job.requirements, sign * count)
            if sign > 0:
                self._add_cached_image(machine, job.requirements.image)

    def _add_cached_image(self, machine: int, image: int) -> None:
        cached = self._cached_images[machine]
        if cached and next(reversed(cached)) == image:
            return
        cached.pop(image, None)
        cached[image] = None
        if len(cached) > MAX_CACHED_IMAGES:
            del cached[next(iter(cached))]
        capacity = self.capacities.get(machine)
        if capacity is not None:
            capacity.images = set(cached)

    def image_fetch_s(self, job: JobView) -> float:
        """Seconds that machines with the highest fetch rate take to fetch the job's image; 0 if no rate is known."""
        rate = max((offer.fetch_gb_per_s for offer in self.machine_types.values()), default=0.0)
        return job.image_gb / rate if rate > 0 else 0.0

    def allocations_with_unassigned_tasks(self) -> list[tuple[AllocationKey, JobView, int, int]]:
        """Allocations with unassigned tasks.

        Returns the key, the job, the number of unassigned tasks, and how many of these were started repeatedly before.
        """
        return [
            (allocation, self.jobs[allocation.job], totals.unassigned, totals.repeatedly_attempted)
            for allocation, totals in self._unassigned.items()
        ]
