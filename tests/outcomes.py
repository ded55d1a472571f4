"""An independent log of what workers and users observe, and a checker of every job's outcome.

The log uses no state of the controllers: workers add the tasks that they start and complete, users the responses that
they receive.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

ACCEPTED, CANCEL_REQUESTED, REPORTED, STARTED, COMPLETED, LEFT = (
    "accepted",
    "asked to cancel",
    "told",
    "started",
    "completed",
    "left",
)
FINAL = {"done", "aborted"}


@dataclass(frozen=True)
class Event:
    """One observation of a worker or a user."""

    at: float
    kind: str
    job: str
    task: int = -1
    machine: str = ""
    detail: str = ""


@dataclass
class OutcomeLog:
    """Events in the order of their observation."""

    tasks: dict[str, int] = field(default_factory=dict)  # by job; 0 for services
    events: list[Event] = field(default_factory=list)

    def note(self, event: Event) -> None:
        """Adds an event."""
        self.events.append(event)

    def write(self, path: Path) -> None:
        """Writes the log to a file, as lines of JSON."""
        lines = [json.dumps({"tasks": self.tasks}), *(json.dumps(asdict(event)) for event in self.events)]
        path.write_text("\n".join(lines) + "\n")


def check(log: OutcomeLog) -> list[str]:
    """All violations in the outcomes of the jobs, one text each."""
    by_job: dict[str, list[Event]] = defaultdict(list)
    for event in log.events:
        by_job[event.job].append(event)
    out = _overlaps(log.events)
    for job, tasks in log.tasks.items():
        out += _check_job(job, tasks, by_job[job])
    return out


def _check_job(job: str, tasks: int, events: list[Event]) -> list[str]:
    out = []
    reported = [event.detail for event in events if event.kind == REPORTED]
    if not any(event.kind == ACCEPTED for event in events):
        return [f"{job}: was never accepted"]
    finals = list(dict.fromkeys(state for state in reported if state in FINAL))
    cancel_requested = any(event.kind == CANCEL_REQUESTED for event in events)
    if len(finals) > 1:
        out.append(f"{job}: told {' and '.join(finals)}")
    if finals and reported[reported.index(finals[0]) :] != finals[:1] * len(reported[reported.index(finals[0]) :]):
        out.append(f"{job}: told {reported[-1]} after {finals[0]}")
    if not finals and (tasks or cancel_requested):
        out.append(f"{job}: has no final answer")
    if finals == ["aborted"] and not cancel_requested:
        out.append(f"{job}: aborted, though nobody asked")
    if finals == ["done"]:
        out += _check_done(job, tasks, events)
    if not tasks and not cancel_requested and reported[-1:] != ["running"]:
        out.append(f"{job}: a service that is {reported[-1] if reported else 'unknown'} at the end")
    return out


def _check_done(job: str, tasks: int, events: list[Event]) -> list[str]:
    first = next(i for i, event in enumerate(events) if event.kind == REPORTED and event.detail == "done")
    completed = {event.task for event in events[:first] if event.kind == COMPLETED}
    missing = sorted(set(range(tasks)) - completed)
    return [f"{job}: done without tasks {missing}"] if missing else []


def _overlaps(events: list[Event]) -> list[str]:
    """Tasks that started on one machine while they ran on another."""
    out, machine_of = [], dict[tuple[str, int], str]()
    for event in events:
        key = (event.job, event.task)
        if event.kind == STARTED:
            if machine_of.get(key, event.machine) != event.machine:
                out.append(f"{event.job}/{event.task}: on {machine_of[key]} and {event.machine}")
            machine_of[key] = event.machine
        elif event.kind in (LEFT, COMPLETED) and machine_of.get(key) == event.machine:
            del machine_of[key]
    return out


def repeated_starts(log: OutcomeLog) -> int:
    """Number of task starts beyond the first of each task: work repeated or restarted, for example after a failure."""
    starts = [(event.job, event.task) for event in log.events if event.kind == STARTED]
    return len(starts) - len(set(starts))
