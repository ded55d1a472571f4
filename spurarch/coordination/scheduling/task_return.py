"""Decides when a task that fits on no machine is returned to the leader, which may admit it to another partition."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.gang import GangAttempt
from spurarch.coordination.scheduling.best_fit import all_fit
from spurarch.coordination.scheduling.placement_round import PlacementRound

RETURN_AFTER_S = 1.0  # minimum wait of a task that fits on no machine here but on one of another partition
RETURN_AFTER_SCARCE_S = 5.0  # the same minimum wait while the rate limit of the state service leaves few writes
STUCK_AFTER_S = 45.0  # time without progress in the queue after which tasks are returned even if they fit nowhere
CAPACITY_GROWTH_S = 10.0  # after a machine became active, more are expected to follow within this time
MAX_SLOTS_PER_MACHINE = 100  # more slots on one machine are not counted


@dataclass(slots=True)
class _Queue:
    """Number and CPUs of tasks that wait for a machine."""

    cpus: float = 0.0
    tasks: int = 0

    def add(self, cpus: float, tasks: int) -> None:
        """Adds tasks and their CPUs."""
        self.cpus += cpus
        self.tasks += tasks

    def slots_left(self, cpus: float, slots: int) -> int:
        """Returns how many of the slots, each with the given CPUs, remain if the queue uses its CPUs first."""
        return slots - int(self.cpus / cpus) if cpus > 0 else slots


class ReturnPolicy:
    """Decides during one round which waiting tasks are returned to the leader."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        self._slots_elsewhere: dict[tuple[object, ...], int] = {}  # remaining slots in other partitions, by task shape
        self._queued: dict[int, dict[int, _Queue]] | None = None  # by zone and priority

    def max_wait_s(self) -> float:
        """Returns how many seconds a task waits before it may be returned.

        The wait is longer while writes are scarce, since moving a task to another partition takes four writes.
        """
        if self._round.writes_scarce and not self._round.partition.unreachable:
            return RETURN_AFTER_SCARCE_S
        return RETURN_AFTER_S

    def is_stuck(self, waiting_since: float) -> bool:
        """Returns whether a task that has waited since the given time can't expect to be placed here.

        This is the case if the zone is unreachable, or if for `STUCK_AFTER_S` no task was placed and no machine became
        active: machines that were to boot here are late, or other tasks used their capacity.
        """
        partition = self._round.partition
        if partition.unreachable:
            return True
        last_progress = max(waiting_since, self._round.placement_state.last_placed_at, partition.capacity_added_at)
        return self._round.now - last_progress > STUCK_AFTER_S

    def fits_elsewhere(self, job: JobView) -> bool:
        """Returns whether another partition has a slot for the task, and uses up that slot for this round.

        For a replica, slots that preemption would free there count too. Slots that the other partition's own queue will
        use don't count: otherwise, while machines boot in all zones, each partition would return its tasks for the
        capacity of the others. Each slot counts for one task: if all tasks that wait here were returned for the same
        few slots, most of them would be returned again, at four writes each.
        """
        if self._round.writes_scarce and self._round.now - self._round.partition.capacity_added_at < CAPACITY_GROWTH_S:
            return False  # machines are becoming active here too, and moving a task costs more than waiting for them
        shape = (*job.requirements.shape, job.service)
        if shape not in self._slots_elsewhere:
            self._slots_elsewhere[shape] = self._count_slots_elsewhere(job)
        self._slots_elsewhere[shape] -= 1
        return self._slots_elsewhere[shape] >= 0

    def gang_fits_elsewhere(self, job: JobView, gang: GangAttempt) -> bool:
        """Returns whether the whole gang fits in another partition."""
        view = self._round.view
        own_zone = view.zones.index(self._round.partition.zone)
        unreachable = set(map(view.zones.index, view.unreachable_zones()))
        for zone, capacities in view.capacities_by_zone.items():
            if zone != own_zone and zone not in unreachable:
                schedulable = [capacity for capacity in capacities.values() if capacity.schedulable]
                if all_fit(job.requirements, schedulable, gang.size):
                    return True
        return False

    def _count_slots_elsewhere(self, job: JobView) -> int:
        """Returns the slots for tasks of the job in other partitions, without those that the queues there will use."""
        view, requirements = self._round.view, job.requirements
        queued = self._queued_by_zone(requirements.priority)
        excluded = set(map(view.zones.index, (self._round.partition.zone, *view.unreachable_zones())))
        slots: dict[int, int] = {}
        free_tasks: dict[int, int] = {}
        for capacity in view.capacities.values():
            if (
                not capacity.schedulable
                or capacity.zone in excluded
                or not capacity.satisfies_constraints(requirements)
            ):
                continue
            if capacity.fits(requirements):
                count = capacity.task_slots(requirements, MAX_SLOTS_PER_MACHINE)
            else:
                count = int(job.service and capacity.fits_by_preemption(requirements))
            slots[capacity.zone] = slots.get(capacity.zone, 0) + count
            free_tasks[capacity.zone] = free_tasks.get(capacity.zone, 0) + max(count, capacity.free_tasks)
        return sum(
            max(0, min(queued[zone].slots_left(requirements.cpus, count), free_tasks[zone] - queued[zone].tasks))
            for zone, count in slots.items()
        )

    def _queued_by_zone(self, priority: int) -> dict[int, _Queue]:
        """Returns by zone what the unassigned tasks of the given or a higher priority will use."""
        if self._queued is None:
            self._queued = self._collect_queued()
        by_zone: dict[int, _Queue] = defaultdict(_Queue)
        for zone, by_priority in self._queued.items():
            for queued_priority, queue in by_priority.items():
                if queued_priority <= priority:
                    by_zone[zone].add(queue.cpus, queue.tasks)
        return by_zone

    def _collect_queued(self) -> dict[int, dict[int, _Queue]]:
        view = self._round.view
        queued: dict[int, dict[int, _Queue]] = defaultdict(lambda: defaultdict(_Queue))
        for allocation, job, count, _ in view.allocations_with_unassigned_tasks():
            zone = view.zones.index(allocation.zone)
            queued[zone][job.requirements.priority].add(count * job.requirements.cpus, count)
        return queued
