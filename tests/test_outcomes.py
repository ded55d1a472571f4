"""The checker of outcomes finds what is wrong with a history, and nothing else."""

from __future__ import annotations

import re

import pytest

from tests.outcomes import ACCEPTED, ASKED_TO_CANCEL, COMPLETED, LEFT, STARTED, TOLD, Event, OutcomeLog, check

GOOD = [
    Event(1, ACCEPTED, "job-1"),
    Event(2, STARTED, "job-1", 0, "vm-1"),
    Event(3, STARTED, "job-1", 1, "vm-2"),
    Event(4, TOLD, "job-1", detail="running"),
    Event(5, COMPLETED, "job-1", 0, "vm-1"),
    Event(6, COMPLETED, "job-1", 1, "vm-2"),
    Event(7, TOLD, "job-1", detail="done"),
    Event(8, TOLD, "job-1", detail="done"),
]


def wrong(*events: Event, tasks: int = 2) -> list[str]:
    return check(OutcomeLog({"job-1": tasks}, list(events)))


def test_a_good_history_passes() -> None:
    assert wrong(*GOOD) == []


def test_a_cancelled_job_passes() -> None:
    assert wrong(*GOOD[:4], Event(5, ASKED_TO_CANCEL, "job-1"), Event(6, TOLD, "job-1", detail="aborted")) == []


@pytest.mark.parametrize(
    ("events", "reason"),
    [
        (GOOD[:6], "no final answer"),
        (GOOD[1:], "never accepted"),
        ([*GOOD[:5], GOOD[6]], r"done without tasks \[1\]"),
        ([*GOOD, Event(9, TOLD, "job-1", detail="running")], "running after done"),
        ([*GOOD, Event(9, TOLD, "job-1", detail="aborted")], "done and aborted"),
        ([*GOOD[:4], Event(5, TOLD, "job-1", detail="aborted")], "nobody asked"),
        ([*GOOD[:3], Event(3, STARTED, "job-1", 0, "vm-3"), *GOOD[3:]], "on vm-1 and vm-3"),
    ],
)
def test_what_is_wrong_is_found(events: list[Event], reason: str) -> None:
    found = wrong(*events)
    assert len(found) >= 1
    assert re.search(reason, "; ".join(found))


def test_a_task_may_start_elsewhere_once_it_has_left() -> None:
    moved = [*GOOD[:3], Event(3, LEFT, "job-1", 0, "vm-1"), Event(3, STARTED, "job-1", 0, "vm-3")]
    ends = [Event(5, COMPLETED, "job-1", 0, "vm-3"), *GOOD[5:]]
    assert wrong(*moved, *ends) == []


def test_a_service_has_to_run_at_the_end() -> None:
    assert wrong(GOOD[0], Event(4, TOLD, "job-1", detail="running"), tasks=0) == []
    assert wrong(GOOD[0], Event(4, TOLD, "job-1", detail="pending"), tasks=0) != []
