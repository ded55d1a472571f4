"""Charges of teams against their quotas: exact sums, reservations, the audit against records, unreadable records."""

from __future__ import annotations

import logging
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from spurarch.coordination.admission.ledger_audit import ENTRIES_PER_STEP, PASS_INTERVAL_S, LedgerAudit
from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.quota_ledger import NO_CHARGE, Charge, QuotaLedger
from spurarch.settings import StateLimits, Team
from spurarch.storage import records
from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, JobRecord, TaskEntry
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store
from tests.test_scale import Fleet, ImmediateStateService, count_calls, submission

ONE = Charge.of(1.0, 0.0)


def ledger(**limits: float) -> QuotaLedger:
    """A ledger of one team, with index 0."""
    return QuotaLedger({0: Team("t", **limits)})


def test_fractional_charges_added_and_removed_leave_exactly_zero() -> None:
    quota_ledger, random = ledger(quota_cpus=100.0), Random(1)
    sizes = [
        Charge.of(random.choice([0.1, 0.3, 0.7, 1.1, 3.3]), random.choice([0.0, 0.1, 0.25])) for _ in range(500_000)
    ]
    for size in sizes:
        quota_ledger.add_recorded(0, size)
    random.shuffle(sizes)
    for size in sizes:
        quota_ledger.add_recorded(0, NO_CHARGE - size)
    assert quota_ledger.recorded(0) == NO_CHARGE


def test_three_tasks_of_a_third_of_the_limit_fit_and_a_fourth_does_not() -> None:
    assert ledger(quota_cpus=0.3).tasks_allowed(0, Charge.of(0.1, 0.0), 9) == 3


@pytest.mark.parametrize(
    ("limits", "each", "allowed"),
    [
        ({"quota_cpus": 10.0}, Charge.of(3.0, 8.0), 3),
        ({"quota_gpus": 4.0}, Charge.of(3.0, 2.0), 2),
        ({"quota_cpus": 10.0, "quota_gpus": 4.0}, Charge.of(1.0, 4.0), 1),
        ({"quota_cpus": 10.0, "quota_gpus": 4.0}, Charge.of(1.0, 0.0), 10),
        ({}, Charge.of(1000.0, 1000.0), 50),
        ({"quota_cpus": 10.0}, Charge.of(0.0, 0.0), 50),
    ],
)
def test_cpus_and_gpus_are_limited_independently(limits: dict[str, float], each: Charge, allowed: int) -> None:
    assert ledger(**limits).tasks_allowed(0, each, 50) == allowed


def test_a_quota_lowered_below_the_charges_admits_nothing_and_is_no_violation() -> None:
    quota_ledger = ledger(quota_cpus=4.0)
    quota_ledger.add_recorded(0, Charge.of(6.0, 0.0))
    quota_ledger.check_quotas(records_complete=False)  # while the records are first read
    assert quota_ledger.tasks_allowed(0, ONE, 5) == 0
    quota_ledger.add_recorded(0, NO_CHARGE - ONE)
    quota_ledger.check_quotas(records_complete=True)
    assert quota_ledger.violations.count == 0
    quota_ledger.add_recorded(0, ONE)
    quota_ledger.check_quotas(records_complete=True)
    assert quota_ledger.violations.count == 1


def test_an_unknown_team_is_admitted_no_tasks() -> None:
    assert ledger().tasks_allowed(7, ONE, 5) == 0


def test_a_reserved_charge_is_not_granted_again() -> None:
    quota_ledger = ledger(quota_cpus=4.0)
    first = quota_ledger.reserve("job-1", 0, ONE, 3, 10)
    assert first is not None
    assert quota_ledger.reserve("job-2", 0, ONE, 2, 10) is None
    assert quota_ledger.tasks_allowed(0, ONE, 9) == 1
    quota_ledger.release(first)
    quota_ledger.release(first)
    assert quota_ledger.reserved(0) == NO_CHARGE


def test_a_reservation_is_kept_until_the_replica_shows_the_outcome_of_its_transaction() -> None:
    quota_ledger = ledger(quota_cpus=4.0)
    reservation = quota_ledger.reserve("job-1", 0, ONE, 3, 10)
    assert reservation is not None
    quota_ledger.release_resolved(1000, 10)
    assert quota_ledger.reserved_for("job-1") == Charge.of(3.0, 0.0), "nothing is known of it"
    reservation.resolved_by_revision = 1200
    quota_ledger.release_resolved(1199, 10)
    assert quota_ledger.reserved_for("job-1") == Charge.of(3.0, 0.0), "the copy is older"
    quota_ledger.release_resolved(1200, 10)
    assert quota_ledger.reserved_for("job-1") == NO_CHARGE


def test_a_reservation_of_an_earlier_term_is_released_once_the_replica_has_reached_the_next() -> None:
    quota_ledger = ledger(quota_cpus=4.0)
    assert quota_ledger.reserve("job-1", 0, ONE, 3, 10) is not None
    quota_ledger.release_resolved(20, 20)
    assert quota_ledger.reserved(0) == NO_CHARGE


