"""Runs the parts that this controller holds: reports in, records and commands out, machines returned."""

from __future__ import annotations

import logging
import time
from random import Random

import curio
import msgspec

from spurarch.bookkeeping import records
from spurarch.bookkeeping.cloud import Cloud, CloudTrouble, NoCapacity
from spurarch.bookkeeping.records import AllotKey, MachineRecord, TaskEntry
from spurarch.bookkeeping.replica import Replica, Write
from spurarch.bookkeeping.store import Verdict
from spurarch.coordination.machine import Machine, Phase, Standing, TaskRun
from spurarch.coordination.membership import Membership
from spurarch.coordination.part import Part, live, merged
from spurarch.coordination.placing import Placer
from spurarch.coordination.reach import Reach
from spurarch.coordination.refining import refine
from spurarch.coordination.returning import cut_off, machines_to_return
from spurarch.coordination.view import FleetView
from spurarch.protocol import wire
from spurarch.settings import Deployment, Tuning
from spurarch.transport.http import NoAnswer
from spurarch.transport.network import Network, Requests

log = logging.getLogger(__name__)

TICK_S = 0.1
DIRECT_S = 4.0
CLIENTS_KEPT = 400
MOVE_S = 15.0
FRESH_S = 2.0


class Held:
    """A part and what its holder keeps beside it."""

    def __init__(self, part: Part) -> None:
        self.part = part
        self.placer = Placer()
        self.dirty: set[str] = set()
        self.next_search = 0.0
        self.cut = False


