"""Messages between a partition owner and its workers that are late: they change nothing that is known better."""

from __future__ import annotations

from spurarch.coordination.partition.machine import MachineState
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
