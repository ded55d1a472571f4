"""Releases machines to the cloud: the checks and the cordon before the call, the call, and what it proves."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import RELEASED_MACHINES_KEPT
from spurarch.storage import records
from spurarch.storage.cloud import Cloud, CloudError, NoCapacityError
from spurarch.storage.records import MachineRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionStatus, Write

log = logging.getLogger(__name__)

RETRY_S = 1.0
MAX_RELEASED_AT_ONCE = 100
CORDON_TIMEOUT_S = 3.0


class MachineReleaser:
    """Release calls of this controller, and the machines that it released."""

    def __init__(self, replica: Replica, cloud: Cloud, permissions: Permissions, transaction_changes: int) -> None:
        self._replica, self._cloud, self._permissions = replica, cloud, permissions
        self._transaction_changes = transaction_changes
        self._released: dict[str, str] = {}  # machines that this process released, and their zones

    async def release_owned(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        """Releases machines in one call, once it is certain that this controller still owns their partition."""
        requested = machines
        try:
            # A controller cut off from the state service may have been deposed: to it, all machines of its former
            # partition look silent while they send heartbeats to the new owner, and their release would end healthy
            # work.
            if not await self._replica.sync() or not self._permissions.owns(owned.partition):
                return
            idle = [m for m in machines if m.state is MachineState.ACTIVE and not m.attempts]
            if not await self._cordon(owned.partition, idle) or not self._permissions.owns(owned.partition):
                return
            # A task may have been recorded onto one of them meanwhile.
            machines = [machine for machine in machines if machine not in idle or not machine.attempts]
            if machines:
                await self._release_checked(owned, machines)
        finally:
            _reset_unreleased(requested)

    async def _release_checked(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        for machine in machines:
            state = "responses-lost" if machine.responses_lost else machine.state.value
            log.info("releasing machine machine=%s state=%s tasks=%d", machine.name, state, len(machine.attempts))
        # The call may wait for long for its share of the rate limit, and this process may stall meanwhile.
        await self._release(
            owned,
            machines,
            lambda: self._permissions.owns(owned.partition) and self._permissions.records_are_fresh(time.monotonic()),
        )

    async def release_overdue(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        """Releases machines with overdue cancelled tasks, whether or not the state service answers."""
        log.info("releasing machines with overdue cancelled tasks machines=%s", ",".join(m.name for m in machines))

        def is_still_overdue() -> bool:
            now = time.monotonic()
            return (
                self._permissions.owns(owned.partition)
                and self._permissions.is_not_stalled(now)
                and any(machine.overdue_since() is not None for machine in machines)
            )

        try:
            await self._release(owned, machines, is_still_overdue)
        finally:
            _reset_unreleased(machines)

    async def release_orphaned(self, zones: dict[str, str], may_release: Callable[[], bool]) -> None:
        """Releases machines, given with their zones, whose partition no live controller owns."""
        log.info("releasing unowned machines with cancelled tasks machines=%s", ",".join(zones))
        try:
            await self._cloud.release(list(zones), may_release)
            self.remember_released(zones)
        except (CloudError, NoCapacityError) as err:
            log.info("machine release failed count=%d error=%s", len(zones), err)

    def was_released(self, name: str) -> bool:
        """Whether this process released the machine, as far as it remembers."""
        return name in self._released

    def remember_released(self, zones: dict[str, str]) -> None:
        """Remembers released machines and their zones, the newest ones only."""
        self._released.update(zones)
        while len(self._released) > RELEASED_MACHINES_KEPT:
            del self._released[next(iter(self._released))]

    def released_unrecorded(self) -> list[str]:
        """Machines that this process released and that are on record all the same.

        Another controller owned their partition before their records went, or a transaction that wrote the records was
        carried out late. Their owner would count them as capacity, and wait for them.
        """
        on_record = self._replica.state.machines
        return [name for name, zone in self._released.items() if name in on_record[zone]][:MAX_RELEASED_AT_ONCE]

    async def _release(self, owned: OwnedPartition, machines: list[Machine], may_release: Callable[[], bool]) -> None:
        """Calls the cloud; its answer proves that everything on the machines is gone."""
        try:
            await self._cloud.release([machine.name for machine in machines], may_release)
        except (CloudError, NoCapacityError) as err:
            log.info("machine release failed count=%d error=%s", len(machines), err)
            return
        for machine in machines:
            owned.partition.on_released(machine.name)
        self.remember_released({machine.name: machine.zone for machine in machines})
        await owned.wakeup.set()

    async def _cordon(self, partition: Partition, machines: list[Machine]) -> bool:
        """Cordons machines on record first: no task may be assigned to them while the cloud takes them down."""
        writes = []
        for machine in machines:
            record = MachineRecord(machine.type, machine.spot, machine.addr, False)
            if self._replica.state.machines[partition.zone].get(machine.name) != record:
                writes.append(Write(records.machine_key(partition.zone, machine.name), record))
        for start in range(0, len(writes), self._transaction_changes):
            result = await self._replica.commit(
                writes[start : start + self._transaction_changes],
                [records.PARTITION + partition.zone],
                give_up_s=CORDON_TIMEOUT_S,
            )
            if result.status is not TransactionStatus.COMMITTED:
                return False
        return True


def _reset_unreleased(machines: list[Machine]) -> None:
    """Lets machines that were not released after all be used, or released, again.

    Also those that were left out because a task was recorded onto them meanwhile: they once stayed cordoned for ever.
    """
    for machine in machines:
        if machine.state is not MachineState.RELEASED:
            machine.release_after = time.monotonic() + RETRY_S
            machine.releasing = False
