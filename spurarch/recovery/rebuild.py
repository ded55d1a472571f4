"""One rebuilding, by the controller that has claimed it: seal, gather, collect, merge, write, open.

Nothing that it writes is read by anybody before the last transaction opens the new history, so a rebuilding that ends at
any step leaves only keys that nobody reads, and the next one begins from the start under a new name.
"""

from __future__ import annotations

import enum
import logging
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import curio
import msgspec

from spurarch.protocol import recovery_messages, wire
from spurarch.protocol.recovery_messages import HeartbeatsPage, HeartbeatsRequest
from spurarch.recovery import copies
from spurarch.recovery.claim import FINISHED, HEARTBEAT_S, ClaimLostError, RebuildClaim
from spurarch.recovery.evidence import Evidence, Source, SourceKind
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.recovery.merge import Merger, RebuiltRecords, highest_epoch, machines_on_record
from spurarch.settings import Deployment
from spurarch.storage import records
from spurarch.storage.cloud import Cloud, CloudError
from spurarch.storage.history import (
    CURRENT,
    OPEN,
    PACKED,
    REBUILD,
    UNRESOLVED_PREFIX,
    VERIFY_AFTER_S,
    HistoryRecord,
    OpenMarker,
    PackedFinals,
    packed_key,
)
from spurarch.storage.records import UNRESOLVED, FinalRecord, LeaderRecord, MemberRecord, PartitionRecord
from spurarch.storage.seeds import SEED, SeedRecord, pack
from spurarch.storage.store import Store
from spurarch.transport.network import Calls, Requests

log = logging.getLogger(__name__)

PAUSE_S = 0.3
PEERS_WAIT_S = 8.0  # for a peer that does not answer, or has not noticed the loss
ARCHIVE_WAIT_S = 30.0  # for an archive, where not every controller lived on
OPEN_AFTER_LEAST_S = VERIFY_AFTER_S + 1.0  # so that no reader's gap can span the old history and a grown new one
HEARTBEATS_WAITED = 3.0  # intervals of reports, where only knowledge can be gained by waiting
SEEDED_ABOVE_S = 2.0  # of changes at the published rate: more records than that share values
EPOCHS_UNSEEN = 1 << 16  # changes of owners that may have happened without a trace
EPOCHS_MOST = 1 << 27
BOUND_DRIFT, BOUND_MARGIN_S = 1.001, 1.0
PACKED_FINAL_BYTES = 60  # of one packed final standing as JSON, with room for a long name
CALL_S = 2.0


class RebuildRefusedError(Exception):
    """The records can't be rebuilt now; the message says why."""


class Step(enum.Enum):
    """Where a rebuilding stands."""

    SEALING = "sealing"
    GATHERING = "gathering"
    COLLECTING = "collecting"
    WRITING = "writing"
    OPENED = FINISHED


_NEXT = {
    Step.SEALING: Step.GATHERING,
    Step.GATHERING: Step.COLLECTING,
    Step.COLLECTING: Step.WRITING,
    Step.WRITING: Step.OPENED,
}


@dataclass(slots=True)
class RebuildContext:
    """What a rebuilding reaches beyond the claim. `own` gives this controller's copy, if it has one."""

    node: str
    deployment: Deployment
    store: Store  # without a history: all keys as they are
    cloud: Cloud
    peers: dict[str, Calls]
    archive: Requests | None
    collector: HeartbeatCollector
    own: Callable[[], Source | None]


@dataclass(slots=True)
class _Gathered:
    """Copies of the lost history, and the controllers that gave theirs or at least know recovery."""

    sources: list[Source] = field(default_factory=list)
    aware: set[str] = field(default_factory=set)
    complete: bool = False


