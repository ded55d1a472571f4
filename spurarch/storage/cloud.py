"""Rate-limited client of the cloud API: machine types and prices, the machine list, scale out and scale in."""

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
from spurarch.transport.network import RequestClient

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 5.0
MACHINES_PER_PAGE = 500
RATE_SHARE = 0.95  # part of the published rate that all controllers together use
# Parts of the published rate that a single controller, or one of several, uses until the first `set_share`.
INITIAL_SHARE_SINGLE, INITIAL_SHARE = 0.9, 0.6


class CloudError(SpurarchError):
    """A call failed.

    If `outcome_unknown` is set, the cloud may have executed the call or may still execute it.
    """

    def __init__(self, reason: str, outcome_unknown: bool = False) -> None:
        super().__init__(reason)
        self.outcome_unknown = outcome_unknown


class NoCapacityError(SpurarchError):
    """The cloud currently has no free machine of the requested type."""


class Cloud:
    """Client of the cloud API for one controller.

    `rps` is the published rate in requests per second, which holds for all `controllers` together.
    """

    def __init__(self, client: RequestClient, rps: float, controllers: int) -> None:
        self._client, self._published_rps = client, rps
        self._bucket = TokenBucket(rps * (INITIAL_SHARE if controllers > 1 else INITIAL_SHARE_SINGLE), max(1.0, rps))

    def set_share(self, share: float) -> None:
        """Sets this controller's share, between 0 and 1, of the rate that all controllers together use."""
        rate = RATE_SHARE * self._published_rps * share
        self._bucket.set_rate(time.monotonic(), rate, max(1.0, 2 * rate))

    async def _call(
        self, method: str, target: str, body: bytes | None, still_allowed: Callable[[], bool] = lambda: True
    ) -> bytes:
        while delay := self._bucket.delay(time.monotonic(), 1):
            await curio.sleep(delay)
        if not still_allowed():
            raise CloudError("call not sent: it was no longer permitted once the rate limit allowed it")
        try:
            status, response_body = await self._client.request(method, target, body, CALL_TIMEOUT_S)
        except NoAnswerError as err:
            raise CloudError(str(err), err.may_be_sent) from None
        if status == 429:
            self._bucket.penalize(time.monotonic())
        if status == 503 and b"capacity" in response_body:
            raise NoCapacityError
        if status != 200:
            raise CloudError(f"the cloud responded with status {status}")
        return response_body

    async def machine_types(self) -> list[wire.MachineType]:
        """Returns the machine types and their current prices. Raises `CloudError`."""
        response_body = await self._call("GET", wire.PATH_TYPES, None)
        return _decode(wire.types_decoder, response_body).types

    async def machines(self) -> list[wire.ListedMachine]:
        """Returns all machines as the cloud lists them; the list lags behind scale out and scale in.

        Raises `CloudError`.
        """
        machines: list[wire.ListedMachine] = []
        after: str | None = None
        while True:
            response_body = await self._call(
                "GET", f"{wire.PATH_MACHINES}?{wire.query(after=after, limit=MACHINES_PER_PAGE)}", None
            )
            page = _decode(wire.list_decoder, response_body)
            machines += page.machines
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].id

    async def scale_out(self, request: wire.ScaleOutRequest, still_allowed: Callable[[], bool]) -> list[str]:
        """Requests machines and returns their names; sending the same request again is idempotent.

        `still_allowed` is checked after the wait for the rate limit, immediately before the request is sent; if it
        returns false, nothing is sent and `CloudError` is raised. Raises `CloudError` or `NoCapacityError`.
        """
        response_body = await self._call("POST", wire.PATH_MACHINES, wire.encode(request), still_allowed)
        return _decode(wire.names_decoder, response_body).machines

    async def release(self, names: list[str], still_allowed: Callable[[], bool]) -> None:
        """Releases up to 100 machines; if this returns, they no longer run.

        For `still_allowed` see `scale_out`. Raises `CloudError` or `NoCapacityError`.
        """
        await self._call("POST", wire.PATH_RELEASE, wire.encode(wire.MachineNames(names)), still_allowed)


def _decode(decoder: msgspec.json.Decoder[wire.T], response_body: bytes) -> wire.T:
    try:
        return decoder.decode(response_body)
    except msgspec.DecodeError as err:
        raise CloudError(f"the cloud's response can't be decoded: {err}", True) from None
