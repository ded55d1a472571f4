"""A part in its owner's hands, and what is kept beside it."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

import curio

from spurarch.coordination.partition.partition import Partition
from spurarch.settings import Tuning

if TYPE_CHECKING:
    from spurarch.coordination.scheduling.placement import TaskPlacer


class OwnedPartition:
    """A part and what its owner keeps beside it."""

    def __init__(self, partition: Partition, tuning: Tuning, silent_s: float) -> None:
        self.partition = partition
        self._tuning, self._silent_s = tuning, silent_s
        self.changed_keys: dict[str, None] = {}
        self.wakeup = curio.Event()
        self.next_search = 0.0
        self.next_tick = 0.0
        self.next_idle_check = 0.0
        self.next_silence_check = 0.0
        self.next_overdue_check = 0.0
        self.cleaned_at = 0.0
        self.last_populated_at = partition.claimed_at  # when the part last had machines
        self.is_running = False
        self.provisional = False  # it works by records that were read before its claim, to stop what is cancelled
        self.mostly_silent = False
        self.mostly_silent_since: float | None = None  # most machines are silent

    @cached_property
    def placer(self) -> TaskPlacer:
        """Places new tasks here; loaded with the first round, since answers to workers don't need it."""
        from spurarch.coordination.scheduling.placement import TaskPlacer

        return TaskPlacer(self._tuning.longest_wait_s, self._tuning.guarantee_wait_s, self._silent_s)
