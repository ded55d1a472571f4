"""The HTTP API for users: submission, polling and cancellation of jobs.

Every request gets a prompt response; if the result can't be determined yet, it is 503 with a `Retry-After` header.
"""

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
from spurarch.settings import Deployment, Team
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
UNRESOLVED_RETRY_S = 30  # until an operator has resolved the job's outcome
COMMIT_TIMEOUT_S = 2.5
SYNC_TIMEOUT_S = 1.2
CANCEL_ATTEMPTS = 4
MAX_QUEUE_WAIT_S = 2.0  # expected wait for the state service's rate limit above which a submission gets 503
ARCHIVE_TIMEOUT_S, ARCHIVE_POLL_S = 1.2, 0.02  # only if responses have to wait for the archive
MAX_ARCHIVED_JOBS = 20_000
RECORD_MARGIN_BYTES = 64  # the state service may count slightly more bytes per value than were sent
QUOTA_TOLERANCE = 1e-6  # in CPUs or GPUs; sums of floating-point fractions are inexact
MAX_AMOUNT = 1e9
STORE_UNREACHABLE = "the state service can't be reached"


def api_error(status: int, message: str, retry_s: int = RETRY_S) -> Response:
    """Returns an error with a JSON body; for 429 and 503, `Retry-After` is `retry_s` seconds."""
    headers = [("Retry-After", str(retry_s))] if status in (429, 503) else []
    return Response(status, wire.encode(wire.ErrorBody(message)), headers)


def _job_state(status: int, job_id: str, state: str, done: int | None = None, running: int | None = None) -> Response:
    return Response(status, wire.encode(wire.JobState(job_id, state, done, running)))


class FeasibilityCheck:
    """Rejects jobs that this deployment can never run."""

    def __init__(self, view: FleetView, deployment: Deployment) -> None:
        self._view = view
        self._teams = {team.name: team for team in deployment.teams}
        self._zones = set(deployment.zones)
        self._record_bytes = deployment.state.value_bytes - RECORD_MARGIN_BYTES

    def check(self, spec: wire.Submission) -> Response | None:
        """Returns None if the job can ever run here, else the error: 422, or 503 while machine types are not known."""
        team = self._teams.get(spec.team)
        if team is None:
            return api_error(422, "crew: unknown team")
        if _exceeds_quota(spec, team):
            return api_error(422, "the job needs more than its team's limit")
        if spec.kind == wire.GANG and spec.spread and spec.tasks > 1:
            return api_error(422, "spread: the tasks of a gang are in one zone")
        if spec.zone is not None and spec.zone not in self._zones:
            return api_error(422, "district: unknown zone")
        if len(wire.encode(JobRecord(spec, time.time(), True, time.time()))) > self._record_bytes:
            return api_error(422, "the job's description is larger than a record may be")
        if not self._view.machine_types:
            return api_error(503, "machine types are not known yet")
        if any(_task_fits(spec, machine_type) for machine_type in self._view.machine_types.values()):
            return None
        return api_error(422, "a task fits no allowed machine type")


def _exceeds_quota(spec: wire.Submission, team: Team) -> bool:
    """Returns whether the tasks that have to run together need more than the team's quota; 0 means no quota."""
    tasks = 1 if spec.kind == wire.BATCH else spec.tasks
    return (
        0 < team.quota_cpus < spec.cpus * tasks - QUOTA_TOLERANCE
        or 0 < team.quota_gpus < spec.gpus * tasks - QUOTA_TOLERANCE
    )


