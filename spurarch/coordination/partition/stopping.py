"""Requests stops of attempts: of cancelled jobs, of failed gang attempts, and on behalf of other components."""

from __future__ import annotations

from spurarch.coordination.partition.gang import GangState
from spurarch.coordination.partition.machine import AttemptPhase, Machine, MachineState, TaskAttempt
from spurarch.coordination.partition.state import PartitionContext, PartitionState

NOTICE_DELIVERY_MARGIN_S = 1.0  # for a heartbeat and a command to arrive


class StopRequests:
    """Marks attempts that have to be stopped; `CommandPlanner` plans the stop commands of marked attempts."""

    def __init__(self, state: PartitionState, context: PartitionContext) -> None:
        self._state = state
        self._time_since_cancellation = context.time_since_cancellation

    def request(self, attempt: TaskAttempt, grace_s: float) -> None:
        """Requests the stop of a task, and of the other members of its gang, with a grace period in seconds."""
        self._request_one(attempt, grace_s)
        self.stop_gang_members()

    def _request_one(self, attempt: TaskAttempt, grace_s: float) -> None:
        attempt.stop_requested, attempt.grace_s = True, grace_s
        self._state.machines_needing_commands[attempt.machine] = None
        if attempt.phase is AttemptPhase.ASSIGNED:
            # An earlier owner or process can have sent a start, so only a heartbeat can prove that the task is absent.
            self._state.transition(attempt, AttemptPhase.STARTING)
        self._state.gangs.mark_changed(attempt.allocation.job)

    # Gangs

    def stop_gang_members(self) -> None:
        """Requests the stops that follow from changes of other members of the same gang: its members stop together."""
        for attempt, grace_s in self._state.gangs.members_to_stop():
            if self._receives_responses(attempt.machine):
                self._request_one(attempt, grace_s)
            else:
                # The stop can arrive too late for a common checkpoint, so the other members need not wait for this one.
                self._request_one(attempt, 0.0)

    def _receives_responses(self, name: str) -> bool:
        machine = self._state.machines.get(name)
        return machine is not None and machine.state is MachineState.ACTIVE and not machine.responses_lost

    def checkpoint_gangs(self, machine: Machine, notice_s: float) -> None:
        """Requests the stop of running gangs on a machine with a termination notice.

        Only gangs that checkpoint, and whose grace period ends before the cloud terminates the machine, are stopped.
        """
        for attempt in machine.attempts.values():
            gang = self._state.gangs.get(attempt.allocation.job)
            if gang is None or attempt.stop_requested or gang.state is not GangState.RUNNING:
                continue
            if 0 < gang.checkpoint_grace_s < notice_s - NOTICE_DELIVERY_MARGIN_S:
                self._request_one(attempt, gang.checkpoint_grace_s)

    # Cancelled jobs

    def stop_job(self, job_id: str, now: float) -> None:
        """Requests the stop of all tasks of a cancelled job."""
        state = self._state
        state.now = now
        for allocation in state.allocations_by_job.get(job_id, ()):
            for attempt in state.attempts_by_allocation[allocation].values():
                if attempt.job_cancelled_at is None:
                    self.stop_cancelled(attempt)

    def stop_cancelled(self, attempt: TaskAttempt) -> None:
        """Requests the immediate stop of a task whose job was cancelled or has ended otherwise."""
        elapsed_s = self._time_since_cancellation(attempt.allocation.job)
        if attempt.job_cancelled_at is None and elapsed_s is not None:
            attempt.job_cancelled_at = self._state.now - elapsed_s
            self._state.machines_with_cancelled_tasks[attempt.machine] = None
        self.request(attempt, 0.0)
