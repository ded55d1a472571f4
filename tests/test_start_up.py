"""A restarted controller must answer workers before their leases expire, so it imports few modules before that."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from tests.test_requests_and_settings import PLATFORM

ROOT = Path(__file__).parent.parent

# Modules that curio, the command line or reading the settings could import, and those that only later work needs.
NOT_NEEDED = {
    "argparse",
    "asyncio",
    "multiprocessing",
    "ssl",
    "subprocess",
    "concurrent.futures",
    "secrets",
    "pathlib",
    "curio.channel",
    "curio.file",
    "curio.network",
    "curio.socket",
    "curio.ssl",
    "sexpdata",
    "spurarch.coordination.extension",
    "spurarch.coordination.leader",
    "spurarch.coordination.leader_context",
    "spurarch.coordination.membership.freshness",
    "spurarch.coordination.admission.job_admission",
    "spurarch.coordination.membership.partition_assignment",
    "spurarch.coordination.admission.plan",
    "spurarch.coordination.admission.planner",
    "spurarch.coordination.admission.planning_state",
    "spurarch.coordination.admission.negative_cache",
    "spurarch.coordination.admission.preemption",
    "spurarch.coordination.admission.array_planner",
    "spurarch.coordination.admission.replica_planner",
    "spurarch.coordination.admission.gang_planner",
    "spurarch.coordination.partition.allocation_changes",
    "spurarch.coordination.partition.record_feed",
    "spurarch.coordination.partition.record_follower",
    "spurarch.coordination.partition.record_writer",
    "spurarch.coordination.partition.rounds",
    "spurarch.coordination.partition.terminal_records",
    "spurarch.coordination.runtime.round_budget",
    "spurarch.coordination.scheduling.array_placement",
    "spurarch.coordination.scheduling.best_fit",
    "spurarch.coordination.scheduling.gang_placement",
    "spurarch.coordination.scheduling.guarantee_preemption",
    "spurarch.coordination.scheduling.local_search",
    "spurarch.coordination.scheduling.moved_replicas",
    "spurarch.coordination.scheduling.placement",
    "spurarch.coordination.scheduling.placement_state",
    "spurarch.coordination.scheduling.placement_round",
    "spurarch.coordination.scheduling.preemption",
    "spurarch.coordination.scheduling.priority_preemption",
    "spurarch.coordination.scheduling.round_capacities",
    "spurarch.coordination.scheduling.service_placement",
    "spurarch.coordination.scheduling.tabu_search",
    "spurarch.coordination.scheduling.task_return",
    "spurarch.coordination.scaling.scale_out_planner",
    "spurarch.storage.history",
    "spurarch.storage.seeds",
    "spurarch.protocol.recovery_messages",
    "spurarch.recovery",
    "spurarch.archive",
}
MAX_MODULES = 170

# Starts a controller that owns a partition in a simulated state service, and sends it a worker's heartbeats.
SCRIPT = """
import json, sys
sys.path[:0] = json.loads(sys.argv[1])
before = set(sys.modules)
from spurarch import cli
Controller = cli.load_controller()
import curio
from spurarch.settings import Tuning, load_platform
from spurarch.transport.http import Request, Response

REPORT = {"croft": "vm-1", "addr": "10.1.0.1:9000", "build": "small", "district": "a", "lendable": False,
          "tenure": 1, "tally": 1, "baton": 0, "legs": []}
PART = {"key": "live/part/a", "value": {"node": "n0", "epoch": 4, "boot": "earlier"}, "stamp": 7}


class Client:
    async def request(self, method, target, body, timeout_s):
        if target.startswith("/kv?"):
            items = [PART] if "part" in target else []
            return 200, json.dumps({"items": items, "has_next": False, "ledger": 9}).encode()
        if target == "/txn":
            return 200, b'{"ledger": 10}'
        await curio.sleep(60)


class Server:
    async def run(self):
        await curio.sleep(60)


class Network:
    def client(self, *args): return Client()
    def server(self, *args): return Server()
    def peer_client(self, *args): return Client()
    def peer_server(self, *args): return Server()


async def main():
    controller = Controller(load_platform(sys.argv[2]), Tuning(), Network())
    service = await curio.spawn(controller.run, daemon=True)
    loaded = None
    while loaded is None:
        answer = await controller.handle(Request("POST", "/agent/beat", json.dumps(REPORT).encode()))
        if answer.status == 200:
            loaded = sorted(set(sys.modules) - before)
        await curio.sleep(0)
    await service.cancel()
    return loaded

print(json.dumps(curio.run(main)))
"""


def test_modules_not_needed_for_the_first_heartbeat_response_are_not_imported(tmp_path: Path) -> None:
    platform = tmp_path / "platform.toml"
    platform.write_text(PLATFORM)
    paths = json.dumps([str(ROOT), *sys.path])
    result = subprocess.run(
        [sys.executable, "-S", "-E", "-c", SCRIPT, paths, str(platform)], capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
    loaded = set(json.loads(result.stdout))
    assert "spurarch.coordination.partition.owner" in loaded
    assert not NOT_NEEDED & loaded
    assert len(loaded) <= MAX_MODULES
