"""Which machines may still run a cancelled task though its stop is overdue. Decides only."""

from __future__ import annotations

from collections.abc import Callable

from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.partition import Partition
from spurarch.settings import Workers
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState

# Shares of the time within which a cancelled task has to be off its machine.
OVERDUE_SHARE = 0.4
OVERDUE_UNCONFIRMED_SHARE = 0.8
AWAKE_HEARTBEATS = 4.0  # for which this process must have run without a stall


def overdue_machines(
    partition: Partition, workers: Workers, now: float, mostly_silent: bool, resumed_at: float = 0.0
) -> list[Machine]:
    """Machines that may still run a cancelled task, though its stop was requested long ago.

    A machine that hangs neither ends its tasks nor lets its lease end them, and only its release proves that they are
    off: a wrong release costs work, waiting breaks a guarantee. So these are released in an outage too, when this owner
    may have been deposed. Machines that never sent it a heartbeat, or most of which fell silent at once, may well send
    them to another owner, who stops the task; they get longer, until an owner that is cut off has had to give them up.
    """
    overdue = []
    for name in list(partition.machines_with_cancelled_tasks):
        machine = partition.machines.get(name)
        since = machine.overdue_since() if machine is not None and machine.state is not MachineState.RELEASED else None
        if machine is None or since is None:
            del partition.machines_with_cancelled_tasks[name]
            continue
        unconfirmed = mostly_silent or machine.state is MachineState.UNCONFIRMED
        share = OVERDUE_UNCONFIRMED_SHARE if unconfirmed else OVERDUE_SHARE
        awake = now - resumed_at > AWAKE_HEARTBEATS * workers.heartbeat_interval_s
        if now - since > share * workers.cancel_s and awake:
            overdue.append(machine)
    return [machine for machine in overdue if not machine.releasing]


def orphaned_machines(
    state: ClusterState, zones: set[str], time_since_cancellation: Callable[[str], float | None], workers: Workers
) -> dict[str, str]:
    """Machines, and their zones, that may run a cancelled task while no live controller owns their partition.

    An owner ended and the state service is down before another could claim the partition. Decided by this controller's
    copy of the records, as late as for machines that are not confirmed.
    """
    orphaned: dict[str, str] = {}
    for job_id in list(state.allocations):
        cancelled_for_s = time_since_cancellation(job_id)
        if cancelled_for_s is not None and cancelled_for_s > OVERDUE_UNCONFIRMED_SHARE * workers.cancel_s:
            for allocation, record in state.allocations[job_id].items():
                if allocation.zone in zones:
                    orphaned.update(
                        (entry.machine, allocation.zone) for entry in record.tasks if entry.state == records.ASSIGNED
                    )
    return orphaned
