"""Virtual time: curio runs on a selector that advances a clock instead of waiting."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest


class JumpingSelector(selectors.SelectSelector):
    """A selector without ready files; a timeout advances the clock."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the clock by the timeout; raises RuntimeError if there is none, as every task would wait forever."""
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait, and none of them has a timeout")
        if timeout > 0:
            self._clock.now += timeout
        return []


class Clock:
    """The time, in seconds, that all code under test reads."""

    def __init__(self) -> None:
        self.now = 1000.0

    def run(self, main: Callable[[], Awaitable[None]]) -> None:
        """Runs a coroutine function to its end in virtual time."""
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(time, "monotonic", lambda: self.now)
            patch.setattr(time, "time", lambda: 1_700_000_000.0 + self.now)
            curio.run(main, selector=JumpingSelector(self))
