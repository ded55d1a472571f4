"""Resources charged to each team: tasks on record, and tasks of admissions under way. Quotas are enforced here alone.

A plan is made by the totals of one moment and committed later, while other plans are made and committed
(docs/incidents/2026-12-02-team-limit.md). So whoever commits an admission reserves its tasks here first, in the same
step, and the reservation stays until the copy of the records shows what became of it.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from spurarch.coordination.runtime.invariants import InvariantViolations
from spurarch.settings import Team

log = logging.getLogger(__name__)

TEAMS_SHOWN = 12  # in a line of log
UNITS = 1_000_000_000  # of a CPU or GPU; sums of integers neither drift nor depend on their order


@dataclass(slots=True)
class Charge:
    """CPUs and GPUs, in billionths. Never changed: frozen, its instances would take twice as long to make."""

    cpus: int = 0
    gpus: int = 0

    @staticmethod
    def of(cpus: float, gpus: float) -> Charge:
        """Amounts as they stand in jobs and settings."""
        return Charge(round(cpus * UNITS), round(gpus * UNITS))

    def times(self, tasks: int) -> Charge:
        """What a number of tasks takes of which each takes this."""
        return Charge(self.cpus * tasks, self.gpus * tasks)

    def __add__(self, other: Charge) -> Charge:
        """Both together."""
        return Charge(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Charge) -> Charge:
        """What is left of this without the other; may be negative."""
        return Charge(self.cpus - other.cpus, self.gpus - other.gpus)

    def excess_over(self, other: Charge) -> Charge:
        """How much more this is, of each resource."""
        return Charge(max(0, self.cpus - other.cpus), max(0, self.gpus - other.gpus))

    def __str__(self) -> str:
        """As it stands in lines of log."""
        text = f"{self.cpus / UNITS:g}cpu"
        return f"{text},{self.gpus / UNITS:g}gpu" if self.gpus else text


NO_CHARGE = Charge()


@dataclass(eq=False, slots=True)
class QuotaReservation:
    """Tasks of one job in an admission that is under way."""

    job: str
    team: int
    charge: Charge
    term: int  # version of the leader's record under which it is committed
    resolved_by_revision: int | None = None  # the revision whose copy shows what became of it, once that is known


class QuotaLedger:
    """Charges by team, as dense indices."""

    def __init__(self, limits: dict[int, Team]) -> None:
        self._teams = limits
        self._quotas: dict[int, Charge] = {}
        self._recorded: dict[int, Charge] = {}
        self._reserved: dict[int, Charge] = {}
        self._reservations: list[QuotaReservation] = []
        self._suspended: set[int] = set()  # teams that are admitted nothing until the ledger is compared again
        self._before: dict[int, Charge] = {}  # teams whose records changed since the last check, and their totals then
        self.teams_with_unreadable_jobs: set[int] = set()  # their charges are not known
        self.violations = InvariantViolations()

    def recorded(self, team: int) -> Charge:
        """What the team's tasks on record take."""
        return self._recorded.get(team, NO_CHARGE)

    def reserved(self, team: int) -> Charge:
        """What the team's admissions under way take."""
        return self._reserved.get(team, NO_CHARGE)

    def reserved_for(self, job: str) -> Charge:
        """What admissions under way of one job take."""
        if not self._reservations:
            return NO_CHARGE
        return sum((r.charge for r in self._reservations if r.job == job), NO_CHARGE)

    def adjust(self, team: int, charge: Charge) -> None:
        """The records of a team's tasks changed."""
        self._before.setdefault(team, self.recorded(team))
        self._recorded[team] = self.recorded(team) + charge

    def tasks_allowed(self, team: int, each: Charge, most: int, beside: Charge = NO_CHARGE) -> int:
        """How many more equal tasks the team's quota allows, `beside` what is on record and under way."""
        if team not in self._teams or team in self._suspended or team in self.teams_with_unreadable_jobs:
            return 0
        limit = self._quotas.get(team) or self._quota(team)
        recorded, reserved = self._recorded.get(team, NO_CHARGE), self._reserved.get(team, NO_CHARGE)
        if limit.cpus > 0 and each.cpus > 0:
            most = min(most, (limit.cpus - recorded.cpus - reserved.cpus - beside.cpus) // each.cpus)
        if limit.gpus > 0 and each.gpus > 0:
            most = min(most, (limit.gpus - recorded.gpus - reserved.gpus - beside.gpus) // each.gpus)
        return max(0, most)

    def reserve(self, job: str, team: int, each: Charge, tasks: int, term: int) -> QuotaReservation | None:
        """Charges the tasks of an admission that is about to be committed; None if the quota does not allow them."""
        if self.tasks_allowed(team, each, tasks) < tasks:
            return None
        reservation = QuotaReservation(job, team, each.times(tasks), term)
        self._reservations.append(reservation)
        self._reserved[team] = self.reserved(team) + reservation.charge
        return reservation

    def release(self, reservation: QuotaReservation) -> None:
        """The admission is on record and charged as that, or certainly never will be."""
        if reservation in self._reservations:
            self._reservations.remove(reservation)
            self._reserved[reservation.team] = self.reserved(reservation.team) - reservation.charge

    def release_resolved(self, revision: int, term: int) -> None:
        """Releases what a copy of the records at a revision, of at least this term, shows.

        A transaction of an earlier term was carried out before this one began, or never will be.
        """
        for reservation in list(self._reservations):
            shown = reservation.resolved_by_revision is not None and reservation.resolved_by_revision <= revision
            if shown or reservation.term < term:
                self.release(reservation)

    def check_quotas(self, whole: bool) -> None:
        """Checks that no changed total rose beyond its quota, as long as the records are followed as a whole.

        A quota that was lowered leaves a total beyond it: nothing more is admitted, and nothing is stopped.
        """
        for team, before in self._before.items():
            most, total = self._quota(team), self.recorded(team)
            cpus_rose_beyond = 0 < most.cpus < total.cpus > before.cpus
            gpus_rose_beyond = 0 < most.gpus < total.gpus > before.gpus
            if whole and (cpus_rose_beyond or gpus_rose_beyond):
                self.violations.record(
                    f"team total rose beyond its quota team={self._name(team)} {self.describe(team)}"
                )
        self._before.clear()

    def suspend(self, team: int, reason: str) -> None:
        """Admits nothing more to a team whose charges are not known for certain; what runs goes on."""
        if team not in self._suspended:
            log.error("team admission suspended team=%s reason=%s", self._name(team), reason)
        self._suspended.add(team)

    def resume(self, team: int) -> None:
        """The team's charges are known again."""
        if team in self._suspended:
            self._suspended.remove(team)
            log.info("team admission resumed team=%s", self._name(team))

    def _name(self, team: int) -> str:
        limit = self._teams.get(team)
        return limit.name if limit is not None else str(team)

    @property
    def suspended(self) -> list[int]:
        """Teams that are admitted nothing."""
        return list(self._suspended)

    def summary(self) -> str:
        """The teams that are charged for anything, those closest to their limits first, for a line of log."""
        used = [team for team in self._teams if self.recorded(team) != NO_CHARGE or self.reserved(team) != NO_CHARGE]
        used.sort(key=self._cpus_left)
        shown = [f"team={self._name(team)} {self.describe(team)}" for team in used[:TEAMS_SHOWN]]
        return "; ".join(shown) if shown else "none charged"

    def _cpus_left(self, team: int) -> float:
        most = self._quota(team).cpus
        return most - self.recorded(team).cpus - self.reserved(team).cpus if most else float("inf")

    def describe(self, team: int) -> str:
        """The team's totals and limit, for a line of log."""
        return f"charged={self.recorded(team)} reserved={self.reserved(team)} quota={self._quota(team)}"

    def _quota(self, team: int) -> Charge:
        """The team's quota; 0 of a resource means that it is unlimited."""
        most = self._quotas.get(team)
        if most is None:
            limit = self._teams.get(team)
            most = self._quotas[team] = (
                Charge.of(limit.quota_cpus, limit.quota_gpus) if limit is not None else NO_CHARGE
            )
        return most
