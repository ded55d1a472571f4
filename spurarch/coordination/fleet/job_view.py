"""Properties and task counts of one job, as scheduling decisions use them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import Requirements
from spurarch.coordination.fleet.quota_ledger import Charge


@dataclass(slots=True)
class JobView:
    """Requirements and limits of one job, and counts of its tasks by state.

    Times are Unix seconds; teams and zones are dense indices.
    """

    job_id: str
    requirements: Requirements
    charge_per_task: Charge  # to the team's quota
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
    start_deadline: float | None = None  # of a gang, by the objective of its job class or by default
    # Admitted tasks that have not ended and that their zone has not returned.
    tasks_by_zone: dict[int, int] = field(default_factory=lambda: defaultdict(int))
    charged: int = 0  # tasks that are charged to the team's quota
    ended: int = 0
    assigned: int = 0
    returned: int = 0  # tasks that a partition returned to the leader
    admitted: int = 0  # tasks that were ever admitted, which are those with the lowest indices

    @property
    def array(self) -> bool:
        """Whether the job is an array: independent tasks, each of which runs to completion."""
        return not self.service and not self.gang

    @property
    def to_admit(self) -> int:
        """Number of tasks that wait for admission, including returned tasks."""
        return self.tasks - self.charged - self.ended

    @property
    def to_start(self) -> int:
        """Number of tasks that are neither assigned nor ended."""
        return self.tasks - self.assigned - self.ended

    @property
    def cpu_seconds_to_start(self) -> float:
        """CPU seconds of the tasks in `to_start`, by the user's estimate of the run time."""
        return self.to_start * self.requirements.cpus * max(self.estimate_s, 1.0)

    def is_starving(self, wall_time: float, longest_wait_s: float) -> bool:
        """Whether the job waits for longer than `longest_wait_s` and no task of it is assigned or has ended.

        Always False for services, whose replicas rank first in any case.
        """
        return (
            not self.service and not self.assigned and not self.ended and wall_time - self.submitted_at > longest_wait_s
        )
