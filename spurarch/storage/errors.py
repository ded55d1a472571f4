"""Errors of the state service's client."""

from __future__ import annotations

from spurarch.errors import SpurarchError


class StoreUnavailableError(SpurarchError):
    """The state service did not serve a call; it may be tried again later."""


class RevisionTooOldError(SpurarchError):
    """A watch asked for changes that the state service has compacted: all records have to be read again."""


class HistoryClosedError(StoreUnavailableError):
    """The records may not be read or written, because their history is not known to be open."""
