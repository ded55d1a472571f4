"""The round's refinement of a part: Tabu search over service replicas, and consolidation. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import floor
from random import Random

from spurarch.coordination.best_fit import Room, best_fit
from spurarch.coordination.machine import AttemptPhase, MachineState, TaskAttempt
from spurarch.coordination.partition import Partition
from spurarch.coordination.tabu import Replica, Search, SearchResult, Weights
from spurarch.coordination.view import FleetView
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
    """One round of a part."""
    out = Refinement()
    names, rooms, tasks, attempts = _tables(partition, view, tuning)
    if tuning.consolidation_cap > 0 and not partition.unassigned:
        out.empty = _to_empty(partition, names, rooms, tasks, tuning, now)
    emptying = frozenset(i for i, name in enumerate(names) if partition.machines[name].draining or name == out.empty)
    if out.empty is not None:
        out.moves += _move_off(names, rooms, tasks, attempts, names.index(out.empty), emptying, tuning)
    if any(t.movable for t in tasks) and len(out.moves) < tuning.moves_per_round:
        weights = Weights(tuning.edge_weight, tuning.imbalance_weight, tuning.move_weight)
        search = Search(rooms, tasks, emptying, weights)
        out.search = search.run(
            random,
            tuning.tabu_iterations,
            tuning.tabu_patience,
            tuning.tabu_tenure,
            tuning.moves_per_round - len(out.moves),
            tuning.margin,
            late,
        )
        out.moves += [(attempts[m.task], names[m.target]) for m in out.search.moves]
    return out


def _tables(
    partition: Partition, view: FleetView, tuning: Tuning
) -> tuple[list[str], list[Room], list[Replica], list[TaskAttempt]]:
    """Dense tables of the part's machines and of the tasks on them."""
    names: list[str] = []
    rooms: list[Room] = []
    for room in view.zone_rooms[view.zones.index(partition.zone)].values():
        name = view.machines.name(room.machine)
        machine = partition.machines.get(name)
        if machine is not None and machine.state is MachineState.ACTIVE and not machine.releasing:
            names.append(name)
            copy = room.copy()
            # The records only say that a task with the image was sent there; it may never have been fetched whole.
            copy.images = machine.cached_images
            rooms.append(copy)
    index = {name: i for i, name in enumerate(names)}
    free_to_move = movable(partition, view, tuning)
    tasks: list[Replica] = []
    attempts: list[TaskAttempt] = []
    for key, attempt in partition.attempts.items():
        job = view.jobs.get(attempt.allocation.job)
        if job is not None and attempt.machine in index and attempt.phase < AttemptPhase.EXITED:
            at = index[attempt.machine]
            tasks.append(Replica(len(attempts), job.need, at, at, key in free_to_move, job.service or job.gang))
            attempts.append(attempt)
    for i, name in enumerate(names):
        if not partition.machines[name].schedulable:
            rooms[i].free_cpus = -1.0  # takes nothing
    return names, rooms, tasks, attempts


def _to_empty(
    partition: Partition, names: list[str], rooms: list[Room], tasks: list[Replica], tuning: Tuning, now: float
) -> str | None:
    """The least booked machine, if all that must leave it may, and the rest stays under the cap of booked CPU."""
    open_rooms = [i for i, name in enumerate(names) if partition.machines[name].is_schedulable(now)]
    booked = sum(rooms[i].cpus - rooms[i].free_cpus for i in open_rooms)
    total = sum(rooms[i].cpus for i in open_rooms)
    owned: dict[int, list[Replica]] = {}
    for task in tasks:
        owned.setdefault(task.at, []).append(task)
    for i in sorted(open_rooms, key=lambda i: rooms[i].cpus - rooms[i].free_cpus):
        mine = owned.get(i, [])
        if not mine or booked > tuning.consolidation_cap * (total - rooms[i].cpus):
            continue
        if all(t.movable or not t.service for t in mine):
            return names[i]
    return None


def _move_off(
    names: list[str],
    rooms: list[Room],
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
        targets = [r for i, r in enumerate(rooms) if i not in emptying and r.tasks > 0 and task.need.image in r.images]
        room = best_fit(task.need, targets)
        if room is not None:
            room.take(task.need)
            rooms[source].give(task.need)
            task.movable = False
            out.append((attempts[task.task], names[rooms.index(room)]))
    return out
