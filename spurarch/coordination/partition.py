"""One part of the fleet in the hands of its owner: what reports mean, which commands follow, what to record.

No I/O: reports, records and the time come in; answers, commands and changes of records come out.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from spurarch.coordination.allocation_changes import is_live_gang, live, save_grace_s
from spurarch.coordination.failures import FailureJudge, JobBackoff
from spurarch.coordination.gang import Gangs, GangState
from spurarch.coordination.machine import Machine, Phase, Standing, TaskAttempt, observed_phase
from spurarch.coordination.violations import Violations
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, AllocationRecord, MachineRecord, TaskEntry
from spurarch.storage.replica import ClusterState

log = logging.getLogger(__name__)


class ArchiveCoverage(Protocol):
    """Tells up to which revision the records are in the archive."""

    def recorded(self) -> int:
        """A revision that holds all that is on record here now."""

    def covers(self, revision: int) -> bool:
        """The archive holds all changes up to a revision, or is not to be waited for."""


TOKEN_BITS = 36
ASK_LEASES = 0.6  # of a lease: time after which a machine is given a new token, to see that it hears us
DEAF_LEASES = 0.5  # several reports: a worker shows a higher token with the next one that it sends
STRANGE_KEPT = 5000  # machines of which a line is logged
RETURNED_KEPT = 20_000  # names: several times a fleet
NOTICE_MARGIN_S = 1.0  # commands and reports take that long
UNARCHIVED_MOST = 64  # ended tasks of one machine that wait for the archive; its reports grow by them
SAVE_SLACK_S = 10.0  # beyond its grace, before a task that was told to save is told once more


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
        violations: Violations | None = None,
    ) -> None:
        self.zone, self.epoch, self.lease_s = zone, epoch, lease_s
        self._image_of = image_of
        self._violations = violations or Violations()
        self.taken_at = self.now = now
        self.grew_at = now  # when a machine last became known
        self.machines: dict[str, Machine] = {}
        self.runs: dict[tuple[str, int], TaskAttempt] = {}
        self.free: dict[AllocationKey, list[TaskEntry]] = {}
        self._failures = FailureJudge(self.machines)
        self.dark = False  # nobody hears its workers
        self.ready = False  # the records of this part have been read since it was claimed
        self.occasions = 0  # machines that became known and tasks that left: a round of decisions may use the room
        self.cancelled_ago: Callable[[str], float | None] = (
            lambda job: None
        )  # seconds since a job was cancelled, if it was
        self.revoking: dict[str, None] = {}  # machines that may hold tasks of cancelled jobs
        self.over: dict[AllocationKey, dict[int, TaskAttempt]] = defaultdict(
            dict
        )  # ended or gone, and not recorded as that
        self.attention: dict[str, None] = {}  # machines that may need a command
        self.stale: set[AllocationKey] = set()  # allocations that may be left from a job that is over
        self._by_allocation: dict[AllocationKey, dict[int, TaskAttempt]] = {}
        self._by_job: dict[str, set[AllocationKey]] = defaultdict(set)
        self._counter = 0
        self._returned: dict[str, None] = {}
        self._strange: set[str] = set()
        self._unknown_states: set[str] = set()
        self._restarting: set[AllocationKey] = set()  # allocations with a task that is over and was not completed
        self.gangs = Gangs()
        self.may_start: Callable[[], bool] = lambda: True  # the records can be believed
        self.coverage: ArchiveCoverage | None = None  # where ends have to be archived before they are forgotten

    @property
    def backoffs(self) -> dict[str, JobBackoff]:
        """By job, what its failures taught."""
        return self._failures.backoffs

    # Tokens

    @property
    def base(self) -> int:
        """Lowest token of this epoch."""
        return self.epoch << TOKEN_BITS

    def token(self, machine: Machine) -> int:
        """The token that the machine is given now."""
        return self.base + machine.counter

    def _next_counter(self) -> int:
        """Never given to any machine before, so a report that shows it follows an answer that carried it."""
        self._counter += 1
        return self._counter

    # Records coming in

    def take_records(self, state: ClusterState, keys: Iterable[str], now: float) -> None:
        """Follows changed records of this part."""
        self.now = now
        for key in keys:
            if key.startswith(records.ALLOCATION):
                allocation = AllocationKey.parse(key)
                if allocation.zone == self.zone:
                    self._take_allocation(state, allocation, state.zone_allocations[self.zone].get(allocation), now)
            elif key.startswith(records.MACHINE):
                zone, name = records.parse_machine_key(key)
                if zone == self.zone:
                    self._take_machine(name, state.machines[zone].get(name), now)
            elif key.startswith(records.JOB):
                job_id = key[len(records.JOB) :]
                if not live(state, job_id):
                    self._job_over(job_id)
        self._settle_gangs()

    def _job_over(self, job_id: str) -> None:
        """The job ended or was cancelled: its tasks leave, and its allocations go."""
        self._failures.backoffs.pop(job_id, None)
        self.gangs.drop(job_id)
        for allocation in self._by_job.get(job_id, ()):
            self.stale.add(allocation)
            for attempt in self._by_allocation.get(allocation, {}).values():
                self._revoke(attempt)

    def _take_machine(self, name: str, record: MachineRecord | None, now: float) -> None:
        machine = self.machines.get(name)
        if record is None:
            if machine is not None and machine.standing is Standing.GONE:
                del self.machines[name]
            return
        if machine is None:
            machine = self._new_machine(name, record.type, record.spot, record.addr)
            if name in self._returned:
                machine.advance(Standing.GONE)  # a transaction that put it on record was carried out late
        machine.open = record.schedulable

    def _new_machine(self, name: str, kind: str, spot: bool, addr: str, willing: bool = True) -> Machine:
        machine = Machine(name, self.zone, kind, spot, addr, self.now, open=willing)
        machine.birth = machine.counter = self._next_counter()
        self.machines[name] = machine
        return machine

    def _take_allocation(
        self, state: ClusterState, allocation: AllocationKey, record: AllocationRecord | None, now: float
    ) -> None:
        mine = self._by_allocation.get(allocation, {})
        if is_live_gang(state, allocation.job):
            spec = state.jobs[allocation.job].spec
            gang = self.gangs.track(allocation.job, spec.tasks, save_grace_s(spec))
            gang.record(allocation, record.tasks if record is not None else None)
        if record is None:
            self.free.pop(allocation, None)
            for attempt in list(mine.values()):
                if not self._rehome(state, attempt):
                    self._forget_run(attempt)
            self._by_allocation.pop(allocation, None)
            self._by_job[allocation.job].discard(allocation)
            if not self._by_job[allocation.job]:
                del self._by_job[allocation.job]
                self.gangs.drop(allocation.job)
            return
        if allocation not in self._by_allocation:
            mine = self._by_allocation[allocation] = {}
            self._by_job[allocation.job].add(allocation)
        wanted = live(state, allocation.job)
        if not wanted:
            self.stale.add(allocation)
        assigned = {e.index: e for e in record.tasks if e.state == records.ASSIGNED}
        for index, attempt in list(mine.items()):
            entry = assigned.get(index)
            if entry is None and self._rehome(state, attempt):
                continue
            if entry is None or (entry.machine, entry.attempt) != (attempt.machine, attempt.attempt):
                self._forget_run(attempt)
        for index, entry in assigned.items():
            if index not in mine:
                self._new_run(allocation, entry, wanted, now)
        free = [e for e in record.tasks if e.state == records.FREE]
        if free and wanted:
            self.free[allocation] = free
        else:
            self.free.pop(allocation, None)

    def _new_run(self, allocation: AllocationKey, entry: TaskEntry, wanted: bool, now: float) -> None:
        machine = self.machines.get(entry.machine)
        if machine is None:
            machine = self._new_machine(entry.machine, "", False, "", willing=False)
        attempt = TaskAttempt(allocation, entry.index, entry.attempt, entry.machine, entry.incarnation, now)
        self._by_allocation[allocation][entry.index] = self.runs[attempt.key] = machine.runs[attempt.key] = attempt
        gang = self.gangs.get(allocation.job)
        if gang is not None:
            gang.members[attempt.index] = attempt
        machine.idle_since = None
        machine.tasks_seen = None
        self.attention[machine.name] = None
        if attempt.session < machine.session or (
            machine.standing is Standing.LOST and attempt.session <= machine.lost_session
        ):
            self.step(attempt, Phase.GONE)  # recorded onto a session that was over by then
        elif machine.standing is Standing.GONE:
            self.step(attempt, Phase.GONE)
        if not wanted:
            self._revoke(attempt)

    def _rehome(self, state: ClusterState, attempt: TaskAttempt) -> bool:
        """Follows a task whose entry went to another record of the same job, as when a record is split.

        Its state is kept: forgetting an end that is not recorded yet would have the task run once more.
        """
        for allocation, record in state.allocations.get(attempt.where.job, {}).items():
            if allocation.zone != self.zone or allocation == attempt.where:
                continue
            for entry in record.tasks:
                same = (entry.index, entry.machine, entry.attempt) == (attempt.index, attempt.machine, attempt.attempt)
                if same and entry.state == records.ASSIGNED:
                    self._move_run(attempt, allocation)
                    return True
        return False

    def _move_run(self, attempt: TaskAttempt, allocation: AllocationKey) -> None:
        for table in (self._by_allocation, self.over):
            if table.get(attempt.where, {}).pop(attempt.index, None) is attempt:
                table.setdefault(allocation, {})[attempt.index] = attempt
        self._drop_empty(attempt.where)
        self._by_job[allocation.job].add(allocation)
        if attempt.phase >= Phase.EXITED and attempt.why != wire.REASON_DONE:
            self._restarting.add(allocation)
        attempt.where = allocation

    def _drop_empty(self, allocation: AllocationKey) -> None:
        if not self.over.get(allocation, True):
            del self.over[allocation]
            self._restarting.discard(allocation)

    def _forget_run(self, attempt: TaskAttempt) -> None:
        if self.runs.get(attempt.key) is attempt:
            del self.runs[attempt.key]
        gang = self.gangs.get(attempt.where.job)
        if gang is not None and gang.members.get(attempt.index) is attempt:
            del gang.members[attempt.index]
            self.gangs.note(gang.job)
        for table in (self._by_allocation, self.over):
            attempts = table.get(attempt.where)
            if attempts is not None and attempts.get(attempt.index) is attempt:
                del attempts[attempt.index]
        self._drop_empty(attempt.where)
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            if machine.runs.get(attempt.key) is attempt:
                del machine.runs[attempt.key]
            if attempt.phase is Phase.EXITED:
                machine.forget[attempt.key] = attempt.attempt
                if self.coverage is not None and attempt.why == wire.REASON_DONE:
                    machine.unarchived[attempt.key] = self.coverage.recorded()

    def step(self, attempt: TaskAttempt, phase: Phase, why: str | None = None) -> bool:
        """Changes a task's phase; what has ended is noted, to be recorded."""
        if not attempt.advance(phase, why):
            return False
        if phase in (Phase.EXITED, Phase.GONE):
            attempt.over_at = self.now
            self.occasions += 1
            self.over[attempt.where][attempt.index] = attempt
            if phase is Phase.GONE or why != wire.REASON_DONE:
                self._restarting.add(attempt.where)
        self.gangs.note(attempt.where.job)
        return True

    def _settle_gangs(self) -> None:
        """Members of a gang leave together: whatever happened to one of them decides for all."""
        for attempt, grace_s in self.gangs.settle():
            if self._hears_us(attempt.machine):
                self._stop_one(attempt, grace_s)
            else:
                # The stop may come too late for the others, so that nothing is saved: they need not wait for it.
                self._stop_one(attempt, 0.0)

    def _hears_us(self, name: str) -> bool:
        machine = self.machines.get(name)
        return machine is not None and machine.standing is Standing.KNOWN and not machine.deaf

    # Reports

    def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float, commanding: bool = True) -> list[wire.Command] | None:
        """Takes a report in and returns the commands of its answer; None if it must not be answered with 200.

        A report may be a copy of any age, or come in an order that can't be: only one newer than the newest seen, of a
        machine that has shown a token chosen anew for it here, teaches anything. Without `commanding` the answer only
        keeps the worker's lease: this owner may have been deposed.
        """
        self.now = now
        if heartbeat.machine in self._returned:
            self._note_strange(heartbeat, "it was returned")
            return None
        if heartbeat.fencing_token > self.base + self._counter:
            # A later owner has spoken to this worker, or the report makes no sense.
            self._note_strange(heartbeat, "its token is not ours")
            return None
        machine = self._machine(heartbeat)
        if machine.standing is Standing.GONE or heartbeat.incarnation <= machine.lost_session:
            return None
        if (heartbeat.incarnation, heartbeat.seq) <= (machine.session, machine.seq):
            return []  # something newer was seen: nothing to learn, though its sender may still wait
        self.observe(machine, heartbeat, now)
        self._ask(machine, now)
        if not commanding or machine.standing is not Standing.KNOWN:
            return []
        if not self.ready:
            return self._stop_cancelled(heartbeat)
        self._prove_absent(machine, heartbeat)
        self._settle_gangs()
        commands = self.commands(machine, heartbeat)
        for attempt in machine.runs.values():
            if attempt.phase is Phase.STARTING:
                attempt.sent_seq = heartbeat.seq
        return commands

    def _note_strange(self, heartbeat: wire.Heartbeat, reason: str) -> None:
        if heartbeat.machine not in self._strange and len(self._strange) < STRANGE_KEPT:
            self._strange.add(heartbeat.machine)
            log.info(
                "report of %s (session %d, %d) not taken: %s",
                heartbeat.machine,
                heartbeat.incarnation,
                heartbeat.seq,
                reason,
            )

    def _machine(self, heartbeat: wire.Heartbeat) -> Machine:
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            return self._new_machine(heartbeat.machine, heartbeat.type, heartbeat.spot, heartbeat.addr)
        if machine.standing is not Standing.KNOWN and not machine.type:
            machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        return machine

    def _ask(self, machine: Machine, now: float) -> None:
        """Gives the machine a new token now and then, and finds out whether it hears us at all.

        A machine whose reports arrive while our answers are lost would look alive and idle for ever.
        """
        if machine.asked_at is not None:
            # Workers show a higher token within a few reports; one that is late by more than that is deaf.
            if not machine.deaf and now - machine.asked_at > self.lease_s * DEAF_LEASES:
                log.info("machine %s speaks but shows nothing of our answers", machine.name)
                machine.deaf = True
        elif now - (machine.confirmed_at or now) > self.lease_s * ASK_LEASES:
            machine.counter = self._next_counter()
            machine.asked_at = now
        if machine.standing is Standing.UNKNOWN and machine.asked_at is None:
            machine.asked_at = now

    def observe(self, machine: Machine, heartbeat: wire.Heartbeat, now: float) -> None:
        """Takes in what a report or the answer to a direct command shows, unless something newer was seen.

        A machine becomes known with the first message that shows a token chosen for it since it became known of here.
        Copies of older messages can't: neither one alone nor several in a row bring a returned machine back, or make a
        new owner believe that a silent one lives.
        """
        if (heartbeat.incarnation, heartbeat.seq) <= (machine.session, machine.seq):
            return
        if not self.base + machine.birth <= heartbeat.fencing_token <= self.base + self._counter:
            return
        if heartbeat.incarnation > machine.session:
            for attempt in list(machine.runs.values()):
                if attempt.session < heartbeat.incarnation:
                    self.step(attempt, Phase.GONE)
            machine.forget.clear()
            machine.fence = 0  # commands name their session
            machine.revoked_at = None  # what was on it is gone
        machine.session, machine.seq = heartbeat.incarnation, heartbeat.seq
        machine.heard_at = now
        machine.type, machine.spot, machine.addr = heartbeat.type, heartbeat.spot, heartbeat.addr
        machine.token_seen = max(machine.token_seen, heartbeat.fencing_token)
        if heartbeat.fencing_token - self.base > machine.shown:
            machine.shown = heartbeat.fencing_token - self.base
            machine.confirmed_at = now
            if machine.shown >= machine.counter:
                machine.asked_at = None
                machine.deaf = False
        if machine.advance(Standing.KNOWN):
            self.grew_at = now
            self.occasions += 1
        machine.notice_until = None if heartbeat.termination_notice_s is None else now + heartbeat.termination_notice_s
        if heartbeat.termination_notice_s is not None:
            self._save_gangs(machine, heartbeat.termination_notice_s)
        if heartbeat.tasks != machine.tasks_seen:
            machine.tasks_seen = heartbeat.tasks
            for task in heartbeat.tasks:
                self._observe_task(machine, task, now)
        if machine.runs:
            self.attention[machine.name] = None

    def _save_gangs(self, machine: Machine, notice_s: float) -> None:
        """The machine will be taken away: gangs on it save what they have while all of their members still can."""
        for attempt in machine.runs.values():
            gang = self.gangs.get(attempt.where.job)
            if gang is None or attempt.stop or gang.state is not GangState.RUNNING:
                continue
            if 0 < gang.save_grace_s < notice_s - NOTICE_MARGIN_S:
                self._stop_one(attempt, gang.save_grace_s)

    def _observe_task(self, machine: Machine, task: wire.TaskStatus, now: float) -> None:
        parsed = wire.split_task(task.task)
        attempt = machine.runs.get(parsed) if parsed else None
        if attempt is None or attempt.attempt != task.attempt:
            return
        phase = observed_phase(task)
        if phase is None:
            self._note_unknown_state(task.state)
            return
        if self.step(attempt, phase, task.exit_reason):
            if phase is Phase.RUNNING:
                attempt.running_at = now
            if phase in (Phase.GATHERING, Phase.RUNNING):
                image = self._image_of(attempt.where.job)
                if image is not None:
                    machine.images.add(image)
            if phase is Phase.EXITED:
                self._failures.judge(machine, attempt, now)

    def _note_unknown_state(self, state: str) -> None:
        """A state that this version does not know teaches nothing; workers may be newer than controllers."""
        if state not in self._unknown_states and len(self._unknown_states) < STRANGE_KEPT:
            self._unknown_states.add(state)
            log.warning("workers report the unknown task state %r", state)

    def _prove_absent(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """A task that has to go and is not in the report is off the machine, if no start can still be on its way."""
        stopping = [attempt for attempt in machine.runs.values() if attempt.stop]
        if not stopping or not machine.fenced:
            return
        listed = {wire.split_task(t.task) for t in heartbeat.tasks}
        for attempt in stopping:
            if attempt.key not in listed and heartbeat.seq > attempt.sent_seq:
                self.step(attempt, Phase.GONE)

    # Commands

    def commands(self, machine: Machine, heartbeat: wire.Heartbeat | None) -> list[wire.Command]:
        """What the worker should do now. Every command may be repeated, but a start after a forget.

        Ends are forgotten first, so that a worker does not refuse a task whose earlier attempt it still lists.
        """
        out: list[wire.Command] = []
        if machine.fenced:
            # While a start without an answer may still arrive, a forgotten attempt would run again.
            forget = machine.forget
            if self.coverage is not None:
                forget = self._archived(machine, self.coverage)
            out += [wire.Command(wire.FORGET, wire.task_name(*k), a) for k, a in forget.items()]
        if heartbeat is not None:
            out += self._clean(machine, heartbeat)
        for attempt in machine.runs.values():
            if attempt.stop:
                if attempt.phase < Phase.EXITED and not self._saving(attempt):
                    out.append(wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.attempt, attempt.grace_s))
            elif (
                attempt.phase in (Phase.ASSIGNED, Phase.STARTING)
                and attempt.session == machine.session
                and self._startable(attempt)
            ):
                self.step(attempt, Phase.STARTING)
                out.append(wire.Command(wire.START, wire.task_name(*attempt.key), attempt.attempt))
        return out

    @staticmethod
    def _archived(machine: Machine, coverage: ArchiveCoverage) -> dict[tuple[str, int], int]:
        """Ended tasks of which nobody needs the worker's word any more.

        The record of an end can be lost with the state service's data. As long as the archive does not cover it, the
        worker's report is the only other evidence.
        """
        waiting = [
            (key, revision)
            for key, revision in machine.unarchived.items()
            if key in machine.forget and not coverage.covers(revision)
        ]
        machine.unarchived = dict(waiting[-UNARCHIVED_MOST:])
        return {key: attempt for key, attempt in machine.forget.items() if key not in machine.unarchived}

    def _saving(self, attempt: TaskAttempt) -> bool:
        """The task was told to save, and has time left for it. Members of a gang go on being reported as running."""
        if attempt.grace_s <= 0:
            return False
        if attempt.stop_heard_at is not None:
            return self.now - attempt.stop_heard_at < attempt.grace_s + SAVE_SLACK_S
        return attempt.phase is Phase.STOPPING

    def _startable(self, attempt: TaskAttempt) -> bool:
        if not self.may_start():
            return False
        if self._by_allocation.get(attempt.where, {}).get(attempt.index) is not attempt:
            self._violations.note(f"{attempt.key} would start on {attempt.machine} without a task on record")
            return False
        gang = self.gangs.get(attempt.where.job)
        return gang is None or gang.startable

    def _stop_cancelled(self, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Stops what is known to be cancelled.

        That needs no record, and may have to be done before the records can be read: a part may change hands just
        before an outage that is longer than `cancel_s`.
        """
        return [
            wire.Command(wire.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != wire.EXITED
            and (key := wire.split_task(task.task))
            and self.cancelled_ago(key[0]) is not None
        ]

    def _clean(self, machine: Machine, heartbeat: wire.Heartbeat) -> list[wire.Command]:
        """Stops and forgets what no record puts on this machine."""
        out: list[wire.Command] = []
        kept: dict[tuple[str, int], int] = {}
        for task in heartbeat.tasks:
            key = wire.split_task(task.task)
            attempt = machine.runs.get(key) if key else None
            if attempt is not None and attempt.attempt == task.attempt:
                continue
            if key and machine.forget.get(key) == task.attempt:
                kept[key] = task.attempt
            elif task.state != wire.EXITED:
                out.append(wire.Command(wire.STOP, task.task, task.attempt, 0.0))
            elif machine.fenced:
                out.append(wire.Command(wire.FORGET, task.task, task.attempt))
        machine.forget = kept
        return out

    def needs_command(self, machine: Machine) -> bool:
        """Something on the machine has to start or stop and has not been told so for certain."""
        return machine.standing is Standing.KNOWN and any(
            (attempt.phase is Phase.ASSIGNED and not attempt.stop and self._startable(attempt))
            or (attempt.stop and Phase.STARTING <= attempt.phase <= Phase.RUNNING and not self._saving(attempt))
            for attempt in machine.runs.values()
        )

    def direct(self, machine: Machine) -> wire.DirectCommands | None:
        """Commands worth sending at once to the machine's own address."""
        if machine.standing is not Standing.KNOWN or machine.in_flight or not machine.addr:
            return None
        commands = self.commands(machine, None) if self.ready and machine.fenced else self._stops(machine)
        if not commands:
            return None
        machine.in_flight += 1
        return wire.DirectCommands(self.token(machine), machine.session, commands)

    def _stops(self, machine: Machine) -> list[wire.Command]:
        """What may be sent while an earlier command may still act.

        A machine whose reports don't arrive would never show that it can't, and its cancelled tasks have to leave.
        """
        return [
            wire.Command(wire.STOP, wire.task_name(*attempt.key), attempt.attempt, 0.0)
            for attempt in machine.runs.values()
            if attempt.stop and attempt.grace_s == 0 and attempt.phase < Phase.EXITED
        ]

    def direct_answered(
        self, machine: Machine, sent: wire.DirectCommands, heartbeat: wire.Heartbeat | None, now: float
    ) -> None:
        """An answer to direct commands came: executed or refused, they are not on their way any more."""
        machine.in_flight -= 1
        if heartbeat is None or heartbeat.machine != machine.name:
            return
        for command in sent.commands:
            key = wire.split_task(command.task)
            attempt = machine.runs.get(key) if key else None
            if attempt is not None and command.op == wire.START and heartbeat.incarnation == machine.session:
                attempt.sent_seq = max(attempt.sent_seq, heartbeat.seq)
            executed = heartbeat.incarnation == sent.incarnation and heartbeat.fencing_token <= sent.fencing_token
            if attempt is not None and command.op == wire.STOP and executed and attempt.attempt == command.attempt:
                attempt.stop_heard_at = now
        self.now = now
        self.observe(machine, heartbeat, now)
        self._settle_gangs()

    def direct_lost(self, machine: Machine, sent: wire.DirectCommands, reached: bool) -> None:
        """Direct commands got no answer: they may act minutes later, so the machine gets a higher token."""
        machine.in_flight -= 1
        if reached and machine.session == sent.incarnation:
            if machine.counter <= sent.fencing_token - self.base:
                machine.counter = self._next_counter()
            machine.fence = max(machine.fence, sent.fencing_token + 1)

    # Time

    def tick(self, now: float) -> None:
        """Draws what follows from time alone."""
        self.now = now
        for machine in self.machines.values():
            if machine.lease_out(now, self.lease_s):
                log.info("machine %s is lost: silent for %.1f s", machine.name, now - (machine.heard_at or now))
                machine.lost_session = machine.session
                machine.advance(Standing.LOST)
                for attempt in machine.runs.values():
                    if attempt.revoked_at is not None:
                        # One that hangs does not even end what its lease no longer covers.
                        machine.revoked_at = min(attempt.revoked_at, machine.revoked_at or attempt.revoked_at)
                    self.step(attempt, Phase.GONE)
            if machine.runs:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
        self._settle_gangs()

    def stop(self, attempt: TaskAttempt, grace_s: float) -> None:
        """Has a task leave its machine, and with it the other members of its gang."""
        self._stop_one(attempt, grace_s)
        self._settle_gangs()

    def _stop_one(self, attempt: TaskAttempt, grace_s: float) -> None:
        attempt.stop, attempt.grace_s = True, grace_s
        self.attention[attempt.machine] = None
        if attempt.phase is Phase.ASSIGNED:
            # An earlier process may have sent a start, so absence has to be shown by a report all the same.
            self.step(attempt, Phase.STARTING)
        self.gangs.note(attempt.where.job)

    def stop_job(self, job_id: str, now: float) -> None:
        """Has all tasks of a cancelled job leave."""
        self.now = now
        for allocation in self._by_job.get(job_id, ()):
            for attempt in self._by_allocation[allocation].values():
                if attempt.revoked_at is None:
                    self._revoke(attempt)

    def _revoke(self, attempt: TaskAttempt) -> None:
        """The task's job is cancelled, or over in another way."""
        ago = self.cancelled_ago(attempt.where.job)
        if attempt.revoked_at is None and ago is not None:
            attempt.revoked_at = self.now - ago
            self.revoking[attempt.machine] = None
        self.stop(attempt, 0.0)

    def overdue(self, machine: Machine) -> float | None:
        """Since when a cancelled task may be on a machine that has not shown that it left."""
        times = [r.revoked_at for r in machine.runs.values() if r.revoked_at is not None and r.phase < Phase.EXITED]
        if machine.revoked_at is not None:
            times.append(machine.revoked_at)
        return min(times, default=None)

    def returned(self, name: str) -> None:
        """The cloud confirmed that the machine is gone, with all that was on it."""
        self._returned[name] = None
        if len(self._returned) > RETURNED_KEPT:
            del self._returned[next(iter(self._returned))]
        machine = self.machines.get(name)
        if machine is not None:
            machine.advance(Standing.GONE)
            for attempt in machine.runs.values():
                self.step(attempt, Phase.GONE)

    # Records going out

    @staticmethod
    def _is_service(state: ClusterState, attempt: TaskAttempt) -> bool:
        """Replicas run until their job is cancelled, so one that ends by itself starts again."""
        job = state.jobs.get(attempt.where.job)
        return job is not None and job.spec.kind == wire.SERVICE

    def left_over(self, state: ClusterState) -> list[AllocationKey]:
        """Allotments of jobs that are over and hold nothing that may still run: they can go."""
        out = []
        for allocation in list(self.stale):
            record = state.zone_allocations[self.zone].get(allocation)
            if record is None:
                self.stale.discard(allocation)
            elif self.is_left_over(state, allocation):
                out.append(allocation)
        return out

    def is_left_over(self, state: ClusterState, allocation: AllocationKey) -> bool:
        """The allocation's job is over, and none of its tasks may still run."""
        record = state.zone_allocations[self.zone].get(allocation)
        if record is None or live(state, allocation.job):
            return False
        over = self.over.get(allocation, {})
        if len(over) < len(self._by_allocation.get(allocation, ())):
            return False  # most of the time this says all; the rest goes through the record
        return all(entry.state != records.ASSIGNED or entry.index in over for entry in record.tasks)

    def ends(self, state: ClusterState, gather_s: float) -> dict[AllocationKey, dict[int, TaskEntry]]:
        """Entries of tasks whose end or absence is proved and is to be recorded now.

        Ends of one allocation are gathered for a while, so that many of them cost one change. What someone waits for is
        not: the last end of an allocation, and a task that has to start again.
        """
        out: dict[AllocationKey, dict[int, TaskEntry]] = {}
        recorded = state.zone_allocations[self.zone]
        for allocation, attempts in self.over.items():
            if allocation in recorded and (
                self._oldest_end(attempts) <= self.now - gather_s or self._awaited(state, allocation, attempts)
            ):
                out[allocation] = {
                    attempt.index: TaskEntry(attempt.index, self._outcome(state, attempt), attempt.attempt)
                    for attempt in attempts.values()
                }
        return out

    @staticmethod
    def _oldest_end(attempts: dict[int, TaskAttempt]) -> float:
        return next(iter(attempts.values())).over_at  # they are in the order in which they were proved

    def _awaited(self, state: ClusterState, allocation: AllocationKey, attempts: dict[int, TaskAttempt]) -> bool:
        """Someone waits for the record of these ends: the last ones of an allocation, or a task that starts again."""
        if allocation not in self.free and len(attempts) == len(self._by_allocation.get(allocation, ())):
            return True
        if not live(state, allocation.job):
            return False
        return allocation in self._restarting or state.jobs[allocation.job].spec.kind == wire.SERVICE

    def _outcome(self, state: ClusterState, attempt: TaskAttempt) -> int:
        done = (
            attempt.phase is Phase.EXITED and attempt.why == wire.REASON_DONE and not self._is_service(state, attempt)
        )
        gang = self.gangs.get(attempt.where.job)
        if gang is not None and gang.state is GangState.ENDED:
            return records.ENDED  # members complete together, also those whose own report never came
        if done or not live(state, attempt.where.job):
            return records.ENDED  # done, or nobody will want it again
        return records.RETURNED if self.dark else records.FREE  # there is no room for it here
