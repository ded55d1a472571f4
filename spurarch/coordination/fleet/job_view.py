"""The view that decisions have of one job."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import Requirements
from spurarch.coordination.fleet.quota_ledger import Charge


@dataclass(slots=True)
class JobView:
    """What decisions need to know of one job: its requirements, and counts of its tasks by state.

    Times are Unix seconds.
    """

    job_id: str
    requirements: Requirements
    charge_per_task: Charge  # for each task, to the quota of its team
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
    start_deadline: float | None = None  # when a gang should have started, by its service-level objective
    tasks_by_zone: dict[int, int] = field(
        default_factory=lambda: defaultdict(int)
    )  # admitted tasks that have not ended, by zone
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
        """Number of tasks that wait for admission."""
        return self.tasks - self.charged - self.ended

    @property
    def to_start(self) -> int:
        """Number of tasks that are neither assigned nor ended."""
        return self.tasks - self.assigned - self.ended

    @property
    def work_left(self) -> float:
        """CPU seconds of the tasks that have yet to start, by the user's estimate."""
        return self.to_start * self.requirements.cpus * max(self.estimate_s, 1.0)

    def is_starving(self, wall_time: float, longest_wait_s: float) -> bool:
        """No task of the job has run within the longest wait that users accept. Replicas go first in any case."""
        return (
            not self.service and not self.assigned and not self.ended and wall_time - self.submitted_at > longest_wait_s
        )
