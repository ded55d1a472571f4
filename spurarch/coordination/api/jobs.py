"""The users' requests. Answers are given at once; what can't be decided says when to come back."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Awaitable, Callable

import curio
import msgspec

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import gangs_supported
from spurarch.protocol import wire
from spurarch.settings import Deployment
from spurarch.storage import records
from spurarch.storage.errors import StoreUnavailableError
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import JobRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionStatus, Write
from spurarch.transport.http import Response

log = logging.getLogger(__name__)

RETRY_S = 1
UPGRADE_RETRY_S = 5
ARCHIVED_KEPT = 20_000
UNRESOLVED_RETRY_S = 30  # an operator has to settle what is in doubt
GIVE_UP_S = 2.5
SYNC_S = 1.2
MOST_WAIT_S = 2.0
ARCHIVE_WAIT_S, ARCHIVE_LOOK_S = 1.2, 0.02  # for the archive, in installations that answer after it

RECORD_MARGIN_BYTES = 64  # the state service may count a little more than we send


def refusal(status: int, message: str, retry_s: int = RETRY_S) -> Response:
    """An error as JSON; one that passes says when to come back."""
    headers = [("Retry-After", str(retry_s))] if status in (429, 503) else []
    return Response(status, wire.encode(wire.ErrorBody(message)), headers)


def _state(status: int, job_id: str, state: str, done: int | None = None, running: int | None = None) -> Response:
    return Response(status, wire.encode(wire.JobState(job_id, state, done, running)))


class JobApi:
    """Submissions, polls and cancels."""

    def __init__(
        self,
        replica: Replica,
        view: FleetView,
        deployment: Deployment,
        nodes: list[str],
        notify_peers: Callable[[], Awaitable[None]],
        notify_cancelled: Callable[[str], Awaitable[None]],
    ) -> None:
        self.replica, self.view, self._notify_peers, self._notify_cancelled = (
            replica,
            view,
            notify_peers,
            notify_cancelled,
        )
        self._teams = {team.name: team for team in deployment.teams}
        self._zones = set(deployment.zones)
        self._nodes = nodes
        self._record_bytes = deployment.state.value_bytes - RECORD_MARGIN_BYTES
        self._pending = 0
        self._archived: dict[str, None] = {}  # jobs whose final standing is known to be archived

    async def submit(self, body: bytes) -> Response:
        """POST of a job."""
        try:
            spec = wire.submission_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            return refusal(400, str(err))
        if not wire.JOB_ID_PATTERN.fullmatch(spec.id):
            return refusal(400, "ref: not a job id")
        if not _finite(spec):
            return refusal(400, "an amount is out of range")
        wait_s = self._pending / self.replica.store.rates.write_rate
        if wait_s > MOST_WAIT_S:
            # The line in front of the state service is longer than users wait: better to come back when it is short.
            return refusal(503, "too many submissions at once", math.ceil(wait_s))
        self._pending += 1
        try:
            return await self._accept(spec)
        except StoreUnavailableError:
            return refusal(503, "the state service can't be reached")
        finally:
            self._pending -= 1

    async def _accept(self, spec: wire.Submission) -> Response:
        if not self.replica.loaded:
            return refusal(503, "starting")
        state = self.replica.state
        history = self.replica.store.history
        if spec.id in state.jobs or spec.id in state.finals or (history is not None and history.record.packed):
            # Final standings of earlier histories are no keys of their own that the transaction could be made to guard.
            known = await self._known_state(spec.id)
            if known is not None:
                return known
        if spec.id in state.jobs or spec.id in state.finals:
            return await self._known_state(spec.id) or refusal(503, "the state service can't be reached")
        infeasible = self._validate_feasible(spec)
        if infeasible is not None:
            # A job that was accepted once is never refused, whatever has changed since.
            return await self._known_state(spec.id) or infeasible
        guards: list[str] = []
        if spec.kind == wire.GANG:
            if not gangs_supported(state.members):
                return refusal(503, "gangs are taken once all controllers have been upgraded", UPGRADE_RETRY_S)
            # A controller of an earlier version may join between this check and the transaction.
            guards = [records.MEMBER + node for node in self._nodes]
        result = await self.replica.commit(
            [Write(records.JOB + spec.id, JobRecord(spec, time.time()))],
            guards,
            absent=[records.FINAL + spec.id],
            give_up_s=GIVE_UP_S,
            urgency=Urgency.USERS,
        )
        if result.status is TransactionStatus.COMMITTED:
            await self._notify_peers()
            return await self._once_archived(result.revision, _state(201, spec.id, wire.QUEUED))
        if result.status is TransactionStatus.CONFLICT:
            return await self._known_state(spec.id) or refusal(503, "not settled yet")
        return refusal(503, "the state service can't be reached")

    def _validate_feasible(self, spec: wire.Submission) -> Response | None:
        """Why the job can never run, or 503 while nobody can tell."""
        team = self._teams.get(spec.team)
        if team is None:
            return refusal(422, "crew: unknown team")
        count = 1 if spec.kind == wire.BATCH else spec.tasks
        if 0 < team.quota_cpus < spec.cpus * count - 1e-6 or 0 < team.quota_gpus < spec.gpus * count - 1e-6:
            return refusal(422, "the job needs more than its team's limit")
        if spec.kind == wire.GANG and spec.spread and spec.tasks > 1:
            return refusal(422, "spread: the tasks of a gang are in one zone")
        if spec.zone is not None and spec.zone not in self._zones:
            return refusal(422, "district: unknown zone")
        if len(wire.encode(JobRecord(spec, time.time(), True, time.time()))) > self._record_bytes:
            return refusal(422, "the job's description is larger than a record may be")
        if not self.view.machine_types:
            return refusal(503, "machine types are not known yet")
        for offer in self.view.machine_types.values():
            if spec.types is not None and offer.name not in spec.types:
                continue
            if spec.zone is not None and spec.zone not in offer.zones:
                continue
            if spec.cpus <= offer.cpus and spec.gpus <= offer.gpus and spec.memory_gb <= offer.memory_gb:
                return None
        return refusal(422, "a task fits no allowed machine type")

    async def get(self, job_id: str) -> Response:
        """GET of a job."""
        if not wire.JOB_ID_PATTERN.fullmatch(job_id):
            return refusal(404, "no such job")
        try:
            return await self._known_state(job_id) or self._not_found()
        except StoreUnavailableError:
            return refusal(503, "the state service can't be reached")

    async def cancel(self, job_id: str) -> Response:
        """POST of a cancellation."""
        if not wire.JOB_ID_PATTERN.fullmatch(job_id):
            return refusal(404, "no such job")
        try:
            for _ in range(4):
                known = await self._known_state(job_id)
                if known is None:
                    return self._not_found()
                record = self.replica.state.jobs.get(job_id)
                if record is None or record.cancelled:
                    return known
                result = await self.replica.commit(
                    [Write(records.JOB + job_id, JobRecord(record.spec, record.submitted_at, True, time.time()))],
                    give_up_s=GIVE_UP_S,
                    urgency=Urgency.USERS,
                )
                if result.status is TransactionStatus.COMMITTED:
                    await self._notify_cancelled(job_id)
                    return await self._once_archived(result.revision, _state(200, job_id, wire.CANCELLED))
                if result.status is not TransactionStatus.CONFLICT:
                    break
            return refusal(503, "not settled yet")
        except StoreUnavailableError:
            return refusal(503, "the state service can't be reached")

    def _not_found(self) -> Response:
        """There is no record of the job; that it was never accepted can't be told while records may be missing."""
        history = self.replica.store.history
        if history is not None and history.record.uncertain:
            return refusal(503, "not known since the records were rebuilt", UNRESOLVED_RETRY_S)
        return refusal(404, "no such job")

    async def _known_state(self, job_id: str) -> Response | None:
        """The job's state, no older than anything that was told elsewhere before; None if it was never accepted."""
        state = self.replica.state
        final = state.finals.get(job_id)
        if final is None:
            if not self.replica.loaded or not await self.replica.sync(SYNC_S):
                raise StoreUnavailableError("no fresh copy")
            record = state.jobs.get(job_id)
            if record is not None:
                return await self._once_archived(state.version(records.JOB + job_id), self._live(job_id, record))
            final = await self.replica.read_final(job_id)
        if final is None:
            return None
        if final.state == records.UNRESOLVED:
            return refusal(503, "in doubt since the records were rebuilt", UNRESOLVED_RETRY_S)
        done = final.tasks if final.state == wire.DONE else None
        response = _state(200, job_id, final.state, done, 0 if done is not None else None)
        return await self._once_archived(None, response, job_id)

    async def _once_archived(self, revision: int | None, response: Response, final_job: str | None = None) -> Response:
        """The answer, once the archive holds what it says (None: all that is on record now); 503 if that takes too long.

        What a user was told must not be forgotten, whatever is lost: with `archived_answers`, the archive alone is enough
        for that. A job that is `over` is waited for once.
        """
        history = self.replica.store.history
        if history is None or not history.record.archived_answers or final_job in self._archived:
            return response
        deadline = time.monotonic() + ARCHIVE_WAIT_S
        revision = history.recorded if revision is None else revision
        while history.archived < revision:
            if time.monotonic() > deadline:
                return refusal(503, "recorded, and not archived yet")
            await curio.sleep(ARCHIVE_LOOK_S)
        if final_job is not None:
            self._archived[final_job] = None
            if len(self._archived) > ARCHIVED_KEPT:
                del self._archived[next(iter(self._archived))]
        return response

    def _live(self, job_id: str, record: JobRecord) -> Response:
        if record.cancelled:
            return _state(200, job_id, wire.CANCELLED)
        self.view.update()
        job = self.view.jobs.get(
            job_id
        )  # counted by increments: jobs are many, and each is asked for every few seconds
        done, running = (job.ended, job.assigned) if job is not None else (0, 0)
        return _state(200, job_id, wire.RUNNING if running else wire.QUEUED, done, running)


def _finite(spec: wire.Submission) -> bool:
    amounts = (
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.estimate_s,
        spec.checkpoint_interval_s,
        spec.checkpoint_duration_s,
    )
    return all(0 <= amount <= 1e9 for amount in amounts)
