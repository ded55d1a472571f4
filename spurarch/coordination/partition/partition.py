"""One part of the fleet in the hands of its owner: what reports mean, which commands follow, what to record.

No I/O: reports, records and the time come in; answers, commands and changes of records come out.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from spurarch.coordination.partition.allocation_changes import checkpoint_grace_s, is_live, is_live_gang
from spurarch.coordination.partition.failures import FailureAttribution, JobBackoff
from spurarch.coordination.partition.gang import Gangs, GangState
from spurarch.coordination.partition.machine import AttemptPhase, Machine, MachineState, TaskAttempt, observed_phase
from spurarch.coordination.runtime.invariants import InvariantViolations
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey, AllocationRecord, MachineRecord, TaskEntry

log = logging.getLogger(__name__)


class ArchiveCoverage(Protocol):
    """Tells up to which revision the records are in the archive."""

    def recorded(self) -> int:
        """A revision that holds all that is on record here now."""

    def covers(self, revision: int) -> bool:
        """The archive holds all changes up to a revision, or is not to be waited for."""


TOKEN_BITS = 36
PROBE_LEASES = 0.6  # of a lease: time after which a machine is given a new token, to see that it hears us
RESPONSES_LOST_LEASES = 0.5  # several reports: a worker shows a higher token with the next one that it sends
REJECTED_MACHINES_KEPT = 5000  # machines of which a line is logged
RELEASED_MACHINES_KEPT = 20_000  # names: several times a fleet
NOTICE_MARGIN_S = 1.0  # commands and reports take that long
UNARCHIVED_MOST = 64  # ended tasks of one machine that wait for the archive; its reports grow by them
CHECKPOINT_SLACK_S = 10.0  # beyond its grace, before a task that was told to save is told once more


class Partition:
    """State of one part. The owner owns it as long as `epoch` is the part's on record.

    Nothing here that happens on a report, a change or a round walks the whole part: what has to be recorded, sent or
    cleaned up is collected where it arises.
    """

    def __init__(
        self,
        zone: str,
        epoch: int,
        lease_s: float,
        now: float,
        image_of: Callable[[str], int | None],
        violations: InvariantViolations | None = None,
    ) -> None:
        self.zone, self.epoch, self.lease_s = zone, epoch, lease_s
        self._image_of = image_of
        self._violations = violations or InvariantViolations()
        self.claimed_at = self.now = now
        self.capacity_added_at = now  # when a machine last became known
        self.machines: dict[str, Machine] = {}
        self.attempts: dict[tuple[str, int], TaskAttempt] = {}
        self.unassigned: dict[AllocationKey, list[TaskEntry]] = {}
        self._failures = FailureAttribution(self.machines)
        self.unreachable = False  # nobody hears its workers
        self.records_read = False  # the records of this part have been read since it was claimed
        self.scheduling_triggers = (
            0  # machines that became known and tasks that left: a round of decisions may use the room
        )
        self.time_since_cancellation: Callable[[str], float | None] = (
            lambda job: None
        )  # seconds since a job was cancelled, if it was
        self.machines_with_cancelled_tasks: dict[str, None] = {}  # machines that may hold tasks of cancelled jobs
        self.terminal_attempts: dict[AllocationKey, dict[int, TaskAttempt]] = defaultdict(
            dict
        )  # ended or gone, and not recorded as that
        self.machines_needing_commands: dict[str, None] = {}  # machines that may need a command
        self.orphaned_allocations: set[AllocationKey] = set()  # allocations that may be left from a job that is over
        self._attempts_by_allocation: dict[AllocationKey, dict[int, TaskAttempt]] = {}
        self._allocations_by_job: dict[str, set[AllocationKey]] = defaultdict(set)
        self._token_counter = 0
        self._released: dict[str, None] = {}
        self._rejected_machines: set[str] = set()
        self._unknown_states: set[str] = set()
        self._allocations_to_restart: set[AllocationKey] = (
            set()
        )  # allocations with a task that is over and was not completed
        self.gangs = Gangs()
        self.may_start: Callable[[], bool] = lambda: True  # the records can be believed
        self.coverage: ArchiveCoverage | None = None  # where ends have to be archived before they are forgotten

    @property
    def backoffs(self) -> dict[str, JobBackoff]:
        """By job, what its failures taught."""
        return self._failures.backoffs

    # Tokens

    @property
    def lowest_token(self) -> int:
        """Lowest token of this epoch."""
        return self.epoch << TOKEN_BITS

    def fencing_token(self, machine: Machine) -> int:
        """The token that the machine is given now."""
        return self.lowest_token + machine.token_counter

    def _next_token_counter(self) -> int:
        """Never given to any machine before, so a report that shows it follows an answer that carried it."""
        self._token_counter += 1
        return self._token_counter

    # Records coming in

    def apply_records(self, state: ClusterState, keys: Iterable[str], now: float) -> None:
        """Follows changed records of this part."""
        self.now = now
        for key in keys:
            if key.startswith(records.ALLOCATION):
                allocation = AllocationKey.parse(key)
                if allocation.zone == self.zone:
                    self._apply_allocation(state, allocation, state.zone_allocations[self.zone].get(allocation), now)
            elif key.startswith(records.MACHINE):
                zone, name = records.parse_machine_key(key)
                if zone == self.zone:
                    self._apply_machine(name, state.machines[zone].get(name), now)
            elif key.startswith(records.JOB):
                job_id = key[len(records.JOB) :]
                if not is_live(state, job_id):
                    self._on_job_finished(job_id)
        self._stop_gang_members()

    def _on_job_finished(self, job_id: str) -> None:
        """The job ended or was cancelled: its tasks leave, and its allocations go."""
        self._failures.backoffs.pop(job_id, None)
        self.gangs.drop(job_id)
        for allocation in self._allocations_by_job.get(job_id, ()):
            self.orphaned_allocations.add(allocation)
            for attempt in self._attempts_by_allocation.get(allocation, {}).values():
                self._stop_cancelled_attempt(attempt)

    def _apply_machine(self, name: str, record: MachineRecord | None, now: float) -> None:
        machine = self.machines.get(name)
        if record is None:
            if machine is not None and machine.state is MachineState.RELEASED:
                del self.machines[name]
            return
        if machine is None:
            machine = self._new_machine(name, record.type, record.spot, record.addr)
            if name in self._released:
                machine.transition(MachineState.RELEASED)  # a transaction that put it on record was carried out late
        machine.schedulable = record.schedulable

    def _new_machine(self, name: str, kind: str, spot: bool, addr: str, schedulable: bool = True) -> Machine:
        machine = Machine(name, self.zone, kind, spot, addr, self.now, schedulable=schedulable)
        machine.first_token_counter = machine.token_counter = self._next_token_counter()
        self.machines[name] = machine
        return machine

    def _apply_allocation(
        self, state: ClusterState, allocation: AllocationKey, record: AllocationRecord | None, now: float
    ) -> None:
        mine = self._attempts_by_allocation.get(allocation, {})
        if is_live_gang(state, allocation.job):
            spec = state.jobs[allocation.job].spec
            gang = self.gangs.track(allocation.job, spec.tasks, checkpoint_grace_s(spec))
            gang.apply_record(allocation, record.tasks if record is not None else None)
        if record is None:
            self.unassigned.pop(allocation, None)
            for attempt in list(mine.values()):
                if not self._follow_split(state, attempt):
                    self._remove_attempt(attempt)
            self._attempts_by_allocation.pop(allocation, None)
            self._allocations_by_job[allocation.job].discard(allocation)
            if not self._allocations_by_job[allocation.job]:
                del self._allocations_by_job[allocation.job]
                self.gangs.drop(allocation.job)
            return
        if allocation not in self._attempts_by_allocation:
            mine = self._attempts_by_allocation[allocation] = {}
            self._allocations_by_job[allocation.job].add(allocation)
        wanted = is_live(state, allocation.job)
        if not wanted:
            self.orphaned_allocations.add(allocation)
        assigned = {e.index: e for e in record.tasks if e.state == records.ASSIGNED}
        for index, attempt in list(mine.items()):
            entry = assigned.get(index)
            if entry is None and self._follow_split(state, attempt):
                continue
            if entry is None or (entry.machine, entry.attempt) != (attempt.machine, attempt.number):
                self._remove_attempt(attempt)
        for index, entry in assigned.items():
            if index not in mine:
                self._add_attempt(allocation, entry, wanted, now)
        free = [e for e in record.tasks if e.state == records.FREE]
        if free and wanted:
            self.unassigned[allocation] = free
        else:
            self.unassigned.pop(allocation, None)

    def _add_attempt(self, allocation: AllocationKey, entry: TaskEntry, wanted: bool, now: float) -> None:
        machine = self.machines.get(entry.machine)
        if machine is None:
            machine = self._new_machine(entry.machine, "", False, "", schedulable=False)
        attempt = TaskAttempt(allocation, entry.index, entry.attempt, entry.machine, entry.incarnation, now)
        self._attempts_by_allocation[allocation][entry.index] = self.attempts[attempt.key] = machine.attempts[
            attempt.key
        ] = attempt
        gang = self.gangs.get(allocation.job)
        if gang is not None:
            gang.members[attempt.index] = attempt
        machine.idle_since = None
        machine.last_task_statuses = None
        self.machines_needing_commands[machine.name] = None
        if attempt.incarnation < machine.incarnation or (
            machine.state is MachineState.LEASE_EXPIRED and attempt.incarnation <= machine.expired_incarnation
        ):
            self.transition(attempt, AttemptPhase.GONE)  # recorded onto a session that was over by then
        elif machine.state is MachineState.RELEASED:
            self.transition(attempt, AttemptPhase.GONE)
        if not wanted:
            self._stop_cancelled_attempt(attempt)

    def _follow_split(self, state: ClusterState, attempt: TaskAttempt) -> bool:
        """Follows a task whose entry went to another record of the same job, as when a record is split.

        Its state is kept: forgetting an end that is not recorded yet would have the task run once more.
        """
        for allocation, record in state.allocations.get(attempt.allocation.job, {}).items():
            if allocation.zone != self.zone or allocation == attempt.allocation:
                continue
            for entry in record.tasks:
                same = (entry.index, entry.machine, entry.attempt) == (attempt.index, attempt.machine, attempt.number)
                if same and entry.state == records.ASSIGNED:
                    self._move_attempt(attempt, allocation)
                    return True
        return False

    def _move_attempt(self, attempt: TaskAttempt, allocation: AllocationKey) -> None:
        for table in (self._attempts_by_allocation, self.terminal_attempts):
            if table.get(attempt.allocation, {}).pop(attempt.index, None) is attempt:
                table.setdefault(allocation, {})[attempt.index] = attempt
        self._drop_empty(attempt.allocation)
        self._allocations_by_job[allocation.job].add(allocation)
        if attempt.phase >= AttemptPhase.EXITED and attempt.exit_reason != wire.REASON_DONE:
            self._allocations_to_restart.add(allocation)
        attempt.allocation = allocation

    def _drop_empty(self, allocation: AllocationKey) -> None:
        if not self.terminal_attempts.get(allocation, True):
            del self.terminal_attempts[allocation]
            self._allocations_to_restart.discard(allocation)

    def _remove_attempt(self, attempt: TaskAttempt) -> None:
        if self.attempts.get(attempt.key) is attempt:
            del self.attempts[attempt.key]
        gang = self.gangs.get(attempt.allocation.job)
        if gang is not None and gang.members.get(attempt.index) is attempt:
            del gang.members[attempt.index]
            self.gangs.mark_changed(gang.job)
        for table in (self._attempts_by_allocation, self.terminal_attempts):
            attempts = table.get(attempt.allocation)
            if attempts is not None and attempts.get(attempt.index) is attempt:
                del attempts[attempt.index]
        self._drop_empty(attempt.allocation)
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            if machine.attempts.get(attempt.key) is attempt:
                del machine.attempts[attempt.key]
            if attempt.phase is AttemptPhase.EXITED:
                machine.to_forget[attempt.key] = attempt.number
                if self.coverage is not None and attempt.exit_reason == wire.REASON_DONE:
                    machine.unarchived[attempt.key] = self.coverage.recorded()

    def transition(self, attempt: TaskAttempt, phase: AttemptPhase, why: str | None = None) -> bool:
        """Changes a task's phase; what has ended is noted, to be recorded."""
        if not attempt.transition(phase, why):
            return False
        if phase in (AttemptPhase.EXITED, AttemptPhase.GONE):
            attempt.terminated_at = self.now
            self.scheduling_triggers += 1
            self.terminal_attempts[attempt.allocation][attempt.index] = attempt
            if phase is AttemptPhase.GONE or why != wire.REASON_DONE:
                self._allocations_to_restart.add(attempt.allocation)
        self.gangs.mark_changed(attempt.allocation.job)
        return True

    def _stop_gang_members(self) -> None:
        """Members of a gang leave together: whatever happened to one of them decides for all."""
        for attempt, grace_s in self.gangs.members_to_stop():
            if self._acknowledges_token(attempt.machine):
                self._request_stop_one(attempt, grace_s)
            else:
                # The stop may come too late for the others, so that nothing is saved: they need not wait for it.
                self._request_stop_one(attempt, 0.0)

    def _acknowledges_token(self, name: str) -> bool:
        machine = self.machines.get(name)
        return machine is not None and machine.state is MachineState.ACTIVE and not machine.responses_lost

    # Reports

    def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float, commanding: bool = True) -> list[wire.Command] | None:
        """Takes a report in and returns the commands of its answer; None if it must not be answered with 200.

        A report may be a copy of any age, or come in an order that can't be: only one newer than the newest seen, of a
        machine that has shown a token chosen anew for it here, teaches anything. Without `commanding` the answer only
        keeps the worker's lease: this owner may have been deposed.
        """
        self.now = now
        if heartbeat.machine in self._released:
            self._log_rejected_heartbeat(heartbeat, "machine was released")
            return None
        if heartbeat.fencing_token > self.lowest_token + self._token_counter:
            # A later owner has spoken to this worker, or the report makes no sense.
            self._log_rejected_heartbeat(heartbeat, "fencing token is not ours")
            return None
        machine = self._machine(heartbeat)
        if machine.state is MachineState.RELEASED or heartbeat.incarnation <= machine.expired_incarnation:
            return None
        if (heartbeat.incarnation, heartbeat.seq) <= (machine.incarnation, machine.heartbeat_seq):
            return []  # something newer was seen: nothing to learn, though its sender may still wait
        self.apply_status(machine, heartbeat, now)
        self._probe_acknowledgement(machine, now)
        if not commanding or machine.state is not MachineState.ACTIVE:
            return []
        if not self.records_read:
            return self._stops_for_cancelled(heartbeat)
        self._mark_absent_as_gone(machine, heartbeat)
        self._stop_gang_members()
        commands = self.commands(machine, heartbeat)
        for attempt in machine.attempts.values():
            if attempt.phase is AttemptPhase.STARTING:
                attempt.start_sent_seq = heartbeat.seq
        return commands

    def _log_rejected_heartbeat(self, heartbeat: wire.Heartbeat, reason: str) -> None:
        if heartbeat.machine not in self._rejected_machines and len(self._rejected_machines) < REJECTED_MACHINES_KEPT:
            self._rejected_machines.add(heartbeat.machine)
            log.info(
                "heartbeat rejected machine=%s incarnation=%d sequence=%d reason=%s",
                heartbeat.machine,
                heartbeat.incarnation,
                heartbeat.seq,
                reason,
            )

    def _machine(self, heartbeat: wire.Heartbeat) -> Machine:
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            return self._new_machine(heartbeat.machine, heartbeat.type, heartbeat.spot, heartbeat.addr)
        if machine.state is not MachineState.ACTIVE and not machine.type:
            machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        return machine

    def _probe_acknowledgement(self, machine: Machine, now: float) -> None:
        """Gives the machine a new token now and then, and finds out whether it hears us at all.

        A machine whose reports arrive while our answers are lost would look alive and idle for ever.
        """
        if machine.token_offered_at is not None:
            # Workers show a higher token within a few reports; one that is late by more than that is deaf.
            if not machine.responses_lost and now - machine.token_offered_at > self.lease_s * RESPONSES_LOST_LEASES:
                log.info("machine does not acknowledge our token machine=%s", machine.name)
                machine.responses_lost = True
        elif now - (machine.acknowledged_at or now) > self.lease_s * PROBE_LEASES:
            machine.token_counter = self._next_token_counter()
            machine.token_offered_at = now
        if machine.state is MachineState.UNCONFIRMED and machine.token_offered_at is None:
            machine.token_offered_at = now

    def apply_status(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> None:
        """Takes in what a report or the answer to a direct command shows, unless something newer was seen.

        A machine becomes known with the first message that shows a token chosen for it since it became known of here.
        Copies of older messages can't: neither one alone nor several in a row bring a returned machine back, or make a
        new owner believe that a silent one lives.
        """
        if (heartbeat.incarnation, heartbeat.seq) <= (machine.incarnation, machine.heartbeat_seq):
            return
        if (
            not self.lowest_token + machine.first_token_counter
            <= heartbeat.fencing_token
            <= self.lowest_token + self._token_counter
        ):
            return
        if heartbeat.incarnation > machine.incarnation:
            for attempt in list(machine.attempts.values()):
                if attempt.incarnation < heartbeat.incarnation:
                    self.transition(attempt, AttemptPhase.GONE)
            machine.to_forget.clear()
            machine.fence_token = 0  # commands name their session
            machine.cancelled_task_since = None  # what was on it is gone
        machine.incarnation, machine.heartbeat_seq = heartbeat.incarnation, heartbeat.seq
        machine.last_heartbeat_at = now
        machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        machine.highest_token_seen = max(machine.highest_token_seen, heartbeat.fencing_token)
        if heartbeat.fencing_token - self.lowest_token > machine.acknowledged_counter:
            machine.acknowledged_counter = heartbeat.fencing_token - self.lowest_token
            machine.acknowledged_at = now
            if machine.acknowledged_counter >= machine.token_counter:
                machine.token_offered_at = None
                machine.responses_lost = False
        if machine.transition(MachineState.ACTIVE):
            self.capacity_added_at = now
            self.scheduling_triggers += 1
        machine.termination_notice_until = (
            None if heartbeat.termination_notice_s is None else now + heartbeat.termination_notice_s
        )
        if heartbeat.termination_notice_s is not None:
            self._checkpoint_gangs(machine, heartbeat.termination_notice_s)
        if heartbeat.tasks != machine.last_task_statuses:
            machine.last_task_statuses = heartbeat.tasks
            for task in heartbeat.tasks:
                self._apply_task_status(machine, task, now)
        if machine.attempts:
            self.machines_needing_commands[machine.name] = None

    def _checkpoint_gangs(self, machine: Machine, notice_s: float) -> None:
        """The machine will be taken away: gangs on it save what they have while all of their members still can."""
        for attempt in machine.attempts.values():
            gang = self.gangs.get(attempt.allocation.job)
            if gang is None or attempt.stop_requested or gang.state is not GangState.RUNNING:
                continue
            if 0 < gang.checkpoint_grace_s < notice_s - NOTICE_MARGIN_S:
                self._request_stop_one(attempt, gang.checkpoint_grace_s)

    def _apply_task_status(self, machine: Machine, task: wire.TaskStatus, now: float) -> None:
        parsed = wire.split_task(task.task)
        attempt = machine.attempts.get(parsed) if parsed else None
        if attempt is None or attempt.number != task.attempt:
            return
        phase = observed_phase(task)
        if phase is None:
            self._note_unknown_state(task.state)
            return
        if self.transition(attempt, phase, task.exit_reason):
            if phase is AttemptPhase.RUNNING:
                attempt.running_at = now
            if phase in (AttemptPhase.GATHERING, AttemptPhase.RUNNING):
                image = self._image_of(attempt.allocation.job)
                if image is not None:
                    machine.cached_images.add(image)
            if phase is AttemptPhase.EXITED:
                self._failures.record_exit(machine, attempt, now)

    def _note_unknown_state(self, state: str) -> None:
        """A state that this version does not know teaches nothing; workers may be newer than controllers."""
        if state not in self._unknown_states and len(self._unknown_states) < REJECTED_MACHINES_KEPT:
            self._unknown_states.add(state)
            log.warning("unknown task state reported state=%r", state)

    def _mark_absent_as_gone(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """A task that has to go and is not in the report is off the machine, if no start can still be on its way."""
        stopping = [attempt for attempt in machine.attempts.values() if attempt.stop_requested]
        if not stopping or not machine.fenced:
            return
        listed = {wire.split_task(t.task) for t in heartbeat.tasks}
        for attempt in stopping:
            if attempt.key not in listed and heartbeat.seq > attempt.start_sent_seq:
                self.transition(attempt, AttemptPhase.GONE)

    # Commands

    def commands(self, machine: Machine, heartbeat: wire.Heartbeat | None) -> list[wire.Command]:
        """What the worker should do now. Every command may be repeated, but a start after a forget.

        Ends are forgotten first, so that a worker does not refuse a task whose earlier attempt it still lists.
        """
        out: list[wire.Command] = []
        if machine.fenced:
            # While a start without an answer may still arrive, a forgotten attempt would run again.
            forget = machine.to_forget
            if self.coverage is not None:
                forget = self._forgettable(machine, self.coverage)
            out += [wire.Command(wire.FORGET, wire.task_name(*k), a) for k, a in forget.items()]
        if heartbeat is not None:
            out += self._stops_for_unrecorded(machine, heartbeat)
        for attempt in machine.attempts.values():
            if attempt.stop_requested:
                if attempt.phase < AttemptPhase.EXITED and not self._is_checkpointing(attempt):
                    out.append(wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.number, attempt.grace_s))
            elif (
                attempt.phase in (AttemptPhase.ASSIGNED, AttemptPhase.STARTING)
                and attempt.incarnation == machine.incarnation
                and self._may_start_attempt(attempt)
            ):
                self.transition(attempt, AttemptPhase.STARTING)
                out.append(wire.Command(wire.START, wire.task_name(*attempt.key), attempt.number))
        return out

    @staticmethod
    def _forgettable(machine: Machine, coverage: ArchiveCoverage) -> dict[tuple[str, int], int]:
        """Ended tasks of which nobody needs the worker's word any more.

        The record of an end can be lost with the state service's data. As long as the archive does not cover it, the
        worker's report is the only other evidence.
        """
        waiting = [
            (key, revision)
            for key, revision in machine.unarchived.items()
            if key in machine.to_forget and not coverage.covers(revision)
        ]
        machine.unarchived = dict(waiting[-UNARCHIVED_MOST:])
        return {key: attempt for key, attempt in machine.to_forget.items() if key not in machine.unarchived}

    def _is_checkpointing(self, attempt: TaskAttempt) -> bool:
        """The task was told to save, and has time left for it. Members of a gang go on being reported as running."""
        if attempt.grace_s <= 0:
            return False
        if attempt.stop_acknowledged_at is not None:
            return self.now - attempt.stop_acknowledged_at < attempt.grace_s + CHECKPOINT_SLACK_S
        return attempt.phase is AttemptPhase.STOPPING

    def _may_start_attempt(self, attempt: TaskAttempt) -> bool:
        if not self.may_start():
            return False
        if self._attempts_by_allocation.get(attempt.allocation, {}).get(attempt.index) is not attempt:
            self._violations.record(
                f"start without a recorded task job={attempt.allocation.job} task={attempt.index} machine={attempt.machine}"
            )
            return False
        gang = self.gangs.get(attempt.allocation.job)
        return gang is None or gang.startable

    def _stops_for_cancelled(self, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Stops what is known to be cancelled.

        That needs no record, and may have to be done before the records can be read: a part may change hands just
        before an outage that is longer than `cancel_s`.
        """
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != wire.EXITED
            and (key := wire.split_task(task.task))
            and self.time_since_cancellation(key[0]) is not None
        ]

    def _stops_for_unrecorded(self, machine: Machine, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Stops and forgets what no record puts on this machine."""
        out: list[wire.Command] = []
        kept: dict[tuple[str, int], int] = {}
        for task in heartbeat.tasks:
            key = wire.split_task(task.task)
            attempt = machine.attempts.get(key) if key else None
            if attempt is not None and attempt.number == task.attempt:
                continue
            if key and machine.to_forget.get(key) == task.attempt:
                kept[key] = task.attempt
            elif task.state != wire.EXITED:
                out.append(wire.Command(wire.STOP, task.task, task.attempt, 0.0))
            elif machine.fenced:
                out.append(wire.Command(wire.FORGET, task.task, task.attempt))
        machine.to_forget = kept
        return out

    def needs_command(self, machine: Machine) -> bool:
        """Something on the machine has to start or stop and has not been told so for certain."""
        return machine.state is MachineState.ACTIVE and any(
            (attempt.phase is AttemptPhase.ASSIGNED and not attempt.stop_requested and self._may_start_attempt(attempt))
            or (
                attempt.stop_requested
                and AttemptPhase.STARTING <= attempt.phase <= AttemptPhase.RUNNING
                and not self._is_checkpointing(attempt)
            )
            for attempt in machine.attempts.values()
        )

    def direct_commands(self, machine: Machine) -> wire.DirectCommands | None:
        """Commands worth sending at once to the machine's own address."""
        if machine.state is not MachineState.ACTIVE or machine.commands_in_flight or not machine.addr:
            return None
        commands = self.commands(machine, None) if self.records_read and machine.fenced else self._stops(machine)
        if not commands:
            return None
        machine.commands_in_flight += 1
        return wire.DirectCommands(self.fencing_token(machine), machine.incarnation, commands)

    def _stops(self, machine: Machine) -> list[wire.Command]:
        """What may be sent while an earlier command may still act.

        A machine whose reports don't arrive would never show that it can't, and its cancelled tasks have to leave.
        """
        return [
            wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.number, 0.0)
            for attempt in machine.attempts.values()
            if attempt.stop_requested and attempt.grace_s == 0 and attempt.phase < AttemptPhase.EXITED
        ]

    def on_direct_response(
        self, machine: Machine, sent: wire.DirectCommands, heartbeat: wire.Heartbeat | None, now: float
    ) -> None:
        """An answer to direct commands came: executed or refused, they are not on their way any more."""
        machine.commands_in_flight -= 1
        if heartbeat is None or heartbeat.machine != machine.name:
            return
        for command in sent.commands:
            key = wire.split_task(command.task)
            attempt = machine.attempts.get(key) if key else None
            if attempt is not None and command.op == wire.START and heartbeat.incarnation == machine.incarnation:
                attempt.start_sent_seq = max(attempt.start_sent_seq, heartbeat.seq)
            executed = heartbeat.incarnation == sent.incarnation and heartbeat.fencing_token <= sent.fencing_token
            if attempt is not None and command.op == wire.STOP and executed and attempt.number == command.attempt:
                attempt.stop_acknowledged_at = now
        self.now = now
        self.apply_status(machine, heartbeat, now)
        self._stop_gang_members()

    def on_direct_failure(self, machine: Machine, sent: wire.DirectCommands, reached: bool) -> None:
        """Direct commands got no answer: they may act minutes later, so the machine gets a higher token."""
        machine.commands_in_flight -= 1
        if reached and machine.incarnation == sent.incarnation:
            if machine.token_counter <= sent.fencing_token - self.lowest_token:
                machine.token_counter = self._next_token_counter()
            machine.fence_token = max(machine.fence_token, sent.fencing_token + 1)

    # Time

    def tick(self, now: float) -> None:
        """Draws what follows from time alone."""
        self.now = now
        for machine in self.machines.values():
            if machine.lease_expired(now, self.lease_s):
                log.info(
                    "machine lease expired machine=%s silent_seconds=%.1f",
                    machine.name,
                    now - (machine.last_heartbeat_at or now),
                )
                machine.expired_incarnation = machine.incarnation
                machine.transition(MachineState.LEASE_EXPIRED)
                for attempt in machine.attempts.values():
                    if attempt.job_cancelled_at is not None:
                        # One that hangs does not even end what its lease no longer covers.
                        machine.cancelled_task_since = min(
                            attempt.job_cancelled_at, machine.cancelled_task_since or attempt.job_cancelled_at
                        )
                    self.transition(attempt, AttemptPhase.GONE)
            if machine.attempts:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
        self._stop_gang_members()

    def request_stop(self, attempt: TaskAttempt, grace_s: float) -> None:
        """Has a task leave its machine, and with it the other members of its gang."""
        self._request_stop_one(attempt, grace_s)
        self._stop_gang_members()

    def _request_stop_one(self, attempt: TaskAttempt, grace_s: float) -> None:
        attempt.stop_requested, attempt.grace_s = True, grace_s
        self.machines_needing_commands[attempt.machine] = None
        if attempt.phase is AttemptPhase.ASSIGNED:
            # An earlier process may have sent a start, so absence has to be shown by a report all the same.
            self.transition(attempt, AttemptPhase.STARTING)
        self.gangs.mark_changed(attempt.allocation.job)

    def stop_job(self, job_id: str, now: float) -> None:
        """Has all tasks of a cancelled job leave."""
        self.now = now
        for allocation in self._allocations_by_job.get(job_id, ()):
            for attempt in self._attempts_by_allocation[allocation].values():
                if attempt.job_cancelled_at is None:
                    self._stop_cancelled_attempt(attempt)

    def _stop_cancelled_attempt(self, attempt: TaskAttempt) -> None:
        """The task's job is cancelled, or over in another way."""
        ago = self.time_since_cancellation(attempt.allocation.job)
        if attempt.job_cancelled_at is None and ago is not None:
            attempt.job_cancelled_at = self.now - ago
            self.machines_with_cancelled_tasks[attempt.machine] = None
        self.request_stop(attempt, 0.0)

    def overdue_since(self, machine: Machine) -> float | None:
        """Since when a cancelled task may be on a machine that has not shown that it left."""
        times = [
            r.job_cancelled_at
            for r in machine.attempts.values()
            if r.job_cancelled_at is not None and r.phase < AttemptPhase.EXITED
        ]
        if machine.cancelled_task_since is not None:
            times.append(machine.cancelled_task_since)
        return min(times, default=None)

    def on_released(self, name: str) -> None:
        """The cloud confirmed that the machine is gone, with all that was on it."""
        self._released[name] = None
        if len(self._released) > RELEASED_MACHINES_KEPT:
            del self._released[next(iter(self._released))]
        machine = self.machines.get(name)
        if machine is not None:
            machine.transition(MachineState.RELEASED)
            for attempt in machine.attempts.values():
                self.transition(attempt, AttemptPhase.GONE)

    # Records going out

    @staticmethod
    def _is_service(state: ClusterState, attempt: TaskAttempt) -> bool:
        """Replicas run until their job is cancelled, so one that ends by itself starts again."""
        job = state.jobs.get(attempt.allocation.job)
        return job is not None and job.spec.kind == wire.SERVICE

    def deletable_allocations(self, state: ClusterState) -> list[AllocationKey]:
        """Allotments of jobs that are over and hold nothing that may still run: they can go."""
        out = []
        for allocation in list(self.orphaned_allocations):
            record = state.zone_allocations[self.zone].get(allocation)
            if record is None:
                self.orphaned_allocations.discard(allocation)
            elif self.is_deletable(state, allocation):
                out.append(allocation)
        return out

    def is_deletable(self, state: ClusterState, allocation: AllocationKey) -> bool:
        """The allocation's job is over, and none of its tasks may still run."""
        record = state.zone_allocations[self.zone].get(allocation)
        if record is None or is_live(state, allocation.job):
            return False
        over = self.terminal_attempts.get(allocation, {})
        if len(over) < len(self._attempts_by_allocation.get(allocation, ())):
            return False  # most of the time this says all; the rest goes through the record
        return all(entry.state != records.ASSIGNED or entry.index in over for entry in record.tasks)

    def terminal_entries(self, state: ClusterState, gather_s: float) -> dict[AllocationKey, dict[int, TaskEntry]]:
        """Entries of tasks whose end or absence is proved and is to be recorded now.

        Ends of one allocation are gathered for a while, so that many of them cost one change. What someone waits for is
        not: the last end of an allocation, and a task that has to start again.
        """
        out: dict[AllocationKey, dict[int, TaskEntry]] = {}
        recorded = state.zone_allocations[self.zone]
        for allocation, attempts in self.terminal_attempts.items():
            if allocation in recorded and (
                self._oldest_termination(attempts) <= self.now - gather_s or self._awaited(state, allocation, attempts)
            ):
                out[allocation] = {
                    attempt.index: TaskEntry(attempt.index, self._terminal_state(state, attempt), attempt.number)
                    for attempt in attempts.values()
                }
        return out

    @staticmethod
    def _oldest_termination(attempts: dict[int, TaskAttempt]) -> float:
        return next(iter(attempts.values())).terminated_at  # they are in the order in which they were proved

    def _awaited(self, state: ClusterState, allocation: AllocationKey, attempts: dict[int, TaskAttempt]) -> bool:
        """Someone waits for the record of these ends: the last ones of an allocation, or a task that starts again."""
        if allocation not in self.unassigned and len(attempts) == len(self._attempts_by_allocation.get(allocation, ())):
            return True
        if not is_live(state, allocation.job):
            return False
        return allocation in self._allocations_to_restart or state.jobs[allocation.job].spec.kind == wire.SERVICE

    def _terminal_state(self, state: ClusterState, attempt: TaskAttempt) -> int:
        done = (
            attempt.phase is AttemptPhase.EXITED
            and attempt.exit_reason == wire.REASON_DONE
            and not self._is_service(state, attempt)
        )
        gang = self.gangs.get(attempt.allocation.job)
        if gang is not None and gang.state is GangState.ENDED:
            return records.ENDED  # members complete together, also those whose own report never came
        if done or not is_live(state, attempt.allocation.job):
            return records.ENDED  # done, or nobody will want it again
        return records.RETURNED if self.unreachable else records.FREE  # there is no room for it here
