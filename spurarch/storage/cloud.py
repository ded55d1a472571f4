"""Client of the cloud: machine types and prices, scale out, scale in and the list of machines, rate-limited."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import curio
import msgspec

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.rate_limits import TokenBucket
from spurarch.transport.http import NoAnswerError
from spurarch.transport.network import Requests

log = logging.getLogger(__name__)

CALL_S = 5.0
LIST_PAGE = 500  # machines
RATE_SHARE = 0.95  # of the published rate, used by all controllers together
INITIAL_SHARE_ALONE, INITIAL_SHARE = 0.9, 0.6  # of the published rate, until the first `set_share`


class CloudError(SpurarchError):
    """A call was not served; with `outcome_unknown`, it may have been executed, or may be later."""

    def __init__(self, reason: str, outcome_unknown: bool = False) -> None:
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown


class NoCapacityError(SpurarchError):
    """The cloud has no machine of the requested type now."""


class Cloud:
    """The cloud, as one controller sees it."""

    def __init__(self, client: Requests, rps: float, controllers: int) -> None:
        self._client, self._rps = client, rps
        self._bucket = TokenBucket(rps * (INITIAL_SHARE if controllers > 1 else INITIAL_SHARE_ALONE), max(1.0, rps))

    def set_share(self, share: float) -> None:
        """Sets this controller's share of the published rate."""
        rate = RATE_SHARE * self._rps * share
        self._bucket.set_rate(time.monotonic(), rate, max(1.0, 2 * rate))

    async def _call(
        self, method: str, target: str, body: bytes | None, still_allowed: Callable[[], bool] = lambda: True
    ) -> bytes:
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
        return answer

    async def types(self) -> list[wire.MachineType]:
        """Reads machine types and current prices. Raises `CloudError`."""
        answer = await self._call("GET", wire.PATH_TYPES, None)
        return _decode(wire.types_decoder, answer).types

    async def machines(self) -> list[wire.ListedMachine]:
        """Reads the list of all machines, which lags behind requests. Raises `CloudError`."""
        machines: list[wire.ListedMachine] = []
        after: str | None = None
        while True:
            answer = await self._call("GET", f"{wire.PATH_MACHINES}?{wire.query(after=after, limit=LIST_PAGE)}", None)
            page = _decode(wire.list_decoder, answer)
            machines += page.machines
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].id

    async def scale_out(self, request: wire.ScaleOutRequest, still_allowed: Callable[[], bool]) -> list[str]:
        """Requests machines and returns their names; repeating the same request is idempotent.

        `still_allowed` is called at the last moment. Raises `CloudError`, `NoCapacityError`.
        """
        answer = await self._call("POST", wire.PATH_MACHINES, wire.encode(request), still_allowed)
        return _decode(wire.names_decoder, answer).machines

    async def release(self, names: list[str], still_allowed: Callable[[], bool]) -> None:
        """Releases up to 100 machines, which are gone unless this raises `CloudError`.

        For `still_allowed` see `scale_out`.
        """
        await self._call("POST", wire.PATH_RELEASE, wire.encode(wire.MachineNames(names)), still_allowed)


def _decode(decoder: msgspec.json.Decoder[wire.T], answer: bytes) -> wire.T:
    try:
        return decoder.decode(answer)
    except msgspec.DecodeError as err:
        raise CloudError(f"unreadable answer: {err}", True) from None
