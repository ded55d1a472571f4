"""Checks whether the archive holds recorded changes, so that workers may discard terminal attempts they report."""

from __future__ import annotations

import logging
import time

from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)


class ArchiveProgress:
    """Compares revisions with the archived revision that the archiver publishes.

    If the archived revision has not risen for `timeout_s` seconds while a later revision was needed, changes count as
    covered although the archive doesn't hold them, unless `wait_without_limit` is set.
    """

    def __init__(self, guard: HistoryGuard, timeout_s: float, wait_without_limit: bool) -> None:
        self._guard, self._timeout_s, self._wait_without_limit = guard, timeout_s, wait_without_limit
        self._waiting_since: float | None = None  # monotonic clock; None if the archive covers all requested changes
        self._archived_at_wait_start = 0  # archived revision at `_waiting_since`
        self._unavailable = False

    def recorded_revision(self) -> int:
        """Returns the newest revision seen that changed a record of a kind that is archived."""
        return self._guard.recorded_revision

    def covers(self, revision: int) -> bool:
        """Whether the archive holds all changes up to a revision, or need not be waited for.

        The first call for a revision that the archive doesn't hold starts the timeout. Returns False while the history
        is not open.
        """
        if not self._guard.is_open:
            return False
        if self._guard.archived_revision >= revision:
            self._waiting_since = None
            return True
        now = time.monotonic()
        if self._waiting_since is None or self._guard.archived_revision > self._archived_at_wait_start:
            self._waiting_since, self._archived_at_wait_start = now, self._guard.archived_revision
        self._set_unavailable(now - self._waiting_since > self._timeout_s)
        return self._unavailable and not self._wait_without_limit

    def _set_unavailable(self, unavailable: bool) -> None:
        if unavailable != self._unavailable:
            self._unavailable = unavailable
            if unavailable:
                log.warning("archive unavailable, new changes are not archived")
            else:
                log.warning("archive available, changes are archived again")
