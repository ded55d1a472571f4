"""Ledger of the resources charged to each team, for recorded tasks and for admissions that are being committed.

Quotas are enforced only here. An admission is planned from the current totals and committed later, while others are
planned and committed (docs/incidents/2026-12-02-team-limit.md). `AdmissionWriter` therefore checks the quota and
reserves the charge in one step, without an `await`, before it commits. The reservation is kept until the copy of the
records shows the outcome.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from spurarch.coordination.runtime.invariants import InvariantViolations
from spurarch.settings import Team

log = logging.getLogger(__name__)

MAX_TEAMS_LOGGED = 12  # per log line
NANOS_PER_UNIT = 1_000_000_000  # per CPU or GPU; integer sums neither drift nor depend on their order


@dataclass(slots=True)
class Charge:
    """CPUs and GPUs, in billionths. Never modified; a frozen dataclass would take twice as long to instantiate."""

    cpus: int = 0
    gpus: int = 0

    @staticmethod
    def of(cpus: float, gpus: float) -> Charge:
        """Converts amounts of CPUs and GPUs, as stated in jobs and settings."""
        return Charge(round(cpus * NANOS_PER_UNIT), round(gpus * NANOS_PER_UNIT))

    def times(self, tasks: int) -> Charge:
        """Returns the charge of `tasks` tasks that have this charge each."""
        return Charge(self.cpus * tasks, self.gpus * tasks)

    def __add__(self, other: Charge) -> Charge:
        """Returns the sum, for each resource."""
        return Charge(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Charge) -> Charge:
        """Returns the difference, for each resource; it may be negative."""
        return Charge(self.cpus - other.cpus, self.gpus - other.gpus)

    def excess_over(self, other: Charge) -> Charge:
        """Returns by how much this exceeds the other charge, for each resource; 0 where it does not."""
        return Charge(max(0, self.cpus - other.cpus), max(0, self.gpus - other.gpus))

    def __str__(self) -> str:
        """Formats the charge for log lines, in CPUs and GPUs."""
        text = f"{self.cpus / NANOS_PER_UNIT:g}cpu"
        return f"{text},{self.gpus / NANOS_PER_UNIT:g}gpu" if self.gpus else text


NO_CHARGE = Charge()


@dataclass(eq=False, slots=True)
class QuotaReservation:
    """Charge of one job's admission whose outcome is not yet visible in the copy of the records."""

    job: str
    team: int
    charge: Charge
    term: int  # version of the leader's record that the transaction guards
    resolved_by_revision: int | None = None  # from this revision on, a copy shows the outcome; None if not known yet


