"""Plans the admission of gangs: all tasks of a job are assigned to one zone, or none."""

from __future__ import annotations

from typing import NamedTuple

from spurarch.coordination.admission.plan import ZoneAssignment
from spurarch.coordination.admission.planning_state import PlanningState
from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import all_fit, book_by_best_fit


class _FailedGang(NamedTuple):
    """A gang for which this round found no zone."""

    requirements: Requirements  # of one member
    size: int


class GangPlanner:
    """Chooses the zone for all tasks of a gang."""

    def __init__(self, state: PlanningState) -> None:
        self._state = state
        self._failed: list[_FailedGang] = []

    def assign(self, job: JobView) -> ZoneAssignment:
        """Assigns all tasks of the gang that wait for admission to one zone, or none of them.

        A gang that fits in no zone yet may be admitted ahead of time to a zone where no other gang waits. The partition
        owner reserves capacity for it.
        """
        zone = self._choose_zone(job, job.to_admit)
        return ZoneAssignment() if zone is None else ZoneAssignment({zone: job.to_admit})

    def _choose_zone(self, job: JobView, count: int) -> int | None:
        state, requirements = self._state, job.requirements
        if self._is_known_not_to_fit(requirements, count):
            return None
        used_zones = [zone for zone, number in job.tasks_by_zone.items() if number > 0]
        fitting = {
            zone: capacities
            for zone in used_zones or state.with_free_capacity
            if all_fit(requirements, capacities := state.with_free_capacity[zone], count)
        }
        if fitting:
            zone = max(
                fitting,
                key=lambda zone: (
                    _fits_on_machines_with_image(job, fitting[zone]),
                    sum(capacity.free_cpus for capacity in fitting[zone]),
                    -zone,
                ),
            )
            book_by_best_fit(requirements, state.with_free_capacity[zone], count, state.bookings)
            return zone
        if used_zones:
            return used_zones[0]  # other members of the gang are already admitted there
        zone_ahead = self._choose_zone_ahead_of_time(requirements, count)
        if zone_ahead is None:
            self._failed.append(_FailedGang(requirements, count))
            return None
        state.zones_with_waiting_gang.add(zone_ahead)
        state.add_queued(requirements, zone_ahead, count)
        return zone_ahead

    def _is_known_not_to_fit(self, requirements: Requirements, count: int) -> bool:
        """Returns whether this round found no zone for a gang with no greater requirements and no more members."""
        return any(
            count >= failed.size and requirements.requires_at_least(failed.requirements) for failed in self._failed
        )

    def _choose_zone_ahead_of_time(self, requirements: Requirements, count: int) -> int | None:
        """Returns the zone to admit a gang to ahead of time; None if there is none.

        Of the zones that free CPUs soon, have no waiting gang and could hold this one without their work below the
        highest priority, it is the one that frees the most CPUs beyond those of its queued tasks.
        """
        state = self._state
        eligible_zones = [
            zone
            for zone in state.zones_for(requirements)
            if zone not in state.zones_with_waiting_gang
            and state.freed_cpus.get(zone, 0.0) > 0
            and self._slots_after_preemption(requirements, zone, count) >= count
        ]
        return max(eligible_zones, key=lambda zone: (state.spare_freed_cpus(zone), -zone), default=None)

    def _slots_after_preemption(self, requirements: Requirements, zone: int, count: int) -> int:
        """Returns how many tasks fit in a zone once all work below the highest priority has ended there.

        At most `count` are counted for each machine.
        """
        return sum(
            capacity.slots_after_preemption(requirements, count)
            for capacity in self._state.capacities
            if capacity.zone == zone
        )


def _fits_on_machines_with_image(job: JobView, capacities: list[MachineCapacity]) -> bool:
    """Returns whether the gang fits on machines that have its image.

    All members start together, so one that has to fetch the image delays all of them.
    """
    return all_fit(
        job.requirements,
        [capacity for capacity in capacities if job.requirements.image in capacity.images],
        job.to_admit,
    )
