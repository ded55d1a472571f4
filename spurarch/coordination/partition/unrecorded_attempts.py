"""Attempts that run on a machine although no record assigns them to it, or although their end was proved. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from spurarch.protocol import wire
from spurarch.storage.records import TaskKey


class UnrecordedAttempts:
    """The unrecorded attempts of a partition that the newest messages of its workers list as not exited, by task."""

    def __init__(self) -> None:
        self._numbers: dict[TaskKey, dict[str, int]] = {}  # by task and machine: number of the attempt

    def replace(self, machine: str, before: Iterable[wire.TaskStatus], after: Iterable[wire.TaskStatus]) -> None:
        """Replaces the tasks of a machine."""
        for task in before:
            key = wire.split_task(task.task)
            if key is not None:
                self.discard(key, machine)
        for task in after:
            key = wire.split_task(task.task)
            if key is not None and task.state != wire.EXITED:
                self._numbers.setdefault(key, {})[machine] = task.attempt

    def discard(self, key: TaskKey, machine: str) -> None:
        """Removes a task of a machine, if it is there."""
        numbers = self._numbers.get(key)
        if numbers is not None and numbers.pop(machine, None) is not None and not numbers:
            del self._numbers[key]

    def runs(self, key: TaskKey) -> bool:
        """Whether any unrecorded attempt of a task runs."""
        return key in self._numbers

    def runs_attempt(self, key: TaskKey, machine: str, number: int) -> bool:
        """Whether this attempt runs on the machine."""
        return self._numbers.get(key, {}).get(machine) == number