@given(
    st.lists(
        st.tuples(st.sampled_from(["reserve", "commit", "lose", "end", "show"]), st.integers(0, 3), st.integers(1, 4)),
        max_size=60,
    )
)
def test_whatever_happens_to_admissions_the_records_stay_within_the_limit(steps: list[tuple[str, int, int]]) -> None:
    """Transactions may be committed at any time; what the state service holds never exceeds the limit."""
    books, under_way, lost, held, revision = ledger(quota_cpus=5.0), [], [], 0, 0
    for what, which, tasks in steps:
        if what == "reserve" and (made := books.reserve(f"job-{which}", 0, ONE, tasks, 1)):
            under_way.append(made)
        elif what in ("commit", "lose") and under_way:
            reservation = under_way.pop(which % len(under_way))
            held += reservation.charge.cpus // ONE.cpus
            revision += 1
            if what == "commit":
                books.add_recorded(0, reservation.charge)
                books.release(reservation)
            else:  # committed, but its response was lost: a retry found a conflict at this revision
                reservation.resolved_by_revision = revision
                lost.append(reservation)
        elif what == "show":
            for reservation in lost:
                books.add_recorded(0, reservation.charge)
            lost.clear()
            books.release_resolved(revision, 1)
        elif what == "end" and books.recorded(0).cpus:
            books.add_recorded(0, NO_CHARGE - ONE)
            held -= 1
        books.check_quotas(records_complete=True)
        assert held <= 5
    assert books.violations.count == 0


# The audit


def fleet_of(jobs: int) -> Fleet:
    """Jobs of four tasks each: three are assigned to machines, one has ended."""
    fleet = Fleet(0)
    for i in range(jobs):
        fleet.put(f"{records.JOB}job-{i}", JobRecord(submission(f"job-{i}", 4), 0.0))
        fleet.put(str(AllocationKey("a", f"job-{i}", 0)), Fleet.allocation_record(i, records.ENDED))
    fleet.view.update()
    return fleet


def test_a_missing_charge_is_found_and_its_team_is_admitted_nothing_until_a_whole_pass_matches() -> None:
    fleet = fleet_of(3)
    view, audit = fleet.view, LedgerAudit(fleet.view)
    audit.check_all()
    assert view.ledger.violations.count == 0
    allocation = AllocationKey("a", "job-1", 0)
    # Removes the charge of the allocation, as an earlier version did when a new job arrived.
    view._book(allocation, view.jobs["job-1"], view._booked_totals.pop(allocation), -1)
    view.ledger.add_recorded(0, Charge.of(-3.0, 0.0))
    audit.check_all()
    assert "job charge differs from its records job=job-1 charged=0 recorded=3" in view.ledger.violations.messages[0]
    assert view.ledger.recorded(0) == Charge.of(9.0, 0.0), "booked anew"
    assert view.ledger.tasks_allowed(0, ONE, 1) == 0, "until a whole pass finds nothing"
    audit.check_all()
    assert view.ledger.tasks_allowed(0, ONE, 1) == 1
    assert view.ledger.violations.count == 1


def test_a_total_that_is_not_the_sum_of_its_jobs_is_found() -> None:
    fleet = fleet_of(2)
    fleet.view.ledger.add_recorded(0, NO_CHARGE - ONE)
    LedgerAudit(fleet.view).check_all()
    assert fleet.view.ledger.violations.count == 1
    assert fleet.view.ledger.recorded(0) == Charge.of(6.0, 0.0)


def test_the_audit_costs_the_same_per_step_in_a_large_fleet_and_pauses_between_passes() -> None:
    most = []
    for jobs in (400, 8000):
        fleet = fleet_of(jobs)
        audit, now, costs = LedgerAudit(fleet.view), 100.0, []
        while not audit.passes:
            costs.append(count_calls(lambda a=audit, n=now: a.check_step(n)))  # type: ignore[misc]
            now += 0.1
        assert len(costs) >= jobs * 5 // ENTRIES_PER_STEP
        most.append(max(costs[:-1]))
        assert count_calls(lambda a=audit, n=100.0 + PASS_INTERVAL_S - 1: a.check_step(n)) < 5  # type: ignore[misc]
    assert most[1] < 1.5 * most[0]


def test_an_admission_is_charged_at_the_same_cost_in_a_large_fleet() -> None:
    costs = []
    for jobs in (400, 4000):
        view = fleet_of(jobs).view

        def reserve(view: Any = view) -> None:
            made = view.ledger.reserve("job-1", 0, ONE, 3, 1)
            view.ledger.release_resolved(5, 1)
            view.ledger.release(made)

        costs.append(count_calls(reserve))
    assert costs[0] == costs[1]


# Records in any order, and unreadable ones


