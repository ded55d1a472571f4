"""The whole fleet as the records show it: room on every machine, use by every team, tasks that wait in each part.

Kept up to date from changed records only. The leader admits by it and each owner places by it; both work on its
dense-index tables and never on names.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements
from spurarch.coordination.fleet.interner import StringInterner
from spurarch.coordination.fleet.quota_ledger import Charge, QuotaLedger
from spurarch.protocol import wire
from spurarch.settings import Objective, Team
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, AllocationRecord
from spurarch.storage.replica import ClusterState

IMAGES_KEPT = 32
WAIT_OBJECTIVE = "wait"  # an aim on how soon the tasks of a class start
GANG_START_S = 30.0  # what a gang without such an aim is given
OFTEN_TRIED_ATTEMPTS = 2  # starts after which it is more likely the task than the machines


@dataclass(slots=True)
class JobView:
    """What the decisions need of one job."""

    job_id: str
    requirements: Requirements
    charge_per_task: Charge  # of its team, for each task
    team: int
    service: bool
    gang: bool
    tasks: int
    max_tasks_per_zone: int | None
    one_zone: bool
    deadline: float | None
    submitted_at: float
    estimate_s: float
    image_gb: float = 0.0
    start_deadline: float | None = None  # when a gang should have started, as its users' aims say
    tasks_by_zone: dict[int, int] = field(default_factory=lambda: defaultdict(int))  # tasks not over, by zone
    charged: int = 0
    ended: int = 0
    assigned: int = 0
    returned: int = 0
    admitted: int = 0  # tasks that were ever admitted; those after it are new

    @property
    def array(self) -> bool:
        """Its tasks are independent of each other, and each runs to its end."""
        return not self.service and not self.gang

    @property
    def to_admit(self) -> int:
        """Tasks that wait for admission."""
        return self.tasks - self.charged - self.ended

    @property
    def to_start(self) -> int:
        """Tasks that neither run nor have ended."""
        return self.tasks - self.assigned - self.ended

    @property
    def work_left(self) -> float:
        """CPU seconds of what has yet to start, by the owner's estimate."""
        return self.to_start * self.requirements.cpus * max(self.estimate_s, 1.0)

    def is_starving(self, wall: float, longest_wait_s: float) -> bool:
        """Nothing of the job has run for the longest wait that users accept. Replicas go first in any case."""
        return not self.service and not self.assigned and not self.ended and wall - self.submitted_at > longest_wait_s


@dataclass(slots=True)
class _AllocationTotals:
    """What one allocation added to the tables."""

    zone: int
    tasks_by_machine: dict[int, int] = field(default_factory=dict)  # machine -> tasks
    assigned: int = 0
    unassigned: int = 0
    often_tried: int = 0  # free ones that were started several times already
    ended: int = 0
    returned: int = 0

    @property
    def charged(self) -> int:
        """Tasks that their team is charged with."""
        return self.assigned + self.unassigned


