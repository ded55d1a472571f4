"""State of one planning round: tentative bookings, capacity by zone, queued tasks, and failed searches."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from functools import cached_property

from spurarch.coordination.admission.negative_cache import NegativeCache
from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import book_by_best_fit


class PlanningState:
    """State that the planners of arrays, replicas and gangs share during one round.

    Unreachable zones are left out. Bookings change the capacities in the fleet view and have to be undone at the end of
    the round.
    """

    def __init__(
        self,
        view: FleetView,
        now: float,
        admit_ahead_s: float,
        longest_wait_s: float,
        booting: Iterable[MachineCapacity],
        min_tasks_per_zone: int,
    ) -> None:
        self.view, self.now, self.longest_wait_s = view, now, longest_wait_s
        self.min_tasks_per_zone = min_tasks_per_zone
        unreachable = set(map(view.zones.index, view.unreachable_zones()))
        self.bookings = TentativeBookings()
        self.capacities = [
            capacity
            for capacity in view.capacities.values()
            if capacity.schedulable and capacity.zone not in unreachable
        ]
        self.with_free_capacity = _by_zone(capacity for capacity in self.capacities if capacity.has_free_capacity)
        self.booting = _by_zone(capacity for capacity in booting if capacity.zone not in unreachable)
        self.queued_cpus: dict[int, float] = defaultdict(float)  # by zone, of admitted tasks that wait for a machine
        self.queued_tasks: dict[int, int] = defaultdict(int)  # by zone, the number of these tasks
        # By zone, the CPUs and the number of tasks that running tasks are expected to free within `admit_ahead_s`.
        self.freed_cpus, self._freed_tasks = _freed_by_zone(view, admit_ahead_s, unreachable)
        self.zones_with_waiting_gang: set[int] = set()
        self.no_free_capacity = NegativeCache()
        self.no_booting_capacity = NegativeCache()
        self._zones_by_shape: dict[tuple[object, ...], set[int]] = {}
        self._cpus_with_image: dict[int, dict[int, float]] = {}

    def is_starving(self, job: JobView) -> bool:
        """Returns whether the job has waited too long, by `JobView.is_starving` and this round's `longest_wait_s`."""
        return job.is_starving(self.now, self.longest_wait_s)

    def spare_freed_cpus(self, zone: int) -> float:
        """Returns the CPUs that a zone is expected to free soon, less the CPUs of its queued tasks; can be negative."""
        return self.freed_cpus[zone] - self.queued_cpus[zone]

    def slots_ahead(self, zone: int, cpus: float, cpus_per_task: float) -> int:
        """Returns how many tasks a zone can be given ahead of time, for the given CPUs that it is expected to free.

        A task also needs a machine that can be given another task. Such places are free now or will be freed soon.
        """
        spare_tasks = self._free_tasks[zone] + int(self._freed_tasks[zone]) - self.queued_tasks[zone]
        return max(0, min(int(cpus / cpus_per_task), spare_tasks))

    @cached_property
    def _free_tasks(self) -> dict[int, int]:
        """By zone, how many more tasks the machines can be given, as of the first use in the round."""
        free: dict[int, int] = defaultdict(int)
        for capacity in self.capacities:
            free[capacity.zone] += max(0, capacity.free_tasks)
        return free

    def add_queued(self, requirements: Requirements, zone: int, count: int) -> None:
        """Adds tasks that are admitted to a zone and wait there for a machine."""
        self.queued_cpus[zone] += count * requirements.cpus
        self.queued_tasks[zone] += count

    def drop_full_machines(self) -> None:
        """Excludes machines without free capacity from the later searches of the round."""
        for capacities_by_zone in (self.with_free_capacity, self.booting):
            for zone, capacities in capacities_by_zone.items():
                capacities_by_zone[zone] = [capacity for capacity in capacities if capacity.has_free_capacity]

    def book_on_free_machines(self, requirements: Requirements, zone: int, count: int) -> int:
        """Books up to `count` equal tasks on free capacity of a zone; returns how many it booked."""
        return sum(
            booked for _, booked in book_by_best_fit(requirements, self.with_free_capacity[zone], count, self.bookings)
        )

    def book_on_booting_machines(self, requirements: Requirements, zone: int, count: int) -> int:
        """Books up to `count` equal tasks on booting machines of a zone; returns how many it booked."""
        return sum(booked for _, booked in book_by_best_fit(requirements, self.booting[zone], count, self.bookings))

    def zones_for(self, requirements: Requirements) -> set[int]:
        """Returns the zones with a machine that could hold the task if it were empty."""
        if requirements.shape not in self._zones_by_shape:
            self._zones_by_shape[requirements.shape] = {
                capacity.zone for capacity in self.capacities if capacity.fits_when_empty(requirements)
            }
        return self._zones_by_shape[requirements.shape]

    def cpus_with_image(self, image: int) -> dict[int, float]:
        """Returns, by zone, the CPUs of machines that have the image, on which tasks start without fetching it."""
        if image not in self._cpus_with_image:
            found: dict[int, float] = defaultdict(float)
            for capacity in self.capacities:
                if image in capacity.images:
                    found[capacity.zone] += capacity.cpus
            self._cpus_with_image[image] = found
        return self._cpus_with_image[image]


def in_zone_or_all(capacities: dict[int, list[MachineCapacity]], zone: int | None) -> list[MachineCapacity]:
    """Returns the machines of one zone, or of all zones if `zone` is None."""
    return [
        capacity
        for machine_zone, machines in capacities.items()
        if zone is None or machine_zone == zone
        for capacity in machines
    ]


def _by_zone(capacities: Iterable[MachineCapacity]) -> dict[int, list[MachineCapacity]]:
    by_zone: dict[int, list[MachineCapacity]] = defaultdict(list)
    for capacity in capacities:
        by_zone[capacity.zone].append(capacity)
    return by_zone


def _freed_by_zone(
    view: FleetView, admit_ahead_s: float, unreachable: set[int]
) -> tuple[dict[int, float], dict[int, float]]:
    """Returns, by zone, the CPUs and the number of running tasks expected to end within `admit_ahead_s`.

    Services are left out. The estimate is the run time that the user states for each job.
    """
    cpus: dict[int, float] = defaultdict(float)
    tasks: dict[int, float] = defaultdict(float)
    if admit_ahead_s <= 0:
        return cpus, tasks
    for job in view.jobs.values():
        if job.service or not job.assigned:
            continue
        ending_share = admit_ahead_s * job.assigned / max(1, job.charged) / max(job.estimate_s, 1.0)
        for zone, count in job.tasks_by_zone.items():
            if zone not in unreachable:
                cpus[zone] += count * ending_share * job.requirements.cpus
                tasks[zone] += count * ending_share
    return cpus, tasks
