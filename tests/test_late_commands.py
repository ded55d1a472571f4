"""Messages between a partition owner and its workers that are late: no ended attempt runs again by them."""

from __future__ import annotations

import os
from random import Random

import pytest

from spurarch.coordination.partition import commands
from spurarch.coordination.partition.machine import MachineState
from spurarch.protocol import wire
from tests.sim.command_exchange import LEASE_S, CommandExchange
from tests.sim.command_walk import TASKS, WORKERS, Walk

WALKS, STEPS = 2000, 60
PARTS = 4  # which run side by side
MORE = int(os.environ.get("SPURARCH_MEETINGS", "0"))  # new walks instead of the fixed ones


def test_a_late_response_to_direct_commands_does_not_reactivate_a_machine_whose_lease_has_expired() -> None:
    """Guards against tasks that wait on a machine whose worker has ended the incarnation they are assigned to."""
    world = CommandExchange(WORKERS, TASKS)
    silent, _ = world.workers
    world.assign(0, silent)
    world.send_direct(silent)
    world.deliver_direct(silent, 0)
    world.now += 2 * LEASE_S
    world.partition.tick(world.now)
    world.deliver_direct_response(silent)
    assert world.partition.machines[silent.name].state is MachineState.LEASE_EXPIRED


def test_an_attempt_that_runs_again_after_its_end_is_reported_once_with_the_proof_of_its_end() -> None:
    world = CommandExchange(WORKERS, TASKS)
    worker, _ = world.workers
    world.run_and_forget(worker)
    for _ in range(2):
        world.run_again(worker, 0, 1)
        world.exchange_heartbeat(worker)
    token = world.partition.state.lowest_token
    assert world.violations.messages == [
        f"ended attempt runs again task=job-1/0 attempt=1 machine=vm-0 token={token + 3} proof=exit-reported "
        f"start_path=direct start_token={token + 1} forget_path=heartbeat-response forget_token={token + 3}"
    ]


def test_a_late_heartbeat_response_starts_no_attempt_that_direct_commands_made_its_worker_forget() -> None:
    """Guards against `ran_twice`: direct commands overtake a heartbeat response that carries the attempt's start."""
    world = CommandExchange(WORKERS, TASKS)
    slow, other = world.workers
    world.assign(0, slow)
    world.send_heartbeat(slow)
    world.deliver_heartbeat(slow)
    assert slow.heartbeat is not None
    assert slow.heartbeat.response is not None
    assert [command.op for command in slow.heartbeat.response.commands] == [wire.START]
    world.exchange_direct(slow)
    world.request_stop(0)
    world.exchange_direct(slow)
    world.record_ends()
    world.assign(0, other)
    world.exchange_direct(other)
    world.exchange_direct(slow)
    world.deliver_response(slow)
    assert world.ran_twice == []
    assert slow.tasks == {("job-1/0", 1): wire.EXITED}
    assert other.tasks == {("job-1/0", 2): wire.RUNNING}
    world.exchange_heartbeat(slow)
    assert slow.tasks == {}


def test_a_copy_of_an_answered_start_starts_no_attempt_that_its_worker_has_forgotten() -> None:
    """Guards against `ran_twice` and `ran_cancelled`: a request that was executed and answered arrives again."""
    world = CommandExchange(WORKERS, TASKS)
    worker, other = world.workers
    world.run_and_forget(worker)
    world.assign(0, other)
    world.exchange_direct(other)
    assert world.deliver_direct_copy(worker, 0)
    assert worker.tasks == {}
    assert world.ran_twice == []


def test_a_worker_that_restarts_without_its_token_is_not_told_to_start_attempts_of_its_earlier_incarnation() -> None:
    """Guards against `ran_twice`: the attempt would start in an incarnation in which its owner takes it for gone."""
    world = CommandExchange(WORKERS, TASKS)
    restarted, _ = world.workers
    world.assign(0, restarted)
    world.restart(restarted, keeps_token=False)
    world.exchange_heartbeat(restarted)
    assert restarted.tasks == {}
    world.exchange_heartbeat(restarted)
    assert world.record_ends()
    assert world.assign(0, restarted)
    world.exchange_direct(restarted)
    assert restarted.tasks == {("job-1/0", 2): wire.RUNNING}


def first_seed(part: int) -> int:
    """Returns the first seed of a part: a fixed one, or a new one if more walks are requested."""
    return Random().getrandbits(48) if MORE else part * WALKS


@pytest.mark.parametrize("part", range(PARTS))
def test_no_ended_attempt_runs_again_whatever_is_delayed_or_lost(part: int) -> None:
    start = first_seed(part)
    for seed in range(start, start + (MORE or WALKS) // PARTS):
        walk = Walk(seed)
        assert walk.run(STEPS) == [], (seed, walk.taken)


def test_the_walks_find_a_worker_that_is_told_to_forget_under_the_token_of_the_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(commands, "rejects_start", lambda *_counters: True)
    assert any(Walk(seed).run(STEPS) for seed in range(200))
