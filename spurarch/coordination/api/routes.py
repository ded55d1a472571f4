"""Routes HTTP requests of users, workers and the platform to their handlers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from spurarch.coordination.api.jobs import JobApi, api_error
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.owner import PartitionOwner
from spurarch.protocol import wire
from spurarch.storage.replica import Replica
from spurarch.transport.http import Request, Response
from spurarch.transport.http_messages import MAX_BODY_BYTES
from spurarch.transport.message_size import MessageTooLongError, check_size

if TYPE_CHECKING:
    from spurarch.coordination.extension import Recovery

REQUEST_TIMEOUT_S = 5.0  # a client has timed out by then, and may have received a newer state from another controller
HEALTHY_COPY_AGE_S = 3.0


class RequestRouter:
    """Handles all requests of the public HTTP protocol."""

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
        """Returns the response to a request, or 503 if handling it took more than `REQUEST_TIMEOUT_S`.

        Bodies of responses are a single line, so they have the limit of a line.
        """
        received_at = time.monotonic()
        response = await self._route(request)
        if time.monotonic() - received_at > REQUEST_TIMEOUT_S:
            return api_error(503, "too late to answer")
        try:
            check_size(response.body, MAX_BODY_BYTES, "response", request.target)
        except MessageTooLongError:
            return api_error(500, "the response is too long")
        return response

    async def _route(self, request: Request) -> Response:
        path = request.target.split("?", 1)[0]
        if path == wire.PATH_HEARTBEAT:
            return await self._heartbeat(request) if request.method == "POST" else api_error(405, "use POST")
        if path == wire.PATH_HEALTH:
            return self._health() if request.method == "GET" else api_error(405, "use GET")
        if path == wire.PATH_JOBS:
            return await self._job_api.submit(request.body) if request.method == "POST" else api_error(405, "use POST")
        if path.startswith(wire.PATH_JOBS + "/"):
            job_id, _, action = path[len(wire.PATH_JOBS) + 1 :].partition("/")
            if not action:
                return await self._job_api.get(job_id) if request.method == "GET" else api_error(405, "use GET")
            if action == wire.PATH_CANCEL:
                return await self._job_api.cancel(job_id) if request.method == "POST" else api_error(405, "use POST")
        return api_error(404, "no such path")

    async def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = wire.heartbeat_decoder.decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            return api_error(400, str(err))
        if self._recovery is not None:
            self._recovery.observe(heartbeat)
            if self._recovery.records_untrusted:
                return await self._recovery.on_heartbeat(heartbeat)
        return await self._owner.on_heartbeat(heartbeat, time.monotonic())

    def _health(self) -> Response:
        """Returns 200, or 503 if the records are not loaded yet or only peers reach the state service.

        If no peer reaches the state service either, no other controller could serve users better.
        """
        now = time.monotonic()
        if not self._replica.loaded:
            return api_error(503, "starting")
        copy_is_stale = now - self._replica.synced_at > HEALTHY_COPY_AGE_S
        if copy_is_stale and now - self._reachability.peer_reached_store_at < HEALTHY_COPY_AGE_S:
            return api_error(503, "cut from the state service")
        return Response(200)
