"""Virtual time: curio runs on a selector that never waits, it moves the clock."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest


class JumpingSelector(selectors.SelectSelector):
    """Nothing is ever ready; a wait moves the clock instead."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Moves the clock on by as long as there is nothing to do."""
        if timeout is None:
            raise RuntimeError("everything waits and nothing will happen")
        if timeout > 0:
            self._clock.now += timeout
        return []


class Clock:
    """The time that all code under test sees."""

    def __init__(self) -> None:
        self.now = 1000.0

    def run(self, main: Callable[[], Awaitable[None]]) -> None:
        """Runs a coroutine to its end in virtual time."""
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(time, "monotonic", lambda: self.now)
            patch.setattr(time, "time", lambda: 1_700_000_000.0 + self.now)
            curio.run(main, selector=JumpingSelector(self))
