"""Fleets of 4,000 machines, with 1,500 and more of them in one zone: no bound or message size may be too small."""

from __future__ import annotations

from random import Random
from urllib.parse import parse_qs, urlsplit

import msgspec

from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.partition.state import MAX_RELEASED_MACHINES
from spurarch.coordination.partition.terminal_records import TerminalRecords
from spurarch.coordination.scheduling.local_search import refine
from spurarch.coordination.scheduling.placement import TaskPlacer
from spurarch.protocol import peer_messages
from spurarch.settings import Tuning
from spurarch.storage import records
from spurarch.storage.cloud import Cloud
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, TaskEntry
from spurarch.transport import frames, sockets
from tests.sim.clock import Clock
from tests.test_scale import Fleet, count_calls, submission

MACHINES = 4000
PAGE = 500


def test_decisions_over_the_whole_fleet_in_one_partition() -> None:
    """The whole fleet is in one zone: a round places tasks, the leader admits a job, the local search refines."""
    fleet = Fleet(MACHINES)
    fleet.put(f"{records.JOB}job-9001", JobRecord(submission("job-9001", 1000), 1.0))
    fleet.put(str(AllocationKey("a", "job-9001", 0)), AllocationRecord([TaskEntry(n) for n in range(100)]))
    fleet.put(f"{records.JOB}job-9002", JobRecord(submission("job-9002", 100), 1.0))
    fleet.apply_changes([str(AllocationKey("a", "job-9001", 0))])
    placed = TaskPlacer().run_round(fleet.partition, fleet.view, 2.0, lambda: False, 200)
    assert sum(map(len, placed.entries.values())) == 100
    plan = AdmissionPlanner(fleet.view, 2.0).run(None, lambda: False, 24)
    assert sum(len(grant.entries) for grant in plan.grants if grant.job == "job-9002") == 100
    refine(fleet.partition, fleet.view, Tuning(), 2.0, Random(1), lambda: False)


def test_a_task_end_and_the_deletion_of_records_cost_the_same_as_in_a_small_fleet() -> None:
    costs = []
    for machines in (400, MACHINES):
        fleet = Fleet(machines)
        token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-7"])
        ended = fleet.build_heartbeat(7, 3, token)
        ended.tasks[0] = msgspec.structs.replace(ended.tasks[0], state="ended", exit_reason="done")
        heartbeat_calls = count_calls(lambda f=fleet, r=ended: f.partition.on_heartbeat(r, 2.0))  # type: ignore[misc]
        deletion_calls = count_calls(lambda f=fleet: TerminalRecords(f.partition.state).deletable_allocations(f.state))  # type: ignore[misc]
        costs.append((heartbeat_calls, deletion_calls))
    assert costs[0] == costs[1]


def test_a_machine_list_of_many_overlapping_pages_is_read_completely() -> None:
    names = [f"vm-{n:06d}" for n in range(2 * MACHINES)]

    class Client:
        """A cloud whose every other page repeats the last machine of the previous page."""

        async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
            after = parse_qs(urlsplit(target).query).get("from", [""])[0]
            at = next((i for i, name in enumerate(names) if name > after), len(names))
            at = max(0, at - 1) if at % (2 * PAGE) else at
            listed = [
                {
                    "ref": name,
                    "addr": "10.1.0.1:9000",
                    "build": "big",
                    "district": "a",
                    "lendable": False,
                    "standing": "running",
                    "held_s": 1.0,
                }
                for name in names[at : at + PAGE]
            ]
            return 200, msgspec.json.encode({"crofts": listed, "has_next": at + PAGE < len(names)})

    async def main() -> None:
        found = await Cloud(Client(), 8.0, 1).machines()
        assert {machine.id for machine in found} == set(names)

    Clock().run(main)


def test_peer_messages_and_bounds_are_large_enough_for_the_fleet() -> None:
    names = [f"vm-{n:06d}" for n in range(MACHINES)]
    jobs = [f"job-{n:012d}" for n in range(4 * MACHINES)]
    pong = peer_messages.Pong("node-0", "boot", True, jobs, [("zone", "node-0", 2**40)] * 20, 1.0, 1.0)
    load = peer_messages.Load("node-0", 1.0, False, [("zone", MACHINES)] * 20, names, 0)
    for message in (pong, load):
        assert len(peer_messages.encode(message)) <= frames.MAX_FRAME_BYTES
    assert min(MAX_RELEASED_MACHINES, sockets.BACKLOG) >= MACHINES


def test_a_new_owner_reads_all_records_at_a_bounded_cost() -> None:
    """A new owner applies the records of 4,000 machines and as many jobs; the bound is generous."""
    fleet = Fleet(MACHINES)
    assert len(fleet.partition.machines) == MACHINES
    work = count_calls(lambda: fleet.partition.apply_records(fleet.state, list(fleet.state.entries), 3.0))
    assert work <= 120 * MACHINES
