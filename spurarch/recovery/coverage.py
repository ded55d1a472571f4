"""Whether the archive covers what is on record, so that workers may forget the ends that they report."""

from __future__ import annotations

import logging
import time

from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)


class ArchiveProgress:
    """Compares revisions with the one that the archiver has published.

    Without news of the archiver for `patience_s`, ends are forgotten all the same unless `hold` is set.
    """

    def __init__(self, guard: HistoryGuard, timeout_s: float, hold: bool) -> None:
        self._guard, self._timeout_s, self._hold = guard, timeout_s, hold
        self._waiting_since: float | None = None
        self._waiting_at = 0  # the archived revision then
        self._away = False

    def recorded(self) -> int:
        """A revision that holds all that is on record here now."""
        return self._guard.recorded

    def covers(self, revision: int) -> bool:
        """The archive holds all changes up to a revision, or is not to be waited for."""
        if not self._guard.is_open:
            return False
        if self._guard.archived >= revision:
            self._waiting_since = None
            return True
        now = time.monotonic()
        if self._waiting_since is None or self._guard.archived > self._waiting_at:
            self._waiting_since, self._waiting_at = now, self._guard.archived
        self._note_away(now - self._waiting_since > self._timeout_s)
        return self._away and not self._hold

    def _note_away(self, away: bool) -> None:
        if away != self._away:
            self._away = away
            if away:
                log.warning("archive unavailable, no new changes are covered")
            else:
                log.warning("archive available, changes are covered again")