def _task_fits(spec: wire.Submission, machine_type: wire.MachineType) -> bool:
    """Returns whether the job allows the machine type, its zone offers it, and one task fits on such a machine."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return (
        spec.cpus <= machine_type.cpus and spec.gpus <= machine_type.gpus and spec.memory_gb <= machine_type.memory_gb
    )


class ArchiveGate:
    """Delays responses until the archive holds the job state that they report, if `responses_await_archive` is set.

    With this setting, a state that was reported to a user can be recovered from the archive alone.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._archived_jobs: dict[str, None] = {}  # jobs whose final state is archived, oldest first

    async def once_archived(self, revision: int | None, response: Response, final_job: str | None = None) -> Response:
        """Returns `response` when the archive holds `revision`, or 503 after `ARCHIVE_TIMEOUT_S`.

        If `revision` is None, waits for the newest archivable change that this controller has seen. `final_job` is the
        id of a job whose final state the response reports; after one successful wait for that job, later responses
        about it are not delayed.
        """
        history = self._replica.store.history
        if history is None or not history.record.responses_await_archive or final_job in self._archived_jobs:
            return response
        deadline = time.monotonic() + ARCHIVE_TIMEOUT_S
        revision = history.recorded_revision if revision is None else revision
        while history.archived_revision < revision:
            if time.monotonic() > deadline:
                return api_error(503, "recorded, and not archived yet")
            await curio.sleep(ARCHIVE_POLL_S)
        if final_job is not None:
            self._archived_jobs[final_job] = None
            if len(self._archived_jobs) > MAX_ARCHIVED_JOBS:
                del self._archived_jobs[next(iter(self._archived_jobs))]
        return response


