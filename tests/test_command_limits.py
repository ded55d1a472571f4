"""No message carries more commands than the protocol's limit on its size allows, and what is left out follows.

Guards against docs/incidents/2026-12-06-more-tasks-than-a-heartbeat-lists.md.
"""

from __future__ import annotations

import msgspec
import pytest

from spurarch.coordination.partition.ended_attempts import EndedAttempt, EndProof
from spurarch.coordination.partition.machine import AttemptPhase
from spurarch.protocol import wire
from spurarch.protocol.message_limits import MAX_COMMANDS_PER_MESSAGE, MAX_TASKS_PER_MACHINE
from tests.sim.command_exchange import JOB, CommandExchange
from tests.sim.worker_model import Worker

MESSAGE_BYTES = 64 * 1024  # by the protocol page


@pytest.mark.parametrize(
    "head", [f'{{"baton":{2**64 - 1},"tenure":{2**63 - 1},"orders":[', f'{{"baton":{2**64 - 1},"orders":[']
)
def test_a_message_with_the_most_commands_is_not_too_long(head: str) -> None:
    command = f'{{"verb":"forget","leg":"job-{"9" * 24}/99999","try":{2**63 - 1},"leeway_s":-1.7976931348623157e308}}'
    assert len(head + ",".join([command] * MAX_COMMANDS_PER_MESSAGE) + "]}") <= MESSAGE_BYTES


def _checked(message: msgspec.Struct) -> None:
    assert len(wire.encode(message)) <= MESSAGE_BYTES


def _exchange(world: CommandExchange, worker: Worker) -> None:
    """Exchanges direct commands, then a heartbeat and its response, and checks the sizes of all messages."""
    if world.send_direct(worker):
        _checked(worker.direct[0].request)
        world.deliver_direct(worker, 0)
        world.deliver_direct_response(worker)
    if world.send_heartbeat(worker):
        assert len(worker.tasks) <= MAX_TASKS_PER_MACHINE
        world.deliver_heartbeat(worker)
        if worker.heartbeat is not None and worker.heartbeat.response is not None:
            _checked(worker.heartbeat.response)
        world.deliver_response(worker)


def test_a_machine_to_which_an_earlier_version_assigned_too_many_tasks_runs_them_in_turn() -> None:
    """The records of an earlier version can assign any number of tasks to a machine."""
    world = CommandExchange(1, 1500)
    worker = world.workers[0]
    ended: set[str] = set()
    world.assign_together(dict.fromkeys(range(1500), worker))
    for _ in range(40):
        _exchange(world, worker)
        ended.update(task for (task, _), state in worker.tasks.items() if state == wire.RUNNING)
        for key in worker.tasks:
            worker.tasks[key] = wire.EXITED
        _exchange(world, worker)
        world.record_ends()
    assert len(ended) == 1500
    assert world.violations.messages == []


def test_a_cancelled_job_of_more_tasks_than_a_message_has_stops_ends_in_several_messages() -> None:
    """An earlier version has started the tasks."""
    world = CommandExchange(1, 1500)
    worker = world.workers[0]
    world.assign_together(dict.fromkeys(range(1500), worker))
    for index in range(1500):
        worker.tasks[wire.task_name(JOB, index), 1] = wire.RUNNING
    world.exchange_heartbeat(worker)
    for index in range(1500):
        world.request_stop(index)
    running = []
    for _ in range(3):
        assert world.send_direct(worker)
        _checked(worker.direct[0].request)
        world.deliver_direct(worker, 0)
        world.deliver_direct_response(worker)
        running.append(sum(state == wire.RUNNING for state in worker.tasks.values()))
    assert running == [1500 - MAX_COMMANDS_PER_MESSAGE, 1500 - 2 * MAX_COMMANDS_PER_MESSAGE, 0]


def test_a_start_that_is_left_out_of_a_message_is_not_noted_as_sent() -> None:
    world = CommandExchange(1, 700)
    worker = world.workers[0]
    world.assign_together(dict.fromkeys(range(700), worker))
    world.send_direct(worker)
    machine = world.partition.machines[worker.name]
    phases = [attempt.phase for attempt in machine.attempts.values()]
    assert phases.count(AttemptPhase.STARTING) == len(worker.direct[0].request.commands) == MAX_TASKS_PER_MACHINE
    assert phases.count(AttemptPhase.ASSIGNED) == 700 - MAX_TASKS_PER_MACHINE
    assert not world.partition.commands.needs_command(machine)  # none of the others can be started now


def test_forgets_that_are_left_out_of_a_response_follow_in_the_next_ones() -> None:
    world = CommandExchange(1, 1200)
    worker = world.workers[0]
    for index in range(1200):
        worker.tasks[wire.task_name("job-9", index), 1] = wire.EXITED
    listed = []
    for _ in range(4):
        world.send_heartbeat(worker)
        world.deliver_heartbeat(worker)
        assert worker.heartbeat is not None
        assert worker.heartbeat.response is not None
        _checked(worker.heartbeat.response)
        world.deliver_response(worker)
        listed.append(len(worker.tasks))
    assert listed == [1200 - MAX_COMMANDS_PER_MESSAGE, 1200 - 2 * MAX_COMMANDS_PER_MESSAGE, 0, 0]


def test_a_forget_that_is_left_out_of_a_message_is_not_noted_as_sent() -> None:
    world = CommandExchange(1, 1)
    worker, ended_attempts = world.workers[0], world.partition.state.ended_attempts
    for index in range(1200):
        task = wire.task_name("job-9", index)
        worker.tasks[task, 1] = wire.EXITED
        ended_attempts.add(worker.name, task, 1, EndedAttempt(EndProof.EXIT_REPORTED))

    def noted() -> int:
        ended = [ended_attempts.get(worker.name, wire.task_name("job-9", index), 1) for index in range(1200)]
        return sum(attempt is not None and attempt.forget is not None for attempt in ended)

    world.exchange_heartbeat(worker)
    assert noted() == MAX_COMMANDS_PER_MESSAGE
    assert world.send_direct(worker)
    _checked(worker.direct[0].request)
    assert noted() == MAX_COMMANDS_PER_MESSAGE


def test_stops_before_the_records_are_read_are_limited_too() -> None:
    world = CommandExchange(1, 1)
    worker = world.workers[0]
    for index in range(1500):
        worker.tasks[wire.task_name(JOB, index), 1] = wire.RUNNING
    world.job_cancelled_at = world.now
    world.change_owner()
    for _ in range(5):
        world.send_heartbeat(worker)
        world.deliver_heartbeat(worker)
        if worker.heartbeat is not None and worker.heartbeat.response is not None:
            _checked(worker.heartbeat.response)
        world.deliver_response(worker)
    assert wire.RUNNING not in worker.tasks.values()
