"""Errors of the state service's client."""

from __future__ import annotations


class StoreUnavailableError(Exception):
    """The state service did not serve a call: it may be tried again later."""


class RevisionTooOldError(Exception):
    """A watch asked for changes that the state service has compacted: all records have to be read again."""


class HistoryClosedError(StoreUnavailableError):
    """The records may not be read or written, because their history is not known to be open."""
