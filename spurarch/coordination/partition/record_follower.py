"""Applies changed records to the tables of a partition.

Imported when a partition's records are first applied: answering workers after a restart doesn't need it.
"""

from __future__ import annotations

from collections.abc import Iterable

from spurarch.coordination.partition.allocation_changes import (
    checkpoint_grace_s,
    is_uncancelled_gang,
    is_uncancelled_job,
)
from spurarch.coordination.partition.ended_attempts import EndProof
from spurarch.coordination.partition.failures import FailureAttribution
from spurarch.coordination.partition.machine import AttemptPhase, ExitedAttempt, MachineState, TaskAttempt
from spurarch.coordination.partition.state import PartitionContext, PartitionState
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey, AllocationRecord, MachineRecord, TaskEntry


class RecordFollower:
    """Applies records of jobs, machines and allocations to one partition."""

    def __init__(
        self,
        state: PartitionState,
        stops: StopRequests,
        failures: FailureAttribution,
        context: PartitionContext,
    ) -> None:
        self._state, self._stops, self._failures = state, stops, failures
        self._coverage = context.coverage

    def apply(self, cluster: ClusterState, keys: Iterable[str], now: float) -> None:
        """Applies the records under changed keys; ignores keys of other partitions."""
        state = self._state
        state.now = now
        for key in keys:
            if key.startswith(records.ALLOCATION):
                allocation = AllocationKey.parse(key)
                if allocation.zone == state.zone:
                    self._apply_allocation(cluster, allocation, cluster.zone_allocations[state.zone].get(allocation))
            elif key.startswith(records.MACHINE):
                zone, name = records.parse_machine_key(key)
                if zone == state.zone:
                    self._apply_machine(name, cluster.machines[zone].get(name))
            elif key.startswith(records.JOB):
                job_id = key[len(records.JOB) :]
                if not is_uncancelled_job(cluster, job_id):
                    self._on_job_finished(job_id)
        self._stops.stop_gang_members()

    def _on_job_finished(self, job_id: str) -> None:
        """Stops the tasks of a job that ended or was cancelled, and marks its allocations for deletion."""
        state = self._state
        self._failures.backoffs.pop(job_id, None)
        state.gangs.drop(job_id)
        for allocation in state.allocations_by_job.get(job_id, ()):
            state.orphaned_allocations.add(allocation)
            for attempt in state.attempts_by_allocation.get(allocation, {}).values():
                self._stops.stop_cancelled(attempt)

    def _apply_machine(self, name: str, record: MachineRecord | None) -> None:
        state = self._state
        machine = state.machines.get(name)
        if record is None:
            if machine is not None and machine.state is MachineState.RELEASED:
                del state.machines[name]
            return
        if machine is None:
            machine = state.add_machine(name, record.type, record.spot, record.addr)
            if name in state.released_machines:
                machine.transition(MachineState.RELEASED)  # a late transaction recorded it after its release
        machine.schedulable = record.schedulable

    # Allocations

    def _apply_allocation(
        self, cluster: ClusterState, allocation: AllocationKey, record: AllocationRecord | None
    ) -> None:
        state = self._state
        if is_uncancelled_gang(cluster, allocation.job):
            spec = cluster.jobs[allocation.job].spec
            gang = state.gangs.track(allocation.job, spec.tasks, checkpoint_grace_s(spec))
            gang.apply_record(allocation, record.tasks if record is not None else None)
        if record is None:
            self._remove_allocation(cluster, allocation)
            return
        live = is_uncancelled_job(cluster, allocation.job)
        self._reconcile_attempts(cluster, allocation, record, live)
        if not live:
            state.orphaned_allocations.add(allocation)
        free = [entry for entry in record.tasks if entry.state == records.UNASSIGNED]
        if free and live:
            state.unassigned[allocation] = free
        else:
            state.unassigned.pop(allocation, None)

    def _remove_allocation(self, cluster: ClusterState, allocation: AllocationKey) -> None:
        state = self._state
        state.unassigned.pop(allocation, None)
        for attempt in list(state.attempts_by_allocation.get(allocation, {}).values()):
            if not self._follow_split(cluster, attempt):
                self._remove_attempt(attempt)
        state.remove_allocation(allocation)

    def _reconcile_attempts(
        self, cluster: ClusterState, allocation: AllocationKey, record: AllocationRecord, live: bool
    ) -> None:
        """Removes attempts that the record no longer assigns, and adds those that it newly assigns."""
        attempts = self._state.attempts_of(allocation)
        assigned = {entry.index: entry for entry in record.tasks if entry.state == records.ASSIGNED}
        for index, attempt in list(attempts.items()):
            entry = assigned.get(index)
            if entry is None and self._follow_split(cluster, attempt):
                continue
            if entry is None or (entry.machine, entry.attempt) != (attempt.machine, attempt.number):
                self._remove_attempt(attempt)
        for index, entry in assigned.items():
            if index not in attempts:
                self._add_attempt(allocation, entry, live)

    def _add_attempt(self, allocation: AllocationKey, entry: TaskEntry, live: bool) -> None:
        state = self._state
        machine = state.machines.get(entry.machine)
        if machine is None:
            machine = state.add_machine(entry.machine, "", False, "", schedulable=False)
        attempt = TaskAttempt(allocation, entry.index, entry.attempt, entry.machine, entry.incarnation, state.now)
        state.add_attempt(attempt, machine)
        # The worker incarnation that it was assigned to has possibly ended, and with it all of its tasks.
        incarnation_ended = attempt.incarnation < machine.incarnation or (
            machine.state is MachineState.LEASE_EXPIRED and attempt.incarnation <= machine.expired_incarnation
        )
        if machine.state is MachineState.RELEASED:
            state.mark_gone(attempt, EndProof.MACHINE_RELEASED)
        elif incarnation_ended:
            state.mark_gone(attempt, EndProof.INCARNATION_ENDED)
        if not live:
            self._stops.stop_cancelled(attempt)

    def _remove_attempt(self, attempt: TaskAttempt) -> None:
        """Removes an attempt.

        If it exited, the worker is told to forget it; a completed task only once the archive, if any, holds its end.
        """
        self._state.remove_attempt(attempt)
        machine = self._state.machines.get(attempt.machine)
        if machine is not None and attempt.phase is AttemptPhase.EXITED:
            machine.exits_to_forget[attempt.key] = ExitedAttempt(
                wire.task_name(*attempt.key), attempt.number, attempt.start_token_counter
            )
            if self._coverage is not None and attempt.exit_reason == wire.REASON_DONE:
                machine.unarchived_exits[attempt.key] = self._coverage.recorded_revision()

    def _follow_split(self, cluster: ClusterState, attempt: TaskAttempt) -> bool:
        """Moves an attempt whose entry is now in another record of the same job, as after a split of its record.

        The phase is kept: without it, a task whose end isn't recorded yet would be started again.

        Returns:
            Whether the attempt was moved.
        """
        for allocation, record in cluster.allocations.get(attempt.allocation.job, {}).items():
            if allocation.zone != self._state.zone or allocation == attempt.allocation:
                continue
            for entry in record.tasks:
                same = (entry.index, entry.machine, entry.attempt) == (attempt.index, attempt.machine, attempt.number)
                if same and entry.state == records.ASSIGNED:
                    self._state.move_attempt(attempt, allocation)
                    return True
        return False
