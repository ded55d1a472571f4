"""A simulated cloud, written from its published protocol."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio

from spurarch.transport.http import Request, Response
from tests.sim.fleet import Worker, World
from tests.sim.machine_type import MachineType
from tests.sim.store import json_response


class SimCloud:
    """A simulated cloud that rents, lists and releases machines."""

    def __init__(self, world: World, zones: list[str], nodes: list[tuple[str, str]], lag_s: float) -> None:
        self.world, self.zones, self.nodes, self.lag_s = world, zones, nodes, lag_s
        self.kinds: dict[str, MachineType] = {}
        self.rentals: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.never_ready = 0
        self.calls: list[float] = []
        self._next = 1

    def add(self, kind: MachineType, zone: str, spot: bool, boot: float) -> str:
        """Adds a machine that becomes ready after `boot` seconds, and returns its name."""
        name = f"vm-{self._next:06d}"
        self._next += 1
        at = self.world.clock.now
        self.machines[name] = {"kind": kind, "zone": zone, "spot": spot, "at": at, "up_at": at + boot, "gone": False}
        if self.never_ready > 0:
            self.never_ready -= 1
            self.machines[name]["up_at"] = 1e18
        return name

    async def run(self) -> None:
        """Starts the workers of machines that become ready."""
        while True:
            for name, m in self.machines.items():
                if not m["gone"] and name not in self.world.workers and self.world.clock.now >= m["up_at"]:
                    worker = Worker(self.world, name, m["kind"], m["zone"], m["spot"], self.nodes)
                    self.world.workers[name] = worker
                    await curio.spawn(worker.run, daemon=True)
            await curio.sleep(0.1)

    async def handle(self, request: Request) -> Response:
        """Handles a request to the API."""
        url = urlsplit(request.target)
        if url.path == "/machine_types":
            return json_response(
                200,
                {
                    "builds": [
                        {
                            "sku": k.name,
                            "vcpus": k.cpus,
                            "gpus": 0,
                            "memory_gb": k.memory,
                            "local_gb": 40.0,
                            "fetch_gb_per_s": 1.0,
                            "hourly": k.cpus / 10,
                            "spot_price": k.cpus / 30,
                            "boot_s": k.boot_s,
                            "districts": self.zones,
                        }
                        for k in self.kinds.values()
                    ]
                },
            )
        if url.path == "/machines/release":
            for name in json.loads(request.body)["crofts"]:
                if name in self.machines:
                    self.machines[name]["gone"] = True
                    self.machines[name].setdefault("gone_at", self.world.clock.now)
                if name in self.world.workers:
                    self.world.workers[name].fail()
            return json_response(200, {})
        if request.method == "POST":
            return self._rent(json.loads(request.body))
        return self._list({k: v[0] for k, v in parse_qs(url.query).items()})

    def _rent(self, body: dict[str, Any]) -> Response:
        if body["hire"] in self.rentals:
            return json_response(200, {"crofts": self.rentals[body["hire"]]})
        kind = self.kinds[body["build"]]
        rented = sum(
            m["kind"] is kind and m["zone"] == body["district"] and not m["gone"] for m in self.machines.values()
        )
        count = min(body["how_many"], kind.capacity - rented)
        if count <= 0:
            return json_response(503, {"error": "no capacity"})
        names = [self.add(kind, body["district"], body["lendable"], kind.boot_s) for _ in range(count)]
        self.rentals[body["hire"]] = names
        return json_response(200, {"crofts": names})

    def _list(self, query: dict[str, str]) -> Response:
        listed_at = self.world.clock.now - self.lag_s
        out = []
        for name, m in sorted(self.machines.items()):
            worker = self.world.workers.get(name)
            if name <= query.get("from", "") or m["at"] > listed_at or m["gone"]:
                continue
            state = "booting" if worker is None else "running" if worker.up else "failed"
            out.append(
                {
                    "ref": name,
                    "addr": "",
                    "build": m["kind"].name,
                    "district": m["zone"],
                    "lendable": m["spot"],
                    "standing": state,
                    "held_s": listed_at - m["at"],
                }
            )
        return json_response(200, {"crofts": out, "has_next": False})
