"""Terminal attempts on their way into records: which task entries to write, and which allocations can be deleted."""

from __future__ import annotations

from spurarch.coordination.partition.allocation_changes import is_live
from spurarch.coordination.partition.gang import GangState
from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.coordination.partition.state import PartitionState
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey, TaskEntry


class TerminalRecords:
    """Changes of records that follow from proved ends and absences of tasks."""

    def __init__(self, state: PartitionState) -> None:
        self._state = state

    def deletable_allocations(self, cluster: ClusterState) -> list[AllocationKey]:
        """Allocations of jobs that are over and hold nothing that may still run."""
        state = self._state
        out = []
        for allocation in list(state.orphaned_allocations):
            record = cluster.zone_allocations[state.zone].get(allocation)
            if record is None:
                state.orphaned_allocations.discard(allocation)
            elif self.is_deletable(cluster, allocation):
                out.append(allocation)
        return out

    def is_deletable(self, cluster: ClusterState, allocation: AllocationKey) -> bool:
        """Whether the allocation's job is over, and none of its tasks may still run."""
        state = self._state
        record = cluster.zone_allocations[state.zone].get(allocation)
        if record is None or is_live(cluster, allocation.job):
            return False
        terminal = state.terminal_attempts.get(allocation, {})
        if len(terminal) < len(state.attempts_by_allocation.get(allocation, ())):
            return False  # decides most cases without a walk through the record
        return all(entry.state != records.ASSIGNED or entry.index in terminal for entry in record.tasks)

    def entries(self, cluster: ClusterState, delay_s: float) -> dict[AllocationKey, dict[int, TaskEntry]]:
        """Entries of tasks whose end or absence is proved and is to be recorded now.

        Ends of one allocation are collected for a while, so that many of them cost one change. Those that are awaited
        are not: the last end of an allocation, and a task that has to start again.

        Args:
            cluster: The records.
            delay_s: How long ends are collected.
        """
        state = self._state
        out: dict[AllocationKey, dict[int, TaskEntry]] = {}
        recorded = cluster.zone_allocations[state.zone]
        for allocation, attempts in state.terminal_attempts.items():
            if allocation in recorded and (
                self._oldest_termination(attempts) <= state.now - delay_s
                or self._awaited(cluster, allocation, attempts)
            ):
                out[allocation] = {
                    attempt.index: TaskEntry(attempt.index, self._task_state(cluster, attempt), attempt.number)
                    for attempt in attempts.values()
                }
        return out

    @staticmethod
    def _oldest_termination(attempts: dict[int, TaskAttempt]) -> float:
        return next(iter(attempts.values())).terminated_at  # they are in the order in which they were proved

    def _awaited(self, cluster: ClusterState, allocation: AllocationKey, attempts: dict[int, TaskAttempt]) -> bool:
        """These are the last ends of an allocation, or one of the tasks has to start again."""
        state = self._state
        if allocation not in state.unassigned and len(attempts) == len(
            state.attempts_by_allocation.get(allocation, ())
        ):
            return True
        if not is_live(cluster, allocation.job):
            return False
        return allocation in state.allocations_to_restart or cluster.jobs[allocation.job].spec.kind == wire.SERVICE

    def _task_state(self, cluster: ClusterState, attempt: TaskAttempt) -> records.TaskState:
        """The state that a terminal attempt's task is recorded with."""
        completed = (
            attempt.phase is AttemptPhase.EXITED
            and attempt.exit_reason == wire.REASON_DONE
            and not self._is_replica(cluster, attempt)
        )
        gang = self._state.gangs.get(attempt.allocation.job)
        if gang is not None and gang.state is GangState.ENDED:
            return records.ENDED  # members complete together, also those whose own heartbeat never came
        if completed or not is_live(cluster, attempt.allocation.job):
            return records.ENDED
        return records.RETURNED if self._state.unreachable else records.FREE  # nothing can start in such a zone

    @staticmethod
    def _is_replica(cluster: ClusterState, attempt: TaskAttempt) -> bool:
        """Replicas of services run until their job is cancelled, so one that ends by itself starts again."""
        job = cluster.jobs.get(attempt.allocation.job)
        return job is not None and job.spec.kind == wire.SERVICE
