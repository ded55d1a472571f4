"""The checker of job outcomes must find every violation in a log of events, and report no other."""

from __future__ import annotations

import re

import pytest

from tests.outcomes import ACCEPTED, CANCEL_REQUESTED, COMPLETED, LEFT, REPORTED, STARTED, Event, OutcomeLog, check

VALID = [
    Event(1, ACCEPTED, "job-1"),
    Event(2, STARTED, "job-1", 0, "vm-1"),
    Event(3, STARTED, "job-1", 1, "vm-2"),
    Event(4, REPORTED, "job-1", detail="running"),
    Event(5, COMPLETED, "job-1", 0, "vm-1"),
    Event(6, COMPLETED, "job-1", 1, "vm-2"),
    Event(7, REPORTED, "job-1", detail="done"),
    Event(8, REPORTED, "job-1", detail="done"),
]


def violations(*events: Event, tasks: int = 2) -> list[str]:
    return check(OutcomeLog({"job-1": tasks}, list(events)))


def test_a_correct_log_passes() -> None:
    assert violations(*VALID) == []


def test_a_cancelled_job_passes() -> None:
    assert (
        violations(*VALID[:4], Event(5, CANCEL_REQUESTED, "job-1"), Event(6, REPORTED, "job-1", detail="aborted")) == []
    )


@pytest.mark.parametrize(
    ("events", "reason"),
    [
        (VALID[:6], "no final answer"),
        (VALID[1:], "never accepted"),
        ([*VALID[:5], VALID[6]], r"done without tasks \[1\]"),
        ([*VALID, Event(9, REPORTED, "job-1", detail="running")], "running after done"),
        ([*VALID, Event(9, REPORTED, "job-1", detail="aborted")], "done and aborted"),
        ([*VALID[:4], Event(5, REPORTED, "job-1", detail="aborted")], "nobody asked"),
        ([*VALID[:3], Event(3, STARTED, "job-1", 0, "vm-3"), *VALID[3:]], "on vm-1 and vm-3"),
    ],
)
def test_each_violation_is_found(events: list[Event], reason: str) -> None:
    found = violations(*events)
    assert len(found) >= 1
    assert re.search(reason, "; ".join(found))


def test_a_task_may_start_on_another_machine_once_it_has_left_the_first() -> None:
    moved = [*VALID[:3], Event(3, LEFT, "job-1", 0, "vm-1"), Event(3, STARTED, "job-1", 0, "vm-3")]
    ends = [Event(5, COMPLETED, "job-1", 0, "vm-3"), *VALID[5:]]
    assert violations(*moved, *ends) == []


def test_a_service_has_to_be_running_at_the_end() -> None:
    assert violations(VALID[0], Event(4, REPORTED, "job-1", detail="running"), tasks=0) == []
    assert violations(VALID[0], Event(4, REPORTED, "job-1", detail="pending"), tasks=0) != []
