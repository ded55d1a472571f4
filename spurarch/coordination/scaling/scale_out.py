"""Scale out: reads machine types, and on the leader requests missing capacity and releases failed machines."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

import curio

from spurarch.coordination.admission.plan import CapacityShortage
from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.leader_context import LeaderContext
from spurarch.coordination.scaling.scale_out_planner import (
    FreedCapacityEstimate,
    MachineKind,
    ScaleOutOrder,
    empty_capacity,
    plan_scale_out,
)
from spurarch.protocol import wire
from spurarch.storage.cloud import CloudError, NoCapacityError

log = logging.getLogger(__name__)

MACHINE_LIST_INTERVAL_S = 5.0
MACHINE_TYPES_INTERVAL_S = 60.0
READY_TIMEOUT_BOOT_TIMES = 4.0  # in boot times of the machine type
MIN_READY_TIMEOUT_S = 90.0
MAX_COPY_AGE_S = 3.0  # of the records by which this process may act as the leader
MAX_EXPECTED_BOOT_S = 60.0  # a machine that boots for longer may never become ready


@dataclass(frozen=True, slots=True)
class BootingMachine:
    """A requested machine that has no record in the state service yet, since it has sent no heartbeat."""

    kind: MachineKind
    requested_at: float  # seconds of the monotonic clock


class ScaleOut:
    """Keeps machine types and prices up to date; requests machines while this process is the leader."""

    def __init__(self, context: LeaderContext) -> None:
        self._replica, self._membership, self._view = context.replica, context.membership, context.view
        self._cloud, self._stall_detector = context.cloud, context.stall_detector
        self._deployment, self._tuning = context.deployment, context.tuning
        self._process_incarnation = context.process_incarnation
        self.shortages: list[CapacityShortage] = []
        self.booting: dict[str, BootingMachine] = {}
        self._exhausted_until: dict[MachineKind, float] = {}  # kinds without capacity, not requested until then
        self._requests_made = 0
        self._term: int | None = None  # in which this process is the leader; None if it is not
        self._has_list = False  # whether the machine list was read in this term

    def begin_term(self, term: int) -> None:
        """Starts acting as the leader of a term (see `Membership.confirmed_term`)."""
        self._term = term

    def end_term(self) -> None:
        """Stops acting as the leader, since the leadership ended or is unconfirmed."""
        self._term, self._has_list = None, False

    def booting_capacity(self, now: float) -> list[MachineCapacity]:
        """Capacity of booting machines, except those that boot for longer than MAX_EXPECTED_BOOT_S."""
        self._drop_recorded()
        return [
            empty_capacity(self._view, self._view.machine_types[b.kind.type], b.kind)
            for b in self.booting.values()
            if b.kind.type in self._view.machine_types and now - b.requested_at < MAX_EXPECTED_BOOT_S
        ]

    def _may_act_as_leader(self) -> bool:
        """Whether this process is the leader according to a recent copy of the records.

        Without this check, a former leader that resumes after a stall would request machines twice, or release
        machines that the next leader uses.
        """
        now = time.monotonic()
        fresh = now - self._replica.synced_at < MAX_COPY_AGE_S and self._stall_detector.confirmed_since_stall(
            now, self._replica.synced_at
        )
        is_leader = self._term is not None and self._membership.confirmed_term == self._term
        return is_leader and fresh and self._replica.store.trusted

    async def run(self) -> None:
        """Reads types and prices on every controller; the leader also lists and requests machines."""
        types_read_at = list_read_at = -1e9
        while True:
            now = time.monotonic()
            try:
                if now - types_read_at > MACHINE_TYPES_INTERVAL_S or not self._view.machine_types:
                    self._view.set_machine_types(await self._cloud.machine_types())
                    types_read_at = now
                    await self._replica.notify()
                if self._may_act_as_leader():
                    if now - list_read_at > MACHINE_LIST_INTERVAL_S or not self._has_list:
                        await self._check_machine_list()
                        list_read_at = now
                    await self._request_missing_capacity()
            except (CloudError, NoCapacityError) as err:
                log.info("cloud call failed error=%s", err or "no capacity")
            except curio.CancelledError:
                raise
            except Exception:  # a failure here must not end the controller
                log.exception("scale out round failed")
            await curio.sleep(self._tuning.scale_out_interval_s if self._view.machine_types else 0.3)

    def _drop_recorded(self) -> None:
        machines = self._replica.state.machines
        recorded = [name for name, booting in self.booting.items() if name in machines[booting.kind.zone]]
        for name in recorded:
            del self.booting[name]

    async def _check_machine_list(self) -> None:
        """Adds listed booting machines; releases machines without a record that failed or were not ready in time."""
        machines = await self._cloud.machines()
        now = time.monotonic()
        self._has_list = True
        on_record = {name for zone in self._deployment.zones for name in self._replica.state.machines[zone]}
        unusable = []
        for machine in machines:
            if machine.id in on_record:
                continue
            offer = self._view.machine_types.get(machine.type)
            timeout_s = max(MIN_READY_TIMEOUT_S, READY_TIMEOUT_BOOT_TIMES * (offer.boot_s if offer else 60.0))
            if machine.state == wire.FAILED or machine.age_s > timeout_s:
                unusable.append(machine.id)
                self.booting.pop(machine.id, None)
            elif machine.state == wire.BOOTING and machine.id not in self.booting:
                kind = MachineKind(machine.type, machine.zone, machine.spot)
                self.booting[machine.id] = BootingMachine(kind, now - machine.age_s)
        self._drop_recorded()
        for name, booting in list(self.booting.items()):
            if now - booting.requested_at > MIN_READY_TIMEOUT_S * 2:
                del self.booting[name]
        if unusable:
            log.info("releasing machines that never became ready machines=%s", ",".join(unusable[:100]))
            await self._cloud.release(unusable[:100], self._may_act_as_leader)

    async def _request_missing_capacity(self) -> None:
        self._drop_recorded()
        now = time.monotonic()
        self._exhausted_until = {kind: until for kind, until in self._exhausted_until.items() if until > now}
        unreachable = self._view.unreachable_zones()
        orders = plan_scale_out(
            self._view,
            self.shortages,
            [b.kind for b in self.booting.values() if b.kind.zone not in unreachable],
            set(self._exhausted_until),
            [zone for zone in self._deployment.zones if zone not in unreachable],
            FreedCapacityEstimate(self._view, self._tuning.turnover_share),
            time.time(),
        )
        for order in orders:
            await self._request_machines(order)

    async def _request_machines(self, order: ScaleOutOrder) -> None:
        self._requests_made += 1
        kind = order.kind
        # The process incarnation makes the request id unique among all controllers and their restarts.
        request = wire.ScaleOutRequest(
            f"{self._process_incarnation}-{self._requests_made}", kind.type, kind.zone, kind.spot, order.count
        )
        for _ in range(3):
            try:
                names = await self._cloud.scale_out(request, self._may_act_as_leader)
                break
            except NoCapacityError:
                log.info("cloud has no capacity kind=%s", kind)
                self._exhausted_until[kind] = time.monotonic() + self._tuning.capacity_backoff_s
                return
            except CloudError as err:
                log.info("scale out request failed request=%s error=%s", request.request_id, err)
                if not err.outcome_unknown:
                    return
        else:
            return  # the cloud may still execute it; the machines then appear in the list and send heartbeats
        now = time.monotonic()
        log.info("scale out granted count=%d requested=%d kind=%s", len(names), order.count, kind)
        for name in names:
            self.booting[name] = BootingMachine(kind, now)
        if len(names) < order.count:
            self._exhausted_until[kind] = now + self._tuning.capacity_backoff_s
