"""Copies of direct commands that were executed and answered: what they meet, and that they start nothing again."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from spurarch.protocol import wire
from tests.sim.command_exchange import CommandExchange
from tests.sim.worker_model import Worker

WORKERS, TASKS = 2, 2

Meeting = Callable[[CommandExchange, Worker], None]


def deliver_copy_of_start(world: CommandExchange, worker: Worker, index: int = 0) -> None:
    """Delivers a copy of a start for an attempt that the worker doesn't know; it must change nothing."""
    starts = [(c.task, c.attempt) for c in worker.received[index].commands if c.op == wire.START]
    assert any(start not in worker.tasks for start in starts), "the copy would have no effect in any case"
    before = dict(worker.tasks)
    assert world.deliver_direct_copy(worker, index)
    assert worker.tasks == before
    assert world.ran_twice == []
    assert world.violations.messages == []


def move(world: CommandExchange, _worker: Worker) -> None:
    other = world.workers[1]
    assert world.assign(0, other)
    assert world.exchange_direct(other)
    assert other.tasks == {("job-1/0", 2): wire.RUNNING}


def cancel(world: CommandExchange, _worker: Worker) -> None:
    world.job_cancelled_at = world.now


def change_owner(world: CommandExchange, worker: Worker) -> None:
    world.change_owner()
    world.exchange_heartbeat(worker)
    assert worker.token > world.partition.state.lowest_token


def change_owner_without_a_message(world: CommandExchange, worker: Worker) -> None:
    world.change_owner()
    assert worker.token < world.partition.state.lowest_token


def change_owner_and_read_records(world: CommandExchange, worker: Worker) -> None:
    change_owner_without_a_message(world, worker)
    world.read_records()


def end_lease(world: CommandExchange, worker: Worker) -> None:
    world.end_leases()
    assert worker.incarnation == 2


def restart(world: CommandExchange, worker: Worker) -> None:
    world.restart(worker, keeps_token=False)
    assert (worker.incarnation, worker.token) == (2, 0)


def nothing(_world: CommandExchange, worker: Worker) -> None:
    assert worker.heartbeat is None


@pytest.mark.parametrize(
    "meeting",
    [
        nothing,
        move,
        cancel,
        change_owner,
        change_owner_without_a_message,
        change_owner_and_read_records,
        end_lease,
        restart,
    ],
)
def test_a_copy_of_a_start_has_no_effect_after_forget_and(meeting: Meeting) -> None:
    """Guards against `ran_twice` and `ran_cancelled`: the worker doesn't know the attempt any more."""
    world = CommandExchange(WORKERS, TASKS)
    worker = world.workers[0]
    world.run_and_forget(worker)
    meeting(world, worker)
    deliver_copy_of_start(world, worker)


@pytest.mark.parametrize("keeps_token", [True, False])
@pytest.mark.parametrize("owner_changes", [True, False])
def test_a_copy_of_a_start_has_no_effect_in_a_later_incarnation(keeps_token: bool, owner_changes: bool) -> None:
    """The attempt never exited: it ended with its incarnation."""
    world = CommandExchange(WORKERS, TASKS)
    worker = world.workers[0]
    world.assign(0, worker)
    world.exchange_direct(worker)
    world.restart(worker, keeps_token)
    if owner_changes:
        change_owner(world, worker)
    deliver_copy_of_start(world, worker)


def test_a_copy_with_a_forget_and_a_start_does_not_start_the_later_attempt_again() -> None:
    world = CommandExchange(WORKERS, TASKS)
    worker = world.workers[0]
    world.run_to_exit(worker)
    world.exchange_heartbeat(worker)
    world.record_ends()
    world.send_heartbeat(worker)
    world.deliver_heartbeat(worker)  # raises the token, and its response is lost
    world.drop_heartbeat(worker)
    world.assign(0, worker)
    world.exchange_direct(worker)
    assert [command.op for command in worker.received[-1].commands] == [wire.FORGET, wire.START]
    world.request_stop(0)
    world.exchange_direct(worker)
    world.record_ends()
    world.exchange_heartbeat(worker)
    assert worker.tasks == {}
    deliver_copy_of_start(world, worker, 1)


def test_two_copies_in_the_wrong_order_start_nothing_again() -> None:
    world = CommandExchange(WORKERS, TASKS)
    worker = world.workers[0]
    for _ in range(2):
        world.run_and_forget(worker)
    starts = [command for request in worker.received for command in request.commands if command.op == wire.START]
    assert [start.attempt for start in starts] == [1, 2]
    deliver_copy_of_start(world, worker, 1)
    deliver_copy_of_start(world, worker, 0)


def test_a_copy_of_a_start_does_not_start_a_gang_member_again() -> None:
    world = CommandExchange(WORKERS, TASKS, wire.GANG)
    workers = dict(enumerate(world.workers))
    assert world.assign_together(workers)
    for index, worker in workers.items():
        assert world.exchange_direct(worker)
        assert worker.tasks == {(f"job-1/{index}", 1): wire.RUNNING}
        world.exchange_heartbeat(worker)
    world.request_stop(0)
    for worker in workers.values():
        world.exchange_direct(worker)
    world.record_ends()
    for worker in workers.values():
        world.exchange_heartbeat(worker)
        assert worker.tasks == {}
    assert world.assign_together({0: world.workers[1], 1: world.workers[0]})
    for worker in workers.values():
        world.exchange_direct(worker)
        assert list(worker.tasks.values()) == [wire.RUNNING]
        deliver_copy_of_start(world, worker)


def test_an_exit_that_cannot_be_recorded_is_kept_so_that_a_copy_of_its_start_has_no_effect() -> None:
    """As while the state service is down: the worker still knows the attempt."""
    world = CommandExchange(WORKERS, TASKS)
    worker = world.workers[0]
    world.run_to_exit(worker)
    for _ in range(3):
        world.exchange_heartbeat(worker)
        world.deliver_direct_copy(worker, 0)
    assert worker.tasks == {("job-1/0", 1): wire.EXITED}
    assert world.record_ends()
    world.exchange_heartbeat(worker)
    deliver_copy_of_start(world, worker)


def test_an_attempt_is_not_concluded_absent_while_its_start_could_still_take_effect() -> None:
    """The start was lost on its way, then the job was cancelled; a copy of the start arrives afterwards."""
    world = CommandExchange(WORKERS, TASKS)
    worker = world.workers[0]
    world.assign(0, worker)
    assert world.send_direct(worker)
    lost = worker.direct[0]
    world.abandon_direct(worker)
    worker.direct.clear()
    world.request_stop(0)
    world.exchange_heartbeat(worker)
    assert not world.record_ends()
    world.exchange_heartbeat(worker)
    assert world.record_ends()
    worker.received.append(lost.request)
    deliver_copy_of_start(world, worker)


def test_a_worker_that_starts_over_with_the_incarnation_of_before_runs_no_forgotten_attempt() -> None:
    """See docs/questions.md, 6: without its token, the worker accepts the copy, and its heartbeats look outdated."""
    world = CommandExchange(WORKERS, TASKS)
    worker, other = world.workers
    world.run_and_forget(worker)
    move(world, worker)
    world.start_over(worker)
    assert world.deliver_direct_copy(worker, 0)
    for _ in range(3):
        world.exchange_heartbeat(worker)
    assert wire.RUNNING not in worker.tasks.values()
    assert other.tasks == {("job-1/0", 2): wire.RUNNING}
