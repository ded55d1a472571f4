"""What operators read about histories in the state service, and what they decide and delete there."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import msgspec

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.recovery.claim import ClaimRecord
from spurarch.recovery.rebuilt_records import UnresolvedOutcome
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


class OperatorError(SpurarchError):
    """A command can't be executed; the message says why."""


@dataclass(slots=True)
class HistoryStatus:
    """What the state service says about its histories."""

    history: HistoryRecord | None = None
    is_open: bool = False
    revision: int = 0
    archived: ArchivedRecord | None = None
    claim: ClaimRecord | None = None
    unresolved: list[UnresolvedOutcome] = field(default_factory=list)


async def read_status(store: Store) -> HistoryStatus:
    """Reads the status. Raises `StoreUnavailableError`, as all functions here."""
    status = HistoryStatus()
    page = await store.page(CURRENT, None)
    status.revision = page.revision
    for item in page.items:
        if item.key == CURRENT:
            status.history = decode_history(item.value)
    if status.history is not None:
        status.is_open = await store.get(OPEN + status.history.name) is not None
        status.unresolved = await read_unresolved(store, status.history)
    archived, claim = await store.get(ARCHIVED), await store.get(CLAIM)
    status.archived = decode_archived(archived.value) if archived is not None else None
    status.claim = msgspec.json.decode(claim.value, type=ClaimRecord) if claim is not None else None
    return status


async def read_unresolved(store: Store, history: HistoryRecord) -> list[UnresolvedOutcome]:
    """Reads the unresolved outcomes of a history."""
    unresolved: list[UnresolvedOutcome] = []
    after: str | None = None
    while True:
        page = await store.page(history.prefix + UNRESOLVED_PREFIX, after)
        unresolved += [msgspec.json.decode(item.value, type=UnresolvedOutcome) for item in page.items]
        if not page.more or not page.items:
            return unresolved
        after = page.items[-1].key


async def declare_first_history(
    store: Store, adopt: bool, archived_answers: bool = False, installation: str = ""
) -> HistoryRecord:
    """Declares the state service's data a new installation, or one that had no recovery so far.

    Only an operator can tell a new installation from one that was wiped, so no controller ever does this by itself.
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


async def resolve_job(store: Store, job: str, state: str) -> None:
    """Decides the final state of a job whose outcome is unresolved."""
    history = await _history(store)
    unresolved = await store.get(history.prefix + UNRESOLVED_PREFIX + job)
    if unresolved is None:
        raise OperatorError(f"{job} is not in doubt")
    key = history.prefix + records.FINAL + job
    known = await store.get(key)
    final = msgspec.json.decode(known.value, type=FinalRecord) if known is not None else FinalRecord(state, 0)
    if final.state not in (records.UNRESOLVED, state):
        raise OperatorError(f"{job} is {final.state} on record")
    guards = await _guards(store, history)
    guards += [
        wire.Guard(key, known.version if known is not None else 0),
        wire.Guard(unresolved.key, unresolved.version),
    ]
    changes: list[wire.Put | wire.Delete] = [
        wire.Put(key, FinalRecord(state, final.tasks)),
        wire.Delete(unresolved.key),
    ]
    await _commit(store, wire.Txn(guards, changes))


async def resolve_unknown_jobs(store: Store) -> None:
    """Declares that jobs which are not on record were never accepted: requests for them get 404 from then on."""
    history = await _history(store)
    if not history.uncertain:
        raise OperatorError("nothing is uncertain")
    current = await store.get(CURRENT)
    version = current.version if current is not None else 0
    certain = msgspec.structs.replace(history, uncertain=False)
    guards = [*await _guards(store, history), wire.Guard(CURRENT, version)]
    await _commit(store, wire.Txn(guards, [wire.Put(CURRENT, certain)]))


async def purge(store: Store) -> int:
    """Deletes what earlier histories left in the state service; returns the number of keys."""
    history = await _history(store)
    guards = await _guards(store, history)
    count, after = 0, None
    while True:
        page = await store.page("", after)
        obsolete = [item.key for item in page.items if _is_obsolete(item.key, history)]
        for at in range(0, len(obsolete), PURGE_AT_ONCE):
            batch = obsolete[at : at + PURGE_AT_ONCE]
            await _commit(store, wire.Txn(guards, [wire.Delete(key) for key in batch]))
            count += len(batch)
        if not page.more or not page.items:
            return count
        after = page.items[-1].key


def _is_obsolete(key: str, history: HistoryRecord) -> bool:
    """Whether no controller that works in the history reads the key.

    The first history's leader record is kept, since it keeps earlier versions from leading. While the history is open,
    nothing is being rebuilt: the key of a rebuild is left from one that was abandoned.
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