class Rebuilding:
    """One attempt to rebuild the records, under a name of its own."""

    def __init__(self, context: RebuildContext, claim: RebuildClaim, name: str, lost: HistoryRecord | None) -> None:
        self._context, self._claim, self._name = context, claim, name
        self._lost = lost  # None where not even the name of the lost history is known
        self.step = Step.SEALING
        self._rebuild_version = 0
        self._sealed_at = 0.0
        self._epoch = 0
        self._positions: dict[str, int] = {}
        self._heartbeat_at = 0.0

    async def run(self) -> HistoryRecord:
        """Goes through all steps; the history that was opened."""
        lost = await self._seal()
        gathered = await self._gather(lost)
        evidence = await self._collect(lost, gathered)
        rebuilt = await self._merge(evidence)
        log.info(
            "records rebuilt jobs=%d final=%d in_doubt=%d set_aside=%d certainty=%s",
            len(rebuilt.jobs),
            len(rebuilt.finals),
            len(rebuilt.unresolved),
            rebuilt.set_aside,
            "uncertain" if rebuilt.uncertain else "certain",
        )
        return await self._write(lost, rebuilt)

    def _advance(self, step: Step) -> None:
        if _NEXT[self.step] is not step:
            raise RuntimeError(f"{self.step} -> {step}")
        self.step = step
        log.info("rebuild phase changed history=%s phase=%s", self._name, step.value)

    async def _commit(
        self, changes: list[wire.Put | wire.Delete], guards: list[wire.Guard] | None = None, step: Step | None = None
    ) -> None:
        own = [wire.Guard(REBUILD + self._name, self._rebuild_version)] if self._rebuild_version else []
        await self._claim.commit([*own, *(guards or [])], changes, (step or self.step).value, self._epoch)
        self._heartbeat_at = time.monotonic()

    async def _heartbeat_if_due(self) -> None:
        if time.monotonic() - self._heartbeat_at > HEARTBEAT_S:
            await self._commit([])

    # Sealing

    async def _seal(self) -> HistoryRecord:
        """Ends the lost history: from here on, no transaction of it can succeed."""
        store = self._context.store
        item = await store.get(CURRENT)
        current = msgspec.json.decode(item.value, type=HistoryRecord) if item is not None else None
        lost = max((h for h in (current, self._lost) if h is not None), key=lambda h: h.number, default=None)
        if lost is None:
            raise RebuildRefusedError("no history is known: is this a new installation? (recovery init)")
        changes: list[wire.Put | wire.Delete] = [wire.Put(REBUILD + self._name, OpenMarker(lost.number + 1))]
        guards = [wire.Guard(REBUILD + self._name, 0)]
        for name in dict.fromkeys(h.name for h in (current, lost) if h is not None):
            marker = await store.get(OPEN + name)
            if marker is not None and self._lost is not None and lost.number > self._lost.number:
                raise ClaimLostError(f"history {lost.number} is open by now")
            if marker is not None:
                changes.append(wire.Delete(OPEN + name))
                guards.append(wire.Guard(OPEN + name, marker.version))
        self._choose_epoch(lost)
        await self._commit(changes, guards)
        self._rebuild_version = self._claim.version
        self._context.collector.begin(self._epoch)
        self._sealed_at = time.monotonic()
        return lost

    def _choose_epoch(self, lost: HistoryRecord) -> None:
        """An epoch above all that were given, whether any worker has shown it or not.

        It is chosen at once, by what is known here: workers whose owner has ended have to be answered within what is left
        of their leases, while copies of others are still being waited for.
        """
        own = self._context.own()
        seen = max(lost.epoch, self._context.collector.highest_epoch, highest_epoch([own] if own is not None else []))
        self._epoch = seen + EPOCHS_UNSEEN
        if self._epoch > EPOCHS_MOST:
            raise RebuildRefusedError("partition epochs are used up")

    # Copies

    async def _gather(self, lost: HistoryRecord) -> _Gathered:
        """Copies of the lost history from all who have one."""
        self._advance(Step.GATHERING)
        context, out = self._context, _Gathered()
        own = context.own()
        if own is not None:
            out.sources.append(own)
        given = await self._ask_peers(lost.name, out)
        out.complete = own is not None and given == set(context.peers)
        archive = await self._ask_archive(lost.name, out.complete)
        if archive is not None:
            out.sources.append(archive)
        elif lost.parent and context.archive is not None:
            # The history was lost before it was archived; what was over before it began is in its parent's archive.
            ancestor = await copies.archive_source(context.archive, lost.parent, SourceKind.ANCESTOR)
            if ancestor is not None:
                out.sources.append(ancestor)
        remains = await copies.remaining_source(context.store, lost)
        if remains.alive or remains.finals:
            out.sources.append(remains)
        if not out.sources:
            raise RebuildRefusedError("no copy of the records is left: neither a controller's nor an archive")
        await self._refuse_outdated(out.aware)
        return out

    async def _ask_peers(self, history: str, out: _Gathered) -> set[str]:
        """Waits for every peer's copy for a while, since nobody else may know what a peer has confirmed."""
        context, waiting, given = self._context, dict(self._context.peers), set[str]()
        deadline = time.monotonic() + PEERS_WAIT_S
        while waiting and time.monotonic() < deadline:
            for node, peer in list(waiting.items()):
                try:
                    copy = await copies.peer_copy(node, peer, context.node, history)
                except copies.PeerOutdatedError:
                    raise RebuildRefusedError(f"controller {node} runs a version that knows no recovery") from None
                if copy.settled:
                    del waiting[node]
                if copy.source is not None:
                    given.add(node)
                    out.sources.append(copy.source)
                await self._heartbeat_if_due()
            await curio.sleep(PAUSE_S)
        out.aware = {context.node, *context.peers} - set(waiting)
        return given

    async def _ask_archive(self, history: str, complete: bool) -> Source | None:
        if self._context.archive is None:
            return None
        deadline = time.monotonic() + (PEERS_WAIT_S if complete else ARCHIVE_WAIT_S)
        while time.monotonic() < deadline:
            source = await copies.archive_source(self._context.archive, history)
            if source is not None:
                return source
            await self._heartbeat_if_due()
            await curio.sleep(PAUSE_S)
        log.warning("archive unavailable for rebuild history=%s", history)
        return None

    async def _refuse_outdated(self, aware: set[str]) -> None:
        """A version that knows no recovery would make itself a member of the empty state service, and lead."""
        page = await self._context.store.page(records.MEMBER, None)
        for item in page.items:
            member = records.decode(item.key, item.value)
            if isinstance(member, MemberRecord) and member.node not in aware and await self._outdated(member.node):
                raise RebuildRefusedError(f"controller {member.node} runs a version that knows no recovery")

    async def _outdated(self, node: str) -> bool:
        peer = self._context.peers.get(node)
        if peer is None:
            return True
        request = recovery_messages.encode(recovery_messages.RevisionRequest(self._context.node))
        answer = await peer.call(request, CALL_S)
        return answer is None or recovery_messages.decode(answer) is None

    # Reports

    async def _collect(self, lost: HistoryRecord, gathered: _Gathered) -> Evidence:
        """Gives every worker a token above all that were ever given, until nothing unseen can run any more.

        A task is recorded before it is started. Where every controller gave its copy, nothing can run that no copy has,
        and a worker that is not heard is waited for only briefly. Otherwise it may run what only a controller that has
        ended knew of; whoever answered it last has stopped so early that its lease is over after `cancel_s`.
        """
        self._advance(Step.COLLECTING)
        evidence = Evidence(gathered.sources, {}, gathered.complete, lost.uncertain, lost.archived_answers)
        if highest_epoch(gathered.sources) >= self._epoch:
            context = self._context
            context.collector.highest_epoch = max(context.collector.highest_epoch, highest_epoch(gathered.sources))
            raise RebuildRefusedError("a copy shows a later epoch: beginning anew above it")
        copied = [s for s in gathered.sources if s.kind is SourceKind.REPLICA]
        needed = machines_on_record(copied if gathered.complete else gathered.sources)
        listed = gathered.complete
        deployment = self._context.deployment
        timeout_s = deployment.workers.cancel_s * BOUND_DRIFT + BOUND_MARGIN_S
        if gathered.complete:
            timeout_s = OPEN_AFTER_LEAST_S + HEARTBEATS_WAITED * deployment.workers.heartbeat_interval_s
        bound_at = self._sealed_at + timeout_s
        list_at = self._sealed_at + 2 * deployment.cloud.list_lag_s
        while time.monotonic() < bound_at:
            await self._collect_heartbeats(evidence)
            now = time.monotonic()
            if not listed and now >= list_at:
                listed = await self._add_listed(needed)
            if listed and now - self._sealed_at >= OPEN_AFTER_LEAST_S and needed <= set(evidence.heartbeats):
                break
            await self._heartbeat_if_due()
            await curio.sleep(PAUSE_S)
        await self._collect_heartbeats(evidence)
        return evidence

    async def _collect_heartbeats(self, evidence: Evidence) -> None:
        """Newest reports from all controllers."""
        collector, own = self._context.collector, self._context.node
        while self._take_page(evidence, own, *collector.page(self._epoch, self._positions.get(own, 0))):
            await curio.sleep(0)
        shown = collector.highest_epoch
        for node, peer in self._context.peers.items():
            shown = max(shown, await self._collect_heartbeats_of(node, peer, evidence))
        if shown > self._epoch:
            raise RebuildRefusedError(f"a worker has shown epoch {shown}: beginning anew above it")

    async def _collect_heartbeats_of(self, node: str, peer: Calls, evidence: Evidence) -> int:
        """All pages that a peer has by now; the highest epoch that a worker showed there."""
        while True:
            await self._heartbeat_if_due()
            request = HeartbeatsRequest(self._context.node, self._epoch, self._positions.get(node, 0))
            answer = await peer.call(recovery_messages.encode(request), CALL_S)
            page = recovery_messages.decode(answer) if answer is not None else None
            if not isinstance(page, HeartbeatsPage):
                return 0
            if not self._take_page(evidence, node, page.heartbeats, page.position):
                return page.highest_epoch

    def _take_page(self, evidence: Evidence, node: str, heartbeats: list[wire.Heartbeat], position: int) -> bool:
        """Takes a page in; False if there was nothing on it."""
        for heartbeat in heartbeats:
            evidence.add_heartbeat(heartbeat)
        self._positions[node] = position
        return bool(heartbeats)

    async def _add_listed(self, needed: set[str]) -> bool:
        """Machines that only a controller that has ended may have known."""
        try:
            machines = await self._context.cloud.machines()
        except CloudError as err:
            log.info("cloud machine list failed during rebuild error=%s", err)
            return False
        needed.update(machine.id for machine in machines if machine.state != wire.FAILED)
        return True

    async def _merge(self, evidence: Evidence) -> RebuiltRecords:
        merger = Merger(evidence, records.tasks_per_record(self._context.deployment.state.value_bytes))
        for _ in merger.steps():
            await curio.sleep(0)
            await self._heartbeat_if_due()
        return merger.rebuilt

    # Records

    async def _write(self, lost: HistoryRecord, rebuilt: RebuiltRecords) -> HistoryRecord:
        """Writes the picture under a new prefix and opens it."""
        self._advance(Step.WRITING)
        packed = self._pack(rebuilt.finals)
        history = HistoryRecord(
            self._name,
            lost.number + 1,
            self._epoch,
            len(packed),
            rebuilt.uncertain,
            lost.name,
            lost.archived_answers,
            lost.installation,
        )
        contents = dict(self._records_of(rebuilt, packed))
        if len(contents) > SEEDED_ABOVE_S * self._context.deployment.state.write_rps:
            contents = self._seeded(contents)
            history.seeded = True
        puts = [wire.Put(history.prefix + key, value) for key, value in contents.items()]
        for batch in self._batches(puts):
            await self._commit(list(batch))
        opening: list[wire.Put | wire.Delete] = [
            wire.Put(CURRENT, history),
            wire.Put(OPEN + self._name, OpenMarker(history.number)),
            wire.Delete(REBUILD + self._name),
            # A version that knows no history would lead in the first one's keys; this leader never ends.
            wire.Put(records.LEADER, LeaderRecord("", "")),
        ]
        await self._commit(opening, [wire.Guard(OPEN + self._name, 0)], Step.OPENED)
        self._advance(Step.OPENED)
        return history

    def _records_of(
        self, rebuilt: RebuiltRecords, packed: list[dict[str, tuple[str, int]]]
    ) -> Iterator[tuple[str, object]]:
        for job, record in rebuilt.jobs.items():
            yield records.JOB + job, record
        for job, admitted in rebuilt.admitted.items():
            yield records.ADMISSION + job, admitted
        for where, allocation in rebuilt.allocations.items():
            yield str(where), allocation
        for job, final in rebuilt.finals.items():
            if final.state == UNRESOLVED:
                yield records.FINAL + job, final
        for unresolved in rebuilt.unresolved:
            yield UNRESOLVED_PREFIX + unresolved.job, unresolved
        for number, jobs in enumerate(packed):
            yield f"{PACKED}{number}", PackedFinals(jobs)
        for zone in self._context.deployment.zones:
            yield records.PARTITION + zone, PartitionRecord("", self._epoch)

    def _seeded(self, contents: dict[str, object]) -> dict[str, object]:
        """The same with records that are alive many in one value; partitions change hands at once, and keep their own."""
        shared = [key for key in contents if key.startswith(records.LIVE) and not key.startswith(records.PARTITION)]
        seeds = [SeedRecord(key, msgspec.Raw(wire.encode(contents[key]))) for key in shared]
        state = self._context.deployment.state
        seeded = set(shared)
        out = {key: value for key, value in contents.items() if key not in seeded}
        for number, found in enumerate(pack(seeds, state.transaction_changes, state.value_bytes)):
            out[f"{SEED}{number}"] = found
        return out

    def _pack(self, finals: dict[str, FinalRecord]) -> list[dict[str, tuple[str, int]]]:
        """Final standings by the records that hold them, each within the limit on values."""
        certain = {job: final for job, final in finals.items() if final.state != UNRESOLVED}
        limit = self._context.deployment.state.value_bytes
        count = -(-2 * PACKED_FINAL_BYTES * len(certain) // limit)
        while count:
            buckets: list[dict[str, tuple[str, int]]] = [{} for _ in range(count)]
            for job, final in certain.items():
                number = int(packed_key(job, count)[len(PACKED) :])
                buckets[number][job] = final.state, final.tasks
            if all(len(wire.encode(PackedFinals(jobs))) < limit for jobs in buckets):
                return buckets
            count *= 2
        return []

    def _batches(self, puts: list[wire.Put]) -> Iterator[list[wire.Put]]:
        """Puts in transactions within the limits; each also changes the claim."""
        most = self._context.deployment.state.transaction_changes - 1
        batch: list[wire.Put] = []
        size = 0
        for put in puts:
            length = len(wire.encode(put))
            if batch and (len(batch) >= most or size + length > records.TXN_BYTES):
                yield batch
                batch, size = [], 0
            batch.append(put)
            size += length
        if batch:
            yield batch
