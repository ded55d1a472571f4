"""Work of a controller that must not grow with the size of the fleet, counted in calls and not in time."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable, Iterable
from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.partition.allocation_changes import merge_changes
from spurarch.coordination.partition.machine import AttemptPhase, Machine
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import PartitionContext
from spurarch.coordination.partition.terminal_records import TerminalRecords
from spurarch.coordination.rate_sharing import rate_shares
from spurarch.coordination.scheduling import best_fit as best_fit_module
from spurarch.coordination.scheduling.best_fit import best_fit, book_by_best_fit, fitting
from spurarch.coordination.scheduling.placement import TaskPlacer
from spurarch.coordination.scheduling.tabu_search import PlacedTask, Search, Weights
from spurarch.protocol import wire
from spurarch.settings import StateLimits, Team
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.rate_limits import borrowed_share
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, MachineRecord, TaskEntry
from spurarch.storage.store import Store
from tests.sim.clock import Clock


def count_calls(work: Callable[[], Any]) -> int:
    """Counts the Python and C calls that `work` makes; garbage collection is off, so that no finalizers are counted."""
    count = 0

    def on_event(_frame: object, event: str, _arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    gc.collect()
    gc.disable()
    sys.setprofile(on_event)
    try:
        work()
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def submission(job_id: str, tasks: int) -> wire.Submission:
    return wire.Submission(
        job_id,
        "c",
        "t",
        wire.BATCH,
        "high",
        tasks,
        1.0,
        0.0,
        1.0,
        "image",
        1.0,
        False,
        False,
        True,
        10.0,
        0.0,
        0.0,
    )


class Fleet:
    """A partition whose machines each run four tasks of a job of their own, with the fleet view of these records."""

    def __init__(self, machines: int) -> None:
        self.state = ClusterState()
        self.view = FleetView(self.state, [Team("t")])
        self.view.set_machine_types([wire.MachineType("big", 32.0, 0.0, 128.0, 1.0, 0.5, 30.0, ["a"])])
        self.time_since_cancellation: Callable[[str], float | None] = lambda job: None
        context = PartitionContext(lambda job: 0, lambda job: self.time_since_cancellation(job))
        self.partition = Partition("a", 1, 10.0, 0.0, context)
        for i in range(machines):
            self.put(records.machine_key("a", f"vm-{i}"), MachineRecord("big", False, "10.1.0.1:9000"))
            self.put(f"{records.JOB}job-{i}", JobRecord(submission(f"job-{i}", 4), 0.0))
            self.put(str(AllocationKey("a", f"job-{i}", 0)), self.allocation_record(i, records.ASSIGNED))
        self.partition.state.records_read = True
        self.apply_changes(list(self.state.entries))
        for i in range(machines):
            self.heartbeat(i, 1, 0)
            self.heartbeat(i, 2, self.partition.state.fencing_token(self.partition.machines[f"vm-{i}"]))

    @staticmethod
    def allocation_record(i: int, last: int) -> AllocationRecord:
        """Four tasks of a job on one machine; the last one in the given state."""
        states = [records.ASSIGNED] * 3 + [last]
        return AllocationRecord([TaskEntry(n, state, 1, f"vm-{i}", 1) for n, state in enumerate(states)])

    def put(self, key: str, record: Any) -> None:
        """Writes a record to the replica of the state service."""
        self.state.put(key, self.state.revision + 1, record)
        self.state.advance(self.state.revision + 1)

    def apply_changes(self, keys: list[str]) -> None:
        """Applies changed records to the fleet view and to the partition."""
        self.view.update()
        self.partition.apply_records(self.state, keys, 1.0)

    @staticmethod
    def build_heartbeat(i: int, seq: int, token: int) -> wire.Heartbeat:
        """A heartbeat of a machine whose four tasks all run."""
        tasks = [wire.TaskStatus(f"job-{i}/{n}", 1, "running") for n in range(4)]
        return wire.Heartbeat(f"vm-{i}", "10.1.0.1:9000", "big", "a", 1, seq, token, tasks)

    def heartbeat(self, i: int, seq: int, token: int) -> object:
        """Has the partition process a heartbeat of a machine whose four tasks all run."""
        return self.partition.on_heartbeat(self.build_heartbeat(i, seq, token), 1.0 + seq / 10)


def test_a_heartbeat_and_a_change_cost_the_same_in_a_large_fleet() -> None:
    """An earlier version iterated over all attempts, allocations and machines on every change and round."""
    costs = []
    for machines in (20, 400, 4000):
        fleet = Fleet(machines)
        token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-3"])
        heartbeat_calls = count_calls(lambda f=fleet, t=token: f.heartbeat(3, 3, t))  # type: ignore[misc]
        key = str(AllocationKey("a", "job-3", 0))
        fleet.put(key, Fleet.allocation_record(3, records.ENDED))
        change_calls = count_calls(lambda f=fleet, k=key: f.apply_changes([k]))  # type: ignore[misc]
        terminal_calls = count_calls(lambda f=fleet: TerminalRecords(f.partition.state).entries(f.state, 0.0))  # type: ignore[misc]
        costs.append((heartbeat_calls, change_calls, terminal_calls))
    assert costs[0] == costs[1] == costs[2]


def test_machines_are_checked_once_for_waiting_jobs_of_equal_requirements(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of twenty waiting jobs of equal tasks, the others reuse the result of the first: no machine has free capacity."""
    checks, costs = [0], []

    def counted(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> list[MachineCapacity]:
        capacities = list(capacities)
        checks[-1] += len(capacities)
        return fitting(requirements, capacities)

    monkeypatch.setattr(best_fit_module, "fitting", counted)
    for jobs in (1, 20):
        fleet = Fleet(300)
        for capacity in fleet.view.capacities.values():
            capacity.free_cpus = 0.5
        for i in range(jobs):
            fleet.put(f"{records.JOB}job-{1000 + i}", JobRecord(submission(f"job-{1000 + i}", 100), 1.0))
        fleet.view.update()
        checks.append(0)
        costs.append(count_calls(lambda v=fleet.view: AdmissionPlanner(v, 2.0).run(None, lambda: False, 24)))  # type: ignore[misc]
    assert (costs[1] - costs[0]) / 19 < 300
    assert 0 < checks[2] == checks[1]  # no machine is checked again


def test_preemption_is_checked_once_per_machine_for_equal_replicas(monkeypatch: pytest.MonkeyPatch) -> None:
    """While a large fleet started, each waiting replica checked every machine in every round."""
    checks = 0
    fits = MachineCapacity.fits_by_preemption

    def counted(capacity: MachineCapacity, requirements: Requirements) -> bool:
        nonlocal checks
        checks += 1
        return fits(capacity, requirements)

    monkeypatch.setattr(MachineCapacity, "fits_by_preemption", counted)
    seen = []
    for services in (1, 20):
        fleet = Fleet(50)
        for capacity in fleet.view.capacities.values():
            capacity.free_cpus = -1000.0  # preempting the tasks of lower priority would not free enough
        for i in range(services):
            job = JobRecord(submission(f"job-9{i}", 5), 1.0)
            job.spec.kind, job.spec.priority = wire.SERVICE, "production"
            key = str(AllocationKey("a", f"job-9{i}", 0))
            fleet.put(f"{records.JOB}job-9{i}", job)
            fleet.put(key, AllocationRecord([TaskEntry(n) for n in range(5)]))
            fleet.apply_changes([key])
        checks = 0
        TaskPlacer().run_round(fleet.partition, fleet.view, 2.0, lambda: False, 100)
        seen.append(checks)
    assert seen[0] == seen[1] == 50


def test_the_cost_of_a_round_is_independent_of_the_number_of_task_ends_not_yet_recorded() -> None:
    """Each round iterated over all task ends that waited for a batch, and over all tasks of their allocations."""
    costs = []
    for ended in (1, 60):
        fleet = Fleet(1)
        entries = [TaskEntry(n, records.ASSIGNED, 1, "vm-0", 1) for n in range(100)]
        key = str(AllocationKey("a", "job-0", 0))
        fleet.put(key, AllocationRecord(entries))
        fleet.apply_changes([key])
        for attempt in list(fleet.partition.attempts.values())[:ended]:
            fleet.partition.state.transition(attempt, AttemptPhase.EXITED, wire.REASON_DONE)
        assert TerminalRecords(fleet.partition.state).entries(fleet.state, 3.0) == {}
        costs.append(count_calls(lambda f=fleet: TerminalRecords(f.partition.state).entries(f.state, 3.0)))  # type: ignore[misc]
    assert costs[0] == costs[1]


def test_the_tasks_of_a_heartbeat_equal_to_the_previous_one_are_not_processed_again() -> None:
    fleet = Fleet(1)
    token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-0"])
    seen: list[str] = []
    observe = fleet.partition._statuses._apply_task

    def counted(machine: Machine, task: wire.TaskStatus, now: float) -> None:
        seen.append(task.task)
        observe(machine, task, now)

    fleet.partition._statuses._apply_task = counted  # type: ignore[method-assign]
    for seq in (3, 4, 5):
        fleet.heartbeat(0, seq, token)
    assert seen == []
    key = str(AllocationKey("a", "job-0", 0))
    fleet.put(key, AllocationRecord([TaskEntry(n, records.ASSIGNED, 2, "vm-0", 1) for n in range(4)]))
    fleet.apply_changes([key])
    fleet.heartbeat(0, 6, token)
    assert len(seen) == 4


def test_a_heartbeat_triggers_a_round_only_if_a_task_exited_or_a_machine_was_confirmed() -> None:
    """While task ends waited for a batch, every heartbeat triggered a round: 25 rounds a second in a large fleet."""
    fleet = Fleet(3)
    token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-1"])
    before = fleet.partition.state.scheduling_triggers
    fleet.heartbeat(1, 3, token)
    assert fleet.partition.state.scheduling_triggers == before
    ended = fleet.build_heartbeat(1, 4, token)
    ended.tasks[0] = wire.TaskStatus("job-1/0", 1, "ended", "done")
    fleet.partition.on_heartbeat(ended, 2.0)
    assert fleet.partition.state.scheduling_triggers == before + 1
    fleet.partition.on_heartbeat(wire.Heartbeat("vm-1", "10.1.0.1:9000", "big", "a", 1, 5, token, ended.tasks), 2.1)
    fleet.heartbeat(2, 3, fleet.partition.state.fencing_token(fleet.partition.machines["vm-2"]))
    assert fleet.partition.terminal_attempts
    assert fleet.partition.state.scheduling_triggers == before + 1
    fresh = wire.Heartbeat("vm-9", "10.1.0.9:9000", "big", "a", 1, 1, 0, [])
    fleet.partition.on_heartbeat(fresh, 2.2)
    fleet.partition.on_heartbeat(
        wire.Heartbeat("vm-9", "10.1.0.9:9000", "big", "a", 1, 2, fleet.partition.state.lowest_token + 99, []), 2.3
    )
    assert fleet.partition.state.scheduling_triggers == before + 1  # that token was never issued to vm-9
    issued_token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-9"])
    fleet.partition.on_heartbeat(wire.Heartbeat("vm-9", "10.1.0.9:9000", "big", "a", 1, 3, issued_token, []), 2.4)
    assert fleet.partition.state.scheduling_triggers == before + 2


def room(index: int, cpus: float, free: float, images: frozenset[int]) -> MachineCapacity:
    """The capacity of a machine with `free` of its `cpus` CPUs free."""
    return MachineCapacity(index, 0, 0, False, cpus, 0.0, 256.0, free, 0.0, 256.0, set(images))


ROOMS = st.lists(st.tuples(st.sampled_from([4, 8, 32]), st.integers(0, 32), st.booleans()), max_size=10)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 2), st.booleans(), st.integers(0, 8), st.integers(0, 8)), max_size=8
    ),
    st.tuples(st.sampled_from([None, frozenset([1])]), st.sampled_from([None, frozenset([0, 2])]), st.booleans()),
)
def test_the_machines_that_fit_are_those_that_say_so(
    kinds: list[tuple[int, int, bool, int, int]], wish: tuple[frozenset[int] | None, frozenset[int] | None, bool]
) -> None:
    types, zones, spot = wish
    requirements = Requirements(4.0, 0.0, 4.0, types, spot, 0, 1, zones)
    capacities = [
        MachineCapacity(index, zone, kind, lent, 8.0, 0.0, 8.0, float(cpus), 0.0, float(memory))
        for index, (zone, kind, lent, cpus, memory) in enumerate(kinds)
    ]
    assert fitting(requirements, capacities) == [capacity for capacity in capacities if capacity.fits(requirements)]


