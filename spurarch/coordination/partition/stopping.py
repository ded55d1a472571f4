"""Which attempts have to leave their machines: of cancelled jobs, of broken gangs, and those that others ask for."""

from __future__ import annotations

from spurarch.coordination.partition.gang import GangState
from spurarch.coordination.partition.machine import AttemptPhase, Machine, MachineState, TaskAttempt
from spurarch.coordination.partition.state import PartitionContext, PartitionState

NOTICE_MARGIN_S = 1.0  # commands and heartbeats take that long


class StopRequests:
    """Marks attempts that have to leave; commands that say so follow from the marks."""

    def __init__(self, state: PartitionState, context: PartitionContext) -> None:
        self._state = state
        self._time_since_cancellation = context.time_since_cancellation

    def request(self, attempt: TaskAttempt, grace_s: float) -> None:
        """Has a task leave its machine within a grace period, and with it the other members of its gang."""
        self._request_one(attempt, grace_s)
        self.stop_gang_members()

    def _request_one(self, attempt: TaskAttempt, grace_s: float) -> None:
        attempt.stop_requested, attempt.grace_s = True, grace_s
        self._state.machines_needing_commands[attempt.machine] = None
        if attempt.phase is AttemptPhase.ASSIGNED:
            # An earlier process may have sent a start, so absence has to be shown by a heartbeat all the same.
            self._state.transition(attempt, AttemptPhase.STARTING)
        self._state.gangs.mark_changed(attempt.allocation.job)

    # Gangs

    def stop_gang_members(self) -> None:
        """Members of a gang leave together: whatever happened to one of them decides for all."""
        for attempt, grace_s in self._state.gangs.members_to_stop():
            if self._acknowledges_token(attempt.machine):
                self._request_one(attempt, grace_s)
            else:
                # The stop may come too late for the others to checkpoint: they need not wait for it.
                self._request_one(attempt, 0.0)

    def _acknowledges_token(self, name: str) -> bool:
        machine = self._state.machines.get(name)
        return machine is not None and machine.state is MachineState.ACTIVE and not machine.responses_lost

    def checkpoint_gangs(self, machine: Machine, notice_s: float) -> None:
        """The machine will be taken away: gangs on it checkpoint while all of their members still can."""
        for attempt in machine.attempts.values():
            gang = self._state.gangs.get(attempt.allocation.job)
            if gang is None or attempt.stop_requested or gang.state is not GangState.RUNNING:
                continue
            if 0 < gang.checkpoint_grace_s < notice_s - NOTICE_MARGIN_S:
                self._request_one(attempt, gang.checkpoint_grace_s)

    # Cancelled jobs

    def stop_job(self, job_id: str, now: float) -> None:
        """Has all tasks of a cancelled job leave."""
        state = self._state
        state.now = now
        for allocation in state.allocations_by_job.get(job_id, ()):
            for attempt in state.attempts_by_allocation[allocation].values():
                if attempt.job_cancelled_at is None:
                    self.stop_cancelled(attempt)

    def stop_cancelled(self, attempt: TaskAttempt) -> None:
        """Has a task leave at once whose job is cancelled, or over in another way."""
        elapsed_s = self._time_since_cancellation(attempt.allocation.job)
        if attempt.job_cancelled_at is None and elapsed_s is not None:
            attempt.job_cancelled_at = self._state.now - elapsed_s
            self._state.machines_with_cancelled_tasks[attempt.machine] = None
        self.request(attempt, 0.0)
