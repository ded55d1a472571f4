"""Periodic refinement of a partition's placement: Tabu search over service replicas, and consolidation. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import floor
from random import Random

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.machine import AttemptPhase, MachineState, TaskAttempt
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.scheduling.best_fit import best_fit
from spurarch.coordination.scheduling.tabu_search import PlacedTask, Search, SearchResult, Weights
from spurarch.protocol.message_limits import MAX_TASKS_PER_MACHINE
from spurarch.settings import Tuning


@dataclass(slots=True)
class Refinement:
    """Replicas to migrate and a machine to drain.

    Attributes:
        moves: Attempts to migrate, each with the name of its target machine.
        machine_to_drain: Name of the machine to drain, or None.
        search: Result of the Tabu search, or None if it did not run.
    """

    moves: list[tuple[TaskAttempt, str]] = field(default_factory=list)
    machine_to_drain: str | None = None
    search: SearchResult | None = None


def movable_replicas(partition: Partition, view: FleetView, tuning: Tuning) -> set[tuple[str, int]]:
    """Returns the running service replicas that may stop while their service stays at or above its minimum.

    At most one replica of a service moves at a time. A service with an attempt that is starting or stopping has none
    to move, so replicas of a cancelled job, which would not start again, are not migrated either.
    """
    changing_jobs = {
        attempt.allocation.job
        for attempt in partition.attempts.values()
        if attempt.stop_requested or attempt.phase is not AttemptPhase.RUNNING
    }
    moving_jobs: set[str] = set()
    movable = set()
    for key, attempt in partition.attempts.items():
        job_view = view.jobs.get(attempt.allocation.job)
        if (
            job_view is None
            or not job_view.service
            or attempt.allocation.job in changing_jobs
            or attempt.allocation.job in moving_jobs
        ):
            continue
        if job_view.assigned - 1 >= floor(job_view.tasks * tuning.service_minimum):
            movable.add(key)
            moving_jobs.add(attempt.allocation.job)
    return movable


def refine(
    partition: Partition, view: FleetView, tuning: Tuning, now: float, random: Random, out_of_time: Callable[[], bool]
) -> Refinement:
    """Chooses a machine to drain and replicas to migrate, at most `moves_per_round` of them."""
    refinement = Refinement()
    machine_names, capacities, tasks, attempts = _search_tables(partition, view, tuning)
    if tuning.consolidation_cap > 0 and not partition.unassigned:
        refinement.machine_to_drain = _machine_to_drain(partition, machine_names, capacities, tasks, tuning, now)
    draining_machines = frozenset(
        i
        for i, name in enumerate(machine_names)
        if partition.machines[name].draining or name == refinement.machine_to_drain
    )
    if refinement.machine_to_drain is not None:
        refinement.moves += _drain_moves(
            machine_names,
            capacities,
            tasks,
            attempts,
            machine_names.index(refinement.machine_to_drain),
            draining_machines,
            tuning,
        )
    if any(t.movable for t in tasks) and len(refinement.moves) < tuning.moves_per_round:
        weights = Weights(tuning.edge_weight, tuning.imbalance_weight, tuning.move_weight)
        search = Search(capacities, tasks, draining_machines, weights)
        refinement.search = search.run(
            random,
            tuning.tabu_iterations,
            tuning.tabu_stall_limit,
            tuning.tabu_tenure,
            tuning.moves_per_round - len(refinement.moves),
            tuning.margin,
            out_of_time,
        )
        refinement.moves += [(attempts[m.task], machine_names[m.target]) for m in refinement.search.moves]
    return refinement


def _search_tables(
    partition: Partition, view: FleetView, tuning: Tuning
) -> tuple[list[str], list[MachineCapacity], list[PlacedTask], list[TaskAttempt]]:
    """Returns machine names, machine capacities, tasks and attempts of the partition.

    Names and capacities have the same indices, and so have tasks and attempts. The capacities are copies.
    """
    machine_names: list[str] = []
    capacities: list[MachineCapacity] = []
    for capacity in view.capacities_by_zone[view.zones.index(partition.zone)].values():
        name = view.machines.name(capacity.machine)
        machine = partition.machines.get(name)
        if machine is not None and machine.state is MachineState.ACTIVE and not machine.releasing:
            machine_names.append(name)
            copy = capacity.copy()
            # The records only show that a task with the image was assigned to the machine; the image may not have
            # been fetched completely.
            copy.images = machine.cached_images
            copy.free_tasks -= machine.listed_without_record
            capacities.append(copy)
    machine_indices = {name: i for i, name in enumerate(machine_names)}
    movable = movable_replicas(partition, view, tuning)
    tasks: list[PlacedTask] = []
    attempts: list[TaskAttempt] = []
    for key, attempt in partition.attempts.items():
        job = view.jobs.get(attempt.allocation.job)
        if job is not None and attempt.machine in machine_indices and attempt.phase < AttemptPhase.EXITED:
            index = machine_indices[attempt.machine]
            tasks.append(
                PlacedTask(len(attempts), job.requirements, index, index, key in movable, job.service or job.gang)
            )
            attempts.append(attempt)
    for i, name in enumerate(machine_names):
        if not partition.machines[name].schedulable:
            capacities[i].free_cpus = -1.0  # no task fits
    return machine_names, capacities, tasks, attempts


def _machine_to_drain(
    partition: Partition,
    machine_names: list[str],
    capacities: list[MachineCapacity],
    tasks: list[PlacedTask],
    tuning: Tuning,
    now: float,
) -> str | None:
    """Returns the machine with the fewest booked CPUs that may be drained, or None.

    A machine may be drained if it has tasks, all its long-running tasks are movable, and both the CPUs booked in the
    partition and the number of its tasks stay within the consolidation cap of the remaining machines.
    """
    schedulable = [i for i, name in enumerate(machine_names) if partition.machines[name].is_schedulable(now)]
    booked_cpus = sum(capacities[i].cpus - capacities[i].free_cpus for i in schedulable)
    total_cpus = sum(capacities[i].cpus for i in schedulable)
    booked_tasks = sum(MAX_TASKS_PER_MACHINE - capacities[i].free_tasks for i in schedulable)
    max_tasks_of_rest = tuning.consolidation_cap * MAX_TASKS_PER_MACHINE * (len(schedulable) - 1)
    if booked_tasks > max_tasks_of_rest:
        return None
    tasks_by_machine: dict[int, list[PlacedTask]] = {}
    for task in tasks:
        tasks_by_machine.setdefault(task.machine, []).append(task)
    for i in sorted(schedulable, key=lambda i: capacities[i].cpus - capacities[i].free_cpus):
        machine_tasks = tasks_by_machine.get(i, [])
        if not machine_tasks or booked_cpus > tuning.consolidation_cap * (total_cpus - capacities[i].cpus):
            continue
        if all(t.movable or not t.long_running for t in machine_tasks):
            return machine_names[i]
    return None


def _drain_moves(
    machine_names: list[str],
    capacities: list[MachineCapacity],
    tasks: list[PlacedTask],
    attempts: list[TaskAttempt],
    source: int,
    draining_machines: frozenset[int],
    tuning: Tuning,
) -> list[tuple[TaskAttempt, str]]:
    """Returns moves of the replicas on a machine that is drained; its other tasks run to completion there.

    Books the moves on `capacities` and marks the moved replicas as not movable.
    """
    moves: list[tuple[TaskAttempt, str]] = []
    for task in tasks:
        if task.machine != source or not task.movable or len(moves) >= tuning.moves_per_round:
            continue
        targets = [
            capacity
            for i, capacity in enumerate(capacities)
            if i not in draining_machines and capacity.tasks > 0 and task.requirements.image in capacity.images
        ]
        target = best_fit(task.requirements, targets)
        if target is not None:
            target.book(task.requirements)
            capacities[source].unbook(task.requirements)
            task.movable = False
            moves.append((attempts[task.task], machine_names[capacities.index(target)]))
    return moves
