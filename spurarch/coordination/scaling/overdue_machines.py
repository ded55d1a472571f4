"""Selects machines that may still run a cancelled task whose stop is overdue. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.partition import Partition
from spurarch.settings import Workers
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState

# Shares of `cancel_s`, the time from the cancellation within which a task must have left its machine.
OVERDUE_SHARE = 0.4
OVERDUE_UNCONFIRMED_SHARE = 0.8
MIN_HEARTBEATS_SINCE_STALL = 4.0  # heartbeat intervals that this process must have run without a stall


def overdue_machines(
    partition: Partition, workers: Workers, now: float, mostly_silent: bool, resumed_at: float = 0.0
) -> list[Machine]:
    """Returns machines that may still run a task long after its job was cancelled.

    A machine that hangs neither stops its tasks nor lets the expired lease end them; only its release proves that they
    have ended. Releasing a healthy machine costs work, but waiting breaks the guarantee of `cancel_s`. So overdue
    machines are released even during an outage of the state service, when this owner may no longer own the partition.

    Unconfirmed machines, and all machines if most are silent, possibly send heartbeats to another owner, which stops
    the task. Their limit is longer: by then, another owner that can't reach the state service must have stopped
    responding to their heartbeats.

    Also removes machines without such a task from `partition.machines_with_cancelled_tasks`.
    """
    overdue = []
    for name in list(partition.machines_with_cancelled_tasks):
        machine = partition.machines.get(name)
        since = (
            machine.earliest_cancellation_at()
            if machine is not None and machine.state is not MachineState.RELEASED
            else None
        )
        if machine is None or since is None:
            del partition.machines_with_cancelled_tasks[name]
            continue
        unconfirmed = mostly_silent or machine.state is MachineState.UNCONFIRMED
        share = OVERDUE_UNCONFIRMED_SHARE if unconfirmed else OVERDUE_SHARE
        stall_is_past = now - resumed_at > MIN_HEARTBEATS_SINCE_STALL * workers.heartbeat_interval_s
        if now - since > share * workers.cancel_s and stall_is_past:
            overdue.append(machine)
    return [machine for machine in overdue if not machine.releasing]


def orphaned_machines(
    state: ClusterState, zones: set[str], time_since_cancellation: Callable[[str], float | None], workers: Workers
) -> dict[str, str]:
    """Returns machines, with their zones, that may run a cancelled task in a partition without a running owner.

    A partition is left like this if its owner ends and the state service fails before another controller claims it. The
    decision uses this controller's copy of the records and the longer limit of unconfirmed machines.

    `zones` are those without a running owner. `time_since_cancellation` returns seconds, or None for a job that is not
    known to be cancelled.
    """
    orphaned: dict[str, str] = {}
    for job_id in list(state.allocations):
        elapsed_s = time_since_cancellation(job_id)
        if elapsed_s is not None and elapsed_s > OVERDUE_UNCONFIRMED_SHARE * workers.cancel_s:
            for allocation, record in state.allocations[job_id].items():
                if allocation.zone in zones:
                    orphaned.update(
                        (entry.machine, allocation.zone) for entry in record.tasks if entry.state == records.ASSIGNED
                    )
    return orphaned