def test_a_waiting_task_of_a_large_array_costs_few_calls() -> None:
    """What is the same for all tasks of an array is evaluated once, however many of them wait."""
    costs = []
    for tasks in (100, 1100):
        fleet = Fleet(20)
        for capacity in fleet.view.capacities.values():
            capacity.free_cpus = 0.5
        fleet.put(f"{records.JOB}job-99", JobRecord(submission("job-99", tasks), 1.0))
        key = str(AllocationKey("a", "job-99", 0))
        fleet.put(key, AllocationRecord([TaskEntry(index) for index in range(tasks)]))
        fleet.apply_changes([key])
        placer = TaskPlacer()
        placer.run_round(fleet.partition, fleet.view, 1.0, lambda: False, 200)
        costs.append(count_calls(lambda f=fleet, p=placer: p.run_round(f.partition, f.view, 9.0, lambda: False, 200)))  # type: ignore[misc]
    assert (costs[1] - costs[0]) / 1000 <= 6


@given(ROOMS, st.integers(1, 5), st.integers(1, 40))
def test_a_group_goes_where_best_fit_would_put_one_after_another(
    machines: list[tuple[int, int, bool]], cpus: int, count: int
) -> None:
    def rooms() -> list[MachineCapacity]:
        return [room(i, c, min(c, f), frozenset([1] if cached else [])) for i, (c, f, cached) in enumerate(machines)]

    requirements = Requirements(float(cpus), 0.0, 0.1, None, False, 1)
    one_by_one, together, bookings = rooms(), rooms(), TentativeBookings()
    for _ in range(count):
        found = best_fit(requirements, one_by_one)
        if found is None:
            break
        found.book(requirements)
    placed = sum(number for _, number in book_by_best_fit(requirements, together, count, bookings))
    assert placed == sum(r.tasks for r in one_by_one)
    assert sorted((r.tasks, r.cpus, len(r.images)) for r in together) == sorted(
        (r.tasks, r.cpus, len(r.images)) for r in one_by_one
    )
    bookings.undo()
    assert [(r.free_cpus, r.tasks, r.used_by_priority) for r in together] == [
        (r.free_cpus, r.tasks, r.used_by_priority) for r in rooms()
    ]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 6), st.integers(0, 4)), min_size=2, max_size=14), st.integers(0, 4))
