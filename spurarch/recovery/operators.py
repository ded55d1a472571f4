"""What operators ask of the state service about histories, and what they settle."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import msgspec

from spurarch.protocol import wire
from spurarch.recovery.claim import ClaimRecord
from spurarch.recovery.merge import UnresolvedOutcome
from spurarch.storage import records
from spurarch.storage.history import (
    ARCHIVED,
    CLAIM,
    CURRENT,
    HISTORY,
    OPEN,
    REBUILD,
    UNRESOLVED_PREFIX,
    ArchivedRecord,
    HistoryRecord,
    OpenMarker,
    decode_archived,
    decode_history,
    is_record_key,
)
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import FinalRecord
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionStatus

PURGE_AT_ONCE = 4  # no state service allows fewer changes in a transaction


class OperatorError(Exception):
    """A command can't be carried out; the message says why."""


@dataclass(slots=True)
class HistoryStatus:
    """What the state service says of its histories."""

    history: HistoryRecord | None = None
    is_open: bool = False
    revision: int = 0
    archived: ArchivedRecord | None = None
    claim: ClaimRecord | None = None
    doubts: list[UnresolvedOutcome] = field(default_factory=list)


async def read_status(store: Store) -> HistoryStatus:
    """Reads it."""
    out = HistoryStatus()
    page = await store.page(CURRENT, None)
    out.revision = page.revision
    for item in page.items:
        if item.key == CURRENT:
            out.history = decode_history(item.value)
    if out.history is not None:
        out.is_open = await store.get(OPEN + out.history.name) is not None
        out.doubts = await read_doubts(store, out.history)
    archived, claim = await store.get(ARCHIVED), await store.get(CLAIM)
    out.archived = decode_archived(archived.value) if archived is not None else None
    out.claim = msgspec.json.decode(claim.value, type=ClaimRecord) if claim is not None else None
    return out


async def read_doubts(store: Store, history: HistoryRecord) -> list[UnresolvedOutcome]:
    """What is in doubt in a history."""
    out: list[UnresolvedOutcome] = []
    after: str | None = None
    while True:
        page = await store.page(history.prefix + UNRESOLVED_PREFIX, after)
        out += [msgspec.json.decode(item.value, type=UnresolvedOutcome) for item in page.items]
        if not page.more or not page.items:
            return out
        after = page.items[-1].key


async def declare_first_history(
    store: Store, adopt: bool, archived_answers: bool = False, installation: str = ""
) -> HistoryRecord:
    """Says that the state service's data is a new installation, or one that had no recovery so far.

    Nobody else can tell a new installation from one that was wiped, so no controller ever does this by itself.
    """
    if await store.get(CURRENT) is not None:
        raise OperatorError("there is a history already (recovery status)")
    page = await store.page(records.LIVE, None)
    own = [
        item.key for item in page.items if not item.key.startswith((records.MEMBER, records.LEADER, records.PARTITION))
    ]
    if own and not adopt:
        raise OperatorError("there are records already: --adopt declares them whole")
    history = HistoryRecord(os.urandom(6).hex(), 1, archived_answers=archived_answers, installation=installation)
    txn = wire.Txn(
        [wire.Guard(CURRENT, 0), wire.Guard(CLAIM, 0)],
        [wire.Put(CURRENT, history), wire.Put(OPEN + history.name, OpenMarker(1))],
    )
    await _commit(store, txn)
    return history


async def settle_job(store: Store, job: str, state: str) -> None:
    """Decides what a job in doubt ended as."""
    history = await _history(store)
    doubt = await store.get(history.prefix + UNRESOLVED_PREFIX + job)
    if doubt is None:
        raise OperatorError(f"{job} is not in doubt")
    key = history.prefix + records.FINAL + job
    known = await store.get(key)
    final = msgspec.json.decode(known.value, type=FinalRecord) if known is not None else FinalRecord(state, 0)
    if final.state not in (records.UNRESOLVED, state):
        raise OperatorError(f"{job} is {final.state} on record")
    guards = await _guards(store, history)
    guards += [wire.Guard(key, known.version if known is not None else 0), wire.Guard(doubt.key, doubt.version)]
    changes: list[wire.Put | wire.Delete] = [wire.Put(key, FinalRecord(state, final.tasks)), wire.Delete(doubt.key)]
    await _commit(store, wire.Txn(guards, changes))


async def settle_unknown_jobs(store: Store) -> None:
    """Says that jobs which are not on record were never accepted: they get 404 from now on."""
    history = await _history(store)
    if not history.uncertain:
        raise OperatorError("nothing is uncertain")
    current = await store.get(CURRENT)
    version = current.version if current is not None else 0
    certain = msgspec.structs.replace(history, uncertain=False)
    guards = [*await _guards(store, history), wire.Guard(CURRENT, version)]
    await _commit(store, wire.Txn(guards, [wire.Put(CURRENT, certain)]))


async def purge(store: Store) -> int:
    """Deletes what earlier histories left in the state service; how many keys."""
    history = await _history(store)
    guards = await _guards(store, history)
    count, after = 0, None
    while True:
        page = await store.page("", after)
        old = [item.key for item in page.items if _is_left_over(item.key, history)]
        for at in range(0, len(old), PURGE_AT_ONCE):
            batch = old[at : at + PURGE_AT_ONCE]
            await _commit(store, wire.Txn(guards, [wire.Delete(key) for key in batch]))
            count += len(batch)
        if not page.more or not page.items:
            return count
        after = page.items[-1].key


def _is_left_over(key: str, history: HistoryRecord) -> bool:
    """Nobody who works in the history reads the key. The first history's leader keeps earlier versions from leading.

    While the history is open, nothing is being rebuilt: what marks a rebuilding is left from one that ended on its way.
    """
    if history.number == 1 or key.startswith(HISTORY):
        return key.startswith(REBUILD)
    return is_record_key(key) and not key.startswith(history.prefix) and key != records.LEADER


async def _history(store: Store) -> HistoryRecord:
    item = await store.get(CURRENT)
    if item is None:
        raise OperatorError("there is no history (recovery init)")
    return decode_history(item.value)


async def _guards(store: Store, history: HistoryRecord) -> list[wire.Guard]:
    marker = await store.get(OPEN + history.name)
    if marker is None:
        raise OperatorError("the records are being rebuilt")
    return [wire.Guard(marker.key, marker.version)]


async def _commit(store: Store, txn: wire.Txn) -> None:
    result = await store.txn(txn, Urgency.USERS)
    if result.status is not TransactionStatus.COMMITTED:
        raise OperatorError(f"not done ({result.status.value}): look at `recovery status`, and try again")
