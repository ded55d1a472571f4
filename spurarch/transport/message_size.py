"""Refuses to send a message that its receiver would refuse for its size.

Whoever builds a message keeps it within its limit. One that exceeds the limit shows a fault there, so it is logged.
"""

from __future__ import annotations

import itertools
import logging

from spurarch.errors import SpurarchError

log = logging.getLogger(__name__)

_numbers = itertools.count(1)  # of the messages that this process refused to send


class MessageTooLongError(SpurarchError):
    """A message exceeds the size that its receiver accepts; no part of it was sent."""


def check_size(message: bytes, max_bytes: int, kind: str, target: str) -> None:
    """Raises MessageTooLongError, and logs and counts the message, if it has more than `max_bytes` bytes.

    `kind` and `target` say in the log what the message is and to whom, or in response to what, it would be sent.
    """
    if len(message) <= max_bytes:
        return
    log.error(
        "message too long count=%d kind=%s target=%s bytes=%d bytes_allowed=%d",
        next(_numbers),
        kind,
        target,
        len(message),
        max_bytes,
    )
    raise MessageTooLongError(f"{kind} {target} has {len(message)} bytes, of {max_bytes} that are allowed")