class QuotaLedger:
    """Charges, reservations and quotas by team. Teams are identified by dense indices."""

    def __init__(self, teams: dict[int, Team]) -> None:
        self._teams = teams
        self._quotas: dict[int, Charge] = {}
        self._recorded: dict[int, Charge] = {}
        self._reserved: dict[int, Charge] = {}
        self._reservations: list[QuotaReservation] = []
        self._suspended: set[int] = set()  # until a complete audit pass finds no difference
        self._totals_before_changes: dict[int, Charge] = {}  # recorded totals at the last check, of teams changed since
        self.teams_with_unreadable_jobs: set[int] = set()  # allowed no tasks, since their charges are unknown
        self.violations = InvariantViolations()

    def recorded(self, team: int) -> Charge:
        """Returns the charge of the team's tasks that the records list as assigned or unassigned."""
        return self._recorded.get(team, NO_CHARGE)

    def reserved(self, team: int) -> Charge:
        """Returns the charge of all reservations of the team."""
        return self._reserved.get(team, NO_CHARGE)

    def reserved_for(self, job: str) -> Charge:
        """Returns the charge of all reservations of the job."""
        if not self._reservations:
            return NO_CHARGE
        return sum((r.charge for r in self._reservations if r.job == job), NO_CHARGE)

    def add_recorded(self, team: int, charge: Charge) -> None:
        """Adds `charge`, which may be negative, to the recorded total of a team."""
        self._totals_before_changes.setdefault(team, self.recorded(team))
        self._recorded[team] = self.recorded(team) + charge

    def tasks_allowed(self, team: int, charge_per_task: Charge, max_tasks: int, planned: Charge = NO_CHARGE) -> int:
        """Returns how many more equal tasks the team's quota allows, `max_tasks` at most.

        `planned` counts towards the quota in addition to the recorded and reserved charges. A team that is unknown,
        suspended, or has unreadable jobs is allowed no tasks.
        """
        if team not in self._teams or team in self._suspended or team in self.teams_with_unreadable_jobs:
            return 0
        quota = self._quotas.get(team) or self._quota(team)
        recorded, reserved = self._recorded.get(team, NO_CHARGE), self._reserved.get(team, NO_CHARGE)
        if quota.cpus > 0 and charge_per_task.cpus > 0:
            max_tasks = min(
                max_tasks, (quota.cpus - recorded.cpus - reserved.cpus - planned.cpus) // charge_per_task.cpus
            )
        if quota.gpus > 0 and charge_per_task.gpus > 0:
            max_tasks = min(
                max_tasks, (quota.gpus - recorded.gpus - reserved.gpus - planned.gpus) // charge_per_task.gpus
            )
        return max(0, max_tasks)

    def reserve(self, job: str, team: int, charge_per_task: Charge, tasks: int, term: int) -> QuotaReservation | None:
        """Reserves the charge of an admission that is about to be committed.

        Returns None, and reserves nothing, if the quota does not allow all of the tasks.
        """
        if self.tasks_allowed(team, charge_per_task, tasks) < tasks:
            return None
        reservation = QuotaReservation(job, team, charge_per_task.times(tasks), term)
        self._reservations.append(reservation)
        self._reserved[team] = self.reserved(team) + reservation.charge
        return reservation

    def release(self, reservation: QuotaReservation) -> None:
        """Releases a reservation whose tasks are charged as recorded by now, or will certainly never be admitted."""
        if reservation in self._reservations:
            self._reservations.remove(reservation)
            self._reserved[reservation.team] = self.reserved(reservation.team) - reservation.charge

    def release_resolved(self, revision: int, term: int) -> None:
        """Releases the reservations whose outcome is visible in a copy of the records at `revision`.

        The copy has to include the beginning of `term`. A transaction of an earlier term either was executed before
        that or never will be.
        """
        for reservation in list(self._reservations):
            outcome_in_copy = (
                reservation.resolved_by_revision is not None and reservation.resolved_by_revision <= revision
            )
            if outcome_in_copy or reservation.term < term:
                self.release(reservation)

    def check_quotas(self, records_complete: bool) -> None:
        """Records a violation for each team whose recorded total has risen above its quota since the last check.

        With `records_complete` False, nothing is recorded, because the copy of the records was incomplete. A total
        above a quota that was lowered is not a violation: nothing more is admitted, and no task is stopped.
        """
        for team, previous in self._totals_before_changes.items():
            quota, total = self._quota(team), self.recorded(team)
            cpus_rose_beyond = 0 < quota.cpus < total.cpus > previous.cpus
            gpus_rose_beyond = 0 < quota.gpus < total.gpus > previous.gpus
            if records_complete and (cpus_rose_beyond or gpus_rose_beyond):
                self.violations.record(
                    f"team total rose beyond its quota team={self._team_name(team)} {self.describe(team)}"
                )
        self._totals_before_changes.clear()

    def suspend(self, team: int, reason: str) -> None:
        """Suspends admission for a team whose charges are uncertain; its running tasks are not affected."""
        if team not in self._suspended:
            log.error("team admission suspended team=%s reason=%s", self._team_name(team), reason)
        self._suspended.add(team)

    def resume(self, team: int) -> None:
        """Resumes admission for a team whose charges match the records again."""
        if team in self._suspended:
            self._suspended.remove(team)
            log.info("team admission resumed team=%s", self._team_name(team))

    def _team_name(self, team: int) -> str:
        settings = self._teams.get(team)
        return settings.name if settings is not None else str(team)

    @property
    def suspended_teams(self) -> list[int]:
        """The teams whose admission is suspended."""
        return list(self._suspended)

    def summary(self) -> str:
        """Formats the totals of charged teams for a log line, those with the least unused CPU quota first."""
        charged_teams = [
            team for team in self._teams if self.recorded(team) != NO_CHARGE or self.reserved(team) != NO_CHARGE
        ]
        charged_teams.sort(key=self._cpus_left)
        team_texts = [
            f"team={self._team_name(team)} {self.describe(team)}" for team in charged_teams[:MAX_TEAMS_LOGGED]
        ]
        return "; ".join(team_texts) if team_texts else "none charged"

    def _cpus_left(self, team: int) -> float:
        quota_cpus = self._quota(team).cpus
        return quota_cpus - self.recorded(team).cpus - self.reserved(team).cpus if quota_cpus else float("inf")

    def describe(self, team: int) -> str:
        """Formats the totals and the quota of a team for a log line."""
        return f"charged={self.recorded(team)} reserved={self.reserved(team)} quota={self._quota(team)}"

    def _quota(self, team: int) -> Charge:
        """Returns the team's quota; 0 of a resource means that it is unlimited."""
        quota = self._quotas.get(team)
        if quota is None:
            settings = self._teams.get(team)
            quota = self._quotas[team] = (
                Charge.of(settings.quota_cpus, settings.quota_gpus) if settings is not None else NO_CHARGE
            )
        return quota
