"""When a task without room goes back to the leader, which may admit it to another partition."""

from __future__ import annotations

from collections import defaultdict

from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.gang import GangAttempt
from spurarch.coordination.scheduling.best_fit import all_fit
from spurarch.coordination.scheduling.placement_round import PlacementRound

RETURN_AFTER_S = 1.0  # a task without room here, that would have some elsewhere
RETURN_AFTER_SCARCE_S = 5.0  # the same while writes are scarce
STUCK_AFTER_S = 45.0  # a task without room anywhere: for so long nothing in the queue has moved
CAPACITY_GROWTH_S = 10.0  # for so long after a machine came up, more of them are expected
MAX_SLOTS = 100  # counted on one machine


class ReturnPolicy:
    """Decides during one round which waiting tasks are given back."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        self._slots_elsewhere: dict[tuple[object, ...], int] = {}  # left in other partitions, by shape of task
        self._queued_cpus: dict[int, dict[int, float]] | None = None  # by zone and priority

    def max_wait_s(self) -> float:
        """How long a task waits before it may be given back: it takes four writes to bring it elsewhere."""
        if self._round.writes_scarce and not self._round.partition.unreachable:
            return RETURN_AFTER_SCARCE_S
        return RETURN_AFTER_S

    def is_stuck(self, since: float) -> bool:
        """Nothing in the queue has moved, for a task that has waited since then.

        Machines that were to come up here are late, others took the room, or the zone is unreachable.
        """
        partition = self._round.partition
        if partition.unreachable:
            return True
        last_progress = max(since, self._round.memory.last_placed_at, partition.capacity_added_at)
        return self._round.now - last_progress > STUCK_AFTER_S

    def fits_elsewhere(self, job: JobView) -> bool:
        """The task would fit on a machine of another partition, for a replica also by preemption there.

        Room that another partition's own queue will take counts for nothing: while machines come up everywhere, each
        partition would send its tasks after the room of the others. Each slot found is counted once: if everything
        that waits here went after the same few slots, most of it would come back, at four writes each.
        """
        if self._round.writes_scarce and self._round.now - self._round.partition.capacity_added_at < CAPACITY_GROWTH_S:
            return False  # machines come up here too, and moving a task costs more than the wait
        shape = (*job.requirements.shape, job.service)
        if shape not in self._slots_elsewhere:
            self._slots_elsewhere[shape] = self._count_slots_elsewhere(job)
        self._slots_elsewhere[shape] -= 1
        return self._slots_elsewhere[shape] >= 0

    def gang_fits_elsewhere(self, job: JobView, gang: GangAttempt) -> bool:
        """Another partition has room for the whole gang."""
        view = self._round.view
        here = view.zones.index(self._round.partition.zone)
        unreachable = set(map(view.zones.index, view.unreachable_zones()))
        for zone, capacities in view.capacities_by_zone.items():
            if zone != here and zone not in unreachable:
                schedulable = [capacity for capacity in capacities.values() if capacity.schedulable]
                if all_fit(job.requirements, schedulable, gang.size):
                    return True
        return False

    def _count_slots_elsewhere(self, job: JobView) -> int:
        """Slots for tasks of the job in other partitions, without those that the queues there will take."""
        view, requirements = self._round.view, job.requirements
        queued_cpus = self._queued_cpus_by_zone(requirements.priority)
        excluded = set(map(view.zones.index, (self._round.partition.zone, *view.unreachable_zones())))
        slots: dict[int, int] = {}
        for capacity in view.capacities.values():
            if not capacity.schedulable or capacity.zone in excluded or not capacity.allows(requirements):
                continue
            if capacity.fits(requirements):
                count = capacity.task_slots(requirements, MAX_SLOTS)
            else:
                count = int(job.service and capacity.fits_by_preemption(requirements))
            slots[capacity.zone] = slots.get(capacity.zone, 0) + count
        if requirements.cpus <= 0:
            return sum(slots.values())
        return sum(max(0, count - int(queued_cpus[zone] / requirements.cpus)) for zone, count in slots.items())

    def _queued_cpus_by_zone(self, priority: int) -> dict[int, float]:
        """CPUs of admitted tasks of no lower priority that wait for room, by zone."""
        if self._queued_cpus is None:
            self._queued_cpus = self._collect_queued_cpus()
        by_zone: dict[int, float] = defaultdict(float)
        for zone, cpus_by_priority in self._queued_cpus.items():
            for queued_priority, cpus in cpus_by_priority.items():
                if queued_priority <= priority:
                    by_zone[zone] += cpus
        return by_zone

    def _collect_queued_cpus(self) -> dict[int, dict[int, float]]:
        view = self._round.view
        queued: dict[int, dict[int, float]] = defaultdict(lambda: defaultdict(float))
        for allocation, job, count, _ in view.unassigned_tasks():
            zone = view.zones.index(allocation.zone)
            queued[zone][job.requirements.priority] += count * job.requirements.cpus
        return queued