class JobApi:
    """Handles submissions, polls and cancellations of jobs.

    `nodes` are the names of all controllers, this one first. `notify_peers` notifies the peers of changed records,
    `notify_cancelled` of a cancellation before it is confirmed to its user.
    """

    def __init__(
        self,
        replica: Replica,
        view: FleetView,
        deployment: Deployment,
        nodes: list[str],
        notify_peers: Callable[[], Awaitable[None]],
        notify_cancelled: Callable[[str], Awaitable[None]],
    ) -> None:
        self._replica, self._view, self._nodes = replica, view, nodes
        self._notify_peers, self._notify_cancelled = notify_peers, notify_cancelled
        self._feasibility = FeasibilityCheck(view, deployment)
        self._archive = ArchiveGate(replica)
        self._pending_submissions = 0

    async def submit(self, body: bytes) -> Response:
        """Handles the submission of a job (POST)."""
        try:
            spec = wire.submission_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            return api_error(400, str(err))
        if not wire.JOB_ID_PATTERN.fullmatch(spec.id):
            return api_error(400, "ref: not a job id")
        if not _amounts_in_range(spec):
            return api_error(400, "an amount is out of range")
        wait_s = self._pending_submissions / self._replica.store.rates.write_rate
        if wait_s > MAX_QUEUE_WAIT_S:
            # The submission would wait for the rate limit of the state service for longer than users wait for a
            # response, so the user has to retry when the queue is shorter.
            return api_error(503, "too many submissions at once", math.ceil(wait_s))
        self._pending_submissions += 1
        try:
            return await self._accept(spec)
        except StoreUnavailableError:
            return api_error(503, STORE_UNREACHABLE)
        finally:
            self._pending_submissions -= 1

    async def _accept(self, spec: wire.Submission) -> Response:
        if not self._replica.loaded:
            return api_error(503, "starting")
        state = self._replica.state
        history = self._replica.store.history
        if (
            spec.id in state.jobs
            or spec.id in state.finals
            or (history is not None and history.record.packed_value_count)
        ):
            # Final states of earlier histories have no keys of their own that the transaction could guard.
            response = await self._state_response(spec.id)
            if response is not None:
                return response
        if spec.id in state.jobs or spec.id in state.finals:
            return await self._state_response(spec.id) or api_error(503, STORE_UNREACHABLE)
        rejection = self._feasibility.check(spec)
        if rejection is not None:
            # A job that was accepted earlier is not rejected, even if quotas or machine types have changed since.
            return await self._state_response(spec.id) or rejection
        guards: list[str] = []
        if spec.kind == wire.GANG:
            if not gangs_supported(state.members):
                return api_error(503, "gangs are taken once all controllers have been upgraded", UPGRADE_RETRY_S)
            # The guards fail if a controller of an earlier version joins between this check and the transaction.
            guards = [records.MEMBER + node for node in self._nodes]
        result = await self._replica.commit(
            [Write(records.JOB + spec.id, JobRecord(spec, time.time()))],
            guards,
            absent_keys=[records.FINAL + spec.id],
            timeout_s=COMMIT_TIMEOUT_S,
            urgency=Urgency.USERS,
        )
        if result.status is TransactionStatus.COMMITTED:
            await self._notify_peers()
            return await self._archive.once_archived(result.revision, _job_state(201, spec.id, wire.QUEUED))
        if result.status is TransactionStatus.CONFLICT:
            return await self._state_response(spec.id) or api_error(503, "not settled yet")
        return api_error(503, STORE_UNREACHABLE)

    async def get(self, job_id: str) -> Response:
        """Handles a poll of a job (GET)."""
        if not wire.JOB_ID_PATTERN.fullmatch(job_id):
            return api_error(404, "no such job")
        try:
            return await self._state_response(job_id) or self._not_found()
        except StoreUnavailableError:
            return api_error(503, STORE_UNREACHABLE)

    async def cancel(self, job_id: str) -> Response:
        """Handles the cancellation of a job (POST)."""
        if not wire.JOB_ID_PATTERN.fullmatch(job_id):
            return api_error(404, "no such job")
        try:
            for _ in range(CANCEL_ATTEMPTS):
                response = await self._state_response(job_id)
                if response is None:
                    return self._not_found()
                record = self._replica.state.jobs.get(job_id)
                if record is None or record.cancelled:
                    return response
                result = await self._replica.commit(
                    [Write(records.JOB + job_id, JobRecord(record.spec, record.submitted_at, True, time.time()))],
                    timeout_s=COMMIT_TIMEOUT_S,
                    urgency=Urgency.USERS,
                )
                if result.status is TransactionStatus.COMMITTED:
                    await self._notify_cancelled(job_id)
                    return await self._archive.once_archived(result.revision, _job_state(200, job_id, wire.CANCELLED))
                if result.status is not TransactionStatus.CONFLICT:
                    break
            return api_error(503, "not settled yet")
        except StoreUnavailableError:
            return api_error(503, STORE_UNREACHABLE)

    def _not_found(self) -> Response:
        """Returns the response for a job without a record: 404, or 503 while records of jobs may be missing."""
        history = self._replica.store.history
        if history is not None and history.record.jobs_may_be_missing:
            return api_error(503, "not known since the records were rebuilt", UNRESOLVED_RETRY_S)
        return api_error(404, "no such job")

    async def _state_response(self, job_id: str) -> Response | None:
        """Returns the job's state, at least as new as any reported before by any controller; None if it has no record.

        The response is 503 if the job's outcome is unresolved, or the archive does not hold the state in time. Raises
        `StoreUnavailableError`.
        """
        state = self._replica.state
        final = state.finals.get(job_id)
        if final is None:
            if not self._replica.loaded or not await self._replica.sync(SYNC_TIMEOUT_S):
                raise StoreUnavailableError("the local copy of the records can't be brought up to date")
            record = state.jobs.get(job_id)
            if record is not None:
                return await self._archive.once_archived(
                    state.version(records.JOB + job_id), self._live_state(job_id, record)
                )
            final = await self._replica.read_final(job_id)
        if final is None:
            return None
        if final.state == records.UNRESOLVED:
            return api_error(503, "in doubt since the records were rebuilt", UNRESOLVED_RETRY_S)
        done = final.tasks if final.state == wire.DONE else None
        response = _job_state(200, job_id, final.state, done, 0 if done is not None else None)
        return await self._archive.once_archived(None, response, job_id)

    def _live_state(self, job_id: str, record: JobRecord) -> Response:
        if record.cancelled:
            return _job_state(200, job_id, wire.CANCELLED)
        self._view.update()
        job = self._view.jobs.get(job_id)  # not counted anew: there are many jobs, each polled every few seconds
        done, running = (job.ended, job.assigned) if job is not None else (0, 0)
        return _job_state(200, job_id, wire.RUNNING if running else wire.QUEUED, done, running)


def _amounts_in_range(spec: wire.Submission) -> bool:
    """Returns whether all amounts are between 0 and `MAX_AMOUNT`; false if one is NaN."""
    amounts = (
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.estimate_s,
        spec.checkpoint_interval_s,
        spec.checkpoint_duration_s,
    )
    return all(0 <= amount <= MAX_AMOUNT for amount in amounts)
