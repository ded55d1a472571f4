"""The faults that a soak run injects: into controllers, the network, the state service and machines."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import TYPE_CHECKING

import curio

from tests.sim.soak_plan import InjectedFault
from tests.sim.soak_world import LATE_COMMAND_S
from tests.sim.store import MAX_TRANSACTION_DELAY_S

if TYPE_CHECKING:
    from tests.sim.soak import Soak

SLOW_READ_S, SLOW_PAGE_S = 0.4, 0.6
LATE_SHARE = 0.4  # of transactions, heartbeats, and direct commands that are repeated
REPEATED_COMMAND_LEASES = 1.5  # longest delay of a copy of direct commands, in lease durations
MAX_LOST_ANSWERS_S = 1.5
MAX_REPEATED_TRANSACTIONS = 200  # the latest ones
LEADERS_IN_SERIES = 4  # leaders that are killed one after the other
MAX_CANCELLED_AT_ONCE = 4  # jobs
CANCELLED_ON_HANGING_MACHINES = 2  # of these

Inject = Callable[[InjectedFault], Awaitable[None]]


class FaultInjector:
    """Injects the faults of one run; each ends by itself.

    Attributes:
        end_at: When the effects of all faults so far have ended, on the run's clock.
    """

    def __init__(self, run: Soak) -> None:
        self._run = run
        self.end_at = 0.0
        self._injections: dict[str, Inject] = {
            "kill": self._kill,
            "kill-leader": self._kill_leader,
            "kill-all": self._kill_all,
            "leaders-in-series": self._kill_leaders_in_series,
            "pause": self._pause,
            "pause-leader": self._pause_leader,
            "peers-hold": self._cut_peers,
            "peers-refuse": self._cut_peers,
            "refuse-leader": self._refuse_leader,
            "outage": self._outage,
            "slow-state": self._slow_state,
            "late-writes": self._late_writes,
            "lost-answers": self._lose_answers,
            "repeated-writes": self._repeat_writes,
            "too-old": self._too_old,
            "no-watch": self._no_watch,
            "slow-pages": self._slow_pages,
            "hang": self._hang,
            "deaf": self._lose_responses,
            "late-responses": self._late_responses,
            "mute": self._lose_heartbeats,
            "machine-dies": self._fail_machine,
            "late-reports": self._late_heartbeats,
            "late-commands": self._late_commands,
            "repeated-commands": self._repeat_commands,
            "cancel-burst": self._cancel_burst,
        }

    async def inject(self, fault: InjectedFault) -> None:
        """Injects a fault; raises ValueError for an unknown kind."""
        self._run.record_event("trouble", asdict(fault))
        self._extend(self._until(fault))
        injection = self._injections.get(fault.kind)
        if injection is None:
            raise ValueError(f"unknown trouble {fault.kind}")
        await injection(fault)

    def _until(self, fault: InjectedFault) -> float:
        return self._run.clock.now + fault.for_s

    def _extend(self, until: float) -> None:
        self.end_at = max(self.end_at, until)

    def _node(self, fault: InjectedFault) -> int:
        """Returns the index of the controller that the fault affects."""
        return int(fault.choice * len(self._run.nodes))

    def _leader(self, fault: InjectedFault) -> int:
        """Returns the index of the leader; without one, that of the controller that the fault affects."""
        leader = self._run.leader()
        return leader if leader is not None else self._node(fault)

    def _machines(self, fault: InjectedFault) -> list[str]:
        """Returns the names of the machines that the fault affects: an eighth of them, one at least."""
        names = sorted(name for name, worker in self._run.world.workers.items() if worker.up)
        return names[int(fault.choice * len(names)) :][: max(1, len(names) // 8)]

    # Controllers

    async def _kill(self, fault: InjectedFault) -> None:
        await self._restart(self._node(fault), fault.for_s)

    async def _kill_leader(self, fault: InjectedFault) -> None:
        await self._restart(self._leader(fault), fault.for_s)

    async def _kill_all(self, fault: InjectedFault) -> None:
        for index in range(len(self._run.nodes)):
            await curio.spawn(self._restart, index, fault.for_s, daemon=True)

    async def _kill_leaders_in_series(self, _fault: InjectedFault) -> None:
        for _ in range(LEADERS_IN_SERIES):
            current = self._run.leader()
            if current is not None:
                await self._restart(current, 0.2)
            await curio.sleep(1.0)

    async def _restart(self, index: int, for_s: float) -> None:
        if f"n{index}" not in self._run.processes:
            return
        self._run.kill(f"n{index}")
        await curio.sleep(for_s)
        if f"n{index}" not in self._run.processes:
            self._run.start_controller(index)

    async def _pause(self, fault: InjectedFault) -> None:
        await self._pause_controller(self._node(fault), fault.for_s)

    async def _pause_leader(self, fault: InjectedFault) -> None:
        await self._pause_controller(self._leader(fault), fault.for_s)

    async def _pause_controller(self, index: int, for_s: float) -> None:
        process = self._run.processes.get(f"n{index}")
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await curio.sleep(for_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _cut_peers(self, fault: InjectedFault) -> None:
        """Holds or refuses requests of a controller to one peer or to all peers."""
        relays = self._run.relays
        pairs = [pair for pair in relays if pair[0] == self._node(fault)]
        for pair in pairs if fault.choice * 10 % 2 < 1 else pairs[:1]:
            relays[pair].held = fault.kind == "peers-hold"
            relays[pair].refused = fault.kind == "peers-refuse"
        await curio.sleep(fault.for_s)
        for pair in pairs:
            relays[pair].held = relays[pair].refused = False

    # State service

    async def _refuse_leader(self, fault: InjectedFault) -> None:
        self._run.store.refused_until[f"n{self._leader(fault)}"] = self._until(fault)

    async def _outage(self, fault: InjectedFault) -> None:
        self._run.store.outage(fault.for_s)

    async def _slow_state(self, fault: InjectedFault) -> None:
        self._run.store.slow_until, self._run.store.slow_s = self._until(fault), SLOW_READ_S

    async def _late_writes(self, fault: InjectedFault) -> None:
        self._run.store.late_until, self._run.store.late_share = self._until(fault), LATE_SHARE
        self._extend(self._until(fault) + MAX_TRANSACTION_DELAY_S)

    async def _lose_answers(self, fault: InjectedFault) -> None:
        self._run.store.lose_answers_until = self._run.clock.now + min(fault.for_s, MAX_LOST_ANSWERS_S)

    async def _repeat_writes(self, _fault: InjectedFault) -> None:
        """Delivers the latest transactions once more; a change by one of them may be a defect."""
        store = self._run.store
        rates = dict(store._rates)
        applied = store._applied[-MAX_REPEATED_TRANSACTIONS:]
        for body in list(applied):
            store._rates["writes"] = (1e9, 1e9, self._run.clock.now)
            store._txn(body)
        store._rates = rates

    async def _too_old(self, fault: InjectedFault) -> None:
        self._run.store.too_old[f"n{self._node(fault)}"] = self._until(fault)

    async def _no_watch(self, fault: InjectedFault) -> None:
        self._run.store.no_watch[f"n{self._node(fault)}"] = self._until(fault)

    async def _slow_pages(self, fault: InjectedFault) -> None:
        host = f"n{self._node(fault)}"
        self._run.store.slow_pages[host] = SLOW_PAGE_S
        self._run.store.too_old[host] = self._run.clock.now + 0.5

    # Machines and their messages

    async def _hang(self, fault: InjectedFault) -> None:
        for name in self._machines(fault):
            self._run.world.workers[name].hang_until = self._until(fault)

    async def _lose_responses(self, fault: InjectedFault) -> None:
        self._run.links.responses_lost_until |= dict.fromkeys(self._machines(fault), self._until(fault))

    async def _late_responses(self, fault: InjectedFault) -> None:
        self._run.links.responses_late_until |= dict.fromkeys(self._machines(fault), self._until(fault))

    async def _lose_heartbeats(self, fault: InjectedFault) -> None:
        self._run.links.heartbeats_lost_until |= dict.fromkeys(self._machines(fault), self._until(fault))

    async def _fail_machine(self, fault: InjectedFault) -> None:
        self._run.world.workers[self._machines(fault)[0]].fail()

    async def _late_heartbeats(self, fault: InjectedFault) -> None:
        world = self._run.world
        world.late_heartbeats_until, world.late_heartbeats_share = self._until(fault), LATE_SHARE
        self._extend(self._until(fault) + 2 * self._run.settings.lease_s)

    async def _late_commands(self, fault: InjectedFault) -> None:
        self._run.links.late_commands_until = self._until(fault)
        self._extend(self._until(fault) + LATE_COMMAND_S[1])

    async def _repeat_commands(self, fault: InjectedFault) -> None:
        world = self._run.world
        within_s = REPEATED_COMMAND_LEASES * self._run.settings.lease_s
        world.repeated_commands_until, world.repeated_commands_share = self._until(fault), LATE_SHARE
        world.repeated_commands_within_s = within_s
        self._extend(self._until(fault) + within_s)

    async def _cancel_burst(self, fault: InjectedFault) -> None:
        """Cancels several jobs at once, while the machines of two of them hang."""
        world = self._run.world
        jobs = sorted({task.name.split("/")[0] for _, task in world.on_machines()} - self._run.cancelled)
        for job_id in jobs[:MAX_CANCELLED_AT_ONCE]:
            await curio.spawn(self._run.cancel_job, job_id, daemon=True)
        for worker, task in list(world.on_machines()):
            if task.name.split("/")[0] in jobs[:CANCELLED_ON_HANGING_MACHINES]:
                worker.hang_until = max(worker.hang_until, self._until(fault))
