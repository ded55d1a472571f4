"""The cloud: machine types, rentals, deletions and the lagging list, and the workers of its machines."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from stand_ins.http import Answer, Request, Server
from stand_ins.worker import Fleet, Worker


@dataclass
class MachineType:
    """A machine type; it is offered in all zones."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    boot_s: float
    capacity: int = 4  # machines in each zone
    fetch_gb_per_s: float = 0.15


@dataclass
class _Machine:
    name: str
    kind: MachineType
    zone: str
    spot: bool
    hired_at: float
    worker: Worker | None = None


class Cloud:
    """Rents machines, which become ready after the boot time of their type."""

    def __init__(self, fleet: Fleet, kinds: list[MachineType], zones: list[str], list_lag_s: float) -> None:
        self.fleet, self.zones, self._lag_s = fleet, zones, list_lag_s
        self._kinds = {kind.name: kind for kind in kinds}
        self._machines: dict[str, _Machine] = {}
        self._hires: dict[str, list[str]] = {}
        self._added = 0
        self.past_workers: list[Worker] = []  # of all machines, also those that are gone
        self.outage = False
        self.server = Server("127.0.0.1", 0, self._handle)

    async def add(self, kind: str, zone: str, spot: bool = False, boot_s: float = 0.0) -> str:
        """Adds a machine and returns its name; its worker starts after `boot_s`."""
        self._added += 1
        name = f"vm-{self._added:06d}"
        machine = self._machines[name] = _Machine(name, self._kinds[kind], zone, spot, time.monotonic())
        if boot_s:
            self.fleet.spawn(self._boot(machine, boot_s))
        else:
            await self._start(machine)
        return name

    async def _boot(self, machine: _Machine, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if machine.name in self._machines:
            await self._start(machine)

    async def _start(self, machine: _Machine) -> None:
        kind = machine.kind
        worker = Worker(self.fleet, machine.name, kind.name, machine.zone, machine.spot)
        worker.cpus, worker.memory_gb, worker.fetch_gb_per_s = kind.cpus, kind.memory_gb, kind.fetch_gb_per_s
        machine.worker = worker
        self.past_workers.append(worker)
        await worker.start()

    async def _handle(self, request: Request) -> Answer:
        if self.outage:
            return 503, {"error": "trouble"}
        if request.path == "/machine_types":
            return 200, {"builds": [self._offer(kind) for kind in self._kinds.values()]}
        if request.path == "/machines/release":
            for name in request.json()["crofts"]:
                machine = self._machines.pop(name, None)
                if machine is not None:
                    self.fleet.note("machine released", machine=name)
                    if machine.worker is not None:
                        machine.worker.end()
            return 200, {}
        if request.method == "POST":
            return await self._hire(request.json())
        return self._list(request.query)

    def _offer(self, kind: MachineType) -> dict[str, Any]:
        return {
            "sku": kind.name,
            "vcpus": kind.cpus,
            "gpus": 0,
            "memory_gb": kind.memory_gb,
            "local_gb": 40.0,
            "fetch_gb_per_s": kind.fetch_gb_per_s,
            "hourly": kind.price,
            "spot_price": kind.price / 3,
            "boot_s": kind.boot_s,
            "districts": self.zones,
        }

    async def _hire(self, body: dict[str, Any]) -> Answer:
        if body["hire"] in self._hires:
            return 200, {"crofts": self._hires[body["hire"]]}
        kind, zone = self._kinds[body["build"]], body["district"]
        held = sum(m.kind is kind and m.zone == zone for m in self._machines.values())
        count = min(body["how_many"], kind.capacity - held)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [await self.add(kind.name, zone, body["lendable"], kind.boot_s) for _ in range(count)]
        self._hires[body["hire"]] = names
        self.fleet.note("machines hired", machines=names, kind=kind.name, zone=zone)
        return 200, {"crofts": names}

    def _list(self, query: dict[str, str]) -> Answer:
        at = time.monotonic() - self._lag_s
        listed = [
            {
                "ref": machine.name,
                "addr": machine.worker.server.address if machine.worker is not None else "",
                "build": machine.kind.name,
                "district": machine.zone,
                "lendable": machine.spot,
                "standing": "booting" if machine.worker is None else "running",
                "held_s": at - machine.hired_at,
            }
            for name, machine in sorted(self._machines.items())
            if name > query.get("from", "") and machine.hired_at <= at
        ]
        most = min(500, int(query.get("most", "500")))
        return 200, {"crofts": listed[:most], "has_next": len(listed) > most}
