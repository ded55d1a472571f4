"""The paper's second tier (IV-C): Tabu search over moves of service replicas within a partition.

It minimises alpha*EC + beta*IB + gamma*DV of the paper's Eq. 4. EC is zero here, since no traffic is known. IB is the
mean relative gap between each machine's booked CPU, GPU and memory and their averages, over the machines that hold
tasks and are not being emptied. DV is the share of moved tasks. Moves keep within capacity, never target an empty
machine or one that would first have to fetch the image, and an entry of the tabu list is lifted when it would beat the
best solution so far (aspiration).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements


@dataclass(slots=True, frozen=True)
class Weights:
    """Weights of the three terms. The edge cut's has nothing to weigh until traffic is known."""

    edge: float
    imbalance: float
    move: float


@dataclass(slots=True)
class Replica:
    """A task of the partition; one that is not movable only counts as load."""

    task: int
    requirements: Requirements
    at: int  # index into the rooms
    home: int
    movable: bool
    service: bool = True


@dataclass(slots=True, frozen=True)
class Move:
    """One task's move between two rooms."""

    task: int
    source: int
    target: int


@dataclass(slots=True)
class SearchResult:
    """Moves of the best solution, and what the cost was and would be."""

    moves: list[Move]
    before: float
    after: float
    iterations: int


class Search:
    """One search over one partition.

    A neighbour is judged by its difference: a move between two machines that both stay counted changes their two gaps
    and leaves the averages as they are. Only a move that empties its source asks for the whole sum.
    """

    def __init__(
        self, capacities: list[MachineCapacity], tasks: list[Replica], emptying: frozenset[int], weights: Weights
    ) -> None:
        self.capacities, self.tasks, self.weights = capacities, tasks, weights
        self._held = [0] * len(capacities)
        for task in tasks:
            self._held[task.at] += 1
        self._emptying = emptying
        self._moved = 0

    def _counted(self) -> list[int]:
        """Machines that hold tasks and are not being emptied."""
        return [i for i, owned in enumerate(self._held) if owned > 0 and i not in self._emptying]

    def imbalance(self) -> float:
        """IB: over booked amounts, dimension by dimension; a dimension nobody uses counts as even."""
        total = 0.0
        counted = self._counted()
        if not counted:
            return 0.0
        for booked in BOOKED:
            values = [booked(self.capacities[i]) for i in counted]
            mean = sum(values) / len(values)
            if mean > 0:
                total += sum(abs(v - mean) for v in values) / mean
        return total / (len(counted) * 3)

    def cost(self) -> float:
        """The paper's cost of the present placement."""
        changed_keys = self._moved / len(self.tasks) if self.tasks else 0.0
        return self.weights.imbalance * self.imbalance() + self.weights.move * changed_keys

    def _means(self, counted: list[int]) -> list[float]:
        return [sum(booked(self.capacities[i]) for i in counted) / len(counted) for booked in BOOKED]

    def _cost_after(self, task: Replica, target: int, now: float, means: list[float], counted: int) -> float:
        """The cost if a task moved, from the cost as it is."""
        source = task.at
        if source in self._emptying or self._held[source] == 1:
            self._shift(task, target)
            cost = self.cost()
            self._shift(task, source)
            return cost
        requirements, change = task.requirements, 0.0
        for booked, mean, amount in zip(
            BOOKED, means, (requirements.cpus, requirements.gpus, requirements.memory_gb), strict=True
        ):
            if mean > 0 and amount > 0:
                out, into = booked(self.capacities[source]) - mean, booked(self.capacities[target]) - mean
                change += (abs(out - amount) - abs(out) + abs(into + amount) - abs(into)) / mean
        moved = (target != task.home) - (source != task.home)
        return now + self.weights.imbalance * change / (counted * 3) + self.weights.move * moved / len(self.tasks)

    def _shift(self, task: Replica, target: int) -> None:
        self.capacities[task.at].unbook(task.requirements)
        self.capacities[target].book(task.requirements)
        self._held[task.at] -= 1
        self._held[target] += 1
        self._moved += (target != task.home) - (task.at != task.home)
        task.at = target

    def run(
        self,
        random: Random,
        iterations: int,
        stall_limit: int,
        tenure: int,
        most_moves: int,
        margin: float,
        out_of_time: Callable[[], bool],
    ) -> SearchResult:
        """Searches, and returns the moves of the best placement found if it is better by the margin."""
        before = best = self.cost()
        best_at = [t.at for t in self.tasks]
        tabu: dict[tuple[int, int], int] = {}
        since_best = step = 0
        while step < iterations and since_best < stall_limit and not out_of_time():
            choice = self._best_step(random, tabu, step, best, most_moves, out_of_time)
            if choice is None:
                break
            task, target, cost = choice
            tabu[task.task, task.at] = step + tenure
            self._shift(task, target)
            since_best += 1
            step += 1
            if cost < best - 1e-9:
                best, since_best = cost, 0
                best_at = [t.at for t in self.tasks]
        moves = [Move(t.task, t.home, at) for t, at in zip(self.tasks, best_at, strict=True) if at != t.home]
        if before - best < margin:
            moves = []
        return SearchResult(moves, before, best, step)

    def _best_step(
        self,
        random: Random,
        tabu: dict[tuple[int, int], int],
        step: int,
        best: float,
        most_moves: int,
        out_of_time: Callable[[], bool],
    ) -> tuple[Replica, int, float] | None:
        """The cheapest neighbour that is not tabu, or is better than anything so far."""
        chosen: tuple[Replica, int, float] | None = None
        order = [t for t in self.tasks if t.movable]
        random.shuffle(order)
        counted, now = self._counted(), self.cost()
        means = self._means(counted) if counted else []
        for task in order:
            if out_of_time():
                break
            if self._moved >= most_moves and task.at == task.home:
                continue
            for target in counted:
                capacity = self.capacities[target]
                if (
                    target == task.at
                    or not capacity.fits(task.requirements)
                    or task.requirements.image not in capacity.images
                ):
                    continue
                cost = self._cost_after(task, target, now, means, len(counted))
                if tabu.get((task.task, target), -1) >= step and cost >= best - 1e-9:
                    continue
                if chosen is None or cost < chosen[2] - 1e-12:
                    chosen = task, target, cost
        return chosen


def _cpus(capacity: MachineCapacity) -> float:
    return capacity.cpus - capacity.free_cpus


def _gpus(capacity: MachineCapacity) -> float:
    return capacity.gpus - capacity.free_gpus


def _memory(capacity: MachineCapacity) -> float:
    return capacity.memory_gb - capacity.free_memory_gb


BOOKED = (_cpus, _gpus, _memory)
