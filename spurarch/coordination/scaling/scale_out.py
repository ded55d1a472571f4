"""Scale out by the leader: the machine list, requests for missing capacity, and machines that never become ready."""

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

LIST_INTERVAL_S = 5.0
TYPES_INTERVAL_S = 60.0
NEVER_READY_BOOT_TIMES = 4.0
NEVER_READY_LEAST_S = 90.0
FRESH_S = 3.0  # age of the copy of the records by which this process still acts as the leader
SLOW_START_S = 60.0  # a machine that takes longer may never come up


@dataclass(frozen=True, slots=True)
class BootingMachine:
    """A machine that was requested and is not on record yet, as it has sent no heartbeat."""

    kind: MachineKind
    since: float  # monotonic, in seconds


class ScaleOut:
    """Keeps machine types and prices up to date; requests machines while this process leads."""

    def __init__(self, context: LeaderContext) -> None:
        self._replica, self._membership, self._view = context.replica, context.membership, context.view
        self._cloud, self._stall_detector = context.cloud, context.stall_detector
        self._deployment, self._tuning = context.deployment, context.tuning
        self._process_incarnation = context.process_incarnation
        self.shortages: list[CapacityShortage] = []
        self.booting: dict[str, BootingMachine] = {}
        self._exhausted_until: dict[MachineKind, float] = {}
        self._requests_made = 0
        self._term: int | None = None  # under which this process requests machines
        self._listed = False

    def begin_term(self, term: int) -> None:
        """This process leads from now on."""
        self._term = term

    def end_term(self) -> None:
        """This process does not lead any more, or can't be sure that it does."""
        self._term, self._listed = None, False

    def booting_capacity(self, now: float) -> list[MachineCapacity]:
        """Capacity of machines that boot, except those that take so long that they may never become ready."""
        self._forget_started()
        return [
            empty_capacity(self._view, self._view.machine_types[b.kind.type], b.kind)
            for b in self.booting.values()
            if b.kind.type in self._view.machine_types and now - b.since < SLOW_START_S
        ]

    def _may_act(self) -> bool:
        """Whether this process leads, by a recent copy of the records.

        One that was stalled would request machines twice, or release machines that the next leader uses by now.
        """
        now = time.monotonic()
        fresh = now - self._replica.synced_at < FRESH_S and self._stall_detector.confirmed_since_stall(
            now, self._replica.synced_at
        )
        leading = self._term is not None and self._membership.confirmed_term == self._term
        return leading and fresh and self._replica.store.trusted

    async def run(self) -> None:
        """Keeps types and prices up to date on every controller; the leader also lists and requests machines."""
        types_at = list_at = -1e9
        while True:
            now = time.monotonic()
            try:
                if now - types_at > TYPES_INTERVAL_S or not self._view.machine_types:
                    self._view.set_machine_types(await self._cloud.types())
                    types_at = now
                    await self._replica.notify()
                if self._may_act():
                    if now - list_at > LIST_INTERVAL_S or not self._listed:
                        await self._check_machine_list()
                        list_at = now
                    await self._request_missing()
            except (CloudError, NoCapacityError) as err:
                log.info("cloud call failed error=%s", err or "no capacity")
            except curio.CancelledError:
                raise
            except Exception:  # a failure here must not end the controller
                log.exception("cloud round failed")
            await curio.sleep(self._tuning.scale_out_interval_s if self._view.machine_types else 0.3)

    def _forget_started(self) -> None:
        machines = self._replica.state.machines
        up = [name for name, booting in self.booting.items() if name in machines[booting.kind.zone]]
        for name in up:
            del self.booting[name]

    async def _check_machine_list(self) -> None:
        """Finds machines that boot, and releases those that never became ready or failed before they were on record."""
        machines = await self._cloud.machines()
        now = time.monotonic()
        self._listed = True
        known = {name for zone in self._deployment.zones for name in self._replica.state.machines[zone]}
        unusable = []
        for machine in machines:
            if machine.id in known:
                continue
            offer = self._view.machine_types.get(machine.type)
            timeout_s = max(NEVER_READY_LEAST_S, NEVER_READY_BOOT_TIMES * (offer.boot_s if offer else 60.0))
            if machine.state == wire.FAILED or machine.age_s > timeout_s:
                unusable.append(machine.id)
                self.booting.pop(machine.id, None)
            elif machine.state == wire.BOOTING and machine.id not in self.booting:
                kind = MachineKind(machine.type, machine.zone, machine.spot)
                self.booting[machine.id] = BootingMachine(kind, now - machine.age_s)
        self._forget_started()
        for name, booting in list(self.booting.items()):
            if now - booting.since > NEVER_READY_LEAST_S * 2:
                del self.booting[name]
        if unusable:
            log.info("releasing machines that never became ready machines=%s", ",".join(unusable[:100]))
            await self._cloud.release(unusable[:100], self._may_act)

    async def _request_missing(self) -> None:
        self._forget_started()
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
        # The process's own nonce keeps a name from ever being used again, by whichever controller.
        request = wire.ScaleOutRequest(
            f"{self._process_incarnation}-{self._requests_made}", kind.type, kind.zone, kind.spot, order.count
        )
        for _ in range(3):
            try:
                names = await self._cloud.scale_out(request, self._may_act)
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
            return  # it may still be carried out: the machines then appear in the list and send heartbeats
        now = time.monotonic()
        log.info("scale out granted count=%d requested=%d kind=%s", len(names), order.count, kind)
        for name in names:
            self.booting[name] = BootingMachine(kind, now)
        if len(names) < order.count:
            self._exhausted_until[kind] = now + self._tuning.capacity_backoff_s
