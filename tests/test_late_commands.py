"""Messages between a partition owner and its workers that are late: they change nothing that is known better."""

from __future__ import annotations

from spurarch.coordination.partition.machine import MachineState
from spurarch.protocol import wire
from tests.sim.command_exchange import LEASE_S, CommandExchange

WORKERS, TASKS = 2, 1


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
    world.assign(0, worker)
    world.exchange_direct(worker)
    world.end_task(worker, 0)
    world.exchange_heartbeat(worker)
    world.record_ends()
    world.exchange_heartbeat(worker)
    for _ in range(2):
        worker.tasks["job-1/0", 1] = wire.RUNNING
        world.exchange_heartbeat(worker)
    assert world.violations.messages == [
        "ended attempt runs again task=job-1/0 attempt=1 machine=vm-0 proof=exit-reported "
        "forgotten_by=heartbeat-response"
    ]
