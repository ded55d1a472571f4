"""Operations of operators on the histories in the state service: read, initialize, resolve outcomes and purge."""

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

PURGE_BATCH_KEYS = 4  # lowest limit of changes in a transaction that the settings accept


class OperatorError(SpurarchError):
    """A command can't be executed; the message gives the reason."""


@dataclass(slots=True)
class HistoryStatus:
    """The current history in the state service, its archived revision, rebuild claim and unresolved outcomes."""

    history: HistoryRecord | None = None
    is_open: bool = False
    revision: int = 0
    archived: ArchivedRecord | None = None
    claim: ClaimRecord | None = None
    unresolved: list[UnresolvedOutcome] = field(default_factory=list)


async def read_status(store: Store) -> HistoryStatus:
    """Reads the status of the current history.

    Raises `StoreUnavailableError`, as do all functions of this module that take a store.
    """
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
    store: Store, adopt: bool, responses_await_archive: bool = False, installation: str = ""
) -> HistoryRecord:
    """Opens the first history of a new installation or, with `adopt`, of one that had no recovery so far.

    Only an operator can distinguish a new installation from one that was wiped, so controllers never do this. Raises
    `OperatorError` if there is a history, or if `adopt` is not set and there are records under `live/` other than
    member, leader and partition records.
    """
    if await store.get(CURRENT) is not None:
        raise OperatorError("there is a history already (recovery status)")
    page = await store.page(records.LIVE, None)
    record_keys = [
        item.key for item in page.items if not item.key.startswith((records.MEMBER, records.LEADER, records.PARTITION))
    ]
    if record_keys and not adopt:
        raise OperatorError("there are records already: --adopt declares them whole")
    history = HistoryRecord(
        os.urandom(6).hex(), 1, responses_await_archive=responses_await_archive, installation=installation
    )
    txn = wire.Txn(
        [wire.Guard(CURRENT, 0), wire.Guard(CLAIM, 0)],
        [wire.Put(CURRENT, history), wire.Put(OPEN + history.name, OpenMarker(1))],
    )
    await _commit(store, txn)
    return history


async def resolve_job(store: Store, job: str, state: str) -> None:
    """Sets the final state of a job whose outcome is unresolved.

    Also deletes the unresolved outcome. Raises `OperatorError` if the outcome is not unresolved, the job has another
    final record, or the history is not open.
    """
    history = await _read_history(store)
    unresolved = await store.get(history.prefix + UNRESOLVED_PREFIX + job)
    if unresolved is None:
        raise OperatorError(f"{job} is not in doubt")
    key = history.prefix + records.FINAL + job
    stored_final = await store.get(key)
    final = (
        msgspec.json.decode(stored_final.value, type=FinalRecord) if stored_final is not None else FinalRecord(state, 0)
    )
    if final.state not in (records.UNRESOLVED, state):
        raise OperatorError(f"{job} is {final.state} on record")
    guards = await _open_guards(store, history)
    guards += [
        wire.Guard(key, stored_final.version if stored_final is not None else 0),
        wire.Guard(unresolved.key, unresolved.version),
    ]
    changes: list[wire.Put | wire.Delete] = [
        wire.Put(key, FinalRecord(state, final.tasks)),
        wire.Delete(unresolved.key),
    ]
    await _commit(store, wire.Txn(guards, changes))


async def resolve_unknown_jobs(store: Store) -> None:
    """Declares that jobs without a record were never accepted, so that requests for these jobs get status 404.

    Raises `OperatorError` if the history does not lack jobs, or is not open.
    """
    history = await _read_history(store)
    if not history.jobs_may_be_missing:
        raise OperatorError("nothing is uncertain")
    current = await store.get(CURRENT)
    version = current.version if current is not None else 0
    certain = msgspec.structs.replace(history, jobs_may_be_missing=False)
    guards = [*await _open_guards(store, history), wire.Guard(CURRENT, version)]
    await _commit(store, wire.Txn(guards, [wire.Put(CURRENT, certain)]))


async def purge(store: Store) -> int:
    """Deletes the keys that earlier histories left in the state service; returns their number.

    Raises `OperatorError` if the history is not open.
    """
    history = await _read_history(store)
    guards = await _open_guards(store, history)
    count, after = 0, None
    while True:
        page = await store.page("", after)
        obsolete = [item.key for item in page.items if _is_obsolete(item.key, history)]
        for at in range(0, len(obsolete), PURGE_BATCH_KEYS):
            batch = obsolete[at : at + PURGE_BATCH_KEYS]
            await _commit(store, wire.Txn(guards, [wire.Delete(key) for key in batch]))
            count += len(batch)
        if not page.more or not page.items:
            return count
        after = page.items[-1].key


def _is_obsolete(key: str, history: HistoryRecord) -> bool:
    """Whether no controller that uses the open history reads the key.

    The leader record under the first history's key is kept, because it prevents controllers of a version without
    recovery from becoming leader. No rebuild runs while the history is open, so a rebuild's key is from an abandoned
    one.
    """
    if history.number == 1 or key.startswith(HISTORY):
        return key.startswith(REBUILD)
    return is_record_key(key) and not key.startswith(history.prefix) and key != records.LEADER


async def _read_history(store: Store) -> HistoryRecord:
    item = await store.get(CURRENT)
    if item is None:
        raise OperatorError("there is no history (recovery init)")
    return decode_history(item.value)


async def _open_guards(store: Store, history: HistoryRecord) -> list[wire.Guard]:
    marker = await store.get(OPEN + history.name)
    if marker is None:
        raise OperatorError("the records are being rebuilt")
    return [wire.Guard(marker.key, marker.version)]


async def _commit(store: Store, txn: wire.Txn) -> None:
    result = await store.txn(txn, Urgency.USERS)
    if result.status is not TransactionStatus.COMMITTED:
        raise OperatorError(f"not done ({result.status.value}): look at `recovery status`, and try again")
