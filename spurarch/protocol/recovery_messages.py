"""Messages between controllers while the state service's data is rebuilt: tagged tuples in MessagePack.

A controller of a version without recovery can't decode them and answers with a message that is not of this module;
its peers detect the earlier version by that.

A history is one generation of the records in the state service; a rebuild after data loss opens the next one (see
`spurarch.storage.history`).
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spurarch.protocol.wire import Heartbeat


class StoredRecord(Struct, array_like=True):
    """A record in a copy of a history: its key, the revision of its last change, and its value as JSON."""

    key: str
    version: int
    value: bytes


class RevisionRequest(Struct, tag="revision?", array_like=True):
    """Requests a `RevisionAnswer`."""

    node: str


class RevisionAnswer(Struct, tag="revision", array_like=True):
    """The history that the sender uses, or used last.

    Attributes:
        node: Node of the sender.
        history: Name of the history; empty if there is none.
        number: Sequence number of the history.
        revision: Highest revision of the state service that the sender has seen.
    """

    node: str
    history: str
    number: int
    revision: int


class EvidenceRequest(Struct, tag="evidence?", array_like=True):
    """Requests the records of the receiver's copy of a history whose data was lost, from `position` on.

    The receiver answers with the history that it used last, even if that is not `history`. If it has not detected the
    loss yet, it verifies the history's marker at its next read.
    """

    node: str
    history: str
    position: int


class EvidencePage(Struct, tag="evidence", array_like=True):
    """A page of the sender's copy of a history whose data was lost.

    Attributes:
        node: Node of the sender.
        process_incarnation: Unique id of the sender's process.
        history: Name of the history that the sender used last; possibly not the requested one.
        closed: Whether the sender has stopped using the history. Until then the copy may change, and the page has no
            records.
        loaded: Whether the sender had read the records; if not, the copy has none.
        since: Revision after which the copy has missed no change.
        revision: Newest revision that the copy includes.
        records: Records of this page.
        position: Position of the next page; 0 after the last.
    """

    node: str
    process_incarnation: str
    history: str
    closed: bool
    loaded: bool
    since: int
    revision: int
    records: list[StoredRecord]
    position: int


class HeartbeatsRequest(Struct, tag="reports?", array_like=True):
    """Requests the collected heartbeats that carry the fencing token of `epoch`, from position `after` on."""

    node: str
    epoch: int
    after: int


class HeartbeatsPage(Struct, tag="reports", array_like=True):
    """A page of the collected heartbeats.

    Attributes:
        heartbeats: The newest heartbeat of each worker in this page.
        position: Position after this page, for the next request.
        highest_epoch: Highest epoch, other than that of the rebuild in progress, that the sender has seen in workers'
            fencing tokens, or in a copy of the records during a rebuild of its own.
    """

    heartbeats: list[Heartbeat]
    position: int
    highest_epoch: int


RecoveryMessage = RevisionRequest | RevisionAnswer | EvidenceRequest | EvidencePage | HeartbeatsRequest | HeartbeatsPage

encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(RecoveryMessage)


def decode(frame: bytes) -> RecoveryMessage | None:
    """Decodes a frame of a peer controller; None if it is no recovery message."""
    try:
        message: RecoveryMessage = _decoder.decode(frame)
        return message
    except msgspec.DecodeError:
        return None