def test_a_move_is_judged_by_its_difference_as_by_the_whole(data: list[tuple[int, int]], to: int) -> None:
    capacities = [room(i, 64, 64, frozenset([0])) for i in range(5)]
    tasks = []
    for index, (cpus, at) in enumerate(data):
        requirements = Requirements(float(cpus), 0.0, cpus * 2.0, None, False, 0)
        capacities[at].book(requirements)
        tasks.append(PlacedTask(index, requirements, at, at, True))
    search = Search(capacities, tasks, frozenset(), Weights(0.234, 0.512, 0.254))
    task = tasks[0]
    counted = search._counted_machines()
    if task.machine == to or to not in counted:
        return
    judged = search._cost_after(task, to, search.cost(), search._means(counted), len(counted))
    search._apply_move(task, to)
    assert abs(judged - search.cost()) < 1e-9


def test_a_task_entry_changes_only_from_the_state_that_its_change_was_decided_for() -> None:
    """Between a decision and its transaction, the leader may have moved a task, or an owner recorded its end."""
    record = AllocationRecord([TaskEntry(0, records.UNASSIGNED, 1), TaskEntry(1, records.ASSIGNED, 2, "vm-1", 1)])
    start = TaskEntry(0, records.ASSIGNED, 2, "vm-1", 1)
    end = TaskEntry(1, records.ENDED, 2)
    new = merge_changes(record, {0: start, 1: end, 7: start})
    assert new is not None
    assert new.tasks == [start, end]
    assert merge_changes(record, {0: TaskEntry(0, records.ASSIGNED, 3, "vm-1", 1)}) is None  # a later attempt
    assert merge_changes(record, {1: TaskEntry(1, records.ASSIGNED, 3, "vm-2", 1)}) is None  # already assigned
    assert merge_changes(record, {0: TaskEntry(0, records.ENDED, 1)}) is None  # not assigned


