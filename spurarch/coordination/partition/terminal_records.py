"""Record changes that follow from terminal attempts: task entries to write, and allocations that can be deleted."""

from __future__ import annotations

from spurarch.coordination.partition.allocation_changes import is_uncancelled_job
from spurarch.coordination.partition.gang import GangState
from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.coordination.partition.state import PartitionState
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey, TaskEntry


class TerminalRecords:
    """Determines the record changes that follow from tasks proved to have ended or to be off their machines."""

    def __init__(self, state: PartitionState) -> None:
        self._state = state

    def deletable_allocations(self, cluster: ClusterState) -> list[AllocationKey]:
        """Returns the allocations of finished jobs of which no task can still be running.

        Also drops allocations without a record from `orphaned_allocations`.
        """
        state = self._state
        deletable = []
        for allocation in list(state.orphaned_allocations):
            record = cluster.zone_allocations[state.zone].get(allocation)
            if record is None:
                state.orphaned_allocations.discard(allocation)
            elif self.is_deletable(cluster, allocation):
                deletable.append(allocation)
        return deletable

    def is_deletable(self, cluster: ClusterState, allocation: AllocationKey) -> bool:
        """Whether the allocation's job has ended or was cancelled, and none of its tasks can still be running."""
        state = self._state
        record = cluster.zone_allocations[state.zone].get(allocation)
        if record is None or is_uncancelled_job(cluster, allocation.job):
            return False
        terminal = state.terminal_attempts.get(allocation, {})
        if len(terminal) < len(state.attempts_by_allocation.get(allocation, ())):
            return False  # decides most cases without a scan of the record
        if any(state.runs_again(attempt) for attempt in terminal.values()):
            return False
        return all(entry.state != records.ASSIGNED or entry.index in terminal for entry in record.tasks)

    def entries(self, cluster: ClusterState, delay_s: float) -> dict[AllocationKey, dict[int, TaskEntry]]:
        """Returns the entries to write for tasks proved to have ended or to be off their machines.

        Ended tasks of an allocation are collected for `delay_s`, so that one write records many of them. They are
        recorded at once if they complete the allocation, or if a task has to be restarted, as service replicas have.

        Args:
            cluster: The records.
            delay_s: Seconds for which ended tasks are collected.
        """
        state = self._state
        changes: dict[AllocationKey, dict[int, TaskEntry]] = {}
        recorded = cluster.zone_allocations[state.zone]
        for allocation, attempts in state.terminal_attempts.items():
            if allocation in recorded and (
                self._oldest_termination(attempts) <= state.now - delay_s
                or self._is_urgent(cluster, allocation, attempts)
            ):
                entries = {
                    attempt.index: TaskEntry(attempt.index, self._task_state(cluster, attempt), attempt.number)
                    for attempt in attempts.values()
                    if not state.runs_again(attempt)
                }
                if entries:
                    changes[allocation] = entries
        return changes

    @staticmethod
    def _oldest_termination(attempts: dict[int, TaskAttempt]) -> float:
        return next(iter(attempts.values())).terminated_at  # attempts are in order of termination

    def _is_urgent(self, cluster: ClusterState, allocation: AllocationKey, attempts: dict[int, TaskAttempt]) -> bool:
        """Whether these are the last attempts of the allocation to end, or one of the tasks has to be restarted."""
        state = self._state
        if allocation not in state.unassigned and len(attempts) == len(
            state.attempts_by_allocation.get(allocation, ())
        ):
            return True
        if not is_uncancelled_job(cluster, allocation.job):
            return False
        return allocation in state.allocations_to_restart or cluster.jobs[allocation.job].spec.kind == wire.SERVICE

    def _task_state(self, cluster: ClusterState, attempt: TaskAttempt) -> records.TaskState:
        """The state to record for the task of a terminal attempt."""
        completed = (
            attempt.phase is AttemptPhase.EXITED
            and attempt.exit_reason == wire.REASON_DONE
            and not self._is_replica(cluster, attempt)
        )
        gang = self._state.gangs.get(attempt.allocation.job)
        if gang is not None and gang.state is GangState.ENDED:
            return records.ENDED  # members complete together, including those that have not reported it
        if completed or not is_uncancelled_job(cluster, attempt.allocation.job):
            return records.ENDED
        return (
            records.RETURNED if self._state.unreachable else records.UNASSIGNED
        )  # no task can start in an unreachable zone

    @staticmethod
    def _is_replica(cluster: ClusterState, attempt: TaskAttempt) -> bool:
        """Whether the task is a replica of a service; one that exits is restarted unless the job was cancelled."""
        job = cluster.jobs.get(attempt.allocation.job)
        return job is not None and job.spec.kind == wire.SERVICE
