"""Attempts that run although their end was proved, or although no record assigns them: they are stopped at once."""

from __future__ import annotations

import pytest

from spurarch.coordination.partition.terminal_records import TerminalRecords
from spurarch.protocol import wire
from tests.sim.command_exchange import LEASE_S, CommandExchange
from tests.sim.worker_model import Worker

WORKERS, TASKS = 2, 2
ATTEMPT = ("job-1/0", 1)


@pytest.fixture
def world() -> CommandExchange:
    """An owner that has read its records, and two workers."""
    return CommandExchange(WORKERS, TASKS)


def exit_reported(world: CommandExchange) -> Worker:
    """Returns a worker that ran the attempt; its exit was reported, but not recorded."""
    worker = world.workers[0]
    world.run_to_exit(worker)
    world.exchange_heartbeat(worker)
    return worker


def test_a_forgotten_attempt_that_runs_again_is_stopped_by_the_next_response(world: CommandExchange) -> None:
    """Guards against `ran_cancelled`: only `forget` is sent again and again, which a running attempt ignores."""
    worker = world.workers[0]
    world.run_and_forget(worker)
    world.run_again(worker, 0, 1)
    world.exchange_heartbeat(worker)
    assert worker.tasks == {ATTEMPT: wire.EXITED}


def test_a_forgotten_attempt_that_runs_again_is_stopped_by_the_next_direct_commands(world: CommandExchange) -> None:
    worker = world.workers[0]
    world.run_and_forget(worker)
    world.run_again(worker, 0, 1)
    world.assign(1, worker)
    world.exchange_direct(worker)
    assert worker.tasks[ATTEMPT] == wire.RUNNING
    assert world.exchange_direct(worker)
    assert worker.tasks[ATTEMPT] == wire.EXITED


def test_an_end_is_not_recorded_while_its_worker_reports_the_attempt_as_running(world: CommandExchange) -> None:
    """Guards against `ran_twice` and `quota`: the record would free the task and its charge while it runs."""
    worker = exit_reported(world)
    world.run_again(worker, 0, 1)
    world.send_heartbeat(worker)
    world.deliver_heartbeat(worker)
    assert not world.record_ends()
    world.deliver_response(worker)
    world.exchange_heartbeat(worker)
    assert worker.tasks == {ATTEMPT: wire.EXITED}
    assert world.record_ends()


def test_an_allocation_is_not_deleted_while_its_task_runs_again(world: CommandExchange) -> None:
    worker = exit_reported(world)
    allocation = next(iter(world.partition.state.attempts_by_allocation))
    world.records.jobs.clear()
    records = TerminalRecords(world.partition.state)
    assert records.is_deletable(world.records, allocation)
    world.run_again(worker, 0, 1)
    world.exchange_heartbeat(worker)
    assert not records.is_deletable(world.records, allocation)
    world.exchange_heartbeat(worker)
    assert records.is_deletable(world.records, allocation)


def test_a_task_does_not_start_elsewhere_while_an_earlier_attempt_of_it_runs_again(world: CommandExchange) -> None:
    worker, other = world.workers
    world.run_and_forget(worker)
    world.run_again(worker, 0, 1)
    world.send_heartbeat(worker)
    world.deliver_heartbeat(worker)
    assert world.assign(0, other)
    assert not world.exchange_direct(other)
    world.exchange_heartbeat(other)
    assert other.tasks == {}
    world.deliver_response(worker)
    world.exchange_heartbeat(worker)
    assert world.exchange_direct(other)
    assert other.tasks == {("job-1/0", 2): wire.RUNNING}
    assert world.ran_twice == []


def test_a_machine_is_not_idle_while_an_ended_attempt_runs_again_there(world: CommandExchange) -> None:
    worker = world.workers[0]
    machine = world.partition.machines[worker.name]
    world.run_and_forget(worker)
    world.exchange_heartbeat(worker)
    world.partition.tick(world.now)
    assert machine.is_empty
    assert machine.idle_since is not None
    world.run_again(worker, 0, 1)
    world.exchange_heartbeat(worker)
    world.partition.tick(world.now)
    assert not machine.is_empty
    assert machine.idle_since is None


def test_a_successor_without_memory_stops_an_attempt_that_no_record_assigns(world: CommandExchange) -> None:
    worker = world.workers[0]
    world.run_and_forget(worker)
    world.run_again(worker, 0, 1)
    world.change_owner()
    world.exchange_heartbeat(worker)
    world.exchange_heartbeat(worker)
    assert worker.tasks == {ATTEMPT: wire.RUNNING}, "before the records are read, it may be a recorded attempt"
    world.read_records()
    assert world.exchange_direct(worker)
    assert worker.tasks == {ATTEMPT: wire.EXITED}


def test_a_successor_stops_a_cancelled_attempt_before_the_records_are_read(world: CommandExchange) -> None:
    worker = world.workers[0]
    world.run_and_forget(worker)
    world.run_again(worker, 0, 1)
    world.change_owner()
    world.job_cancelled_at = world.now
    world.exchange_heartbeat(worker)
    world.send_heartbeat(worker)
    world.deliver_heartbeat(worker)
    assert world.partition.commands.needs_command(world.partition.machines[worker.name])
    assert world.exchange_direct(worker)
    assert worker.tasks == {ATTEMPT: wire.EXITED}


def test_a_machine_with_a_cancelled_attempt_that_runs_again_becomes_overdue(world: CommandExchange) -> None:
    """Guards against `ran_cancelled`: the stop doesn't reach the machine, so that only its release ends the task."""
    worker = world.workers[0]
    machine = world.partition.machines[worker.name]
    world.run_and_forget(worker)
    world.job_cancelled_at = cancelled_at = world.now
    world.run_again(worker, 0, 1)
    world.send_heartbeat(worker)
    world.deliver_heartbeat(worker)
    assert machine.name in world.partition.machines_with_cancelled_tasks
    assert machine.earliest_cancellation_at() == pytest.approx(cancelled_at)
    world.now += 2 * LEASE_S
    world.partition.tick(world.now)
    assert machine.earliest_cancellation_at() == pytest.approx(cancelled_at)


def test_a_machine_is_not_overdue_once_the_cancelled_attempt_has_exited(world: CommandExchange) -> None:
    worker = world.workers[0]
    world.run_and_forget(worker)
    world.job_cancelled_at = world.now
    world.run_again(worker, 0, 1)
    world.exchange_heartbeat(worker)
    world.exchange_heartbeat(worker)
    assert world.partition.machines[worker.name].earliest_cancellation_at() is None
