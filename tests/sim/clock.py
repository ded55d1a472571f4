"""Virtual time: when all tasks of curio wait, the clock advances at once to the next timeout."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest


class JumpingSelector(selectors.SelectSelector):
    """A selector that never reports a file as ready, and advances the clock instead of waiting for a timeout."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the clock by the timeout; raises RuntimeError without one, since all tasks would wait forever."""
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait, and none of them has a timeout")
        if timeout > 0:
            self._clock.now += timeout
        return []


class Clock:
    """The virtual time, in seconds; `time.monotonic` and `time.time` are derived from it while `run` runs."""

    def __init__(self) -> None:
        self.now = 1000.0

    def run(self, main: Callable[[], Awaitable[None]]) -> None:
        """Runs a coroutine function to its end in virtual time."""
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(time, "monotonic", lambda: self.now)
            patch.setattr(time, "time", lambda: 1_700_000_000.0 + self.now)
            curio.run(main, selector=JumpingSelector(self))
