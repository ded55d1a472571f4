"""Selects machines for tasks that fit only after the partition owner has preempted lower-priority work."""

from __future__ import annotations

from collections.abc import Iterable

from spurarch.coordination.admission.negative_cache import NegativeCache
from spurarch.coordination.admission.planning_state import PlanningState
from spurarch.coordination.fleet.capacity import PRIORITIES, MachineCapacity
from spurarch.coordination.fleet.job_view import JobView


class PreemptionPlanner:
    """Searches for machines on which a task fits once lower-priority work is preempted."""

    def __init__(self, state: PlanningState) -> None:
        self._state = state
        self._no_preemptible_machine = NegativeCache()

    def machine_in_zones(self, job: JobView, zones: list[int]) -> MachineCapacity | None:
        """Returns the machine in these zones on which the least work has to be preempted; None if there is none."""
        searched = [zone for zone in zones if not self._no_preemptible_machine.covers(job.requirements, zone)]
        if not searched:
            return None
        capacity = machine_by_preemption(
            job, [candidate for candidate in self._state.capacities if candidate.zone in searched]
        )
        if capacity is None:
            for zone in searched:
                self._no_preemptible_machine.add(job.requirements, zone)
        return capacity

    def machine_with_image(self, job: JobView, zones: list[int]) -> MachineCapacity | None:
        """Returns the machine with the job's image on which the least work has to be preempted; None if there is none.

        Preempting work there can be faster than fetching the image on another machine.
        """
        image = job.requirements.image
        return machine_by_preemption(
            job,
            [capacity for capacity in self._state.capacities if capacity.zone in zones and image in capacity.images],
        )


def machine_by_preemption(job: JobView, candidates: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """Returns the candidate with the most free CPUs, where the least lower-priority work has to be preempted.

    Returns None if the task does not fit on any candidate that way.
    """
    requirements = job.requirements
    if requirements.priority >= PRIORITIES - 1:
        return None
    eligible = [capacity for capacity in candidates if capacity.fits_by_preemption(requirements)]
    return max(eligible, key=lambda capacity: (capacity.free_cpus, requirements.image in capacity.images), default=None)
