"""Tabu search over moves of service replicas within one partition.

This is the second tier of the paper that the scheduler is based on, `pMACH: Power and Migration Aware Container
scHeduling` (section IV-C). The search minimises the objective of the paper's Eq. 4, alpha*EC + beta*IB + gamma*DV:

- EC, the edge cut, is zero here, since traffic between tasks is not recorded.
- IB, the imbalance, is the mean relative deviation of each machine's booked CPUs, GPUs and memory from their averages
  over the machines that have tasks and are not being drained.
- DV is the share of tasks that are moved.

Moves respect capacity and never target an empty machine or one that would first have to fetch the image. A tabu move
is allowed if its result beats the best placement found so far (aspiration).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements


@dataclass(slots=True, frozen=True)
class Weights:
    """Weights of the three terms of the objective. That of the edge cut has no effect until traffic is recorded."""

    edge: float
    imbalance: float
    move: float


@dataclass(slots=True)
class PlacedTask:
    """A task of the partition. Tasks that are not movable only count as load."""

    task: int  # index of the task in the caller's tables
    requirements: Requirements
    machine: int  # index of its machine in the current placement
    original_machine: int  # index of its machine before the search
    movable: bool
    long_running: bool = True  # service replica or gang member: draining a machine can't rely on its end


@dataclass(slots=True, frozen=True)
class Move:
    """The move of one task between two machines, all as indices."""

    task: int
    source: int
    target: int


@dataclass(slots=True)
class SearchResult:
    """Moves to make, the cost before the search, and that of the best placement found."""

    moves: list[Move]
    cost_before: float
    cost_after: float
    iterations: int


class Search:
    """One search over one partition.

    Neighbours are evaluated incrementally. A move between two machines that stay counted in the imbalance changes only
    the deviations of these two and leaves the averages unchanged. A move from a machine that is being drained, or of
    the last task on a machine, changes the averages and requires the full computation.
    """

    def __init__(
        self,
        capacities: list[MachineCapacity],
        tasks: list[PlacedTask],
        draining_machines: frozenset[int],
        weights: Weights,
    ) -> None:
        self.capacities, self.tasks, self.weights = capacities, tasks, weights
        self._task_counts = [0] * len(capacities)
        for task in tasks:
            self._task_counts[task.machine] += 1
        self._draining_machines = draining_machines
        self._moved_tasks = 0

    def _counted_machines(self) -> list[int]:
        """Returns the machines that have tasks and are not being drained."""
        return [i for i, count in enumerate(self._task_counts) if count > 0 and i not in self._draining_machines]

    def imbalance(self) -> float:
        """Returns IB, averaged over the three resources. A resource that no task books counts as balanced."""
        total = 0.0
        counted = self._counted_machines()
        if not counted:
            return 0.0
        for booked in BOOKED_RESOURCES:
            values = [booked(self.capacities[i]) for i in counted]
            mean = sum(values) / len(values)
            if mean > 0:
                total += sum(abs(v - mean) for v in values) / mean
        return total / (len(counted) * 3)

    def cost(self) -> float:
        """Returns the objective value of the current placement."""
        moved_share = self._moved_tasks / len(self.tasks) if self.tasks else 0.0
        return self.weights.imbalance * self.imbalance() + self.weights.move * moved_share

    def _means(self, counted: list[int]) -> list[float]:
        return [sum(booked(self.capacities[i]) for i in counted) / len(counted) for booked in BOOKED_RESOURCES]

    def _cost_after(
        self, task: PlacedTask, target: int, current_cost: float, means: list[float], counted_machines: int
    ) -> float:
        """Returns the cost if a task moved to the target, derived from the current cost where possible."""
        source = task.machine
        if source in self._draining_machines or self._task_counts[source] == 1:
            self._apply_move(task, target)
            cost = self.cost()
            self._apply_move(task, source)
            return cost
        requirements, deviation_change = task.requirements, 0.0
        for booked, mean, amount in zip(
            BOOKED_RESOURCES, means, (requirements.cpus, requirements.gpus, requirements.memory_gb), strict=True
        ):
            if mean > 0 and amount > 0:
                at_source, at_target = booked(self.capacities[source]) - mean, booked(self.capacities[target]) - mean
                deviation_change += (
                    abs(at_source - amount) - abs(at_source) + abs(at_target + amount) - abs(at_target)
                ) / mean
        moved_change = (target != task.original_machine) - (source != task.original_machine)
        return (
            current_cost
            + self.weights.imbalance * deviation_change / (counted_machines * 3)
            + self.weights.move * moved_change / len(self.tasks)
        )

    def _apply_move(self, task: PlacedTask, target: int) -> None:
        self.capacities[task.machine].unbook(task.requirements)
        self.capacities[target].book(task.requirements)
        self._task_counts[task.machine] -= 1
        self._task_counts[target] += 1
        self._moved_tasks += (target != task.original_machine) - (task.machine != task.original_machine)
        task.machine = target

    def run(
        self,
        random: Random,
        iterations: int,
        stall_limit: int,
        tenure: int,
        max_moves: int,
        margin: float,
        out_of_time: Callable[[], bool],
    ) -> SearchResult:
        """Searches for a better placement and returns its moves.

        Returns no moves if the cost improves by less than `margin`. The search ends after `iterations` steps, after
        `stall_limit` steps without an improvement, or when out of time.
        """
        initial_cost = best_cost = self.cost()
        best_machines = [t.machine for t in self.tasks]
        tabu_until: dict[tuple[int, int], int] = {}
        stalled_steps = step = 0
        while step < iterations and stalled_steps < stall_limit and not out_of_time():
            choice = self._best_step(random, tabu_until, step, best_cost, max_moves, out_of_time)
            if choice is None:
                break
            task, target, cost = choice
            tabu_until[task.task, task.machine] = step + tenure
            self._apply_move(task, target)
            stalled_steps += 1
            step += 1
            if cost < best_cost - 1e-9:
                best_cost, stalled_steps = cost, 0
                best_machines = [t.machine for t in self.tasks]
        moves = [
            Move(t.task, t.original_machine, machine)
            for t, machine in zip(self.tasks, best_machines, strict=True)
            if machine != t.original_machine
        ]
        if initial_cost - best_cost < margin:
            moves = []
        return SearchResult(moves, initial_cost, best_cost, step)

    def _best_step(
        self,
        random: Random,
        tabu_until: dict[tuple[int, int], int],
        step: int,
        best_cost: float,
        max_moves: int,
        out_of_time: Callable[[], bool],
    ) -> tuple[PlacedTask, int, float] | None:
        """Returns the cheapest allowed neighbour as task, target machine and cost; None if there is none.

        A neighbour is allowed if it is not tabu or costs less than the best placement found so far.
        """
        chosen: tuple[PlacedTask, int, float] | None = None
        order = [t for t in self.tasks if t.movable]
        random.shuffle(order)
        counted, current_cost = self._counted_machines(), self.cost()
        means = self._means(counted) if counted else []
        for task in order:
            if out_of_time():
                break
            if self._moved_tasks >= max_moves and task.machine == task.original_machine:
                continue
            for target in counted:
                capacity = self.capacities[target]
                if (
                    target == task.machine
                    or not capacity.fits(task.requirements)
                    or task.requirements.image not in capacity.images
                ):
                    continue
                cost = self._cost_after(task, target, current_cost, means, len(counted))
                if tabu_until.get((task.task, target), -1) >= step and cost >= best_cost - 1e-9:
                    continue
                if chosen is None or cost < chosen[2] - 1e-12:
                    chosen = task, target, cost
        return chosen


def _booked_cpus(capacity: MachineCapacity) -> float:
    return capacity.cpus - capacity.free_cpus


def _booked_gpus(capacity: MachineCapacity) -> float:
    return capacity.gpus - capacity.free_gpus


def _booked_memory(capacity: MachineCapacity) -> float:
    return capacity.memory_gb - capacity.free_memory_gb


BOOKED_RESOURCES = (_booked_cpus, _booked_gpus, _booked_memory)
