"""Releases machines to the cloud: checks and cordons them, calls the cloud, and applies the confirmed release."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import MAX_RELEASED_MACHINES
from spurarch.storage import records
from spurarch.storage.cloud import Cloud, CloudError, NoCapacityError
from spurarch.storage.records import MachineRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionStatus, Write

log = logging.getLogger(__name__)

RELEASE_RETRY_S = 1.0
MAX_MACHINES_PER_RELEASE = 100
CORDON_TIMEOUT_S = 3.0
REPEATED_ATTEMPTS = 3  # a task with as many attempts was started repeatedly


class MachineReleaser:
    """Releases machines for this controller and keeps the names of those that it released."""

    def __init__(self, replica: Replica, cloud: Cloud, permissions: Permissions, transaction_changes: int) -> None:
        self._replica, self._cloud, self._permissions = replica, cloud, permissions
        self._transaction_changes = transaction_changes
        self._released: dict[str, str] = {}  # zones of the machines that this process released, by name

    async def release_owned(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        """Releases machines of a partition if a sync with the state service confirms that this controller owns it."""
        requested = machines
        try:
            # A controller that can't reach the state service may no longer own the partition. The machines then appear
            # silent to it while they send heartbeats to the new owner, and releasing them would end healthy tasks.
            if not await self._replica.sync() or not self._permissions.owns(owned.partition):
                return
            idle = [m for m in machines if m.state is MachineState.ACTIVE and m.is_empty]
            if not await self._cordon(owned.partition, idle) or not self._permissions.owns(owned.partition):
                return
            # A task may have been assigned to one of the idle machines while the transactions were committed.
            machines = [machine for machine in machines if machine not in idle or machine.is_empty]
            if machines:
                await self._release_if_still_owned(owned, machines)
        finally:
            _reset_unreleased(requested)

    async def _release_if_still_owned(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        for machine in machines:
            state = "responses-lost" if machine.responses_lost else machine.state.value
            log.info("releasing machine machine=%s state=%s tasks=%d", machine.name, state, len(machine.attempts))
            _log_repeated_tasks(machine)
        # Checked again right before the request is sent: the rate limiter may delay it, or this process may stall.
        await self._release(
            owned,
            machines,
            lambda: self._permissions.owns(owned.partition) and self._permissions.records_are_fresh(time.monotonic()),
        )

    async def release_overdue(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        """Releases machines with overdue cancelled tasks, even if the state service is unreachable."""
        log.info("releasing machines with overdue cancelled tasks machines=%s", ",".join(m.name for m in machines))

        def is_still_overdue() -> bool:
            now = time.monotonic()
            return (
                self._permissions.owns(owned.partition)
                and self._permissions.is_confirmed_since_stall(now)
                and any(machine.earliest_cancellation_at() is not None for machine in machines)
            )

        try:
            await self._release(owned, machines, is_still_overdue)
        finally:
            _reset_unreleased(machines)

    async def release_orphaned(self, zones: dict[str, str], may_release: Callable[[], bool]) -> None:
        """Releases machines whose partition no running controller owns; `zones` maps their names to zones."""
        log.info("releasing unowned machines with cancelled tasks machines=%s", ",".join(zones))
        try:
            await self._cloud.release(list(zones), may_release)
            self.add_released_machines(zones)
        except (CloudError, NoCapacityError) as err:
            log.info("machine release failed count=%d error=%s", len(zones), err)

    def was_released(self, name: str) -> bool:
        """Whether this process released the machine, among the last MAX_RELEASED_MACHINES."""
        return name in self._released

    def add_released_machines(self, zones: dict[str, str]) -> None:
        """Adds released machines, given as zones by name; drops the oldest beyond MAX_RELEASED_MACHINES."""
        self._released.update(zones)
        while len(self._released) > MAX_RELEASED_MACHINES:
            del self._released[next(iter(self._released))]

    def released_on_record(self) -> list[str]:
        """Returns released machines whose records still exist, at most MAX_MACHINES_PER_RELEASE.

        The records remain if another controller took over the partition before they were deleted, or if a delayed
        transaction wrote them. The owner would count the machines as capacity and wait for their heartbeats.
        """
        on_record = self._replica.state.machines
        return [name for name, zone in self._released.items() if name in on_record[zone]][:MAX_MACHINES_PER_RELEASE]

    async def _release(self, owned: OwnedPartition, machines: list[Machine], may_release: Callable[[], bool]) -> None:
        """Calls the cloud, and marks the machines as released once it confirms.

        The confirmation proves that no task runs on the machines any more.
        """
        try:
            await self._cloud.release([machine.name for machine in machines], may_release)
        except (CloudError, NoCapacityError) as err:
            log.info("machine release failed count=%d error=%s", len(machines), err)
            return
        for machine in machines:
            owned.partition.on_released(machine.name)
        self.add_released_machines({machine.name: machine.zone for machine in machines})
        await owned.wakeup.set()

    async def _cordon(self, partition: Partition, machines: list[Machine]) -> bool:
        """Cordons machines in their records, so that they are assigned no task while the cloud releases them.

        Returns False if a transaction was not committed.
        """
        writes = []
        for machine in machines:
            record = MachineRecord(machine.type, machine.spot, machine.addr, False)
            if self._replica.state.machines[partition.zone].get(machine.name) != record:
                writes.append(Write(records.machine_key(partition.zone, machine.name), record))
        for start in range(0, len(writes), self._transaction_changes):
            result = await self._replica.commit(
                writes[start : start + self._transaction_changes],
                [records.PARTITION + partition.zone],
                timeout_s=CORDON_TIMEOUT_S,
            )
            if result.status is not TransactionStatus.COMMITTED:
                return False
        return True


def _log_repeated_tasks(machine: Machine) -> None:
    """Logs a machine that is released with tasks most of which were started repeatedly before."""
    repeated = sum(attempt.number >= REPEATED_ATTEMPTS for attempt in machine.attempts.values())
    if 2 * repeated > len(machine.attempts):
        log.warning(
            "releasing machine with repeatedly started tasks machine=%s tasks=%d repeated=%d",
            machine.name,
            len(machine.attempts),
            repeated,
        )


def _reset_unreleased(machines: list[Machine]) -> None:
    """Clears `releasing` of machines that were not released, so that they can get tasks or be released later.

    This includes machines left out because they got a task in the meantime; otherwise they would stay cordoned forever.
    """
    for machine in machines:
        if machine.state is not MachineState.RELEASED:
            machine.release_after = time.monotonic() + RELEASE_RETRY_S
            machine.releasing = False