def test_an_allocation_that_is_read_before_its_job_is_charged_with_it() -> None:
    fleet = Fleet(0)
    allocation = AllocationKey("a", "job-1", 0)
    fleet.put(str(allocation), Fleet.allocation_record(1, records.ASSIGNED))
    fleet.view.update()
    assert fleet.view.ledger.recorded(0) == NO_CHARGE
    fleet.put(f"{records.JOB}job-1", JobRecord(submission("job-1", 4), 0.0))
    fleet.view.update()
    assert fleet.view.ledger.recorded(0) == Charge.of(4.0, 0.0)
    fleet.state.delete(str(allocation), fleet.state.revision + 1)
    fleet.view.update()
    assert fleet.view.ledger.recorded(0) == NO_CHARGE
    assert not fleet.view._allocations_without_job


def test_a_deleted_allocation_without_a_job_record_is_not_kept() -> None:
    fleet = Fleet(0)
    allocation = AllocationKey("a", "job-1", 0)
    fleet.put(str(allocation), Fleet.allocation_record(1, records.ENDED))
    fleet.view.update()
    fleet.state.delete(str(allocation), fleet.state.revision + 1)
    fleet.view.update()
    assert not fleet.view._allocations_without_job


def two_teams() -> tuple[Replica, Any]:
    """A replica with one job of each of two teams, and its fleet view."""
    replica = Replica(Store(ImmediateStateService(), StateLimits(100.0, 100.0, 16.0, 24), 1))
    replica.state.consistent_from_revision = 0
    view = FleetView(replica.state, [Team("t", quota_cpus=8.0), Team("other", quota_cpus=8.0)])
    for job_id, team in (("job-1", "t"), ("job-2", "other")):
        spec = submission(job_id, 4)
        spec.team = team
        replica.state.put_encoded(f"{records.JOB}{job_id}", 1, msgspec.Raw(msgspec.json.encode(JobRecord(spec, 0.0))))
    view.update()
    return replica, view


JOB_WITH_A_WRONG_FIELD = b'{"spec":{"ref":"job-9","crew":"t","legs":"many"},"at":0}'


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (str(AllocationKey("a", "job-1", 0)), b'{"tasks":3}'),
        (f"{records.ADMISSION}job-1", b'"x"'),
        (f"{records.JOB}job-1", b"[]"),
        (f"{records.JOB}job-9", JOB_WITH_A_WRONG_FIELD),
    ],
)
def test_a_team_with_an_unreadable_record_is_admitted_nothing_and_others_are_not_affected(
    key: str, value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    replica, view = two_teams()
    with caplog.at_level(logging.ERROR):
        for version in (2, 3):
            replica.state.put_encoded(key, version, msgspec.Raw(value))
            view.update()
    assert len([line for line in caplog.messages if "unreadable record" in line]) == 1
    mine, other = (view.teams.index(name) for name in ("t", "other"))
    assert view.ledger.tasks_allowed(mine, ONE, 5) == 0
    assert view.ledger.tasks_allowed(other, ONE, 5) == 5
    replica.state.delete(key, 4)
    view.update()
    assert view.ledger.tasks_allowed(mine, ONE, 5) == 5


def test_a_readable_record_that_replaces_an_unreadable_one_is_charged() -> None:
    replica, view = two_teams()
    key = str(AllocationKey("a", "job-1", 0))
    replica.state.put_encoded(key, 2, msgspec.Raw(b"7"))
    view.update()
    record = AllocationRecord([TaskEntry(n) for n in range(3)])
    replica.state.put_encoded(key, 3, msgspec.Raw(msgspec.json.encode(record)))
    replica.state.put_encoded(f"{records.ADMISSION}job-1", 3, msgspec.Raw(msgspec.json.encode(AdmissionRecord(3, 1))))
    view.update()
    assert view.ledger.tasks_allowed(view.teams.index("t"), ONE, 9) == 5


def test_the_team_of_a_job_is_read_from_a_partly_unreadable_record() -> None:
    good = msgspec.json.encode(JobRecord(submission("job-1", 1), 0.0))
    assert records.team_of(f"{records.JOB}job-1", good) == "t"
    assert records.team_of(f"{records.JOB}job-9", JOB_WITH_A_WRONG_FIELD) == "t"
    assert records.team_of(f"{records.JOB}job-9", b'{"spec":{}}') is None
    assert records.team_of(f"{records.ADMISSION}job-9", b"1") is None


def test_a_job_that_waits_for_its_teams_quota_costs_a_round_few_calls() -> None:
    """Every round checks the waiting jobs of a team at its limit; before the ledger existed, each took 19 calls."""

    def cost(jobs: int) -> int:
        fleet = Fleet(0)
        fleet.view = FleetView(fleet.state, [Team("t", quota_cpus=4.0)])
        for i in range(jobs):
            fleet.put(f"{records.JOB}job-{i}", JobRecord(submission(f"job-{i}", 4), 0.0))
        fleet.put(str(AllocationKey("a", "job-0", 0)), Fleet.allocation_record(0, records.ASSIGNED))
        fleet.view.update()
        return count_calls(lambda: AdmissionPlanner(fleet.view, 2.0).run(None, lambda: False, 24))

    assert (cost(800) - cost(400)) / 400 < 24
