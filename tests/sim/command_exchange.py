"""A partition owner and workers, with a network that delays, reorders and loses what they exchange.

Every message is delivered by an explicit call, in any order that the published protocol allows, and requests may arrive
more than once. The workers follow that protocol to the letter: they keep an attempt by its task and number, and start
it again after they have forgotten it. Time does not pass by itself, so a lease ends only in `end_leases`. Each call
returns whether it had an effect.
"""

from __future__ import annotations

from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import PartitionContext
from spurarch.coordination.partition.terminal_records import TerminalRecords
from spurarch.coordination.runtime.invariants import InvariantViolations
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, TaskEntry
from tests.sim.worker_model import ZONE, DirectExchange, Exchange, Worker
from tests.test_scale import submission

JOB = "job-1"
ALLOCATION = AllocationKey(ZONE, JOB, 0)
LEASE_S = 10.0
STEP_S = 0.01  # between two calls


class CommandExchange:
    """The owner of a partition, its workers, the records of one job, and everything on its way between them."""

    def __init__(self, workers: int, tasks: int, kind: str = wire.BATCH) -> None:
        self.now, self.epoch = 1.0, 0
        self.records = ClusterState()
        self.violations = InvariantViolations()
        self.ran_twice: list[str] = []
        self.job_cancelled_at: float | None = None
        self.workers = [Worker(f"vm-{i}") for i in range(workers)]
        job = submission(JOB, tasks)
        job.kind = kind
        self._put(records.JOB + JOB, JobRecord(job, 0.0))
        self._put(str(ALLOCATION), AllocationRecord([TaskEntry(index) for index in range(tasks)]))
        self.partition = self._create_owner()
        self.read_records()
        for worker in self.workers:
            self.exchange_heartbeat(worker)
            self.exchange_heartbeat(worker)

    # Owner

    def _create_owner(self) -> Partition:
        self._step()
        self.epoch += 1
        context = PartitionContext(lambda job: None, self._time_since_cancellation, violations=self.violations)
        return Partition(ZONE, self.epoch, LEASE_S, self.now, context)

    def _time_since_cancellation(self, _job: str) -> float | None:
        return None if self.job_cancelled_at is None else self.now - self.job_cancelled_at

    def read_records(self) -> bool:
        """The owner reads the records for the first time; until then, it plans hardly any commands."""
        if self.partition.state.records_read:
            return False
        self.partition.apply_records(self.records, list(self.records.entries), self.now)
        self.partition.state.records_read = True
        return True

    def change_owner(self) -> bool:
        """Gives the partition to a new owner, which has not read the records yet."""
        self.partition = self._create_owner()
        for worker in self.workers:
            worker.direct = [exchange for exchange in worker.direct if exchange.response is None]
            for exchange in worker.direct:
                exchange.abandoned = True
        return True

    def assign(self, index: int, worker: Worker) -> bool:
        """Assigns a waiting task to a worker under the next attempt."""
        return self.assign_together({index: worker})

    def assign_together(self, workers: dict[int, Worker]) -> bool:
        """Assigns several waiting tasks to workers under their next attempts, in one record."""
        self._step()
        if not self.partition.state.records_read:
            return False
        entries = {}
        for index, worker in workers.items():
            entry, machine = self._entries()[index], self.partition.machines.get(worker.name)
            if entry.state != records.UNASSIGNED or machine is None or not machine.can_accept_tasks(self.now):
                return False
            incarnation = machine.incarnation
            entries[index] = TaskEntry(index, records.ASSIGNED, entry.attempt + 1, worker.name, incarnation)
        self._record(entries)
        return True

    def request_stop(self, index: int) -> bool:
        """Has the owner stop a task, as for preemption."""
        self._step()
        attempt = self.partition.attempts.get((JOB, index))
        if attempt is None or attempt.stop_requested:
            return False
        self.partition.request_stop(attempt, 0.0)
        return True

    def record_ends(self) -> bool:
        """Records the proved ends of tasks, which can be assigned again afterwards."""
        self._step()
        if not self.partition.state.records_read:
            return False
        entries = TerminalRecords(self.partition.state).entries(self.records, 0.0)
        for changes in entries.values():
            self._record(changes)
        return bool(entries)

    # Heartbeats

    def send_heartbeat(self, worker: Worker) -> bool:
        """The worker sends a heartbeat if none is in flight."""
        self._step()
        if worker.heartbeat is not None:
            return False
        worker.heartbeat = Exchange(worker.build_heartbeat())
        worker.sent.append(worker.heartbeat.heartbeat)
        return True

    def deliver_heartbeat(self, worker: Worker) -> bool:
        """The heartbeat in flight reaches the owner, whose response is on its way then."""
        exchange = worker.heartbeat
        if exchange is None or exchange.response is not None:
            return False
        exchange.response = self._respond(exchange.heartbeat)
        if exchange.response is None:
            worker.heartbeat = None
        return True

    def deliver_response(self, worker: Worker) -> bool:
        """The response in flight reaches the worker, before the worker stops waiting for it."""
        self._step()
        exchange = worker.heartbeat
        if exchange is None or exchange.response is None:
            return False
        worker.heartbeat = None
        if exchange.response.fencing_token >= worker.token and exchange.heartbeat.incarnation == worker.incarnation:
            worker.token = exchange.response.fencing_token
            self._execute(worker, exchange.response.commands)
        return True

    def drop_heartbeat(self, worker: Worker) -> bool:
        """The worker stops waiting for the response to the heartbeat in flight."""
        dropped = worker.heartbeat is not None
        worker.heartbeat = None
        return dropped

    def deliver_copy(self, worker: Worker, index: int) -> bool:
        """A copy of an earlier heartbeat reaches the owner; nobody receives the response."""
        if not worker.sent:
            return False
        self._respond(worker.sent[index % len(worker.sent)])
        return True

    def exchange_heartbeat(self, worker: Worker) -> bool:
        """A heartbeat and its response are delivered at once, if none is in flight."""
        if not self.send_heartbeat(worker):
            return False
        self.deliver_heartbeat(worker)
        self.deliver_response(worker)
        return True

    # Direct commands

    def send_direct(self, worker: Worker) -> bool:
        """The owner sends direct commands if it has any."""
        self._step()
        machine = self.partition.machines.get(worker.name)
        request = self.partition.direct_commands.next_request(machine) if machine is not None else None
        if request is None:
            return False
        worker.direct.append(DirectExchange(request))
        return True

    def deliver_direct(self, worker: Worker, index: int) -> bool:
        """Direct commands reach the worker, which executes them unless its token or incarnation forbids it."""
        self._step()
        waiting = [exchange for exchange in worker.direct if exchange.response is None]
        if not waiting:
            return False
        exchange = waiting[index % len(waiting)]
        worker.received.append(exchange.request)
        exchange.response = self._receive_direct(worker, exchange.request)
        if exchange.abandoned:
            worker.direct.remove(exchange)
        return True

    def deliver_direct_copy(self, worker: Worker, index: int) -> bool:
        """A request that has reached the worker before arrives once more; nobody receives the response."""
        self._step()
        if not worker.received:
            return False
        self._receive_direct(worker, worker.received[index % len(worker.received)])
        return True

    def deliver_direct_response(self, worker: Worker) -> bool:
        """The response to direct commands reaches the owner."""
        self._step()
        for exchange in worker.direct:
            if exchange.response is not None and not exchange.abandoned:
                worker.direct.remove(exchange)
                machine = self.partition.machines[worker.name]
                self.partition.direct_commands.on_response(machine, exchange.request, exchange.response, self.now)
                return True
        return False

    def abandon_direct(self, worker: Worker) -> bool:
        """The owner stops waiting for a response; the commands may still arrive."""
        self._step()
        for exchange in worker.direct:
            if not exchange.abandoned:
                exchange.abandoned = True
                machine = self.partition.machines[worker.name]
                self.partition.direct_commands.on_failure(machine)
                if exchange.response is not None:
                    worker.direct.remove(exchange)
                return True
        return False

    def exchange_direct(self, worker: Worker) -> bool:
        """Direct commands and their response are delivered at once, if none is on its way."""
        if worker.direct or not self.send_direct(worker):
            return False
        self.deliver_direct(worker, 0)
        return self.deliver_direct_response(worker)

    def run_to_exit(self, worker: Worker) -> None:
        """Starts task 0 by direct commands; it exits by itself, which the owner doesn't know yet."""
        self.assign(0, worker)
        self.exchange_direct(worker)
        self.end_task(worker, 0)

    def run_and_forget(self, worker: Worker) -> None:
        """Starts task 0 by direct commands; it exits, the exit is recorded, and the worker forgets it."""
        self.run_to_exit(worker)
        self.exchange_heartbeat(worker)
        self.record_ends()
        self.exchange_heartbeat(worker)
        assert worker.tasks == {}

    # Workers

    def run_again(self, worker: Worker, index: int, attempt: int) -> None:
        """An attempt runs on the worker again, by whatever cause."""
        worker.tasks[wire.task_name(JOB, index), attempt] = wire.RUNNING

    def end_task(self, worker: Worker, index: int) -> bool:
        """A task that the worker runs ends by itself."""
        for key, state in worker.tasks.items():
            if state == wire.RUNNING and key[0] == wire.task_name(JOB, index):
                worker.tasks[key] = wire.EXITED
                return True
        return False

    def start_over(self, worker: Worker) -> None:
        """The worker restarts with the incarnation and sequence of its beginning, without its token."""
        worker.tasks.clear()
        worker.heartbeat = None
        worker.seq = worker.token = 0

    def restart(self, worker: Worker, keeps_token: bool) -> bool:
        """The worker restarts in its next incarnation."""
        worker.end_incarnation(keeps_token)
        return True

    def pass_time(self) -> bool:
        """More time passes than worker and owner wait for a response, but less than a lease."""
        self._wait_for_no_response()
        self.now += LEASE_S / 2
        return True

    def end_leases(self) -> bool:
        """No response reaches any worker for longer than a lease, and the owner receives no heartbeat."""
        self._wait_for_no_response()
        for worker in self.workers:
            worker.end_incarnation(keeps_token=True)
        self.now += 2 * LEASE_S
        self.partition.tick(self.now)
        return True

    # Steps

    def _wait_for_no_response(self) -> None:
        for worker in self.workers:
            self.drop_heartbeat(worker)
            while self.abandon_direct(worker):
                pass

    def _step(self) -> None:
        self.now += STEP_S

    def _respond(self, heartbeat: wire.Heartbeat) -> wire.HeartbeatResponse | None:
        self._step()
        commands = self.partition.on_heartbeat(heartbeat, self.now)
        if commands is None:
            return None
        machine = self.partition.machines[heartbeat.machine]
        return wire.HeartbeatResponse(self.partition.state.fencing_token(machine), commands)

    def _receive_direct(self, worker: Worker, request: wire.DirectCommands) -> wire.Heartbeat:
        """Executes a request unless its token or incarnation forbids it; returns the worker's status afterwards."""
        if request.fencing_token >= worker.token and request.incarnation == worker.incarnation:
            worker.token = request.fencing_token
            self._execute(worker, request.commands)
        return worker.build_heartbeat()

    def _execute(self, worker: Worker, commands: list[wire.Command]) -> None:
        for task in worker.execute(commands):
            others = [other for other in self.workers if other is not worker]
            if any(name == task and state == wire.RUNNING for o in others for (name, _), state in o.tasks.items()):
                self.ran_twice.append(f"{task} on {worker.name}")

    def _entries(self) -> list[TaskEntry]:
        return self.records.zone_allocations[ZONE][ALLOCATION].tasks

    def _record(self, changes: dict[int, TaskEntry]) -> None:
        self._put(str(ALLOCATION), AllocationRecord([changes.get(entry.index, entry) for entry in self._entries()]))
        self.partition.apply_records(self.records, [str(ALLOCATION)], self.now)

    def _put(self, key: str, record: JobRecord | AllocationRecord) -> None:
        self.records.put(key, self.records.revision + 1, record)
        self.records.advance(self.records.revision + 1)
