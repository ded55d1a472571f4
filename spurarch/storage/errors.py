"""Errors raised by the client of the state service."""

from __future__ import annotations

from spurarch.errors import SpurarchError


class StoreUnavailableError(SpurarchError):
    """A call to the state service failed; it may be retried later. The `recovery` commands print the message."""


class RevisionTooOldError(SpurarchError):
    """A watch starts at a revision that the state service has compacted: all records have to be read again."""


class HistoryClosedError(StoreUnavailableError):
    """The call was rejected because the history of the records is not open, or not yet known to be open.

    For histories, see `spurarch.storage.history`.
    """
