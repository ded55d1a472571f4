"""Messages between controllers: tagged tuples in MessagePack.

A lost message does no harm: its content is stored in the state service or is sent again.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct


class StateChanged(Struct, tag="wake", array_like=True):
    """Notifies the receiver of a change in the state service, which it then reads.

    Also sent as the acknowledgement of messages that have no answer of their own.
    """


class Ping(Struct, tag="ping", array_like=True):
    """Requests a `Pong`. Sent by a controller that can't read the state service."""

    node: str


class Pong(Struct, tag="pong", array_like=True):
    """Answer to a `Ping`: the cancelled jobs and the partition owners in the sender's copy of the records.

    Attributes:
        node: Node of the sender.
        process_incarnation: Unique id of the sender's process.
        store_reachable: Whether the sender could read the state service when it received the ping. If so, the lists
            are at least as recent as the ping.
        cancelled_jobs: Jobs that are cancelled by their records or were reported as cancelled by peers.
        partitions: Zone, owner's node and epoch of each partition.
        copy_age_s: Age of the copy in seconds, used if the state service is not reachable. The lists are complete up
            to that time before the answer and include every cancellation that the sender's own process has confirmed
            since. Negative if the lists prove nothing, since the sender has never read the state service or the records
            are being rebuilt. Earlier versions leave out this field and then send empty lists.
        uptime_s: Seconds since the sender's process started.
    """

    node: str
    process_incarnation: str
    store_reachable: bool
    cancelled_jobs: list[str]
    partitions: list[tuple[str, str, int]]
    copy_age_s: float = -1.0
    uptime_s: float = 0.0


class JobsCancelled(Struct, tag="cancelled", array_like=True):
    """Jobs whose cancellation is committed. Sent before the cancellation is confirmed to the user."""

    jobs: list[str]


class Load(Struct, tag="load", array_like=True):
    """The sender's load, by which controllers lend each other unused shares of their write rates.

    It also tells partition owners which workers can't reach their owner, and which machines the sender has released.

    Attributes:
        node: Node of the sender.
        writes: Recent changes per second that the sender wrote to the state service.
        backlogged: Whether more changes are queued at the sender.
        unregistered_machines: By zone, the number of workers that recently sent heartbeats to the sender although
            another controller owns their zone.
        released_machines: Machines that the sender released and whose records still exist.
        throttled_writes: Transactions of the sender that the state service refused by its rate limit since the process
            started. Earlier versions neither send nor read this field.
    """

    node: str
    writes: float
    backlogged: bool
    unregistered_machines: list[tuple[str, int]] = []
    released_machines: list[str] = []
    throttled_writes: int = 0


PeerMessage = StateChanged | Ping | Pong | JobsCancelled | Load

encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def decode(frame: bytes) -> PeerMessage | None:
    """Decodes a frame of a peer controller; None if it is malformed or of an unknown type."""
    try:
        message: PeerMessage = _decoder.decode(frame)
        return message
    except msgspec.DecodeError:
        return None