class ImmediateStateService:
    """A state service that carries out every transaction immediately."""

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Like HttpClient.request."""
        return 200, b'{"ledger":1}'


def test_a_large_transaction_is_not_starved_by_small_ones() -> None:
    """Small transactions that use up the whole rate must not starve a large one.

    A large one once waited for 43 s, and the commands of its partition with it
    (docs/incidents/2026-12-02-commands-behind-records.md).
    """
    clock = Clock()
    wait_s: list[float] = []

    async def measure() -> None:
        store = Store(ImmediateStateService(), StateLimits(1000.0, 20.0, 8.0, 24), 1)

        async def write_small_transactions() -> None:
            while True:
                await store.txn(wire.Txn([], [wire.Delete("a"), wire.Delete("b")]))

        for _ in range(4):
            await curio.spawn(write_small_transactions, daemon=True)
        await curio.sleep(5)
        start = clock.now
        await store.txn(wire.Txn([], [wire.Delete(str(i)) for i in range(20)]))
        wait_s.append(clock.now - start)

    async def run_with_timeout() -> None:
        await curio.ignore_after(60, measure)

    clock.run(run_with_timeout)
    assert wait_s
    assert wait_s[0] < 3.0


NODES = ["n0", "n1", "n2", "n3"]


@given(
    st.lists(st.sampled_from(NODES), max_size=6),
    st.sampled_from([*NODES, None]),
    st.fixed_dictionaries({n: st.floats(0, 2) for n in NODES}),
    st.sets(st.sampled_from(NODES)),
)
def test_shares_add_up_to_one_however_they_are_lent(
    owners: list[str], leader: str | None, used: dict[str, float], hungry: set[str]
) -> None:
    shares = rate_shares(NODES, owners, leader)
    assert abs(sum(share.requests for share in shares.values()) - 1.0) < 1e-9
    assert abs(sum(share.writes for share in shares.values()) - 1.0) < 1e-9
    writes = {n: share.writes for n, share in shares.items()}
    lent = {n: borrowed_share(n, writes, used, hungry) for n in NODES}
    assert sum(lent.values()) <= 1.0 + 1e-9
    assert all(lent[n] >= writes[n] - 1e-9 for n in hungry)
    assert all(lent[n] > 0 for n in NODES)
