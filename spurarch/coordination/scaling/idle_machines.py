"""Selects machines without tasks for release. No I/O."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.failures import FAILURES_BEFORE_QUARANTINE
from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.partition import Partition
from spurarch.protocol.message_limits import MAX_TASKS_PER_MACHINE
from spurarch.settings import Tuning


def idle_machines(partition: Partition, view: FleetView, tuning: Tuning, now: float) -> list[Machine]:
    """Returns the machines of a partition that have no tasks and are to be released.

    Draining machines and those with repeated task failures are returned at once. Others are returned if they are
    schedulable and were idle for `idle_release_s`, the partition has no unassigned tasks, and the rest of the fleet
    keeps its headroom in CPUs and in tasks that its machines may still be given.
    """
    unreachable = set(map(view.zones.index, view.unreachable_zones()))
    capacities = [
        capacity for capacity in view.capacities.values() if capacity.schedulable and capacity.zone not in unreachable
    ]
    total_cpus = sum(capacity.cpus for capacity in capacities)
    free_cpus = sum(max(0.0, capacity.free_cpus) for capacity in capacities)
    total_tasks = MAX_TASKS_PER_MACHINE * len(capacities)
    free_tasks = sum(max(0, capacity.free_tasks) for capacity in capacities)
    idle = []
    for capacity in view.capacities_by_zone[view.zones.index(partition.zone)].values():
        machine = partition.machines.get(view.machines.name(capacity.machine))
        if machine is None or not _is_empty(machine, capacity):
            continue
        if machine.draining or machine.task_failures >= FAILURES_BEFORE_QUARANTINE:
            # A cordoned machine adds no capacity but still costs money. A faulty machine is to be replaced.
            idle.append(machine)
            continue
        if (
            partition.unassigned
            or machine.idle_since is None
            or now - machine.idle_since < tuning.idle_release_s
            or not capacity.schedulable
            or free_cpus - capacity.cpus < tuning.headroom * (total_cpus - capacity.cpus)
            or free_tasks - MAX_TASKS_PER_MACHINE < tuning.headroom * (total_tasks - MAX_TASKS_PER_MACHINE)
        ):
            continue
        free_cpus -= capacity.cpus
        total_cpus -= capacity.cpus
        free_tasks -= MAX_TASKS_PER_MACHINE
        total_tasks -= MAX_TASKS_PER_MACHINE
        idle.append(machine)
    return idle


def _is_empty(machine: Machine, capacity: MachineCapacity) -> bool:
    return not capacity.tasks and machine.is_empty and machine.state is MachineState.ACTIVE and not machine.releasing
