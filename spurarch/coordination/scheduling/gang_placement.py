"""Placing gangs: all members that wait get machines at once, under one attempt, or none of them does."""

from __future__ import annotations

from itertools import islice

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.gang import GangAttempt, GangState
from spurarch.coordination.scheduling.best_fit import all_fit, fill, machines_to_reserve
from spurarch.coordination.scheduling.placement_memory import GangReservation
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.preemption import PREEMPT_WAIT_S
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.task_return import ReturnPolicy

RESERVE_AFTER_S = 1.5  # a gang that has waited for so long may keep room from arrays
RESERVE_S = 30.0  # for so long at most
ASSIGN_TIMEOUT_S = 10.0  # a gang whose members are only partly assigned for longer gives its machines up again
ALL_MEMBERS = -1  # in place of a task's index, where a gang waits as a whole


class GangPlacement:
    """Places the members of gangs during one round."""

    def __init__(self, current_round: PlacementRound, by_priority: PriorityPreemption, returns: ReturnPolicy) -> None:
        self._round, self._by_priority, self._returns = current_round, by_priority, returns
        self._seen: set[str] = set()  # a gang has several allocations and is placed once

    def keep_reserved_machines(self) -> None:
        """Keeps the machines that earlier rounds reserved for gangs from arrays."""
        for reservation in self._round.memory.gang_reservations.values():
            self._round.capacities.keep_for_gangs(reservation.machines)

    def place(self, job: JobView) -> None:
        """Gives machines to all waiting members of a gang, under one attempt, or to none of them."""
        gang = self._round.partition.gangs.get(job.job_id)
        if gang is None or job.job_id in self._seen:
            return
        self._seen.add(job.job_id)
        key = job.job_id, ALL_MEMBERS
        self._round.waiting.add(key)
        since = self._round.memory.waiting_since(key, self._round.now)
        attempt, members = gang.next_attempt(), gang.waiting()
        if attempt is None or not members:
            return  # members of the attempt before are still on their machines
        if gang.whole and self._assign_all(job, gang, attempt):
            return
        if gang.state is GangState.ASSIGNING:
            if self._round.now - since > ASSIGN_TIMEOUT_S:
                self._round.result.preempt += gang.members.values()
            return
        if gang.whole and self._reserve_machines(job, len(members), since):
            return
        self._return_overdue(job, gang, since)

    def _assign_all(self, job: JobView, gang: GangAttempt, attempt: int) -> bool:
        """Assigns all waiting members if there is room for all of them."""
        capacities, members = self._round.capacities, gang.waiting()
        machines = self._machines_with_room(job)
        if not all_fit(job.requirements, machines, len(members)):
            return False
        unassigned = iter(members)
        for capacity, count in fill(job.requirements, machines, len(members), capacities.bookings):
            for allocation, entry in islice(unassigned, count):
                self._round.assign(allocation, entry, capacity, attempt)
        capacities.drop_full_machines()
        return True

    def _machines_with_room(self, job: JobView) -> list[MachineCapacity]:
        """Machines with room that is not kept for another gang."""
        capacities = self._round.capacities
        own = self._round.memory.gang_reservations.get(job.job_id)
        if own is None:
            return capacities.with_room
        return capacities.with_room + [
            capacity for capacity in capacities.kept_for_gangs if capacity.machine in own.machines
        ]

    def _reserve_machines(self, job: JobView, members: int, since: float) -> bool:
        """Stops work of lower priority, or keeps machines from arrays until enough room has gathered.

        One gang at a time may keep room in the second way, since what it keeps is idle meanwhile.
        """
        reservations, capacities = self._round.memory.gang_reservations, self._round.capacities
        if job.job_id in reservations:
            return False
        machines: list[MachineCapacity] = []
        duration_s = PREEMPT_WAIT_S
        if self._by_priority.runs_lower_priority_work(job.requirements.priority):
            machines = self._by_priority.make_room_for_gang(job, members)
        if not machines and not reservations and self._round.now - since > RESERVE_AFTER_S:
            machines = machines_to_reserve(job.requirements, capacities.not_kept_for_gangs(), members)
            duration_s = RESERVE_S
        if not machines:
            return False
        reserved = frozenset(capacity.machine for capacity in machines)
        reservations[job.job_id] = GangReservation(reserved, self._round.now + duration_s)
        capacities.keep_for_gangs(reserved)
        return True

    def _return_overdue(self, job: JobView, gang: GangAttempt, since: float) -> None:
        """Gives all waiting members back to the leader once they have waited long enough."""
        if self._round.now - since <= self._returns.max_wait_s():
            return
        if self._returns.is_stuck(since) or self._returns.gang_fits_elsewhere(job, gang):
            for allocation, entry in gang.waiting():
                self._round.return_to_leader(allocation, entry)