class Holder:
    """All parts of this controller."""

    def __init__(
        self, replica: Replica, membership: Membership, view: FleetView, cloud: Cloud, reach: Reach,
        deployment: Deployment, tuning: Tuning, network: Network,
    ) -> None:  # fmt: skip
        self._network = network
        self.replica, self.membership, self.view = replica, membership, view
        self.cloud, self.reach, self.deployment, self.tuning = cloud, reach, deployment, tuning
        self.held: dict[str, Held] = {}
        self._bell = replica.listen()
        self._dirty = replica.state.subscribe()
        self._clients: dict[str, Requests] = {}
        self._returning: set[str] = set()
        self._random = Random(tuning.seed)

    # Reports

    async def on_report(self, report: wire.Report, now: float) -> tuple[int, bytes]:
        """Answers a report: 200 as holder, 421 to steer the worker, 503 if nobody can tell."""
        heard = self.reach.parts.get(report.zone)
        part = self.replica.state.parts.get(report.zone)
        if heard is not None and (part is None or heard[1] > part.epoch) and heard[0] != self.membership.node:
            return 421, wire.encode(wire.Steer(heard[0]))  # a peer that reaches the store told us
        if self.membership.holds(report.zone) is None:
            if part is None or part.node == self.membership.node:
                return 503, wire.encode(wire.ErrorBody("the holder of this zone is not known yet"))
            return 421, wire.encode(wire.Steer(part.node))
        if not self.reach.entitled(self.replica.synced_at, now):
            return 503, wire.encode(wire.ErrorBody("cut from the state service for too long"))
        held = self._hold(report.zone, now)
        fresh = held.part.machines.get(report.machine)
        news = fresh is None or fresh.reported != len(report.tasks)
        commands = held.part.on_report(report, now)
        if commands is None:
            return 503, wire.encode(wire.ErrorBody("not entitled to this worker"))
        machine = held.part.machines[report.machine]
        if news or any(t.state == wire.EXITED for t in report.tasks):
            await self._bell.set()
        return 200, wire.encode(wire.ReportAnswer(held.part.token(machine), commands))

    def _hold(self, zone: str, now: float) -> Held:
        """The part in memory, begun anew with every epoch."""
        record = self.replica.state.parts[zone]
        held = self.held.get(zone)
        if held is None or held.part.epoch != record.epoch:
            held = Held(Part(zone, record.epoch, self.deployment.workers.lease_s, now, self._image_of))
            self.held[zone] = held
        return held

    def _image_of(self, job: str) -> int | None:
        known = self.view.jobs.get(job)
        return known.need.image if known is not None else None

    # Rounds

    async def run(self) -> None:
        """Rounds of the holder: on news, and every now and then."""
        while True:
            await curio.ignore_after(TICK_S, self._bell.wait)
            self._bell.clear()
            try:
                await self._round()
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("holder round failed")
            await curio.sleep(0.01)

    async def _round(self) -> None:
        if not self.replica.loaded:
            return
        now = time.monotonic()
        for zone in list(self.held):
            if self.membership.holds(zone) is None:
                log.info("part %s is no longer held here", zone)
                del self.held[zone]
        self._spread_news()
        for zone in self.deployment.zones:
            if self.membership.holds(zone) is not None:
                held = self._hold(zone, now)
                await self._prepare(held)
                if held.part.ready:
                    await self._work(held)

    def _spread_news(self) -> None:
        """Notes changed records for every part."""
        self.view.update()
        for held in self.held.values():
            held.dirty |= self._dirty
        self._dirty.clear()

    def _take_news(self, held: Held, now: float) -> None:
        held.part.take_records(self.replica.state, held.dirty, now)
        held.dirty.clear()

    async def _prepare(self, held: Held) -> None:
        """Takes records in; a part is ready once a copy read after its claim is complete."""
        part, now = held.part, time.monotonic()
        state = self.replica.state
        if not part.ready:
            if not await self.replica.sync():
                return
            part.take_records(state, list(state.entries), now)
            held.dirty.clear()
            part.ready = True
        else:
            self._take_news(held, now)
        for ref in self.reach.cancelled:
            for run in list(part.runs.values()):
                if run.where.job == ref and not run.stop:
                    part.stop(run, 0.0)

    async def _work(self, held: Held) -> None:
        part, now = held.part, time.monotonic()
        part.tick(self.replica.state, now)
        deadline = now + self.tuning.budget_ms / 1000
        changes = part.ends(self.replica.state)
        room = self.deployment.state.txn_ops - 2
        placed = held.placer.run(part, self.view, now, lambda: time.monotonic() > deadline, room)
        if self._fresh(now):
            for run in placed.preempt:
                log.info("preempting %s/%d on %s", *run.key, run.machine)
                part.stop(run, self._grace(run))
        for where, entries in placed.entries.items():
            if where not in changes:
                changes[where] = entries
            else:
                changes[where] |= entries
        writes = self._machine_writes(part, now)
        await self._commit(part, changes, writes)
        self._refine(held, now)
        await self._send(held)
        await self._returns(held, now)

    def _refine(self, held: Held, now: float) -> None:
        """The round of Tabu search and consolidation, and reopening what was being emptied when tasks wait."""
        part = held.part
        if part.free:
            for machine in part.machines.values():
                machine.emptying = False
        if now < held.next_search:
            return
        first = held.next_search == 0.0
        held.next_search = now + self.tuning.round_s
        if first or not self._fresh(now):
            return
        deadline = time.monotonic() + self.tuning.budget_ms / 1000
        result = refine(part, self.view, self.tuning, now, self._random, lambda: time.monotonic() > deadline)
        if result.empty is not None:
            log.info("emptying %s", result.empty)
            part.machines[result.empty].emptying = True
        for run, target in result.moves:
            log.info("moving %s/%d from %s to %s", *run.key, run.machine, target)
            held.placer.targets[run.key] = target, now + MOVE_S
            part.stop(run, self._grace(run))
        if result.search is not None and result.search.moves:
            log.info("search of %s: cost %.4f to %.4f", part.zone, result.search.before, result.search.after)

    def _fresh(self, now: float) -> bool:
        """The copy of the records is recent: what only serves placement waits while this controller may be deposed."""
        return now - self.replica.synced_at < FRESH_S

    def _grace(self, run: TaskRun) -> float:
        job = self.replica.state.jobs.get(run.where.job)
        return job.spec.save_s * 1.5 + 1.0 if job is not None and job.spec.checkpoint_s > 0 else 0.0

    # Records

    def _machine_writes(self, part: Part, now: float) -> list[Write]:
        """Machines that are new, closed or opened again, or gone."""
        out = []
        on_record = self.replica.state.machines[part.zone]
        for machine in list(part.machines.values()):
            key = records.machine_key(part.zone, machine.name)
            record = on_record.get(machine.name)
            if machine.standing is Standing.GONE:
                if machine.runs:
                    continue
                if record is not None:
                    out.append(Write(key, None))
                else:
                    del part.machines[machine.name]
                continue
            if machine.standing is Standing.UNKNOWN or not machine.type:
                continue
            wanted = MachineRecord(machine.type, machine.spot, machine.addr, machine.willing(now))
            if record != wanted:
                out.append(Write(key, wanted))
        return out

    async def _commit(self, part: Part, changes: dict[AllotKey, dict[int, TaskEntry]], extra: list[Write]) -> None:
        """Writes what changed, in transactions within the limits that guard the part and the jobs."""
        state = self.replica.state
        for where, record in list(state.zone_allots[part.zone].items()):
            over = not live(state, where.job) and where not in changes
            if over and all(e.state != records.ASSIGNED for e in record.tasks):
                extra.append(Write(str(where), None))
        pending: list[tuple[Write, str | None]] = [(w, None) for w in extra]
        for where, entries in changes.items():
            changed = state.zone_allots[part.zone].get(where)
            if changed is None:
                continue
            starts = any(e.state == records.ASSIGNED for e in entries.values())
            pending.append((Write(str(where), merged(changed, entries)), where.job if starts else None))
        most, size = self.deployment.state.txn_ops, 0
        batch: list[tuple[Write, str | None]] = []
        for item in pending:
            length = len(msgspec.json.encode(item[0].record)) + 300
            if batch and (len(batch) >= most or size + length > 56_000):
                await self._commit_batch(part, batch)
                batch, size = [], 0
            batch.append(item)
            size += length
        if batch:
            await self._commit_batch(part, batch)

    async def _commit_batch(self, part: Part, batch: list[tuple[Write, str | None]]) -> None:
        guards = {records.PART + part.zone}
        guards.update(records.JOB + job for _, job in batch if job is not None)
        if self.membership.holds(part.zone) is None:
            return
        outcome = await self.replica.commit([w for w, _ in batch], guards)
        if outcome.verdict not in (Verdict.DONE, Verdict.REFUSED):
            log.info("holder transaction for %s: %s %s", part.zone, outcome.verdict.value, outcome.failed)

    # Commands

    async def _send(self, held: Held) -> None:
        """Starts and stops go straight to the worker; its next report repeats what got lost."""
        part, now = held.part, time.monotonic()
        self._spread_news()
        self._take_news(held, now)
        if not self.reach.entitled(self.replica.synced_at, now):
            return
        for machine in part.machines.values():
            if not any(
                (run.phase is Phase.ASSIGNED and not run.stop)
                or (run.stop and run.phase in (Phase.STARTING, Phase.FETCHING, Phase.RUNNING))
                for run in machine.runs.values()
            ):
                continue
            if machine.direct_after > now:
                continue
            sent = part.direct(machine)
            if sent is not None:
                machine.direct_after = now + 0.5
                await curio.spawn(self._direct, part, machine, sent, daemon=True)

    async def _direct(self, part: Part, machine: Machine, sent: wire.DirectCommands) -> None:
        client = self._clients.get(machine.addr)
        if client is None:
            while len(self._clients) >= CLIENTS_KEPT:
                self._clients.pop(next(iter(self._clients)))
            client = self._clients[machine.addr] = self._network.client(machine.addr, 2)
        try:
            status, answer = await client.request("POST", wire.PATH_COMMANDS, wire.encode(sent), DIRECT_S)
        except NoAnswer as err:
            log.debug("no answer from %s: %s", machine.name, err)
            part.direct_lost(machine, sent, err.sent)
            return
        report = None
        if status in (200, 409):
            try:
                report = wire.report_decoder.decode(answer)
            except msgspec.DecodeError as err:
                log.warning("unreadable answer from %s: %s", machine.name, err)
        part.direct_answered(machine, sent, report, time.monotonic())
        await self._bell.set()

    # Returning machines

    async def _returns(self, held: Held, now: float) -> None:
        """Starts the return of machines that are idle, silent, or were never seen by this holder."""
        part = held.part
        if not self._fresh(now):
            return
        was_cut, held.cut = held.cut, cut_off(part, self.deployment.workers, now)
        if held.cut:
            self.membership.note_unfit(part.zone, now)
            if not was_cut:
                log.warning("most machines of %s are silent: another controller should take the part", part.zone)
        for machine in machines_to_return(
            part, self.view, self.tuning, self.deployment.workers, now, held.cut
        ):
            if machine.name not in self._returning and machine.return_after <= now:
                machine.returning = True
                self._returning.add(machine.name)
                await curio.spawn(self._return, part, machine, daemon=True)

    async def _return(self, part: Part, machine: Machine) -> None:
        try:
            # A controller cut from the state service may have been deposed: to it, all machines of its old part look
            # silent while they report to the new holder, and returning them would end healthy work.
            if not await self.replica.sync() or self.membership.holds(part.zone) is None:
                machine.returning = False
                machine.return_after = time.monotonic() + 1.0
                return
            log.info("returning %s (%s, %d tasks)", machine.name, machine.standing.value, len(machine.runs))
            if machine.standing is Standing.KNOWN and not machine.runs:
                # Closed on record first: no task may be assigned to it while the cloud takes it down.
                key = records.machine_key(part.zone, machine.name)
                record = MachineRecord(machine.type, machine.spot, machine.addr, False)
                if self.replica.state.machines[part.zone].get(machine.name) != record:
                    outcome = await self.replica.commit([Write(key, record)], [records.PART + part.zone], give_up_s=3.0)
                    if outcome.verdict is not Verdict.DONE:
                        machine.returning = False
                        return
                if machine.runs:
                    machine.returning = False
                    return
            await self.cloud.release([machine.name])
            part.returned(machine.name)
            await self._bell.set()
        except (CloudTrouble, NoCapacity) as err:
            log.info("return of %s: %s", machine.name, err)
            machine.return_after = time.monotonic() + 1.0
            machine.returning = False
        finally:
            self._returning.discard(machine.name)
