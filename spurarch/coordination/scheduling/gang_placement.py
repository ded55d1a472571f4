"""Placement of gangs: all waiting members are assigned machines at once, under one attempt number, or none is."""

from __future__ import annotations

from itertools import islice

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.gang import GangAttempt, GangState
from spurarch.coordination.scheduling.best_fit import all_fit, book_by_best_fit, machines_to_reserve
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.placement_state import GangReservation
from spurarch.coordination.scheduling.preemption import PREEMPTION_RESERVATION_S
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.task_return import ReturnPolicy

RESERVE_AFTER_S = 1.5  # how long a gang waits before it may reserve machines without preemption
RESERVATION_S = 30.0  # how long such a reservation lasts at most
ASSIGN_TIMEOUT_S = 10.0  # a gang still only partly assigned after this wait is preempted, which frees its machines
ALL_MEMBERS = -1  # task index of the gang as a whole in a task key


class GangPlacement:
    """Places the members of gangs during one round."""

    def __init__(
        self, current_round: PlacementRound, priority_preemption: PriorityPreemption, return_policy: ReturnPolicy
    ) -> None:
        self._round, self._priority_preemption, self._return_policy = current_round, priority_preemption, return_policy
        self._handled_gangs: set[str] = set()  # a gang has several allocations and is placed once

    def apply_reservations(self) -> None:
        """Reserves the machines that earlier rounds chose for gangs."""
        for reservation in self._round.placement_state.gang_reservations.values():
            self._round.capacities.reserve_for_gangs(reservation.machines)

    def place(self, job: JobView) -> None:
        """Assigns machines to all waiting members of a gang, or to none of them.

        A gang that doesn't fit preempts, reserves machines, waits or is returned to the leader.
        """
        gang = self._round.partition.gangs.get(job.job_id)
        if gang is None or job.job_id in self._handled_gangs:
            return
        self._handled_gangs.add(job.job_id)
        key = job.job_id, ALL_MEMBERS
        self._round.waiting.add(key)
        waiting_since = self._round.placement_state.waiting_since(key, self._round.now)
        attempt, members = gang.next_attempt(), gang.unassigned_members()
        if attempt is None or not members:
            return  # members of the previous attempt are still on their machines
        if gang.all_members_present and self._assign_all(job, gang, attempt):
            return
        if gang.state is GangState.ASSIGNING:
            if self._round.now - waiting_since > ASSIGN_TIMEOUT_S:
                self._round.result.preempt += gang.members.values()
            return
        if gang.all_members_present and self._reserve_machines(job, len(members), waiting_since):
            return
        self._return_overdue(job, gang, waiting_since)

    def _assign_all(self, job: JobView, gang: GangAttempt, attempt: int) -> bool:
        """Assigns all waiting members, or returns False if they don't all fit."""
        capacities, members = self._round.capacities, gang.unassigned_members()
        machines = self._available_machines(job)
        if not all_fit(job.requirements, machines, len(members)):
            return False
        unassigned = iter(members)
        for capacity, count in book_by_best_fit(job.requirements, machines, len(members), capacities.bookings):
            for allocation, entry in islice(unassigned, count):
                self._round.assign(allocation, entry, capacity, attempt)
        capacities.drop_full_machines()
        return True

    def _available_machines(self, job: JobView) -> list[MachineCapacity]:
        """Returns the machines with free CPUs that are not reserved, and those reserved for this gang."""
        capacities = self._round.capacities
        reservation = self._round.placement_state.gang_reservations.get(job.job_id)
        if reservation is None:
            return capacities.with_free_capacity
        return capacities.with_free_capacity + [
            capacity for capacity in capacities.reserved_for_gangs if capacity.machine in reservation.machines
        ]

    def _reserve_machines(self, job: JobView, members: int, waiting_since: float) -> bool:
        """Reserves machines for a gang: by preemption, or else until enough tasks on them have ended.

        Returns whether it reserved machines; a gang that has a reservation gets no second one. Without preemption,
        machines are reserved only while no other gang has a reservation, since their free capacity is idle meanwhile.
        """
        reservations, capacities = self._round.placement_state.gang_reservations, self._round.capacities
        if job.job_id in reservations:
            return False
        machines: list[MachineCapacity] = []
        reservation_s = PREEMPTION_RESERVATION_S
        if self._priority_preemption.runs_lower_priority_work(job.requirements.priority):
            machines = self._priority_preemption.preempt_for_gang(job, members)
        if not machines and not reservations and self._round.now - waiting_since > RESERVE_AFTER_S:
            machines = machines_to_reserve(job.requirements, capacities.not_reserved_for_gangs(), members)
            reservation_s = RESERVATION_S
        if not machines:
            return False
        reserved = frozenset(capacity.machine for capacity in machines)
        reservations[job.job_id] = GangReservation(reserved, self._round.now + reservation_s)
        capacities.reserve_for_gangs(reserved)
        return True

    def _return_overdue(self, job: JobView, gang: GangAttempt, waiting_since: float) -> None:
        """Returns all waiting members to the leader if they have waited long enough and can't be placed here soon."""
        if self._round.now - waiting_since <= self._return_policy.max_wait_s():
            return
        if self._return_policy.is_stuck(waiting_since) or self._return_policy.gang_fits_elsewhere(job, gang):
            for allocation, entry in gang.unassigned_members():
                self._round.return_to_leader(allocation, entry)
