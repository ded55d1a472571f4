"""What an owner decides for its part each round: newcomers by best fit, whom to preempt, what to give back. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from itertools import groupby, islice

from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView, JobView
from spurarch.coordination.partition.allocation_changes import is_live
from spurarch.coordination.partition.gang import GangAttempt, GangState
from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.scheduling.best_fit import all_fit, best_fit, fill, machine_to_reserve, machines_to_reserve
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry

GIVE_BACK_S = 1.0  # a task without room here, that would have some elsewhere
GIVE_BACK_STUCK_S = 45.0  # a task without room anywhere: for so long nothing in the queue has moved
GIVE_BACK_SCARCE_S = 5.0  # while changes are short
STILL_GROWS_S = 10.0
PREEMPT_WAIT_S = 8.0
IMAGE_WAIT_S = 1.5
MOST_SLOTS = 100  # counted on one machine
GATHER_FOR = 4  # tasks, at most, that machines are kept free for at a time
GANG_RESERVE_AFTER_S = 1.5  # a gang that has waited for so long may keep room from arrays
GANG_RESERVE_S = 30.0  # for so long at most
GANG_ASSIGN_S = 10.0  # a gang whose members are only partly assigned for longer gives the machines up again
GANG_MEMBER = -1  # stands for all members of a gang where a task's index is asked for


@dataclass(slots=True, frozen=True)
class GangReservation:
    """Machines whose room is kept for a gang."""

    until: float
    machines: frozenset[int]


@dataclass(slots=True)
class PlacementResult:
    """Outcome of one round."""

    entries: dict[AllocationKey, dict[int, TaskEntry]] = field(default_factory=dict)
    preempt: list[TaskAttempt] = field(default_factory=list)
    unfinished: bool = False


class TaskPlacer:
    """Places the free tasks of one part. Remembers only since when a task has waited and whom it waits for."""

    def __init__(
        self, longest_wait_s: float = float("inf"), guarantee_wait_s: float = 0.0, silent_s: float = float("inf")
    ) -> None:
        self.longest_wait_s, self.guarantee_wait_s = longest_wait_s, guarantee_wait_s
        self.silent_s = silent_s  # a machine not heard for longer takes no tasks
        self.pending_changes: dict[AllocationKey, dict[int, TaskEntry]] = {}  # changes that are under way
        self.writes_scarce = False  # changes are short
        self._since: dict[tuple[str, int], float] = {}
        self._allocations: dict[AllocationKey, float] = {}
        self._claims: dict[tuple[str, int], tuple[float, int]] = {}  # until when, on which machine
        self.last_placed_at = float("-inf")  # when a task last found room
        self.move_targets: dict[tuple[str, int], tuple[str, float]] = {}  # where a moved task goes, and until when
        self.reservations: dict[str, GangReservation] = {}  # by gang

    def run_round(
        self,
        partition: Partition,
        view: FleetView,
        now: float,
        out_of_time: Callable[[], bool],
        most: int,
        wall: float = 0.0,
    ) -> PlacementResult:
        """One round; what the time or `most` changed allocations cut off comes first in the next."""
        self.move_targets = {k: t for k, t in self.move_targets.items() if t[1] > now}
        waiting_jobs = {allocation.job for allocation in partition.unassigned}
        self.reservations = {j: r for j, r in self.reservations.items() if r.until > now and j in waiting_jobs}
        turn = _PlacementRound(self, partition, view, now, wall)
        try:
            turn.run(out_of_time, most)
        finally:
            turn.bookings.undo()
        if any(e.state == records.ASSIGNED for entries in turn.result.entries.values() for e in entries.values()):
            self.last_placed_at = now
        if not turn.result.unfinished and not self.pending_changes:
            self._since = {k: t for k, t in self._since.items() if k in turn.waiting}
            self._allocations = {k: t for k, t in self._allocations.items() if k in partition.unassigned}
            self._claims = {k: t for k, t in self._claims.items() if k in turn.waiting}
        return turn.result

    def since_allocation(self, allocation: AllocationKey, now: float) -> float:
        """When tasks of the allocation were first found waiting."""
        return self._allocations.setdefault(allocation, now)

    def since(self, key: tuple[str, int], now: float) -> float:
        """When the task was first found without room."""
        return self._since.setdefault(key, now)

    def claimed(self, key: tuple[str, int], now: float) -> int | None:
        """The machine where room is being freed for the task."""
        until, machine = self._claims.get(key, (0.0, -1))
        return machine if until > now else None

    def claim(self, key: tuple[str, int], until: float, machine: int) -> None:
        """Room is being freed for the task."""
        self._claims[key] = until, machine

    def has_claim(self, key: tuple[str, int]) -> bool:
        """Room was or is being freed for the task."""
        return key in self._claims


class _PlacementRound:
    """One round of a part over the shared tables; the draft is undone at its end."""

    def __init__(self, placer: TaskPlacer, partition: Partition, view: FleetView, now: float, wall: float) -> None:
        self.placer, self.partition, self.view, self.now, self.wall = placer, partition, view, now, wall
        self.result = PlacementResult()
        self.waiting: set[tuple[str, int]] = set()
        self.bookings = TentativeBookings()
        self.capacities = self._usable()
        self._with_room: list[MachineCapacity] = []
        self._reserved: dict[tuple[str, int], MachineCapacity] = {}
        self._full: list[Requirements] = []
        self._has_lower_priority: dict[int, bool] = {}
        self._unstoppable: list[Requirements] = []  # tasks for which nobody could be stopped
        self._elsewhere: dict[tuple[object, ...], int] = {}  # places found in other parts, by kind of task
        self._queued: dict[tuple[int, int], float] | None = None
        self._gathering = 0
        self._chosen: set[tuple[str, int]] = set()  # tasks that this round stops
        self._stopped: dict[int, float] = {}  # by team, CPUs of work that this round stops for guarantees
        self._victims_by_guarantee: list[TaskAttempt] | None = None
        self._gangs_seen: set[str] = set()
        self._gang_capacities: list[MachineCapacity] = []  # kept for gangs: arrays don't get them

    @cached_property
    def _capacities_by_name(self) -> dict[str, MachineCapacity]:
        return {self.view.machines.name(capacity.machine): capacity for capacity in self.capacities}

    def _usable(self) -> list[MachineCapacity]:
        out = []
        for capacity in self.view.capacities_by_zone[self.view.zones.index(self.partition.zone)].values():
            machine = self.partition.machines.get(self.view.machines.name(capacity.machine))
            if machine is None or not machine.is_schedulable(self.now):
                continue
            if self.now - (machine.last_heartbeat_at or self.now) <= self.placer.silent_s:
                out.append(capacity)
        return out

    def run(self, out_of_time: Callable[[], bool], most: int) -> None:
        """Places in order of rank; arrays that are equally urgent wait for machines that have their image."""
        self._count_ended()
        self._reserved = self._reserve()
        self._with_room = [capacity for capacity in self.capacities if capacity.free_cpus > EPSILON]
        partition, view = self.partition, self.view
        self._book_pending()
        for reservation in self.placer.reservations.values():
            self._keep_from_arrays(reservation.machines)
        # While arrays stand in line for changes, more of them can't be started, and their order may change.
        free = [
            w
            for w in partition.unassigned
            if w.job in view.jobs and (not self.placer.pending_changes or not view.jobs[w.job].array)
        ]
        ranks = {w: self._rank(w) for w in free if w not in self.placer.pending_changes and self._wanted(w.job)}
        order = sorted(ranks, key=ranks.__getitem__)
        for _, equals in groupby(order, key=lambda allocation: ranks[allocation][0][:2]):
            for place, wheres in self._turns(list(equals)):
                for allocation in wheres:
                    if len(self.result.entries) >= most or out_of_time():
                        self.result.unfinished = True
                        return
                    place(allocation, view.jobs[allocation.job])

    def _book_pending(self) -> None:
        """Starts whose transaction waits in line have their room already."""
        for allocation, entries in self.placer.pending_changes.items():
            job = self.view.jobs.get(allocation.job)
            for entry in entries.values():
                capacity = self._capacities_by_name.get(entry.machine)
                if entry.state == records.ASSIGNED and job is not None and capacity is not None:
                    self.bookings.book(capacity, job.requirements)

    def _wanted(self, job_id: str) -> bool:
        backoff = self.partition.backoffs.get(job_id)
        return is_live(self.view.state, job_id) and (backoff is None or backoff.not_before <= self.now)

    def _turns(
        self, wheres: list[AllocationKey]
    ) -> list[tuple[Callable[[AllocationKey, JobView], None], list[AllocationKey]]]:
        """Who is placed after whom, among work of one priority.

        Where tasks wait for room, what matters is which of them gets a machine that becomes free: with the image there
        it starts at once, without it fetches for seconds with the room idle. So a task that has waited for less than
        its fetch would take leaves the room to one that has its image there.
        """
        patient: list[AllocationKey] = []
        others: list[AllocationKey] = []
        for allocation in wheres:
            (patient if self._waits_for_image(allocation) else others).append(allocation)
        return [(self._place, others), (self._place_warm, patient), (self._place, patient)]

    def _waits_for_image(self, allocation: AllocationKey) -> bool:
        job = self.view.jobs[allocation.job]
        if not job.array:
            return False
        since = self.placer.since_allocation(allocation, self.now)
        return self.now - since < self.view.image_fetch_s(job)

    def _place(self, allocation: AllocationKey, job: JobView) -> None:
        for key in [k for k in self._reserved if k[0] == allocation.job]:
            self.bookings.book(self._reserved.pop(key), job.requirements, -1)
        if job.service:
            self._place_replicas(allocation, job)
        elif job.gang:
            self._place_gang(job)
        else:
            self._place_group(allocation, job)

    def _place_warm(self, allocation: AllocationKey, job: JobView) -> None:
        """As many tasks of an array as find room on machines that have its image."""
        warm = [capacity for capacity in self._with_room if job.requirements.image in capacity.images]
        entries = iter(self._left(allocation))
        for capacity, number in fill(job.requirements, warm, len(self._left(allocation)), self.bookings):
            for entry in islice(entries, number):
                self._assign(allocation, entry, capacity)

    def _left(self, allocation: AllocationKey) -> list[TaskEntry]:
        """Tasks that wait and have not been placed in this round."""
        placed = self.result.entries.get(allocation, {})
        return [entry for entry in self.partition.unassigned[allocation] if entry.index not in placed]

    def _rank(self, allocation: AllocationKey) -> tuple[tuple[int, bool, float, float], str, int]:
        job = self.view.jobs[allocation.job]
        return self.view.rank(job, self._starving(job)), allocation.job, allocation.chunk

    def _starving(self, job: JobView) -> bool:
        return job.is_starving(self.wall, self.placer.longest_wait_s)

    def _count_ended(self) -> None:
        """Tasks that have ended make room at once, also those whose end is not recorded yet."""
        for allocation, attempts in self.partition.terminal_attempts.items():
            job = self.view.jobs.get(allocation.job)
            for attempt in attempts.values():
                capacity = self._capacities_by_name.get(attempt.machine)
                if job is not None and capacity is not None:
                    self.bookings.book(capacity, job.requirements, -1)

    def _target(self, key: tuple[str, int], requirements: Requirements) -> MachineCapacity | None:
        """The machine that the search chose for a moved task, if it still fits there."""
        target = self.placer.move_targets.get(key)
        if target is None:
            return None
        return next(
            (r for r in self.capacities if self.view.machines.name(r.machine) == target[0] and r.fits(requirements)),
            None,
        )

    def _reserve(self) -> dict[tuple[str, int], MachineCapacity]:
        """Keeps the room that moved tasks are on their way to from other newcomers."""
        out = {}
        for key in self.placer.move_targets:
            job = self.view.jobs.get(key[0])
            capacity = self._target(key, job.requirements) if job is not None else None
            placed = self.partition.attempts.get(key)
            if job is not None and capacity is not None and (placed is None or placed.stop_requested):
                self.bookings.book(capacity, job.requirements)
                out[key] = capacity
        return out

    def _assign(
        self, allocation: AllocationKey, entry: TaskEntry, capacity: MachineCapacity, attempt: int | None = None
    ) -> None:
        machine = self.partition.machines[self.view.machines.name(capacity.machine)]
        number = entry.attempt + 1 if attempt is None else attempt
        new = TaskEntry(entry.index, records.ASSIGNED, number, machine.name, machine.incarnation)
        self.result.entries.setdefault(allocation, {})[entry.index] = new

    def _give_back(self, allocation: AllocationKey, entry: TaskEntry) -> None:
        self.result.entries.setdefault(allocation, {})[entry.index] = TaskEntry(
            entry.index, records.RETURNED, entry.attempt
        )

    # Equal tasks as a group

    def _place_group(self, allocation: AllocationKey, job: JobView) -> None:
        waiting = self._left(allocation)
        entries, count = iter(waiting), len(waiting)
        hopeless = self._hopeless(job.requirements)
        if not hopeless:
            for capacity, number in fill(job.requirements, self._with_room, count, self.bookings):
                for entry in islice(entries, number):
                    self._assign(allocation, entry, capacity)
            self._with_room = [capacity for capacity in self._with_room if capacity.free_cpus > EPSILON]
        left = list(entries)
        if not left:
            return
        if not hopeless:
            self._full.append(job.requirements)
        if self._starving(job):
            self._gather(job)
        self._keep_waiting(allocation, job, left)

    def _keep_waiting(self, allocation: AllocationKey, job: JobView, left: list[TaskEntry]) -> None:
        """Tasks without room: some get room that others leave, some go back, and the rest waits.

        Hundreds of tasks may wait for many rounds, so what is the same for all of them is asked once.
        """
        job_id, now, timeout_s = job.job_id, self.now, self._max_wait_s()
        guaranteed = job_id in self.view.jobs_within_guarantee()
        lower, elsewhere = self._lower(job.requirements.priority), True
        may_be_stuck = self._stuck(float("-inf"))
        for entry in left:
            key = job_id, entry.index
            self.waiting.add(key)
            since = self.placer.since(key, now)
            waited_s = now - since
            if self.placer.has_claim(key) and self._await_claim(allocation, job, entry):
                continue
            if lower and self._make_room_anywhere(key, job.requirements):
                continue
            lower = False  # what found nobody to stop once finds nobody in the rest of the round
            if guaranteed and waited_s > self.placer.guarantee_wait_s and self._take_back(key, job):
                continue
            if waited_s <= timeout_s:
                continue
            if may_be_stuck and self._stuck(since):
                self._give_back(allocation, entry)
                continue
            elsewhere = elsewhere and self._better_elsewhere(job)  # places there only get fewer
            if elsewhere:
                self._give_back(allocation, entry)

    def _lower(self, priority: int) -> bool:
        """Something of lower priority runs here.

        Asked once a round: to ask for every job that waits is jobs times machines, and took a fifth of an owner's time
        in the first minute of a large fleet.
        """
        if priority not in self._has_lower_priority:
            used = (used for capacity in self.capacities for used in capacity.by_priority[priority + 1 :])
            self._has_lower_priority[priority] = any(cpus > EPSILON for cpus, *_ in used)
        return self._has_lower_priority[priority]

    def _await_claim(self, allocation: AllocationKey, job: JobView, entry: TaskEntry) -> bool:
        """Room is being freed for the task: it goes there, or keeps the room from others until it is free."""
        machine = self.placer.claimed((allocation.job, entry.index), self.now)
        capacity = next((r for r in self.capacities if r.machine == machine), None) if machine is not None else None
        if capacity is None:
            return False
        if capacity.fits(job.requirements):
            self._assign(allocation, entry, capacity)
        else:
            self.waiting.add((allocation.job, entry.index))
        # Without this, tasks of lower rank in the queue would take the room the moment it is free.
        self.bookings.book(capacity, job.requirements)
        return True

    def _max_wait_s(self) -> float:
        """How long a task waits before it may be given back: it takes four changes to bring it elsewhere."""
        return GIVE_BACK_SCARCE_S if self.placer.writes_scarce and not self.partition.unreachable else GIVE_BACK_S

    def _stuck(self, since: float) -> bool:
        """Nothing of the queue moves.

        Machines that were to come up here are late, others took the room, or nobody hears the zone.
        """
        return (
            self.partition.unreachable
            or self.now - max(since, self.placer.last_placed_at, self.partition.capacity_added_at) > GIVE_BACK_STUCK_S
        )

    def _better_elsewhere(self, job: JobView) -> bool:
        """The task would fit on a machine of another part, for a replica also by preemption there.

        Room that another part's own queue will take counts for nothing: while machines come up everywhere, each part
        would send its tasks after the room of the others. Each place found is counted once: if everything that waits
        here went after the same few places, most of it would come back, at four changes of records each.
        """
        if self.placer.writes_scarce and self.now - self.partition.capacity_added_at < STILL_GROWS_S:
            return False  # machines come up here too, and moving a task costs more than the wait
        requirements = job.requirements
        shape = (*requirements.shape, job.service)
        if shape not in self._elsewhere:
            queued = self._queues(requirements.priority)
            places: dict[int, int] = {}
            closed = set(map(self.view.zones.index, (self.partition.zone, *self.view.unreachable_zones())))
            for capacity in self.view.capacities.values():
                if capacity.schedulable and capacity.zone not in closed and capacity.allows(requirements):
                    places[capacity.zone] = places.get(capacity.zone, 0) + (
                        capacity.task_slots(requirements, MOST_SLOTS)
                        if capacity.fits(requirements)
                        else job.service and capacity.fits_by_preemption(requirements)
                    )
            self._elsewhere[shape] = sum(
                max(0, count - int(queued[zone] / requirements.cpus)) if requirements.cpus > 0 else count
                for zone, count in places.items()
            )
        self._elsewhere[shape] -= 1
        return self._elsewhere[shape] >= 0

    def _queues(self, priority: int) -> dict[int, float]:
        """By zone, CPUs of admitted tasks of no lower priority that wait for room there."""
        if self._queued is None:
            self._queued = defaultdict(float)
            for allocation, job, count, _ in self.view.unassigned_tasks():
                self._queued[self.view.zones.index(allocation.zone), job.requirements.priority] += (
                    count * job.requirements.cpus
                )
        out: dict[int, float] = defaultdict(float)
        for (zone, level), cpus in self._queued.items():
            if level <= priority:
                out[zone] += cpus
        return out

    def _hopeless(self, requirements: Requirements) -> bool:
        return any(requirements.requires_at_least(other) for other in self._full)

    def _gather(self, job: JobView) -> None:
        """Keeps a machine free of other newcomers until the task fits: small tasks must not starve a large one."""
        if self._gathering >= GATHER_FOR:
            return
        capacity = machine_to_reserve(job.requirements, self.capacities)
        if capacity is not None:
            self._gathering += 1
            self.capacities.remove(capacity)
            self._with_room = [other for other in self._with_room if other is not capacity]

    # Gangs: all members or none

    def _place_gang(self, job: JobView) -> None:
        """Gives machines to all waiting members of a gang, under one number, or to none of them."""
        gang = self.partition.gangs.get(job.job_id)
        if gang is None or job.job_id in self._gangs_seen:
            return
        self._gangs_seen.add(job.job_id)
        key = job.job_id, GANG_MEMBER
        self.waiting.add(key)
        since = self.placer.since(key, self.now)
        number, members = gang.next_attempt(), gang.waiting()
        if number is None or not members:
            return  # members of the attempt before are still on their machines
        capacities = self._rooms_for_gang(job)
        if gang.whole and all_fit(job.requirements, capacities, len(members)):
            left = iter(members)
            for capacity, count in fill(job.requirements, capacities, len(members), self.bookings):
                for allocation, entry in islice(left, count):
                    self._assign(allocation, entry, capacity, number)
            self._with_room = [capacity for capacity in self._with_room if capacity.free_cpus > EPSILON]
            return
        if gang.state is GangState.ASSIGNING:
            if self.now - since > GANG_ASSIGN_S:
                self.result.preempt += gang.members.values()
            return
        if (
            gang.whole
            and job.job_id not in self.placer.reservations
            and self._reserve_for_gang(job, len(members), since)
        ):
            return
        if self.now - since > self._max_wait_s() and (self._stuck(since) or self._gang_fits_elsewhere(job, gang)):
            for allocation, entry in members:
                self._give_back(allocation, entry)

    def _rooms_for_gang(self, job: JobView) -> list[MachineCapacity]:
        """Room that is nobody else's."""
        mine = self.placer.reservations.get(job.job_id)
        if mine is None:
            return self._with_room
        return self._with_room + [capacity for capacity in self._gang_capacities if capacity.machine in mine.machines]

    def _reserve_for_gang(self, job: JobView, count: int, since: float) -> bool:
        """Has work of lower priority leave, or keeps machines from arrays until enough room has gathered.

        One gang at a time may keep room that way: what it keeps is idle meanwhile.
        """
        capacities = self._preempt_for_gang(job, count) if self._lower(job.requirements.priority) else []
        wait_s = PREEMPT_WAIT_S
        if not capacities and not self.placer.reservations and self.now - since > GANG_RESERVE_AFTER_S:
            capacities, wait_s = machines_to_reserve(job.requirements, self._roomy_or_busy(), count), GANG_RESERVE_S
        if not capacities:
            return False
        reservation = GangReservation(self.now + wait_s, frozenset(capacity.machine for capacity in capacities))
        self.placer.reservations[job.job_id] = reservation
        self._keep_from_arrays(reservation.machines)
        return True

    def _roomy_or_busy(self) -> list[MachineCapacity]:
        kept = {capacity.machine for capacity in self._gang_capacities}
        return [capacity for capacity in self.capacities if capacity.machine not in kept]

    def _keep_from_arrays(self, machines: frozenset[int]) -> None:
        self._gang_capacities += [capacity for capacity in self.capacities if capacity.machine in machines]
        self._with_room = [capacity for capacity in self._with_room if capacity.machine not in machines]

    def _preempt_for_gang(self, job: JobView, count: int) -> list[MachineCapacity]:
        """Stops work of lower priority so that the whole gang fits; nothing if that is not enough.

        Other gangs are left alone: to stop one member costs all of them.
        """
        trial, capacities, victims = TentativeBookings(), [], []
        try:
            for capacity in sorted(self._roomy_or_busy(), key=lambda capacity: (-capacity.free_cpus, capacity.machine)):
                picked: list[TaskAttempt] = []
                for attempt in self._lower_runs(job.requirements, capacity):
                    if capacity.task_slots(job.requirements, count) >= count:
                        break
                    trial.book(capacity, self.view.jobs[attempt.allocation.job].requirements, -1)
                    picked.append(attempt)
                slots = capacity.task_slots(job.requirements, count) if capacity.allows(job.requirements) else 0
                if slots:
                    capacities.append(capacity)
                    victims += picked
                    count -= slots
                if count <= 0:
                    break
        finally:
            trial.undo()
        if count > 0:
            return []
        self.result.preempt += victims
        self._chosen.update(attempt.key for attempt in victims)
        return capacities

    def _gang_fits_elsewhere(self, job: JobView, gang: GangAttempt) -> bool:
        here = self.view.zones.index(self.partition.zone)
        closed = set(map(self.view.zones.index, self.view.unreachable_zones()))
        for zone, capacities in self.view.capacities_by_zone.items():
            if zone != here and zone not in closed:
                able = [capacity for capacity in capacities.values() if capacity.schedulable]
                if all_fit(job.requirements, able, gang.size):
                    return True
        return False

    # Replicas: one by one

    def _place_replicas(self, allocation: AllocationKey, job: JobView) -> None:
        requirements, full = job.requirements, self._hopeless(job.requirements)
        for entry in self.partition.unassigned[allocation]:
            key = allocation.job, entry.index
            if self._await_claim(allocation, job, entry):
                continue
            capacity = None if full else self._target(key, requirements) or best_fit(requirements, self._with_room)
            if capacity is None and self._gang_capacities:
                capacity = best_fit(
                    requirements, self._gang_capacities
                )  # a gang's reservation holds against arrays only
            if (
                capacity is not None
                and self._lower(requirements.priority)
                and not (self._has_image(capacity, requirements) or self.placer.has_claim(key))
            ):
                having = [r for r in self.capacities if self._has_image(r, requirements)]
                if self._make_room(key, requirements, having, IMAGE_WAIT_S):
                    continue
            if capacity is not None:
                self.bookings.book(capacity, requirements)
                self._assign(allocation, entry, capacity)
                continue
            full = True  # all tasks of a job need the same
            self.waiting.add(key)
            since = self.placer.since(key, self.now)
            if self._make_room_anywhere(key, requirements):
                continue
            if self.now - since > self._max_wait_s() and (self._stuck(since) or self._better_elsewhere(job)):
                self._give_back(allocation, entry)

    def _has_image(self, capacity: MachineCapacity, requirements: Requirements) -> bool:
        return requirements.image in self.partition.machines[self.view.machines.name(capacity.machine)].cached_images

    # Whom to stop

    def _make_room_anywhere(self, key: tuple[str, int], requirements: Requirements) -> bool:
        """The same on any machine of the part.

        Room only shrinks in the course of a round, so what found nobody to stop is not looked for again by tasks that
        ask for no less: to do so for every replica that waits took most of an owner's processor time while a large
        fleet came up.
        """
        if not self._lower(requirements.priority):
            return False
        if any(
            requirements.priority >= other.priority and requirements.requires_at_least(other)
            for other in self._unstoppable
        ):
            return False
        if self._make_room(key, requirements, self.capacities, PREEMPT_WAIT_S):
            return True
        self._unstoppable.append(requirements)
        return False

    def _make_room(
        self, key: tuple[str, int], requirements: Requirements, capacities: list[MachineCapacity], wait_s: float
    ) -> bool:
        """Stops the youngest tasks of lower priority on the machine that loses the fewest of them."""
        best: list[TaskAttempt] = []
        best_room: MachineCapacity | None = None
        for capacity in capacities:
            if not capacity.fits_by_preemption(requirements):
                continue
            chosen = self._enough(
                requirements, capacity, self._lower_runs(requirements, capacity, gangs=requirements.priority == 0)
            )
            if chosen and (best_room is None or self._loss(chosen) < self._loss(best)):
                best, best_room = chosen, capacity
                if self._loss(best) == 1:
                    break
        if best_room is None:
            return False
        self._stop(key, requirements, best, best_room, wait_s)
        return True

    def _lower_runs(
        self, requirements: Requirements, capacity: MachineCapacity, gangs: bool = False
    ) -> list[TaskAttempt]:
        """Tasks on a machine that may be stopped for work of a higher priority, in the order in which they should be.

        Members of gangs come last, and only for the most urgent work: each takes its whole gang with it.
        """
        machine = self.partition.machines[self.view.machines.name(capacity.machine)]
        lower = [
            attempt
            for attempt in machine.attempts.values()
            if self._stoppable(attempt)
            and self._priority(attempt) > requirements.priority
            and (gangs or not self._in_gang(attempt))
        ]
        lower.sort(
            key=lambda attempt: (self._in_gang(attempt), -self._priority(attempt), -(attempt.running_at or self.now))
        )
        return lower

    def _in_gang(self, attempt: TaskAttempt) -> bool:
        return self.partition.gangs.get(attempt.allocation.job) is not None

    def _loss(self, attempts: list[TaskAttempt]) -> int:
        """How many tasks would stop with these."""
        gangs = {
            attempt.allocation.job: gang.size
            for attempt in attempts
            if (gang := self.partition.gangs.get(attempt.allocation.job)) is not None
        }
        return sum(gangs.values()) + sum(attempt.allocation.job not in gangs for attempt in attempts)

    def _stop(
        self,
        key: tuple[str, int],
        requirements: Requirements,
        attempts: list[TaskAttempt],
        capacity: MachineCapacity,
        wait_s: float,
    ) -> None:
        self.waiting.add(key)
        self.placer.claim(key, self.now + wait_s, capacity.machine)
        self.result.preempt += attempts
        for attempt in attempts:
            self._chosen.add(attempt.key)
            self.bookings.book(capacity, self.view.jobs[attempt.allocation.job].requirements, -1)
        self.bookings.book(capacity, requirements)  # nobody else may count on this room

    def _enough(
        self, requirements: Requirements, capacity: MachineCapacity, candidates: list[TaskAttempt]
    ) -> list[TaskAttempt]:
        """The first of the candidates that make room for the task when they leave; none if that is not enough."""
        trial, chosen = TentativeBookings(), []
        try:
            for attempt in candidates:
                if capacity.fits(requirements):
                    break
                trial.book(capacity, self.view.jobs[attempt.allocation.job].requirements, -1)
                chosen.append(attempt)
            return chosen if capacity.fits(requirements) else []
        finally:
            trial.undo()

    def _take_back(self, key: tuple[str, int], job: JobView) -> bool:
        """Stop work that another team runs beyond its guarantee, for a job that is inside its own.

        That is the protocol's second rule of preemption. The youngest goes first; no team is taken below its guarantee.
        """
        if self._victims_by_guarantee is None:
            attempts = [
                attempt
                for attempt in self.partition.attempts.values()
                if self._stoppable(attempt)
                and attempt.allocation.job in self.view.jobs
                and not self._in_gang(attempt)
                and attempt.allocation.job not in self.view.jobs_within_guarantee()
            ]
            self._victims_by_guarantee = sorted(attempts, key=lambda attempt: attempt.running_at or self.now)
        for attempt in reversed(self._victims_by_guarantee):
            victim = self.view.jobs[attempt.allocation.job]
            capacity = self._capacities_by_name.get(attempt.machine)
            if victim.team == job.team or victim.service or capacity is None:
                continue
            if self.view.borrowed_cpus(victim.team) - self._stopped.get(victim.team, 0.0) < victim.requirements.cpus:
                continue
            if not self._stoppable(attempt) or not self._enough(job.requirements, capacity, [attempt]):
                continue
            self._stopped[victim.team] = self._stopped.get(victim.team, 0.0) + victim.requirements.cpus
            self._stop(key, job.requirements, [attempt], capacity, PREEMPT_WAIT_S)
            return True
        return False

    def _stoppable(self, attempt: TaskAttempt) -> bool:
        return not attempt.stop_requested and attempt.phase < AttemptPhase.STOPPING and attempt.key not in self._chosen

    def _priority(self, attempt: TaskAttempt) -> int:
        job = self.view.jobs.get(attempt.allocation.job)
        return job.requirements.priority if job else 0
