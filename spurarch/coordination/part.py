"""One part of the fleet in the hands of its holder: what reports mean, which commands follow, what to record.

No I/O: reports, records and the time come in; answers, commands and changes of records come out.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from spurarch.bookkeeping import records
from spurarch.bookkeeping.records import AllotKey, AllotRecord, JobRecord, MachineRecord, TaskEntry
from spurarch.bookkeeping.replica import State
from spurarch.coordination.machine import Machine, Phase, Standing, TaskRun, observed_phase
from spurarch.protocol import wire

log = logging.getLogger(__name__)

TOKEN_BITS = 20
FAULTS_BEFORE_PAUSE = 2
FAULT_PAUSE_S = 30.0
MACHINES_BLAMED = 2
REFUSAL_PAUSE_S = 2.0


@dataclass(slots=True)
class JobTrouble:
    """What a job's failures taught: when to try again."""

    failures: int = 0
    not_before: float = 0.0
    good: bool = False  # a task of it has completed
    machines: set[str] = field(default_factory=set)  # where it failed

    def back_off(self, now: float) -> None:
        """One more failure: the next try waits longer."""
        self.failures += 1
        self.not_before = now + min(30.0, 0.25 * 2 ** min(self.failures, 8))


class Part:
    """State of one part. The holder owns it as long as `epoch` is the part's on record."""

    def __init__(
        self, zone: str, epoch: int, lease_s: float, now: float, image_of: Callable[[str], int | None]
    ) -> None:
        self.zone, self.epoch, self.lease_s = zone, epoch, lease_s
        self._image_of = image_of
        self.taken_at = now
        self.machines: dict[str, Machine] = {}
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.free: dict[AllotKey, list[TaskEntry]] = {}
        self.trouble: dict[str, JobTrouble] = defaultdict(JobTrouble)
        self.ready = False  # the records of this part have been read since it was claimed

    # Tokens

    @property
    def base(self) -> int:
        """Lowest token of this epoch."""
        return self.epoch << TOKEN_BITS

    def token(self, machine: Machine) -> int:
        """The token that the machine is given now."""
        return self.base + machine.counter

    # Records coming in

    def take_records(self, state: State, keys: Iterable[str], now: float) -> None:
        """Follows changed records of this part."""
        for key in keys:
            if key.startswith(records.ALLOT):
                where = AllotKey.parse(key)
                if where.zone == self.zone:
                    self._take_allot(where, state.zone_allots[self.zone].get(where), now)
            elif key.startswith(records.MACHINE):
                zone, name = records.parse_machine_key(key)
                if zone == self.zone:
                    self._take_machine(name, state.machines[zone].get(name), now)

    def _take_machine(self, name: str, record: MachineRecord | None, now: float) -> None:
        machine = self.machines.get(name)
        if record is None:
            if machine is not None and machine.standing is Standing.GONE:
                del self.machines[name]
            return
        if machine is None:
            machine = Machine(name, self.zone, record.type, record.spot, record.addr, now)
            self.machines[name] = machine
        machine.open = record.open

    def _take_allot(self, where: AllotKey, record: AllotRecord | None, now: float) -> None:
        entries = record.tasks if record else []
        assigned = {(where.job, e.index): e for e in entries if e.state == records.ASSIGNED}
        for key in [k for k, run in self.runs.items() if run.where == where]:
            entry = assigned.get(key)
            run = self.runs[key]
            if entry is None or (entry.machine, entry.attempt) != (run.machine, run.attempt):
                self._forget_run(run)
        for key, entry in assigned.items():
            if key not in self.runs:
                machine = self.machines.get(entry.machine)
                if machine is None:
                    machine = Machine(entry.machine, self.zone, "", False, "", now, open=False)
                    self.machines[entry.machine] = machine
                run = TaskRun(where, entry.index, entry.attempt, entry.machine, entry.session, now)
                self.runs[key] = run
                machine.runs[key] = run
                machine.idle_since = None
        free = [e for e in entries if e.state == records.FREE]
        if free:
            self.free[where] = free
        else:
            self.free.pop(where, None)

    def _forget_run(self, run: TaskRun) -> None:
        del self.runs[run.key]
        machine = self.machines.get(run.machine)
        if machine is not None:
            if machine.runs.get(run.key) is run:
                del machine.runs[run.key]
            if run.phase is Phase.EXITED:
                machine.forget[run.key] = run.attempt

    # Reports

    def on_report(self, report: wire.Report, now: float) -> list[wire.Command] | None:
        """Takes a report in and returns the commands of its answer; None if it must not be answered with 200."""
        machine = self._machine(report, now)
        if machine.standing is Standing.GONE or report.session <= machine.lost_session:
            return None
        if report.token >= self.base + (1 << TOKEN_BITS):
            return None  # a later holder has spoken to this worker
        met = machine.answered_at is not None
        machine.answered_at = now
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return []  # something newer was seen: nothing to learn, though its sender may still wait
        self.observe(machine, report, now, met)
        if not self.ready or machine.standing is not Standing.KNOWN:
            return []
        self._prove_absent(machine, report)
        commands = self.commands(machine, report)
        for run in machine.runs.values():
            if run.phase is Phase.STARTING:
                run.sent_seq = report.seq
        return commands

    def _machine(self, report: wire.Report, now: float) -> Machine:
        machine = self.machines.get(report.machine)
        if machine is None:
            machine = Machine(report.machine, self.zone, report.type, report.spot, report.addr, now)
            self.machines[report.machine] = machine
        machine.type, machine.spot, machine.addr = report.type, report.spot, report.addr
        return machine

    def observe(self, machine: Machine, report: wire.Report, now: float, met: bool) -> None:
        """Takes in what a report or the answer to a direct command shows, unless something newer was seen.

        A machine becomes known with a report that follows one we answered. The network may deliver a report minutes
        late: one alone, from a machine that was returned meanwhile, must not bring it back as room for tasks.
        """
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return
        if report.session > machine.session:
            for run in list(machine.runs.values()):
                if run.session < report.session:
                    run.advance(Phase.GONE)
            machine.forget.clear()
            machine.fence = 0  # commands name their session
        machine.session, machine.seq = report.session, report.seq
        machine.token_seen = max(machine.token_seen, report.token)
        if report.token >= self.base and report.token > 0:
            machine.counter = max(machine.counter, report.token - self.base)
            if met:
                machine.advance(Standing.KNOWN)
        machine.notice_until = None if report.notice_s is None else now + report.notice_s
        machine.reported = len(report.tasks)
        for task in report.tasks:
            self._observe_task(machine, task, now)

    def _observe_task(self, machine: Machine, task: wire.TaskReport, now: float) -> None:
        parsed = wire.split_task(task.task)
        run = machine.runs.get(parsed) if parsed else None
        if run is None or run.attempt != task.attempt:
            return
        phase = observed_phase(task)
        if run.advance(phase, task.why):
            if phase is Phase.RUNNING:
                run.running_at = now
                image = self._image_of(run.where.job)
                if image is not None:
                    machine.images.add(image)
            if phase is Phase.EXITED:
                self._judge(machine, run, now)

    def _judge(self, machine: Machine, run: TaskRun, now: float) -> None:
        """Learns from the way a task ended."""
        trouble = self.trouble[run.where.job]
        if run.why == wire.WHY_ERROR:
            trouble.machines.add(machine.name)
            # A job that fails wherever it is put says nothing of the machines.
            if trouble.good or len(trouble.machines) <= MACHINES_BLAMED:
                machine.failures += 1
            trouble.back_off(now)
            log.info("task %s/%d failed on %s (attempt %d)", *run.key, machine.name, run.attempt)
            if machine.failures >= FAULTS_BEFORE_PAUSE:
                machine.avoid_until = now + FAULT_PAUSE_S * machine.failures
        elif run.why in (wire.WHY_NO_ROOM, wire.WHY_BUSY):
            machine.avoid_until = max(machine.avoid_until, now + REFUSAL_PAUSE_S)
        elif run.why == wire.WHY_UNKNOWN:
            trouble.back_off(now)
        elif run.why == wire.WHY_DONE:
            trouble.failures, trouble.good = 0, True
            machine.failures = 0

    def _prove_absent(self, machine: Machine, report: wire.Report) -> None:
        """A task that has to go and is not in the report is off the machine, if no start can still be on its way."""
        if not machine.fenced:
            return
        listed = {wire.split_task(t.task) for t in report.tasks}
        for run in machine.runs.values():
            if run.stop and run.key not in listed and report.seq > run.sent_seq:
                run.advance(Phase.GONE)

    # Commands

    def commands(self, machine: Machine, report: wire.Report | None) -> list[wire.Command]:
        """What the worker should do now. Every command may be repeated, but a start after a forget.

        Ends are forgotten first, so that a worker does not refuse a task whose earlier attempt it still lists.
        """
        out: list[wire.Command] = []
        if machine.fenced:
            # While a start without an answer may still arrive, a forgotten attempt would run again.
            out += [wire.Command(wire.FORGET, wire.task_name(*k), a) for k, a in machine.forget.items()]
        if report is not None:
            out += self._clean(machine, report)
        for run in machine.runs.values():
            name = wire.task_name(*run.key)
            if run.stop:
                saving = run.phase is Phase.STOPPING and run.grace_s > 0
                if run.phase < Phase.EXITED and not saving:
                    out.append(wire.Command(wire.STOP, name, run.attempt, run.grace_s))
            elif run.phase in (Phase.ASSIGNED, Phase.STARTING) and run.session == machine.session:
                run.advance(Phase.STARTING)
                out.append(wire.Command(wire.START, name, run.attempt))
        return out

    def _clean(self, machine: Machine, report: wire.Report) -> list[wire.Command]:
        """Stops and forgets what no record puts on this machine."""
        out: list[wire.Command] = []
        kept: dict[tuple[str, int], int] = {}
        for task in report.tasks:
            key = wire.split_task(task.task)
            run = machine.runs.get(key) if key else None
            if run is not None and run.attempt == task.attempt:
                continue
            if key and machine.forget.get(key) == task.attempt:
                kept[key] = task.attempt
            elif task.state != wire.EXITED:
                out.append(wire.Command(wire.STOP, task.task, task.attempt, 0.0))
            elif machine.fenced:
                out.append(wire.Command(wire.FORGET, task.task, task.attempt))
        machine.forget = kept
        return out

    def direct(self, machine: Machine) -> wire.DirectCommands | None:
        """Commands worth sending at once to the machine's own address."""
        if machine.standing is not Standing.KNOWN or not machine.fenced or not machine.addr:
            return None
        commands = self.commands(machine, None)
        if not commands:
            return None
        machine.in_flight += 1
        return wire.DirectCommands(self.token(machine), machine.session, commands)

    def direct_answered(self, machine: Machine, sent: wire.DirectCommands, report: wire.Report | None, now: float) -> None:
        """An answer to direct commands came: executed or refused, they are not on their way any more."""
        machine.in_flight -= 1
        if report is None or report.machine != machine.name:
            return
        for command in sent.commands:
            key = wire.split_task(command.task)
            run = machine.runs.get(key) if key else None
            if run is not None and command.op == wire.START and report.session == machine.session:
                run.sent_seq = max(run.sent_seq, report.seq)
        self.observe(machine, report, now, True)

    def direct_lost(self, machine: Machine, sent: wire.DirectCommands, reached: bool) -> None:
        """Direct commands got no answer: they may act minutes later, so the machine gets a higher token."""
        machine.in_flight -= 1
        if reached and machine.session == sent.session:
            machine.counter = max(machine.counter, sent.token - self.base + 1)
            machine.fence = max(machine.fence, sent.token + 1)

    # Time

    def tick(self, state: State, now: float) -> None:
        """Draws what follows from time alone, and from jobs that ended."""
        for machine in self.machines.values():
            if machine.lease_out(now, self.lease_s):
                log.info("machine %s is lost: silent for %.1f s", machine.name, now - (machine.answered_at or now))
                machine.lost_session = machine.session
                machine.advance(Standing.LOST)
                for run in machine.runs.values():
                    run.advance(Phase.GONE)
            if machine.runs:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
        for run in self.runs.values():
            machine = self.machines[run.machine]
            if run.session < machine.session or (machine.standing is Standing.LOST and run.session <= machine.lost_session):
                run.advance(Phase.GONE)  # recorded onto a session that was over by then
            if (not run.stop or run.grace_s) and not live(state, run.where.job):
                self.stop(run, 0.0)

    @staticmethod
    def stop(run: TaskRun, grace_s: float) -> None:
        """Has a task leave its machine."""
        run.stop, run.grace_s = True, grace_s
        if run.phase is Phase.ASSIGNED:
            # An earlier process may have sent a start, so absence has to be shown by a report all the same.
            run.advance(Phase.STARTING)

    def returned(self, name: str) -> None:
        """The cloud confirmed that the machine is gone, with all that was on it."""
        machine = self.machines.get(name)
        if machine is not None:
            machine.advance(Standing.GONE)
            for run in machine.runs.values():
                run.advance(Phase.GONE)

    # Records going out

    @staticmethod
    def _is_service(state: State, run: TaskRun) -> bool:
        """Replicas run until their job is cancelled, so one that ends by itself starts again."""
        job = state.jobs.get(run.where.job)
        return job is not None and job.spec.kind == wire.SERVICE

    def ends(self, state: State) -> dict[AllotKey, dict[int, TaskEntry]]:
        """Entries of tasks whose end or absence is proved and has to be recorded."""
        out: dict[AllotKey, dict[int, TaskEntry]] = {}
        for run in self.runs.values():
            if run.phase in (Phase.EXITED, Phase.GONE):
                done = run.phase is Phase.EXITED and run.why == wire.WHY_DONE and not self._is_service(state, run)
                if not done and not live(state, run.where.job):
                    done = True  # nobody will want it again
                new = records.ENDED if done else records.FREE
                out.setdefault(run.where, {})[run.index] = TaskEntry(run.index, new, run.attempt)
        return out


def live(state: State, job: str) -> bool:
    """The job is on record and not cancelled."""
    record: JobRecord | None = state.jobs.get(job)
    return record is not None and not record.cancelled


def merged(record: AllotRecord, changes: dict[int, TaskEntry]) -> AllotRecord:
    """A copy of an allotment with some entries replaced."""
    return AllotRecord([changes.get(entry.index, entry) for entry in record.tasks])
