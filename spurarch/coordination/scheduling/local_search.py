"""The round's refinement of a partition: Tabu search over service replicas, and consolidation. Pure."""

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
from spurarch.coordination.scheduling.tabu_search import Replica, Search, SearchResult, Weights
from spurarch.settings import Tuning


@dataclass(slots=True)
class Refinement:
    """Moves (task and target machine) and a machine to be emptied."""

    moves: list[tuple[TaskAttempt, str]] = field(default_factory=list)
    empty: str | None = None
    search: SearchResult | None = None


def movable(partition: Partition, view: FleetView, tuning: Tuning) -> set[tuple[str, int]]:
    """Running service replicas that may stop without their service falling below its minimum.

    A replica without work to go back to stays while its job is cancelled; one replica of a service moves at a time.
    """
    stopping = {
        attempt.allocation.job
        for attempt in partition.attempts.values()
        if attempt.stop_requested or attempt.phase is not AttemptPhase.RUNNING
    }
    moved: set[str] = set()
    out = set()
    for key, attempt in partition.attempts.items():
        job_view = view.jobs.get(attempt.allocation.job)
        if (
            job_view is None
            or not job_view.service
            or attempt.allocation.job in stopping
            or attempt.allocation.job in moved
        ):
            continue
        if job_view.assigned - 1 >= floor(job_view.tasks * tuning.service_minimum):
            out.add(key)
            moved.add(attempt.allocation.job)  # one at a time
    return out


def refine(
    partition: Partition, view: FleetView, tuning: Tuning, now: float, random: Random, late: Callable[[], bool]
) -> Refinement:
    """One round of a partition."""
    out = Refinement()
    names, capacities, tasks, attempts = _tables(partition, view, tuning)
    if tuning.consolidation_cap > 0 and not partition.unassigned:
        out.empty = _to_empty(partition, names, capacities, tasks, tuning, now)
    emptying = frozenset(i for i, name in enumerate(names) if partition.machines[name].draining or name == out.empty)
    if out.empty is not None:
        out.moves += _move_off(names, capacities, tasks, attempts, names.index(out.empty), emptying, tuning)
    if any(t.movable for t in tasks) and len(out.moves) < tuning.moves_per_round:
        weights = Weights(tuning.edge_weight, tuning.imbalance_weight, tuning.move_weight)
        search = Search(capacities, tasks, emptying, weights)
        out.search = search.run(
            random,
            tuning.tabu_iterations,
            tuning.tabu_stall_limit,
            tuning.tabu_tenure,
            tuning.moves_per_round - len(out.moves),
            tuning.margin,
            late,
        )
        out.moves += [(attempts[m.task], names[m.target]) for m in out.search.moves]
    return out


def _tables(
    partition: Partition, view: FleetView, tuning: Tuning
) -> tuple[list[str], list[MachineCapacity], list[Replica], list[TaskAttempt]]:
    """Dense tables of the partition's machines and of the tasks on them."""
    names: list[str] = []
    capacities: list[MachineCapacity] = []
    for capacity in view.capacities_by_zone[view.zones.index(partition.zone)].values():
        name = view.machines.name(capacity.machine)
        machine = partition.machines.get(name)
        if machine is not None and machine.state is MachineState.ACTIVE and not machine.releasing:
            names.append(name)
            copy = capacity.copy()
            # The records only say that a task with the image was sent there; it may never have been fetched whole.
            copy.images = machine.cached_images
            capacities.append(copy)
    index = {name: i for i, name in enumerate(names)}
    free_to_move = movable(partition, view, tuning)
    tasks: list[Replica] = []
    attempts: list[TaskAttempt] = []
    for key, attempt in partition.attempts.items():
        job = view.jobs.get(attempt.allocation.job)
        if job is not None and attempt.machine in index and attempt.phase < AttemptPhase.EXITED:
            at = index[attempt.machine]
            tasks.append(Replica(len(attempts), job.requirements, at, at, key in free_to_move, job.service or job.gang))
            attempts.append(attempt)
    for i, name in enumerate(names):
        if not partition.machines[name].schedulable:
            capacities[i].free_cpus = -1.0  # takes nothing
    return names, capacities, tasks, attempts


def _to_empty(
    partition: Partition,
    names: list[str],
    capacities: list[MachineCapacity],
    tasks: list[Replica],
    tuning: Tuning,
    now: float,
) -> str | None:
    """The least booked machine, if all that must leave it may, and the rest stays under the cap of booked CPU."""
    open_rooms = [i for i, name in enumerate(names) if partition.machines[name].is_schedulable(now)]
    booked = sum(capacities[i].cpus - capacities[i].free_cpus for i in open_rooms)
    total = sum(capacities[i].cpus for i in open_rooms)
    owned: dict[int, list[Replica]] = {}
    for task in tasks:
        owned.setdefault(task.at, []).append(task)
    for i in sorted(open_rooms, key=lambda i: capacities[i].cpus - capacities[i].free_cpus):
        mine = owned.get(i, [])
        if not mine or booked > tuning.consolidation_cap * (total - capacities[i].cpus):
            continue
        if all(t.movable or not t.service for t in mine):
            return names[i]
    return None


def _move_off(
    names: list[str],
    capacities: list[MachineCapacity],
    tasks: list[Replica],
    attempts: list[TaskAttempt],
    source: int,
    emptying: frozenset[int],
    tuning: Tuning,
) -> list[tuple[TaskAttempt, str]]:
    """Moves of the replicas on a machine that is emptied; its other tasks run to their end there."""
    out: list[tuple[TaskAttempt, str]] = []
    for task in tasks:
        if task.at != source or not task.movable or len(out) >= tuning.moves_per_round:
            continue
        targets = [
            r
            for i, r in enumerate(capacities)
            if i not in emptying and r.tasks > 0 and task.requirements.image in r.images
        ]
        capacity = best_fit(task.requirements, targets)
        if capacity is not None:
            capacity.book(task.requirements)
            capacities[source].unbook(task.requirements)
            task.movable = False
            out.append((attempts[task.task], names[capacities.index(capacity)]))
    return out
