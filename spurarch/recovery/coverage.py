"""Whether the archive holds what is on record, so that workers may forget the terminal attempts that they report."""

from __future__ import annotations

import logging
import time

from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)


class ArchiveProgress:
    """Compares revisions with the one that the archiver has published.

    If that has not risen for `timeout_s` seconds, the archive is not waited for any more, unless `hold` is set.
    """

    def __init__(self, guard: HistoryGuard, timeout_s: float, hold: bool) -> None:
        self._guard, self._timeout_s, self._hold = guard, timeout_s, hold
        self._waiting_since: float | None = None
        self._archived_then = 0  # revision
        self._unavailable = False

    def recorded(self) -> int:
        """The newest revision that changed an archived record."""
        return self._guard.recorded

    def covers(self, revision: int) -> bool:
        """Whether the archive holds all changes up to a revision, or is not to be waited for."""
        if not self._guard.is_open:
            return False
        if self._guard.archived >= revision:
            self._waiting_since = None
            return True
        now = time.monotonic()
        if self._waiting_since is None or self._guard.archived > self._archived_then:
            self._waiting_since, self._archived_then = now, self._guard.archived
        self._set_unavailable(now - self._waiting_since > self._timeout_s)
        return self._unavailable and not self._hold

    def _set_unavailable(self, unavailable: bool) -> None:
        if unavailable != self._unavailable:
            self._unavailable = unavailable
            if unavailable:
                log.warning("archive unavailable, no new changes are covered")
            else:
                log.warning("archive available, changes are covered again")
