"""Which machines an owner gives back to the cloud, and why. Pure."""

from __future__ import annotations

from collections.abc import Callable

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.failures import FAILURES_BEFORE_QUARANTINE
from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.partition import Partition
from spurarch.settings import Tuning, Workers
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState

CUT_SILENCE_S = 2.5
CUT_OFF_HEARTBEATS = 2.2
SUSPECT_HEARTBEATS, SUSPECT_SHARE = 1.6, 1 / 3
FIND_S = 5.5
LOST_LEASES = 3.0
OVERDUE, OVERDUE_UNCONFIRMED = 0.4, 0.8  # of the time that a cancellation has
OVERDUE_HEARTBEATS = 4.0


def cut_off(partition: Partition, workers: Workers, now: float, resumed_at: float = 0.0) -> bool:
    """Most of a part's machines fell silent at once: more likely this controller is cut off than they are gone.

    Returning them would throw away a zone of healthy machines that report to another controller by now. Silence counts
    from `woke_at` at the earliest: before that this process itself stood still.
    """
    limit = max(CUT_SILENCE_S, CUT_OFF_HEARTBEATS * workers.heartbeat_interval_s)
    silent = total = 0
    for machine in partition.machines.values():
        if machine.releasing or machine.state is MachineState.RELEASED:
            continue
        total += 1
        if machine.state is MachineState.UNCONFIRMED:
            # Workers need a while to find a new owner. All count together: one machine that was heard once must not
            # stand for a zone that nobody has heard since.
            silent += now - max(partition.claimed_at, machine.first_seen, resumed_at) > limit + FIND_S
        else:
            silent += now - max(machine.last_heartbeat_at or machine.first_seen, resumed_at) > limit
    return silent >= 2 and 2 * silent > total


def silent_machines(
    partition: Partition,
    tuning: Tuning,
    workers: Workers,
    previous_owner_s: float,
    now: float,
    cut: bool,
    resumed_at: float = 0.0,
) -> list[Machine]:
    """Silent and deaf machines to return, which is the fastest proof that their tasks are off.

    `old_holder_s` is how long an owner before us may go on answering workers after it was last heard of.
    """
    out = [
        m
        for m in partition.machines.values()
        if _silent(partition, m, tuning, workers, previous_owner_s, now, resumed_at)
    ]
    if cut or _suspect(partition, workers, now, resumed_at):
        # Those that nobody answered for longer than a lease are no loss, whoever is cut off.
        return [m for m in out if m.state is not MachineState.ACTIVE]
    return out


def _suspect(partition: Partition, workers: Workers, now: float, resumed_at: float) -> bool:
    """So many machines are late with their reports that this may be a cut, before it is plain to see.

    When a controller is cut off, the first machines pass the patience for a single one before half of them pass the
    limit for a cut: a quarter of a healthy zone was once returned in that second.
    """
    known = [m for m in partition.machines.values() if m.state is MachineState.ACTIVE and not m.releasing]
    late = sum(
        now - max(m.last_heartbeat_at or m.first_seen, resumed_at) > SUSPECT_HEARTBEATS * workers.heartbeat_interval_s
        for m in known
    )
    return late >= 2 and late > SUSPECT_SHARE * len(known)


def _silent(
    partition: Partition,
    machine: Machine,
    tuning: Tuning,
    workers: Workers,
    previous_owner_s: float,
    now: float,
    resumed_at: float,
) -> bool:
    if machine.state is MachineState.RELEASED or machine.releasing:
        return False
    if machine.state is MachineState.UNCONFIRMED:
        # An old owner that is cut off from all but its workers may keep it alive, so time proves nothing, and its
        # return would end healthy work. Such an owner stops in the end, and then its workers look for us.
        return now - max(partition.claimed_at, machine.first_seen, resumed_at) > max(
            workers.lease_s * 1.5, previous_owner_s + FIND_S
        )
    if machine.state is MachineState.LEASE_EXPIRED:
        # Its tasks are free already. A zone that was cut off comes back, and its machines with it.
        return now - max(machine.last_heartbeat_at or machine.first_seen, resumed_at) > LOST_LEASES * workers.lease_s
    timeout_s = (
        max(tuning.silent_release_s, 2.5 * workers.heartbeat_interval_s) if machine.attempts else workers.lease_s * 2
    )
    if machine.responses_lost:
        return now - max(machine.token_offered_at or now, resumed_at) > timeout_s
    return now - max(machine.last_heartbeat_at or machine.first_seen, resumed_at) > timeout_s


