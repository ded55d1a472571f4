"""Client of the cloud: types and prices, rentals, returns and the list, under the published rate."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import curio
import msgspec

from spurarch.protocol import wire
from spurarch.storage.rate_limits import TokenBucket
from spurarch.transport.http import NoAnswerError
from spurarch.transport.network import Requests

log = logging.getLogger(__name__)

CALL_S = 5.0
RATE_SHARE = 0.95


class CloudError(Exception):
    """A call was not served. `unsure` says that it may have been, or may be later."""

    def __init__(self, reason: str, outcome_unknown: bool = False) -> None:
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown


class NoCapacityError(Exception):
    """The cloud has no such machine now."""


class Cloud:
    """The cloud, as one controller sees it."""

    def __init__(self, client: Requests, rps: float, controllers: int) -> None:
        self._client, self._rps = client, rps
        self._bucket = TokenBucket(rps * 0.6 if controllers > 1 else rps * 0.9, max(1.0, rps))

    def set_share(self, share: float) -> None:
        """This controller's share of the published rate."""
        rate = RATE_SHARE * self._rps * share
        self._bucket.set_rate(time.monotonic(), rate, max(1.0, 2 * rate))

    async def _call(
        self, method: str, target: str, body: bytes | None, still_allowed: Callable[[], bool] = lambda: True
    ) -> tuple[int, bytes]:
        while delay := self._bucket.delay(time.monotonic(), 1):
            await curio.sleep(delay)
        if not still_allowed():
            raise CloudError("no longer wanted")
        try:
            status, answer = await self._client.request(method, target, body, CALL_S)
        except NoAnswerError as err:
            raise CloudError(str(err), err.sent) from None
        if status == 429:
            self._bucket.penalize(time.monotonic())
        if status == 503 and b"capacity" in answer:
            raise NoCapacityError
        if status != 200:
            raise CloudError(f"status {status}")
        return status, answer

    async def types(self) -> list[wire.MachineType]:
        """Types and current prices."""
        _, answer = await self._call("GET", wire.PATH_TYPES, None)
        return _decode(wire.types_decoder, answer).types

    async def machines(self) -> list[wire.ListedMachine]:
        """All machines on the list, which lags."""
        out: list[wire.ListedMachine] = []
        after: str | None = None
        while True:
            _, answer = await self._call("GET", f"{wire.PATH_MACHINES}?{wire.query(after=after, limit=500)}", None)
            page = _decode(wire.list_decoder, answer)
            out += page.machines
            if not page.more or not page.machines:
                return out
            after = page.machines[-1].id

    async def scale_out(self, request: wire.ScaleOutRequest, still_allowed: Callable[[], bool]) -> list[str]:
        """Rents machines; the same request may be repeated without renting twice.

        `still` is asked at the last moment whether the caller may do this.
        """
        _, answer = await self._call("POST", wire.PATH_MACHINES, wire.encode(request), still_allowed)
        return _decode(wire.names_decoder, answer).machines

    async def release(self, names: list[str], still_allowed: Callable[[], bool]) -> None:
        """Returns up to 100 machines; they are gone when this ends without an error. `still` as in `rent`."""
        await self._call("POST", wire.PATH_RELEASE, wire.encode(wire.MachineNames(names)), still_allowed)


def _decode(decoder: msgspec.json.Decoder[wire.T], answer: bytes) -> wire.T:
    try:
        return decoder.decode(answer)
    except msgspec.DecodeError as err:
        raise CloudError(f"unreadable answer: {err}", True) from None
