"""Plans the commands that a worker needs: starts, stops, and exited tasks that it may forget."""

from __future__ import annotations

import logging

from spurarch.coordination.partition.ended_attempts import CommandPath
from spurarch.coordination.partition.machine import AttemptPhase, Machine, MachineState, TaskAttempt
from spurarch.coordination.partition.state import ArchiveCoverage, PartitionContext, PartitionState
from spurarch.protocol import wire
from spurarch.storage.records import TaskKey

log = logging.getLogger(__name__)

MAX_UNARCHIVED_EXITS = 64  # exited tasks of one machine that wait for the archive and enlarge its heartbeats
CHECKPOINT_MARGIN_S = 10.0  # after the end of the grace period, until the stop of a checkpointing task is repeated


class CommandPlanner:
    """Plans the commands of a machine from the partition's tables."""

    def __init__(self, state: PartitionState, context: PartitionContext) -> None:
        self._state, self._context = state, context

    def plan(self, machine: Machine, heartbeat: wire.Heartbeat | None) -> list[wire.Command]:
        """Returns the commands that the worker needs now, and moves ASSIGNED attempts that are started to STARTING.

        With a heartbeat, it also limits `machine.exits_to_forget` to the exits that the heartbeat lists. All commands
        are idempotent, except that a start repeated after a forget runs the attempt again. Forgets come before starts,
        so that a worker does not refuse a task whose earlier attempt it still lists.

        Args:
            machine: The worker's machine.
            heartbeat: The heartbeat that is answered, or None for direct commands.
        """
        out: list[wire.Command] = []
        path = CommandPath.DIRECT if heartbeat is None else CommandPath.HEARTBEAT_RESPONSE
        if machine.starts_settled:
            forget = machine.exits_to_forget
            if self._context.coverage is not None:
                forget = self._forgettable_exits(machine, self._context.coverage)
            out += [self._forget(machine, wire.task_name(*key), attempt, path) for key, attempt in forget.items()]
        if heartbeat is not None:
            out += self._stops_for_unrecorded(machine, heartbeat)
        for attempt in machine.attempts.values():
            if attempt.stop_requested:
                if attempt.phase < AttemptPhase.EXITED and not self._is_checkpointing(attempt):
                    out.append(wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.number, attempt.grace_s))
            elif (
                attempt.phase in (AttemptPhase.ASSIGNED, AttemptPhase.STARTING)
                and attempt.incarnation == machine.incarnation
                and self._may_start(attempt)
            ):
                self._state.transition(attempt, AttemptPhase.STARTING)
                out.append(wire.Command(wire.START, wire.task_name(*attempt.key), attempt.number))
        if out and log.isEnabledFor(logging.DEBUG):
            self._log_planned(machine, path, out)
        return out

    @staticmethod
    def _log_planned(machine: Machine, path: CommandPath, commands: list[wire.Command]) -> None:
        texts = [f"{command.op}:{command.task}:{command.attempt}" for command in commands]
        log.debug(
            "commands planned machine=%s path=%s sequence=%d commands=%s",
            machine.name,
            path.value,
            machine.heartbeat_seq,
            ",".join(texts),
        )

    def _forget(self, machine: Machine, task: str, attempt: int, path: CommandPath) -> wire.Command:
        self._state.ended_attempts.forget_planned(machine.name, task, attempt, path)
        return wire.Command(wire.FORGET, task, attempt)

    @staticmethod
    def _forgettable_exits(machine: Machine, coverage: ArchiveCoverage) -> dict[TaskKey, int]:
        """Returns the exited tasks that the worker may forget, with their attempt numbers.

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
        return {key: attempt for key, attempt in machine.exits_to_forget.items() if key not in machine.unarchived_exits}

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
        if not self._context.may_start():
            return False
        if self._state.attempts_by_allocation.get(attempt.allocation, {}).get(attempt.index) is not attempt:
            self._context.violations.record(
                f"start without a recorded task job={attempt.allocation.job} task={attempt.index} "
                f"machine={attempt.machine}"
            )
            return False
        gang = self._state.gangs.get(attempt.allocation.job)
        return gang is None or gang.startable

    def stops_for_cancelled(self, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Returns stops for the listed tasks whose jobs are known to be cancelled.

        This needs no allocation records, as a new owner can be unable to read them: the partition can change owners
        just before an outage of the state service that is longer than `cancel_s`.
        """
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != wire.EXITED
            and (key := wire.split_task(task.task))
            and self._context.time_since_cancellation(key[0]) is not None
        ]

    def _stops_for_unrecorded(self, machine: Machine, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Returns stops and forgets for the listed tasks that no record assigns to this machine.

        Exited tasks in `machine.exits_to_forget` are left out, since `plan` handles them; entries of that table that
        the heartbeat no longer lists are removed.
        """
        out: list[wire.Command] = []
        listed: dict[TaskKey, int] = {}
        for task in heartbeat.tasks:
            key = wire.split_task(task.task)
            attempt = machine.attempts.get(key) if key else None
            if attempt is not None and attempt.number == task.attempt:
                continue
            if key and machine.exits_to_forget.get(key) == task.attempt:
                listed[key] = task.attempt
            elif task.state != wire.EXITED:
                out.append(wire.Command(wire.STOP, task.task, task.attempt, 0.0))
            elif machine.starts_settled:
                out.append(self._forget(machine, task.task, task.attempt, CommandPath.HEARTBEAT_RESPONSE))
        machine.exits_to_forget = listed
        return out

    def needs_command(self, machine: Machine) -> bool:
        """Whether direct commands are needed: a first start command for an attempt, or a stop command.

        Starts that were sent before are repeated only together with other commands and in heartbeat responses.
        """
        return machine.state is MachineState.ACTIVE and any(
            (attempt.phase is AttemptPhase.ASSIGNED and not attempt.stop_requested and self._may_start(attempt))
            or (
                attempt.stop_requested
                and AttemptPhase.STARTING <= attempt.phase <= AttemptPhase.RUNNING
                and not self._is_checkpointing(attempt)
            )
            for attempt in machine.attempts.values()
        )