def overdue_machines(
    partition: Partition, workers: Workers, now: float, cut: bool, resumed_at: float = 0.0
) -> list[Machine]:
    """Machines that may still hold a cancelled task, though its stop was asked for long ago.

    A machine that hangs neither ends its tasks nor lets its lease end them, and only its return proves them gone: a wrong
    return costs work, waiting breaks a rule. So these are returned in an outage too, when this owner may have been
    deposed. Machines that it has not heard itself, or most of which fell silent at once, may well report to somebody
    else, who stops the task; they get longer, until an owner that is cut off has had to let go of them.
    """
    out = []
    for name in list(partition.machines_with_cancelled_tasks):
        machine = partition.machines.get(name)
        since = machine.overdue_since() if machine is not None and machine.state is not MachineState.RELEASED else None
        if machine is None or since is None:
            del partition.machines_with_cancelled_tasks[name]
            continue
        share = OVERDUE_UNCONFIRMED if cut or machine.state is MachineState.UNCONFIRMED else OVERDUE
        if (
            now - since > share * workers.cancel_s
            and now - resumed_at > OVERDUE_HEARTBEATS * workers.heartbeat_interval_s
        ):
            out.append(machine)
    return [m for m in out if not m.releasing]


def orphaned_machines(
    state: ClusterState, zones: set[str], cancelled_ago: Callable[[str], float | None], workers: Workers
) -> dict[str, str]:
    """Machines, and their zones, that may hold a cancelled task while nobody who lives holds their part.

    An owner ended and the state service is out before another could claim. By the copy that is left, as late as for
    machines unheard.
    """
    out: dict[str, str] = {}
    for job_id in list(state.allocations):
        ago = cancelled_ago(job_id)
        if ago is not None and ago > OVERDUE_UNCONFIRMED * workers.cancel_s:
            for allocation, record in state.allocations[job_id].items():
                if allocation.zone in zones:
                    out.update((e.machine, allocation.zone) for e in record.tasks if e.state == records.ASSIGNED)
    return out


def idle_machines(partition: Partition, view: FleetView, tuning: Tuning, now: float) -> list[Machine]:
    """Machines without a task: emptied ones at once, others after a while and beyond the share of room set aside."""
    closed = set(map(view.zones.index, view.unreachable_zones()))
    capacities = [r for r in view.capacities.values() if r.schedulable and r.zone not in closed]
    total = sum(r.cpus for r in capacities)
    free = sum(max(0.0, r.free_cpus) for r in capacities)
    out = []
    for capacity in view.capacities_by_zone[view.zones.index(partition.zone)].values():
        machine = partition.machines.get(view.machines.name(capacity.machine))
        if (
            machine is None
            or capacity.tasks
            or machine.attempts
            or machine.state is not MachineState.ACTIVE
            or machine.releasing
        ):
            continue
        if machine.draining or machine.task_failures >= FAILURES_BEFORE_QUARANTINE:
            # A closed machine is no room for anyone: kept, it would only cost. A faulty one is replaced.
            out.append(machine)
            continue
        if (
            partition.unassigned
            or machine.idle_since is None
            or now - machine.idle_since < tuning.idle_release_s
            or not capacity.schedulable
        ):
            continue
        if free - capacity.cpus < tuning.headroom * (total - capacity.cpus):
            continue
        free -= capacity.cpus
        total -= capacity.cpus
        out.append(machine)
    return out
