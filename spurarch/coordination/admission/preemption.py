"""Which machine to give a task to whose owner has to stop work of lower priority for it."""

from __future__ import annotations

from collections.abc import Iterable

from spurarch.coordination.admission.negative_cache import NegativeCache
from spurarch.coordination.admission.planning_state import PlanningState
from spurarch.coordination.fleet.capacity import PRIORITIES, MachineCapacity
from spurarch.coordination.fleet.job_view import JobView


class PreemptionPlanner:
    """Searches for machines that have room once work of lower priority is stopped."""

    def __init__(self, state: PlanningState) -> None:
        self._state = state
        self._none_to_stop = NegativeCache()

    def machine_in_zones(self, job: JobView, zones: list[int]) -> MachineCapacity | None:
        """The machine in any of these zones where the least work would have to stop, or None."""
        searched = [zone for zone in zones if not self._none_to_stop.covers(job.requirements, zone)]
        if not searched:
            return None
        capacity = machine_by_preemption(job, [at for at in self._state.capacities if at.zone in searched])
        if capacity is None:
            for zone in searched:
                self._none_to_stop.add(job.requirements, zone)
        return capacity

    def machine_with_image(self, job: JobView, zones: list[int]) -> MachineCapacity | None:
        """The same among machines that have the image: work of lower priority can stop faster than a fetch takes."""
        image = job.requirements.image
        return machine_by_preemption(
            job,
            [capacity for capacity in self._state.capacities if capacity.zone in zones and image in capacity.images],
        )


def machine_by_preemption(job: JobView, candidates: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """The machine where the least work of lower priority would have to stop, or None."""
    requirements = job.requirements
    if requirements.priority >= PRIORITIES - 1:
        return None
    able = [capacity for capacity in candidates if capacity.fits_by_preemption(requirements)]
    return max(able, key=lambda capacity: (capacity.free_cpus, requirements.image in capacity.images), default=None)
