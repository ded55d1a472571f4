"""Applies the status that a worker reports of its machine and tasks.

Workers report it in heartbeats and in responses to direct commands, which can be duplicated, delayed and reordered.
"""

from __future__ import annotations

import logging

from spurarch.coordination.partition.ended_attempts import EndProof
from spurarch.coordination.partition.failures import FailureAttribution
from spurarch.coordination.partition.machine import (
    AttemptPhase,
    ExitedAttempt,
    Machine,
    MachineState,
    reported_phase,
)
from spurarch.coordination.partition.state import PartitionContext, PartitionState
from spurarch.coordination.partition.stopping import StopRequests
from spurarch.protocol import wire
from spurarch.storage.records import TaskKey

log = logging.getLogger(__name__)

MAX_LOGGED_STATES = 5000  # task states; one log line each


class StatusUpdater:
    """Applies the messages of workers to machines and attempts."""

    def __init__(
        self,
        state: PartitionState,
        stops: StopRequests,
        failures: FailureAttribution,
        context: PartitionContext,
    ) -> None:
        self._state, self._stops, self._failures = state, stops, failures
        self._image_of, self._violations = context.image_of, context.violations
        self._time_since_cancellation = context.time_since_cancellation
        self._logged_states: set[str] = set()

    def apply(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> None:
        """Applies a message of a worker, unless it is outdated or its fencing token was not issued by this owner.

        A message is outdated if it or a newer one has been applied, or if the lease of its incarnation has expired.
        A machine becomes active with the first message that carries a fencing token issued since this owner added the
        machine. Duplicates of older messages cannot carry such a token. So they never reactivate a released machine,
        nor make a new owner consider a machine active that no longer sends heartbeats, however many duplicates arrive.
        """
        state = self._state
        if machine.has_applied(heartbeat) or heartbeat.incarnation <= machine.expired_incarnation:
            return
        lowest_token = state.lowest_token
        if (
            not lowest_token + machine.first_token_counter
            <= heartbeat.fencing_token
            <= lowest_token + state.highest_token_counter
        ):
            return
        if heartbeat.incarnation > machine.incarnation:
            self._end_incarnation(machine, heartbeat.incarnation)
        machine.incarnation, machine.heartbeat_seq = heartbeat.incarnation, heartbeat.seq
        machine.last_heartbeat_at = now
        machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        machine.acknowledge(heartbeat.fencing_token - lowest_token, now)
        if machine.transition(MachineState.ACTIVE):
            state.capacity_added_at = now
            state.scheduling_triggers += 1
        notice_s = heartbeat.termination_notice_s
        machine.termination_notice_until = None if notice_s is None else now + notice_s
        if notice_s is not None:
            self._stops.checkpoint_gangs(machine, notice_s)
        if heartbeat.tasks != machine.last_task_statuses or machine.unrecorded_tasks or machine.exits_to_forget:
            machine.last_task_statuses = heartbeat.tasks
            for task in heartbeat.tasks:
                self._apply_task(machine, task, now)
            self._update_unrecorded(machine, heartbeat.tasks, now)
        if machine.attempts or machine.unrecorded_tasks:
            state.machines_needing_commands[machine.name] = None

    def _update_unrecorded(self, machine: Machine, tasks: list[wire.TaskStatus], now: float) -> None:
        """Finds the unrecorded tasks in a message; limits `machine.exits_to_forget` to the exits that it lists."""
        exits: dict[TaskKey, ExitedAttempt] = {}
        unrecorded: list[wire.TaskStatus] = []
        for task in tasks:
            if not machine.lists_unrecorded(task):
                continue
            key = wire.split_task(task.task)
            exited = machine.exits_to_forget.get(key) if key else None
            if key and exited is not None and exited.number == task.attempt and task.state == wire.EXITED:
                exits[key] = exited
            else:
                unrecorded.append(task)
        machine.exits_to_forget = exits
        if unrecorded and self._state.records_read:
            self._log_unrecorded(machine, unrecorded)
        self._state.set_unrecorded_tasks(machine, unrecorded)
        machine.unrecorded_cancellation_at = self._earliest_cancellation(machine, now)
        if machine.unrecorded_cancellation_at is not None:
            self._state.machines_with_cancelled_tasks[machine.name] = None

    def _log_unrecorded(self, machine: Machine, tasks: list[wire.TaskStatus]) -> None:
        """Logs unrecorded attempts that the message before did not list."""
        known = self._state.unrecorded_attempts
        for task in tasks:
            key = wire.split_task(task.task)
            if key and task.state != wire.EXITED and not known.runs_attempt(key, machine.name, task.attempt):
                log.warning(
                    "unrecorded attempt runs machine=%s task=%s attempt=%d state=%s token=%d",
                    machine.name,
                    task.task,
                    task.attempt,
                    task.state,
                    self._state.lowest_token + machine.acknowledged_token_counter,
                )

    def _earliest_cancellation(self, machine: Machine, now: float) -> float | None:
        """Returns when the job of an unrecorded task that has not exited was first cancelled; None without one."""
        times = []
        for task in machine.unrecorded_tasks:
            key = wire.split_task(task.task)
            if key is None or task.state == wire.EXITED:
                continue
            elapsed_s = self._time_since_cancellation(key[0])
            ended = self._state.ended_attempts.get(machine.name, task.task, task.attempt)
            if elapsed_s is not None:
                times.append(now - elapsed_s)
            elif ended is not None and ended.job_cancelled_at is not None:
                times.append(ended.job_cancelled_at)
        return min(times, default=None)

    def _end_incarnation(self, machine: Machine, incarnation: int) -> None:
        """Marks the attempts of earlier incarnations as gone: a restarted worker runs none of them."""
        for attempt in list(machine.attempts.values()):
            if attempt.incarnation < incarnation:
                self._state.mark_gone(attempt, EndProof.INCARNATION_ENDED)
        machine.exits_to_forget.clear()
        machine.unconfirmed_cancellation_at = None

    def _apply_task(self, machine: Machine, task: wire.TaskStatus, now: float) -> None:
        key = wire.split_task(task.task)
        attempt = machine.attempts.get(key) if key else None
        if attempt is None or attempt.number != task.attempt:
            self._check_not_ended(machine, task)
            return
        phase = reported_phase(task)
        if phase is None:
            self._log_unknown_state(task.state)
            return
        if attempt.phase >= AttemptPhase.EXITED:
            self._check_not_ended(machine, task)
        elif self._state.transition(attempt, phase, task.exit_reason):
            if phase is AttemptPhase.RUNNING:
                attempt.running_at = now
            if phase in (AttemptPhase.GATHERING, AttemptPhase.RUNNING):
                image = self._image_of(attempt.allocation.job)
                if image is not None:
                    machine.cached_images.add(image)
            if phase is AttemptPhase.EXITED:
                self._failures.record_exit(machine, attempt, now)

    def _check_not_ended(self, machine: Machine, task: wire.TaskStatus) -> None:
        """Records a violation if the worker runs an attempt that had ended; once for each attempt.

        Only messages that are newer than the proof of the end are applied, so the worker has started it again.
        """
        if task.state == wire.EXITED:
            return
        ended = self._state.ended_attempts.get(machine.name, task.task, task.attempt)
        if ended is not None and not ended.reported:
            ended.reported = True
            self._violations.record(
                f"ended attempt runs again task={task.task} attempt={task.attempt} machine={machine.name} "
                f"token={self._state.lowest_token + machine.acknowledged_token_counter} {ended.description()}"
            )

    def _log_unknown_state(self, task_state: str) -> None:
        """Logs an unknown task state, which is otherwise ignored: workers can be newer than controllers."""
        if task_state not in self._logged_states and len(self._logged_states) < MAX_LOGGED_STATES:
            self._logged_states.add(task_state)
            log.warning("unknown task state reported state=%r", task_state)