class FleetView:
    """Tables of machines, jobs and teams."""

    def __init__(
        self, state: ClusterState, teams: Iterable[Team], size_weight: float = 0.0, objectives: Iterable[Objective] = ()
    ) -> None:
        self.state, self.size_weight = state, size_weight
        self.zones, self.types, self.teams = StringInterner(), StringInterner(), StringInterner()
        self.images, self.machines = StringInterner(), StringInterner()
        self.capacities: dict[int, MachineCapacity] = {}
        self.capacities_by_zone: dict[int, dict[int, MachineCapacity]] = defaultdict(dict)
        self.jobs: dict[str, JobView] = {}
        self.running_cpus: dict[int, dict[int, float]] = defaultdict(
            lambda: defaultdict(float)
        )  # by team and zone, CPUs
        self.quotas: dict[int, Team] = {}
        self.ledger = QuotaLedger(self.quotas)
        self.machine_types: dict[str, wire.MachineType] = {}
        self._booked: dict[AllocationKey, _AllocationTotals] = {}
        self._allocations_without_job: dict[
            str, set[AllocationKey]
        ] = {}  # allocations by job, of jobs that are not known here
        self._unassigned: dict[AllocationKey, _AllocationTotals] = {}
        self._assigned: dict[int, dict[AllocationKey, int]] = defaultdict(dict)  # by machine
        self._cached_images: dict[int, dict[int, None]] = defaultdict(dict)
        self._unfinished_tasks: dict[str, int] = {}  # by job: tasks that are not over
        self._jobs_within_guarantee: set[str] | None = None
        self._allowance_per_cpu_second: float | None = (
            None  # allowance in seconds per CPU second of work, over the jobs that wait
        )
        self._changed_keys = state.subscribe()
        self._was_consistent = state.consistent
        self._start_within = {o.job_class: o.within_s for o in objectives if o.kind == WAIT_OBJECTIVE}
        for team in teams:
            self.quotas[self.teams.index(team.name)] = team

    def set_machine_types(self, offers: list[wire.MachineType]) -> None:
        """Takes the cloud's price list; machines of types unknown until now become usable."""
        fresh = any(offer.name not in self.machine_types for offer in offers)
        self.machine_types = {offer.name: offer for offer in offers}
        if fresh:
            self._changed_keys.update((key, None) for key in self.state.entries if key.startswith(records.MACHINE))

    def update(self) -> None:
        """Follows the records."""
        if not self._changed_keys:
            return
        whole = self._was_consistent
        self._was_consistent = self.state.consistent
        keys = list(self._changed_keys)
        self._changed_keys.clear()
        self._allowance_per_cpu_second = None
        touched: dict[str, None] = {}
        allocations: dict[AllocationKey, None] = {}
        for key in keys:
            if key.startswith(records.JOB):
                job_id = key[len(records.JOB) :]
                touched[job_id] = None
                self._apply_job(job_id)
                allocations |= dict.fromkeys(self._allocations_without_job.pop(job_id, ()))
            elif key.startswith(records.MACHINE):
                self._apply_machine(*records.parse_machine_key(key))
            elif key.startswith(records.ALLOCATION):
                allocation = AllocationKey.parse(key)
                allocations[allocation] = touched[allocation.job] = None
            elif key.startswith(records.ADMISSION):
                touched[key[len(records.ADMISSION) :]] = None
        for allocation in allocations:
            self._apply_allocation(allocation)
        for job_id in touched:
            self._update_demand(job_id)
        self.ledger.check_quotas(whole and self._was_consistent)
        self._update_unreadable_teams()

    def _update_unreadable_teams(self) -> None:
        """Teams of whose jobs a record can't be read are admitted nothing more: what they take is not known."""
        if not self.state.unreadable and not self.ledger.teams_with_unreadable_jobs:
            return
        uncertain: set[int] = set()
        for key, team in self.state.unreadable.items():
            job_id = records.job_of(key)
            job = self.jobs.get(job_id) if job_id is not None else None
            if job is not None:
                uncertain.add(job.team)
            elif team is not None:
                uncertain.add(self.teams.index(team))
        self.ledger.teams_with_unreadable_jobs = uncertain

    def rebook_job(self, job_id: str) -> None:
        """Books a job's allocations anew, as they are on record."""
        self._apply_job(job_id)
        for where in [*self.state.allocations.get(job_id, ()), *(w for w in list(self._booked) if w.job == job_id)]:
            self._apply_allocation(where)
        self._update_demand(job_id)

    def _update_demand(self, job_id: str) -> None:
        """What a job wants of its team's share; and jobs that are over go, once their bookings have been undone."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        record = self.state.jobs.get(job_id)
        first = self.state.admissions.get(job_id)
        # Without a count, all tasks were admitted by one transaction, if any were.
        job.admitted = first.next if first else job.tasks if job_id in self.state.allocations else 0
        wants = (job.tasks - job.ended) if record is not None and not record.cancelled else 0
        if wants != self._unfinished_tasks.get(job_id, 0):
            self._unfinished_tasks[job_id] = wants
            self._jobs_within_guarantee = None
        if record is None and job_id not in self.state.allocations:
            del self.jobs[job_id]
            self._unfinished_tasks.pop(job_id, None)

    def unreachable_zones(self) -> set[str]:
        """Zones whose owner says that nobody hears their workers: what is there is no room for anyone."""
        members = self.state.members
        owners = {zone: members.get(partition.node) for zone, partition in self.state.partitions.items()}
        return {zone for zone, member in owners.items() if member is not None and zone in member.unreachable_zones}

    def jobs_within_guarantee(self) -> set[str]:
        """Jobs that fit into their team's guarantee together with the team's earlier ones: they need not wait on others."""
        if self._jobs_within_guarantee is None:
            out = self._jobs_within_guarantee = set()
            cpus: dict[int, float] = defaultdict(float)
            gpus: dict[int, float] = defaultdict(float)
            for job in sorted(
                (self.jobs[job_id] for job_id, wants in self._unfinished_tasks.items() if wants),
                key=lambda job: job.submitted_at,
            ):
                team = self.quotas.get(job.team)
                if team is None:
                    continue
                wants = self._unfinished_tasks[job.job_id]
                cpus[job.team] += wants * job.requirements.cpus
                gpus[job.team] += wants * job.requirements.gpus
                if cpus[job.team] <= team.guaranteed_cpus + EPSILON and (
                    gpus[job.team] <= team.guaranteed_gpus + EPSILON or job.requirements.gpus == 0
                ):
                    out.add(job.job_id)
        return self._jobs_within_guarantee

    def rank(self, job: JobView, starving: bool) -> tuple[int, bool, float, float]:
        """Order of admission and of placing.

        Priority; then jobs inside their team's guarantee, who need not wait on others; then the deadline.

        A job of which nothing has run for the longest wait goes before all others of whatever priority: nobody is to
        starve behind a stream of jobs that are more urgent.
        """
        if starving:
            return -1, False, job.submitted_at, job.submitted_at
        if job.start_deadline is not None:
            due = job.start_deadline
        else:
            due = job.deadline + self._size_delay_s(job) if job.deadline is not None else float("inf")
        return job.requirements.priority, job.job_id not in self.jobs_within_guarantee(), due, job.submitted_at

    def _size_delay_s(self, job: JobView) -> float:
        """How much later than its deadline says a job comes in the order, by what of it has yet to start.

        When more is asked than can be done, order by deadline alone makes nearly everybody late by a little: whoever is
        due next has waited until it is too late. So the small go first, as in shortest-job-first, and a few of the large
        are late instead of many jobs. A job of mean size comes `size_weight` of the usual allowance later.
        """
        if self._allowance_per_cpu_second is None:
            waiting = [j for j in self.jobs.values() if not j.service and j.deadline is not None and j.to_start > 0]
            work = sum(j.work_left for j in waiting)
            allowance = sum(j.deadline - j.submitted_at for j in waiting if j.deadline is not None)
            self._allowance_per_cpu_second = allowance / work if work > 0 else 0.0
        return self.size_weight * self._allowance_per_cpu_second * job.work_left

    def borrowed_cpus(self, team: int) -> float:
        """CPUs that a team runs beyond its guarantee: borrowed, and to be given back."""
        limit = self.quotas.get(team)
        return sum(self.running_cpus[team].values()) - (limit.guaranteed_cpus if limit is not None else 0.0)

    def _apply_job(self, job_id: str) -> None:
        record = self.state.jobs.get(job_id)
        if record is not None and job_id not in self.jobs:
            self.jobs[job_id] = self._job_view(job_id, record)

    def _job_view(self, job_id: str, record: records.JobRecord) -> JobView:
        """The decisions' view of a job."""
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
            record.submitted_at + self._start_within.get(spec.job_class, GANG_START_S) if gang else None,
        )

    def _apply_machine(self, zone: str, name: str) -> None:
        machine = self.machines.index(name)
        record = self.state.machines[zone].get(name)
        offer = self.machine_types.get(record.type) if record else None
        where = self.zones.index(zone)
        if record is None or offer is None:
            self.capacities.pop(machine, None)
            self.capacities_by_zone[where].pop(machine, None)
            if record is None:
                self._cached_images.pop(machine, None)
            return
        capacity = self.capacities.get(machine)
        if capacity is None:
            capacity = MachineCapacity(
                machine,
                where,
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
            self.capacities[machine] = self.capacities_by_zone[where][machine] = capacity
            for allocation, count in self._assigned[machine].items():
                capacity.book(self.jobs[allocation.job].requirements, count)
        capacity.schedulable = record.schedulable

    def _apply_allocation(self, allocation: AllocationKey) -> None:
        job = self.jobs.get(allocation.job)
        if job is None:
            # Over, or not read yet: keys are read in their order, allocations before jobs. What is skipped for good here
            # is never charged (docs/incidents/2026-12-02-team-limit.md).
            self._remember_without_job(allocation)
            return
        charged = 0  # tasks more than before
        old = self._booked.pop(allocation, None)
        if old is not None:
            self._unassigned.pop(allocation, None)
            self._book(allocation, job, old, -1)
            charged -= old.charged
        record = self.state.allocations.get(allocation.job, {}).get(allocation)
        if record is not None:
            self._booked[allocation] = new = self._totals_of(allocation, record)
            if new.unassigned:
                self._unassigned[allocation] = new
            self._book(allocation, job, new, 1)
            charged += new.charged
        if charged:
            self.ledger.adjust(job.team, job.charge_per_task.times(charged))

    def _remember_without_job(self, allocation: AllocationKey) -> None:
        mine = self._allocations_without_job.setdefault(allocation.job, set())
        if allocation in self.state.allocations.get(allocation.job, ()):
            mine.add(allocation)
        else:
            mine.discard(allocation)
        if not mine:
            del self._allocations_without_job[allocation.job]

    def _totals_of(self, allocation: AllocationKey, record: AllocationRecord) -> _AllocationTotals:
        booked = _AllocationTotals(self.zones.index(allocation.zone))
        for entry in record.tasks:
            if entry.state == records.ASSIGNED:
                machine = self.machines.index(entry.machine)
                booked.tasks_by_machine[machine] = booked.tasks_by_machine.get(machine, 0) + 1
                booked.assigned += 1
            elif entry.state == records.FREE:
                booked.unassigned += 1
                booked.often_tried += entry.attempt >= OFTEN_TRIED_ATTEMPTS
            elif entry.state == records.ENDED:
                booked.ended += 1
            else:
                booked.returned += 1
        return booked

    def _book(self, allocation: AllocationKey, job: JobView, booked: _AllocationTotals, sign: int) -> None:
        charged = booked.charged
        job.tasks_by_zone[booked.zone] += sign * charged
        job.charged += sign * charged
        job.ended += sign * booked.ended
        job.assigned += sign * booked.assigned
        job.returned += sign * booked.returned
        self.running_cpus[job.team][booked.zone] += sign * booked.assigned * job.requirements.cpus
        for machine, count in booked.tasks_by_machine.items():
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
                self._remember_image(machine, job.requirements.image)

    def _remember_image(self, machine: int, image: int) -> None:
        cached = self._cached_images[machine]
        if cached and next(reversed(cached)) == image:
            return
        cached.pop(image, None)
        cached[image] = None
        if len(cached) > IMAGES_KEPT:
            del cached[next(iter(cached))]
        capacity = self.capacities.get(machine)
        if capacity is not None:
            capacity.images = set(cached)

    def image_fetch_s(self, job: JobView) -> float:
        """How long a machine needs for the job's image, at best."""
        rate = max((offer.fetch_gb_per_s for offer in self.machine_types.values()), default=0.0)
        return job.image_gb / rate if rate > 0 else 0.0

    def unassigned_tasks(self) -> list[tuple[AllocationKey, JobView, int, int]]:
        """Admitted tasks that no machine has yet: how many of which allocation, and how many were tried often."""
        return [
            (allocation, self.jobs[allocation.job], booked.unassigned, booked.often_tried)
            for allocation, booked in self._unassigned.items()
        ]
