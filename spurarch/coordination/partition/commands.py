"""Plans the commands that a worker needs: starts, stops, and exited tasks that it may forget."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Sequence

from spurarch.coordination.partition.ended_attempts import CommandPath, SentCommand
from spurarch.coordination.partition.machine import (
    AttemptPhase,
    ExitedAttempt,
    Machine,
    MachineState,
    TaskAttempt,
    rejects_start,
)
from spurarch.coordination.partition.state import ArchiveCoverage, PartitionContext, PartitionState
from spurarch.protocol import wire
from spurarch.protocol.message_limits import MAX_COMMANDS_PER_MESSAGE, MAX_TASKS_PER_MACHINE
from spurarch.storage.records import TaskKey

log = logging.getLogger(__name__)

MAX_UNARCHIVED_EXITS = 64  # exited tasks of one machine that wait for the archive and enlarge its heartbeats
CHECKPOINT_MARGIN_S = 10.0  # after the end of the grace period, until the stop of a checkpointing task is repeated


class CommandPlanner:
    """Plans the commands of a machine from the partition's tables."""

    def __init__(self, state: PartitionState, context: PartitionContext) -> None:
        self._state, self._context = state, context

    def plan(
        self, machine: Machine, heartbeat: wire.Heartbeat | None, absent: Sequence[TaskAttempt] = ()
    ) -> list[wire.Command]:
        """Returns the commands that the worker needs now, and moves ASSIGNED attempts that are started to STARTING.

        All commands are idempotent, except that a start repeated after a forget runs the attempt again. Forgets come
        before starts, so that a worker does not refuse a task whose earlier attempt it still lists.

        A message carries at most `MAX_COMMANDS_PER_MESSAGE`; stops are preferred to forgets, and forgets to starts. A
        command that is left out is planned again for the next message. Until then, nothing is noted as sent, and the
        token is not raised for it.

        Args:
            machine: The worker's machine.
            heartbeat: The heartbeat that is answered, or None for direct commands.
            absent: Attempts to be stopped that the heartbeat doesn't list, and that the worker could still start.
        """
        path = CommandPath.DIRECT if heartbeat is None else CommandPath.HEARTBEAT_RESPONSE
        stops = self._stops(machine)
        forgets = self._forgets(machine, path, absent, MAX_COMMANDS_PER_MESSAGE - len(stops))
        starts = self._starts(machine, path, MAX_COMMANDS_PER_MESSAGE - len(stops) - len(forgets))
        out = forgets + stops + starts
        if out and log.isEnabledFor(logging.DEBUG):
            self._log_planned(machine, path, out)
        return out

    def _stops(self, machine: Machine) -> list[wire.Command]:
        """Returns the stops that one message can carry, those of the jobs that were cancelled first before others."""
        stopping = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.stop_requested and attempt.phase < AttemptPhase.EXITED and not self._is_checkpointing(attempt)
        ]
        if len(stopping) > MAX_COMMANDS_PER_MESSAGE:
            stopping.sort(key=_cancellation_order)
        return (self.unrecorded_stops(machine) + [_stop(attempt) for attempt in stopping])[:MAX_COMMANDS_PER_MESSAGE]

    def _forgets(
        self, machine: Machine, path: CommandPath, absent: Sequence[TaskAttempt], max_commands: int
    ) -> list[wire.Command]:
        """Returns forgets for exited attempts whose starts the worker rejects; a heartbeat response raises the token.

        It is also raised for the attempts in `absent`.
        """
        exits = self._exits_to_forget(machine)
        if path is CommandPath.HEARTBEAT_RESPONSE:
            exits = exits[:max_commands]
            self._reject_starts(machine, [*exits, *absent])
        else:
            exits = [exited for exited in exits if rejects_start(machine.token_counter, exited.start_token_counter)]
        return [self._forget(machine, exited, path) for exited in exits[:max_commands]]

    def _starts(self, machine: Machine, path: CommandPath, max_commands: int) -> list[wire.Command]:
        """Returns starts, and moves the attempts that are started for the first time to STARTING."""
        out: list[wire.Command] = []
        free_tasks = _free_tasks(machine)
        for attempt in machine.attempts.values():
            if len(out) >= max_commands:
                break
            if attempt.stop_requested or attempt.phase > AttemptPhase.STARTING:
                continue
            if attempt.incarnation != machine.incarnation or not self._may_start(attempt):
                continue
            if attempt.phase is AttemptPhase.ASSIGNED:
                if free_tasks <= 0:
                    continue
                free_tasks -= 1
            self._state.transition(attempt, AttemptPhase.STARTING)
            machine.start_planned(attempt, path)
            out.append(wire.Command(wire.START, wire.task_name(*attempt.key), attempt.number))
        return out

    def _log_planned(self, machine: Machine, path: CommandPath, commands: list[wire.Command]) -> None:
        texts = [f"{command.op}:{command.task}:{command.attempt}" for command in commands]
        log.debug(
            "commands planned machine=%s path=%s token=%d sequence=%d commands=%s",
            machine.name,
            path.value,
            self._state.fencing_token(machine),
            machine.heartbeat_seq,
            ",".join(texts),
        )

    def _reject_starts(self, machine: Machine, attempts: Iterable[ExitedAttempt | TaskAttempt]) -> None:
        """Raises the token, if needed, so that the worker rejects all earlier start commands for the attempts.

        Tokens are raised only in heartbeat responses. The worker has a single heartbeat in flight, so that it drops no
        response because a message with a higher token has overtaken it, and its lease is renewed. The response also
        repeats the direct commands that the worker rejects if it overtakes them.
        """
        if not all(rejects_start(machine.token_counter, attempt.start_token_counter) for attempt in attempts):
            machine.token_counter = self._state.next_token_counter()
            log.debug("fencing token raised machine=%s token=%d", machine.name, self._state.fencing_token(machine))

    def _forget(self, machine: Machine, exited: ExitedAttempt, path: CommandPath) -> wire.Command:
        sent = SentCommand(path, self._state.fencing_token(machine))
        self._state.ended_attempts.forget_planned(machine.name, exited.task, exited.number, sent)
        return wire.Command(wire.FORGET, exited.task, exited.number)

    def _exits_to_forget(self, machine: Machine) -> list[ExitedAttempt]:
        """Returns the exited attempts that the worker need not list any more."""
        exits = machine.exits_to_forget
        if self._context.coverage is not None:
            exits = self._archived_exits(machine, self._context.coverage)
        return [*exits.values()] + [
            ExitedAttempt(task.task, task.attempt, machine.start_token_counter)
            for task in machine.unrecorded_tasks
            if task.state == wire.EXITED and machine.lists_unrecorded(task)
        ]

    @staticmethod
    def _archived_exits(machine: Machine, coverage: ArchiveCoverage) -> dict[TaskKey, ExitedAttempt]:
        """Returns those of `machine.exits_to_forget` that need not wait for the archive.

        If the state service loses its data, a recorded exit is lost too. Until the archive covers the record, the
        worker's heartbeats are the only other evidence of the exit. A worker keeps at most `MAX_UNARCHIVED_EXITS` such
        exits; beyond that, it may forget the oldest although the archive doesn't hold them.

        Exits that need not wait any longer are also removed from `machine.unarchived_exits`.
        """
        unarchived = [
            (key, revision)
            for key, revision in machine.unarchived_exits.items()
            if key in machine.exits_to_forget and not coverage.covers(revision)
        ]
        machine.unarchived_exits = dict(unarchived[-MAX_UNARCHIVED_EXITS:])
        return {key: exited for key, exited in machine.exits_to_forget.items() if key not in machine.unarchived_exits}

    def _is_checkpointing(self, attempt: TaskAttempt) -> bool:
        """Whether a task being stopped still has time to checkpoint, so that its stop need not be repeated.

        The time counts from the acknowledgement of a direct stop command. Without one, a reported checkpoint (phase
        STOPPING) counts, without a time limit. The phase alone is not enough, since workers report gang members that
        checkpoint as running.
        """
        if attempt.grace_s <= 0:
            return False
        if attempt.stop_acknowledged_at is not None:
            return self._state.now - attempt.stop_acknowledged_at < attempt.grace_s + CHECKPOINT_MARGIN_S
        return attempt.phase is AttemptPhase.STOPPING

    def _may_start(self, attempt: TaskAttempt) -> bool:
        if not self._context.may_start() or self._state.unrecorded_attempts.runs(attempt.key):
            return False
        if self._state.attempts_by_allocation.get(attempt.allocation, {}).get(attempt.index) is not attempt:
            self._context.violations.record(
                f"start without a recorded task job={attempt.allocation.job} task={attempt.index} "
                f"machine={attempt.machine}"
            )
            return False
        gang = self._state.gangs.get(attempt.allocation.job)
        return gang is None or gang.startable

    def stops_without_records(self, machine: Machine, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Returns stops for the listed tasks whose jobs are known to be cancelled, or whose end was proved.

        This needs no allocation records, as a new owner can be unable to read them: the partition can change owners
        just before an outage of the state service that is longer than `cancel_s`.
        """
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != wire.EXITED and (self._is_cancelled(task) or self._has_ended(machine, task))
        ][:MAX_COMMANDS_PER_MESSAGE]

    def stops_before_records(self, machine: Machine) -> list[wire.Command]:
        """Returns the stops without a grace period, as of the tasks of cancelled jobs, before the records are read."""
        attempts = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.stop_requested and attempt.grace_s == 0 and attempt.phase < AttemptPhase.EXITED
        ]
        return ([_stop(attempt) for attempt in attempts] + self.unrecorded_stops(machine))[:MAX_COMMANDS_PER_MESSAGE]

    def _must_stop(self, machine: Machine, task: wire.TaskStatus) -> bool:
        """Whether a task in `machine.unrecorded_tasks` has to be stopped.

        Before the records are read, that is known only of tasks whose job was cancelled or whose end was proved.
        """
        if task.state == wire.EXITED or not machine.lists_unrecorded(task):
            return False
        return self._state.records_read or self._is_cancelled(task) or self._has_ended(machine, task)

    def _is_cancelled(self, task: wire.TaskStatus) -> bool:
        key = wire.split_task(task.task)
        return key is not None and self._context.time_since_cancellation(key[0]) is not None

    def _has_ended(self, machine: Machine, task: wire.TaskStatus) -> bool:
        return self._state.ended_attempts.get(machine.name, task.task, task.attempt) is not None

    def unrecorded_stops(self, machine: Machine) -> list[wire.Command]:
        """Returns stops for the unrecorded tasks in the newest message of the worker."""
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in machine.unrecorded_tasks
            if self._must_stop(machine, task)
        ]

    def needs_command(self, machine: Machine) -> bool:
        """Whether direct commands are needed: a first start command for an attempt, or a stop command for any task.

        Starts that were sent before are repeated only together with other commands and in heartbeat responses.
        """
        if machine.state is not MachineState.ACTIVE:
            return False
        may_start = _free_tasks(machine) > 0
        return any(self._must_stop(machine, task) for task in machine.unrecorded_tasks) or any(
            (
                may_start
                and attempt.phase is AttemptPhase.ASSIGNED
                and not attempt.stop_requested
                and self._may_start(attempt)
            )
            or (
                attempt.stop_requested
                and AttemptPhase.STARTING <= attempt.phase <= AttemptPhase.RUNNING
                and not self._is_checkpointing(attempt)
            )
            for attempt in machine.attempts.values()
        )


def _stop(attempt: TaskAttempt) -> wire.Command:
    return wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.number, attempt.grace_s)


def _cancellation_order(attempt: TaskAttempt) -> float:
    return attempt.job_cancelled_at if attempt.job_cancelled_at is not None else math.inf


def _free_tasks(machine: Machine) -> int:
    """Returns how many more attempts can be started without more tasks on the machine than a heartbeat can list.

    The records may assign more to it: an earlier version did not limit the number of tasks.
    """
    listed = machine.listed_without_record
    if len(machine.attempts) + listed <= MAX_TASKS_PER_MACHINE:
        return MAX_TASKS_PER_MACHINE
    started = sum(
        AttemptPhase.STARTING <= attempt.phase <= AttemptPhase.EXITED for attempt in machine.attempts.values()
    )
    return MAX_TASKS_PER_MACHINE - listed - started
