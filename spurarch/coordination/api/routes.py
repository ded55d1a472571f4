"""Routes requests of users, workers and the platform to what answers them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from spurarch.coordination.api.jobs import JobApi, refusal
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.owner import PartitionOwner
from spurarch.protocol import wire
from spurarch.storage.replica import Replica
from spurarch.transport.http import Request, Response

if TYPE_CHECKING:
    from spurarch.coordination.extension import Recovery

REQUEST_TIMEOUT_S = 5.0  # users have gone by then, and may have been told more by another controller
HEALTHY_COPY_AGE_S = 3.0


class RequestRouter:
    """Answers every request of the published protocol."""

    def __init__(
        self,
        job_api: JobApi,
        owner: PartitionOwner,
        replica: Replica,
        reachability: StoreReachability,
        recovery: Recovery | None,
    ) -> None:
        self._job_api, self._owner, self._recovery = job_api, owner, recovery
        self._replica, self._reachability = replica, reachability

    async def handle(self, request: Request) -> Response:
        """Answers a request, unless this took so long that the answer is outdated."""
        started_at = time.monotonic()
        response = await self._route(request)
        if time.monotonic() - started_at > REQUEST_TIMEOUT_S:
            return refusal(503, "too late to answer")
        return response

    async def _route(self, request: Request) -> Response:
        path = request.target.split("?", 1)[0]
        if path == wire.PATH_HEARTBEAT:
            return await self._heartbeat(request) if request.method == "POST" else refusal(405, "use POST")
        if path == wire.PATH_HEALTH:
            return self._health() if request.method == "GET" else refusal(405, "use GET")
        if path == wire.PATH_JOBS:
            return await self._job_api.submit(request.body) if request.method == "POST" else refusal(405, "use POST")
        if path.startswith(wire.PATH_JOBS + "/"):
            job_id, _, action = path[len(wire.PATH_JOBS) + 1 :].partition("/")
            if not action:
                return await self._job_api.get(job_id) if request.method == "GET" else refusal(405, "use GET")
            if action == wire.PATH_CANCEL:
                return await self._job_api.cancel(job_id) if request.method == "POST" else refusal(405, "use POST")
        return refusal(404, "no such path")

    async def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = wire.heartbeat_decoder.decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            return refusal(400, str(err))
        if self._recovery is not None:
            self._recovery.observe(heartbeat)
            if self._recovery.closed:
                return await self._recovery.on_heartbeat(heartbeat)
        return await self._owner.on_heartbeat(heartbeat, time.monotonic())

    def _health(self) -> Response:
        """Healthy, unless a peer could serve users and this controller can't."""
        now = time.monotonic()
        if not self._replica.loaded:
            return refusal(503, "starting")
        cut_off = now - self._replica.synced_at > HEALTHY_COPY_AGE_S
        if cut_off and now - self._reachability.peer_reached_store_at < HEALTHY_COPY_AGE_S:
            return refusal(503, "cut from the state service")
        return Response(200)
